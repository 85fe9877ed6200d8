"""Relay responses of engines and services that end with their connection."""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

import curio

from catkintrack.http import Pool, Request, UpstreamExchangeError, open_exchange
from catkintrack.router.events import EventReader, StreamProgress
from catkintrack.router.model_calls import _relay_stream
from catkintrack.router.service_calls import _forward_call
from testkit.raw_upstreams import (
    make_chunk,
    open_raw_upstream,
    send_and_reset,
    send_once,
    send_slowly,
)
from testkit.recording import RecordingConnection

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
CHUNKED_HEAD = HEAD.replace(b"\r\n\r\n", b"\r\ntransfer-encoding: chunked\r\n\r\n")
WHOLE_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
REQUEST = Request(b"GET", b"/", ((b"host", b"x"), (b"x-request-id", b"r1")))
LINE_ENDS = (b"\n", b"\r\n", b"\r")
DONE = b"data: [DONE]\n\n"


def make_token_event(number, line_end=b"\n"):
    data = b'data: {"choices":[{"delta":{"content":"x"}}]}'
    return line_end.join((b"id: %d" % number, data, b"", b""))


class ModelStreamTest(unittest.TestCase):
    def setUp(self):
        self.connection = RecordingConnection()
        self.progress = StreamProgress()

    def relay(self, script, timeout_s=5.0):
        body = SimpleNamespace(wants_usage=False, max_tokens=4)
        call = SimpleNamespace(id="r1", body=body, progress=self.progress)

        async def run(address):
            async with open_exchange(Pool(), address) as exchange:
                await exchange.send(REQUEST)
                await exchange.read_head(5.0)
                await _relay_stream(call, exchange, self.connection, timeout_s)

        with open_raw_upstream(script) as address:
            curio.run(run, address)

    def test_stream_that_ends_after_its_last_event_is_whole(self):
        self.relay(send_once(HEAD + make_token_event(0) + DONE))
        self.assertTrue(self.connection.is_finished)
        self.assertTrue(self.connection.received.endswith(DONE))

    def test_stream_that_ends_before_its_last_event_is_not_whole(self):
        for end in (b"", b"data: [DO", make_token_event(1)):
            self.setUp()
            for script in (send_once, send_and_reset):
                with self.assertRaises(UpstreamExchangeError):
                    self.relay(script(HEAD + make_token_event(0) + end))
                self.assertFalse(self.connection.is_finished)

    def test_stream_with_other_line_ends_is_whole(self):
        for line_end in LINE_ENDS:
            with self.subTest(line_end=line_end):
                self.setUp()
                done = DONE.replace(b"\n", line_end)
                events = make_token_event(0, line_end) + make_token_event(1, line_end)
                self.relay(send_once(HEAD + events + done))
                self.assertTrue(self.connection.is_finished)
                self.assertEqual(self.progress.next_index, 2)

    def test_separator_may_be_split_over_reads(self):
        for line_end in LINE_ENDS:
            stream = make_token_event(0, line_end) + make_token_event(1, line_end)
            for size in range(len(stream) + 1):
                reader = EventReader(StreamProgress(), False)
                reader.read(stream[:size])
                reader.read(stream[size:])
                self.assertEqual(reader.progress.next_index, 2, stream[:size])


class ServiceResponseTest(unittest.TestCase):
    """The replica choice is replaced by a raw upstream."""

    def setUp(self):
        self.connection = RecordingConnection()

    def forward(self, script, timeout_s=5.0):
        route = SimpleNamespace(timeout_s=timeout_s)
        call = SimpleNamespace(id="r1", route=route)

        async def send(router, call, handle_exchange, has_response_started):
            async with open_exchange(Pool(), self.address) as exchange:
                await exchange.send(REQUEST)
                return await handle_exchange(exchange)

        with open_raw_upstream(script) as self.address:
            with mock.patch("catkintrack.router.service_calls._try_replicas", new=send):
                curio.run(_forward_call, None, call, self.connection)

    def test_answer_that_ends_with_its_connection_is_whole(self):
        body = bytes(range(256)) * 100
        self.forward(send_once(WHOLE_HEAD + body))
        self.assertEqual(self.connection.received, body)
        self.assertTrue(self.connection.is_finished)

    def test_answer_that_is_reset_is_not_whole(self):
        for head in (WHOLE_HEAD, HEAD):
            with self.assertRaises(UpstreamExchangeError):
                self.forward(send_and_reset(head + b"data: x\n\n", 0.05))
            self.assertFalse(self.connection.is_finished)

    def test_stream_that_ends_after_an_event_is_whole(self):
        for line_end in LINE_ENDS:
            self.setUp()
            events = b"data: x\n\n: ping\n\n".replace(b"\n", line_end)
            self.forward(send_once(HEAD + events))
            self.assertEqual(self.connection.received, events)
            self.assertTrue(self.connection.is_finished)

    def test_stream_that_ends_inside_an_event_is_not_whole(self):
        for rest in (b"data: y", b"data: y\n", b"d" * 5000, b"\n\nid: 4\r\n"):
            self.setUp()
            script = send_slowly(HEAD + b"data: x\n\n", [rest[:2], rest[2:]], 0.02)
            with self.assertRaises(UpstreamExchangeError):
                self.forward(script)
            self.assertFalse(self.connection.is_finished)

    def test_stream_in_chunks_says_itself_that_it_is_whole(self):
        self.forward(send_once(CHUNKED_HEAD + make_chunk(b"data: x") + b"0\r\n\r\n"))
        self.assertTrue(self.connection.is_finished)

    def test_slow_events_outlive_the_timeout_however_they_arrive(self):
        """Their line ends may differ, and a read may end inside a separator."""
        for line_end in LINE_ENDS:
            self.setUp()
            event = b"data: x" + line_end
            parts = [event, line_end] * 5
            started_at = time.monotonic()
            self.forward(send_slowly(HEAD, parts, 0.15), 0.8)
            self.assertTrue(self.connection.is_finished)
            self.assertGreater(time.monotonic() - started_at, 1.2)


if __name__ == "__main__":
    unittest.main()

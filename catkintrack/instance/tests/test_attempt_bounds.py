"""End attempts at replicas that stall, trickle or send without end; keep slow ones."""

import time
import unittest
from types import SimpleNamespace

import curio

from catkintrack.http import UpstreamResponseTooLarge, UpstreamTimeout
from catkintrack.instance.attempts import (
    AttemptCallbacks,
    CallProgress,
    ReplicaRejected,
    make_stream_bounds,
    run_attempt,
)
from catkintrack.platform import Dispatch
from testkit.instances import make_call, make_prompt, make_route
from testkit.raw_upstreams import (
    make_chunk,
    open_raw_upstream,
    send_endless,
    send_slowly,
)
from testkit.recording import RecordingConnection
from testkit.states import make_instance

HEAD = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
    b"x-request-id: r1\r\nx-response-signature: s\r\n\r\n"
)
END = b"0\r\n\r\n"
STREAM = make_route(target_s=0.1, max_event_gap_s=0.1)
LOOKUP = make_route(is_stream=False, is_idempotent=True, has_prompt=False)


def make_event(number: int) -> bytes:
    return make_chunk(b"id: %d\ndata: x\n\n" % number)


class AttemptBoundsTest(unittest.TestCase):
    def setUp(self):
        self.connection = RecordingConnection()
        self.heard = 0

    def run_against(self, script, route=STREAM, deadline_s=10.0):
        """Run one attempt at an upstream with this script."""
        now = time.monotonic()
        prompt = make_prompt(100) if route.has_prompt else None
        call = make_call(
            route, prompt=prompt, arrived_at=now, deadline_at=now + deadline_s
        )

        async def on_response_head(fields):
            pass

        def on_data():
            self.heard += 1

        with open_raw_upstream(script) as address:
            upstream = SimpleNamespace(id="i1", address=address)
            try:
                curio.run(
                    run_attempt,
                    make_instance(),
                    call,
                    CallProgress(now),
                    upstream,
                    Dispatch("i1", deadline_s),
                    self.connection,
                    AttemptCallbacks(on_response_head, on_data),
                    False,
                )
            finally:
                self.elapsed_s = time.monotonic() - now

    def test_slow_stream_is_complete(self):
        pause_s = 0.9
        self.assertLess(pause_s, make_stream_bounds(make_call(STREAM), 1).max_pause_s)
        parts = [make_event(1), make_event(2), make_event(3), END]
        self.run_against(send_slowly(HEAD, parts, pause_s))
        self.assertTrue(self.connection.is_finished)
        self.assertEqual(self.connection.received.count(b"id:"), 3)

    def test_stalled_stream_that_trickles_ends_before_the_caller_leaves(self):
        parts = [make_chunk(b":")] * 100
        with self.assertRaises(UpstreamTimeout):
            self.run_against(send_slowly(HEAD + make_event(1), parts, 0.1))
        self.assertLess(self.elapsed_s, 2.0)
        self.assertFalse(self.connection.is_finished)
        # The head and the only event.
        self.assertEqual(self.heard, 2)

    def test_stream_that_trickles_before_its_first_event_ends_at_the_deadline(self):
        parts = [make_chunk(b":")] * 100
        with self.assertRaises(UpstreamTimeout):
            self.run_against(send_slowly(HEAD, parts, 0.03), deadline_s=0.5)
        self.assertLess(self.elapsed_s, 1.5)

    def test_stream_of_bytes_without_events_is_too_large(self):
        part = make_chunk(b"x" * 50_000)
        with self.assertRaises(UpstreamResponseTooLarge):
            self.run_against(send_endless(HEAD, part))

    def test_stream_of_events_without_end_is_too_large(self):
        numbers = iter(range(1, 10**9))

        def script(send):
            send(HEAD)
            for number in numbers:
                send(make_event(number))

        with self.assertRaises(UpstreamResponseTooLarge):
            self.run_against(script)
        self.assertFalse(self.connection.is_finished)

    def test_body_that_trickles_ends_at_the_deadline(self):
        parts = [make_chunk(b"x")] * 100
        with self.assertRaises(UpstreamTimeout):
            self.run_against(send_slowly(HEAD, parts, 0.1), LOOKUP, deadline_s=0.5)
        self.assertLess(self.elapsed_s, 1.5)
        self.assertFalse(self.connection.has_response_started)

    def test_body_without_end_reaches_nobody(self):
        part = make_chunk(b"x" * 50_000)
        with self.assertRaises(UpstreamResponseTooLarge):
            self.run_against(send_endless(HEAD, part), LOOKUP)
        self.assertFalse(self.connection.has_response_started)

    def test_rejection_that_trickles_ends_soon(self):
        head = HEAD.replace(b"200 OK", b"503 Busy\r\nx-not-executed: 1")
        with self.assertRaises(ReplicaRejected):
            self.run_against(send_slowly(head, [make_chunk(b"x")] * 50, 0.1))
        self.assertLess(self.elapsed_s, 1.5)


if __name__ == "__main__":
    unittest.main()

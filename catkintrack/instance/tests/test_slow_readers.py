"""Answer callers who read slowly, or who stop reading, while others read at once."""

import contextlib
import socket
import time
import unittest
from unittest import mock

import curio

from catkintrack.decisions.slow_readers import (
    MAX_SOURCE_WAIT_S,
    STOPPED_AFTER_S,
    SlowReaders,
)
from catkintrack.http import ServerLimits, open_server
from catkintrack.instance.calls import handle_call
from catkintrack.instance.slow_readers import SEND_BUFFER_BYTES
from testkit.raw_callers import make_order, make_stream
from testkit.raw_upstreams import make_chunk, send_slowly
from testkit.silent_replicas import (
    STREAM_END,
    STREAM_HEAD,
    make_whole_answer,
    open_instance,
)

HOST = "127.0.0.1"
EVENTS = 25
EVENT_BYTES = 4096
STREAM_BYTES = EVENTS * EVENT_BYTES
# What the systems of caller and instance hold of a stream that is not read, at most.
SYSTEM_BYTES = 60000
RECEIVE_BUFFER_BYTES = 4096
LARGE_BODY_BYTES = 200_000
# More than the systems of both sides hold.
HUGE_BODY_BYTES = 12 << 20
MARGIN_S = 1.5
REPLICA_PAUSE_S = 2.5
# Within the time of a plain call.
SHORT_SOURCE_WAIT_S = 0.1


def send_stream(send):
    """Send a large stream at once."""
    send(STREAM_HEAD)
    for number in range(1, EVENTS + 1):
        head = b"id: %d\ndata: " % number
        send(make_chunk(head + b"x" * (EVENT_BYTES - len(head) - 2) + b"\n\n"))
    send(STREAM_END)


def send_stream_with_pause(send):
    """Send a large stream whose end comes late."""
    send_stream(lambda data: data == STREAM_END or send(data))
    time.sleep(REPLICA_PAUSE_S)
    send(STREAM_END)


def connect(port):
    """Return a caller's connection whose system holds little."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(20.0)
    sock.connect((HOST, port))
    return sock


def receive(sock, part_bytes=65536, pause_s=0.0):
    """Return what arrives until the stream's or the connection's end."""
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while not received.endswith(STREAM_END) and (data := sock.recv(part_bytes)):
            received += data
            time.sleep(pause_s)
    return received


class SlowReaderTest(unittest.TestCase):
    def serve(
        self,
        act,
        max_bytes=1 << 20,
        script=send_stream,
        answer=b"whole",
        answer_after_s=0.0,
    ):
        """Run `act` in a thread, with the port of an instance; return its result.

        The model replica runs `script`, the plain one gives `answer` and reads no body.
        """

        async def run(instance):
            async def handle(request, connection):
                await handle_call(instance, request, connection)

            async with open_server(
                HOST,
                0,
                handle,
                ServerLimits(
                    max_body_bytes=HUGE_BODY_BYTES,
                    send_buffer_bytes=SEND_BUFFER_BYTES,
                ),
                cancels_on_disconnect=True,
            ) as server:
                watch = await curio.spawn(self.watch_held, daemon=True)
                result = await curio.run_in_thread(act, server.port)
                await curio.sleep(0.1)
                await watch.cancel()
                return result

        parts = [make_whole_answer(body=answer), b""]
        plain = {"a0": send_slowly(b"", parts, answer_after_s)}
        with open_instance({"m0": script}, plain) as instance:
            self.readers = instance.slow_readers = SlowReaders(max_bytes)
            result = curio.run(run, instance)
        self.assertEqual(self.readers.held_bytes, 0)
        self.assertFalse(self.readers.held_by_workspace)
        return result

    async def watch_held(self):
        self.max_held_bytes = 0
        while True:
            held_bytes = self.readers.held_bytes
            self.max_held_bytes = max(self.max_held_bytes, held_bytes)
            await curio.sleep(0.01)

    def test_slow_reader_gets_all_while_others_are_served(self):
        def act(port):
            with connect(port) as slow, connect(port) as fast:
                started_at = time.monotonic()
                slow.sendall(make_stream("r1", 11000))
                received = slow.recv(16)
                fast.sendall(make_order("r1"))
                answer = fast.recv(65536)
                fast_s = time.monotonic() - started_at
                received += receive(slow, 2048, 0.1)
                return answer, fast_s, received, time.monotonic() - started_at

        answer, fast_s, received, slow_s = self.serve(act)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertLess(fast_s, 1.0)
        self.assertGreater(slow_s, STOPPED_AFTER_S + 1.0)
        self.assertEqual(received.count(b"\nid: "), EVENTS)
        self.assertTrue(received.endswith(STREAM_END))
        # The replica did not wait for the caller.
        self.assertGreater(self.max_held_bytes, STREAM_BYTES - SYSTEM_BYTES)

    def stop_reading(self, port):
        """Return how long it takes until a caller that reads nothing is closed."""
        with connect(port) as sock:
            sock.sendall(make_stream("r1", 11000))
            started_at = time.monotonic()
            # Polling sees a reset without reading.
            while sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                time.sleep(0.02)
                if time.monotonic() - started_at > 10.0:
                    return None
            return time.monotonic() - started_at

    def test_reader_that_stops_is_reset(self):
        elapsed_s = self.serve(self.stop_reading)
        self.assertIsNotNone(elapsed_s)
        self.assertGreaterEqual(elapsed_s, STOPPED_AFTER_S - 0.1)
        self.assertLess(elapsed_s, STOPPED_AFTER_S + MARGIN_S)

    def test_without_room_a_reader_is_given_up_before_its_replica_gives_up(self):
        elapsed_s = self.serve(self.stop_reading, max_bytes=4 * EVENT_BYTES)
        self.assertIsNotNone(elapsed_s)
        self.assertLess(elapsed_s, MAX_SOURCE_WAIT_S + MARGIN_S)
        self.assertLessEqual(self.max_held_bytes, 4 * EVENT_BYTES)

    def test_pause_of_the_replica_does_not_delay_what_is_held(self):
        def act(port):
            with connect(port) as sock:
                sock.sendall(make_stream("r1", 11000))
                time.sleep(0.5)
                started_at = time.monotonic()
                received = b""
                while received.count(b"\nid: ") < EVENTS:
                    received += sock.recv(65536) or self.fail("cut")
                return time.monotonic() - started_at

        elapsed_s = self.serve(act, script=send_stream_with_pause)
        self.assertLess(elapsed_s, REPLICA_PAUSE_S - 1.0)

    def test_whole_answer_without_room_is_sent_at_the_pace_of_its_reader(self):
        def act(port):
            with connect(port) as sock:
                sock.sendall(make_order("r1"))
                started_at = time.monotonic()
                received = b""
                with contextlib.suppress(ConnectionResetError):
                    while not received.endswith(b"END") and (data := sock.recv(4096)):
                        received += data
                        time.sleep(0.015)
                return received, time.monotonic() - started_at

        answer = b"x" * (LARGE_BODY_BYTES // 2) + b"END"
        limit = "catkintrack.decisions.slow_readers.MAX_SOURCE_WAIT_S"
        with mock.patch(limit, SHORT_SOURCE_WAIT_S):
            received, elapsed_s = self.serve(act, 4 * EVENT_BYTES, answer=answer)
        self.assertTrue(received.endswith(answer))
        self.assertGreater(elapsed_s, 2 * SHORT_SOURCE_WAIT_S)

    def test_without_a_count_of_the_system_a_slow_reader_is_kept(self):
        def act(port):
            with connect(port) as sock:
                sock.sendall(make_stream("r1", 11000))
                time.sleep(STOPPED_AFTER_S + 1.0)
                return receive(sock)

        with mock.patch("fcntl.ioctl", side_effect=OSError("not supported")) as ioctl:
            received = self.serve(act)
        self.assertTrue(ioctl.called)
        self.assertTrue(received.endswith(STREAM_END))

    def test_replica_that_answers_before_it_reads_a_body_is_not_cut(self):
        def act(port):
            with connect(port) as sock:
                sock.sendall(make_order("r1", b"x" * HUGE_BODY_BYTES))
                return sock.recv(65536)

        limit = "catkintrack.decisions.slow_readers.STOPPED_AFTER_S"
        with mock.patch(limit, SHORT_SOURCE_WAIT_S):
            answer = self.serve(
                act, 4 * HUGE_BODY_BYTES, answer_after_s=6 * SHORT_SOURCE_WAIT_S
            )
        self.assertGreater(self.max_held_bytes, 0)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

    def test_request_without_room_is_refused_at_once(self):
        body = b"x" * LARGE_BODY_BYTES

        def act(port):
            with connect(port) as sock:
                sock.sendall(make_order("r1", body))
                return sock.recv(65536)

        self.assertTrue(self.serve(act).startswith(b"HTTP/1.1 200"))
        with mock.patch("catkintrack.instance.attempts.open_exchange") as open_exchange:
            refusal = self.serve(act, max_bytes=LARGE_BODY_BYTES)
        self.assertTrue(refusal.startswith(b"HTTP/1.1 503"))
        open_exchange.assert_not_called()

    def test_request_without_a_body_needs_no_room(self):
        def act(port):
            with connect(port) as sock:
                sock.sendall(make_order("r1", b""))
                return sock.recv(65536)

        self.assertTrue(self.serve(act, max_bytes=-1).startswith(b"HTTP/1.1 200"))


if __name__ == "__main__":
    unittest.main()

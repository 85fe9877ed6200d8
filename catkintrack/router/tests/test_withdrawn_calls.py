"""End the calls of a withdrawn key without a foreign byte in what they had begun."""

import socket
import unittest
from types import SimpleNamespace
from unittest import mock

import curio

from catkintrack.http import open_server
from catkintrack.router import calls

HOST = "127.0.0.1"
LENGTH = 1000
# More than the buffers of a connection hold.
LARGE_PART = b"x" * (16 << 20)
EVENT = b"data: {}\n\n"


async def send_part_with_length(connection):
    await connection.start_response(200, ((b"content-length", b"%d" % LENGTH),))
    await connection.send_body(b"x" * 100)


async def send_part_in_chunks(connection):
    await connection.start_response(200, ((b"content-type", b"text/event-stream"),))
    await connection.send_body(EVENT[:5])


async def send_event(connection):
    await connection.start_response(200, ((b"content-type", b"text/event-stream"),))
    await connection.send_body(EVENT)


async def send_too_much(connection):
    await connection.start_response(200, ())
    await connection.send_body(LARGE_PART)


class WithdrawnCallTest(unittest.TestCase):
    def receive(self, send, service="s1"):
        """Return what a caller gets whose key is withdrawn after `send`, or during it."""
        route = SimpleNamespace(name="r", service=service, is_open=True, timeout_s=5.0)
        router = SimpleNamespace(open_calls=set(), metrics=mock.MagicMock())
        connections = []

        async def serve(*arguments):
            await send(arguments[-1])
            await curio.sleep(60.0)

        async def handle(request, connection):
            connections.append(connection)
            await calls.handle_call(router, request, connection)

        async def run():
            async with open_server(HOST, 0, handle) as server:
                with socket.create_connection((HOST, server.port), 5.0) as sock:
                    sock.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                    while not (connections and connections[0].has_response_started):
                        await curio.sleep(0.01)
                    await curio.sleep(0.1)
                    (call,) = router.open_calls
                    call.is_cancelled = True
                    await call.task.cancel(blocking=False)
                    return await curio.run_in_thread(read_to_end, sock)

        patches = {
            "_find_route": lambda *_: route,
            "reject_misplaced_keys": lambda _: None,
            "authenticate": lambda *_: SimpleNamespace(
                id="k1", workspace=SimpleNamespace(name="w1")
            ),
            "is_key_still_valid": lambda *_: True,
            "serve_service_call": serve,
            "serve_model_call": serve,
        }
        with mock.patch.multiple(calls, **patches):
            return curio.run(run)

    def test_response_of_a_service_is_cut_where_it_is(self):
        for send, end in (
            (send_part_with_length, b"x" * 100),
            (send_part_in_chunks, b"\r\n5\r\ndata:\r\n"),
        ):
            with self.subTest(send.__name__):
                received = self.receive(send)
                self.assertTrue(received.endswith(end), received[-300:])

    def test_part_that_was_not_sent_whole_is_followed_by_nothing(self):
        for service in ("s1", None):
            received = self.receive(send_too_much, service)
            head, _, rest = received.partition(b"\r\n\r\n")
            size, _, part = rest.partition(b"\r\n")
            self.assertEqual(int(size, 16), len(LARGE_PART))
            self.assertEqual(part.strip(b"x"), b"", part[-300:])
            self.assertLess(len(part), len(LARGE_PART))

    def test_stream_of_a_model_ends_with_an_error_event_and_no_end(self):
        received = self.receive(send_event, service=None)
        self.assertIn(b'"KeyWithdrawn"', received)
        self.assertIn(EVENT, received)
        self.assertNotIn(b"\r\n0\r\n", received)


def read_to_end(sock):
    received = bytearray()
    while data := sock.recv(1 << 20):
        received += data
    return bytes(received)


if __name__ == "__main__":
    unittest.main()

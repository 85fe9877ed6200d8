"""Keep a server within its memory while many callers send large requests."""

import socket
import tracemalloc
import unittest

import curio

from catkintrack.http import ByteBudget, ServerLimits, open_server
from testkit.raw_upstreams import make_chunk

HOST = "127.0.0.1"
SMALL_CHUNKS = 60_000
CALLERS = 40
LARGE_BODY_BYTES = 4_000_000
MAX_HELD_BYTES = 25_000_000
HEAD = b"POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


def send_and_receive(port, data):
    """Return the start of what a caller receives."""
    with socket.create_connection((HOST, port), timeout=20) as sock:
        try:
            sock.sendall(data)
            return sock.recv(65536)
        except ConnectionError:
            return b""


class EndlessRequestsTest(unittest.TestCase):
    async def handle(self, request, connection):
        self.bodies.append(len(request.body))
        await curio.sleep(self.handling_s)
        await connection.respond(200, (), b"")

    def send(self, data, callers=1, handling_s=0.0):
        """Return the responses to callers at once, and record the peak of memory."""
        self.bodies, self.handling_s = [], handling_s

        async def run():
            budget = ByteBudget(MAX_HELD_BYTES)
            async with open_server(
                HOST, 0, self.handle, ServerLimits(), budget=budget
            ) as server:
                tasks = [
                    await curio.spawn(
                        curio.run_in_thread, send_and_receive, server.port, data
                    )
                    for _ in range(callers)
                ]
                responses = [await task.join() for task in tasks]
            self.assertEqual(budget.held_bytes, 0)
            return responses

        tracemalloc.start()
        try:
            return curio.run(run)
        finally:
            self.peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()

    def test_body_in_small_chunks_takes_its_length(self):
        data = CHUNKED + make_chunk(b"x") * SMALL_CHUNKS + b"0\r\n\r\n"
        self.assertIn(b"200", self.send(data)[0])
        self.assertEqual(self.bodies, [SMALL_CHUNKS])
        self.assertLess(self.peak_bytes, 20 * SMALL_CHUNKS)

    def test_head_of_many_short_fields_is_refused(self):
        data = HEAD + b"a:\r\n" * 10_000 + b"\r\n"
        self.assertIn(b"431", self.send(data)[0])
        self.assertEqual(self.bodies, [])

    def test_answer_does_not_quote_a_malformed_head_at_length(self):
        data = HEAD + b"\x01" * 10_000 + b"\r\n\r\n"
        response = self.send(data)[0]
        self.assertIn(b"400", response)
        self.assertLess(len(response), 500)

    def test_large_bodies_of_many_callers(self):
        length = b"content-length: %d\r\n\r\n" % LARGE_BODY_BYTES
        data = HEAD + length + b"x" * LARGE_BODY_BYTES
        responses = self.send(data, CALLERS, handling_s=1.0)
        self.assertLess(self.peak_bytes, 2 * MAX_HELD_BYTES)
        self.assertGreater(len(self.bodies), 0)
        refused = [response for response in responses if b" 503 " in response]
        self.assertEqual(len(self.bodies) + len(refused), CALLERS)


if __name__ == "__main__":
    unittest.main()

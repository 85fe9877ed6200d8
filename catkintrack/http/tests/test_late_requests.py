"""Drain a server that takes requests until a given time only."""

import contextlib
import math
import time
import unittest

import curio

from catkintrack.http import DRAIN_READ_S, drain_server, open_server
from catkintrack.http.tests.test_drain import HOST, connect, receive_until_closed

BODY = b"0123456789"
HEAD = b"POST /%s HTTP/1.1\r\nhost: x\r\nx-request-id: %s\r\ncontent-length: 10\r\n\r\n"
STREAM_S = 2 * DRAIN_READ_S


def make_request(id: bytes) -> bytes:
    return HEAD % (id, id) + BODY


class LateRequestTest(unittest.TestCase):
    def setUp(self):
        self.handled = []

    async def handle(self, request, connection):
        self.handled.append(request.target[1:])
        await connection.start_response(200, ((b"content-length", b"4"),))
        if request.target.startswith(b"/stream"):
            await curio.sleep(STREAM_S)
        await connection.send_body(b"done")
        await connection.finish_response()

    def drain(self, act, accepting_s=DRAIN_READ_S):
        """Return what each caller that `act` opens receives, and how long it takes."""

        async def run():
            async with open_server(HOST, 0, self.handle) as server:
                sockets = await act(server.port)
                started_at = time.monotonic()
                server.accepts_until = started_at + accepting_s
                readers = [
                    await curio.spawn(curio.run_in_thread, receive_until_closed, sock)
                    for sock in sockets
                ]
                await drain_server(server)
                elapsed_s = time.monotonic() - started_at
                answers = []
                for reader in readers:
                    with contextlib.suppress(curio.TaskError):
                        answers.append(await reader.join())
                return answers, elapsed_s

        return curio.run(run)

    def assert_refused(self, answer):
        head = answer.rpartition(b"HTTP/1.1 ")[2].lower()
        self.assertTrue(head.startswith(b"503"), answer)
        self.assertIn(b"connection: close", head)

    def send_parts(self, cut):
        """Send a request up to `cut` before the drain, and the rest late."""
        request = make_request(b"slow")

        async def act(port):
            sock = connect(port, request[:cut])
            await curio.sleep(0.1)

            async def send_rest():
                await curio.sleep(3 * DRAIN_READ_S)
                sock.sendall(request[cut:])

            await curio.spawn(send_rest, daemon=True)
            return [sock]

        return act

    def test_head_that_is_whole_only_after_the_accepting_is_refused(self):
        answers, _ = self.drain(self.send_parts(10))
        self.assert_refused(answers[0])
        self.assertEqual(self.handled, [])

    def test_body_that_is_whole_only_after_the_accepting_is_refused(self):
        answers, _ = self.drain(self.send_parts(-5))
        self.assert_refused(answers[0])
        self.assertEqual(self.handled, [])

    def test_request_that_was_sent_early_and_is_read_late_is_refused(self):
        async def act(port):
            return [connect(port, make_request(b"late"))]

        answers, _ = self.drain(act, accepting_s=-0.1)
        self.assert_refused(answers[0])
        self.assertEqual(self.handled, [])

    def test_request_behind_a_stream_that_outlasts_the_accepting_is_refused(self):
        """Its bytes have arrived, so the connection must not close without an answer."""

        async def act(port):
            sock = connect(port, make_request(b"stream") + make_request(b"next"))
            other = connect(port, make_request(b"stream"))
            await curio.sleep(0.1)
            other.sendall(make_request(b"other"))
            return [sock, other]

        answers, _ = self.drain(act)
        for answer in answers:
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
            self.assert_refused(answer)
        self.assertEqual(self.handled, [b"stream", b"stream"])

    def test_part_of_a_request_behind_a_stream_is_waited_for(self):
        async def act(port):
            request = make_request(b"next")
            sock = connect(port, make_request(b"stream") + request[:-5])
            await curio.sleep(0.1)

            async def send_rest():
                await curio.sleep(STREAM_S + 0.3)
                sock.sendall(request[-5:])

            await curio.spawn(send_rest, daemon=True)
            return [sock]

        answers, _ = self.drain(act)
        self.assert_refused(answers[0])
        self.assertEqual(self.handled, [b"stream"])

    def test_request_behind_a_stream_is_served_by_a_drain_without_an_end(self):
        async def act(port):
            sock = connect(port, make_request(b"stream") + make_request(b"next"))
            await curio.sleep(0.1)
            return [sock]

        answers, _ = self.drain(act, accepting_s=math.inf)
        self.assertEqual(answers[0].count(b"HTTP/1.1 200"), 2)
        self.assertEqual(self.handled, [b"stream", b"next"])

    def test_idle_connections_do_not_hold_up_the_drain(self):
        async def act(port):
            sockets = [connect(port) for _ in range(20)]
            await curio.sleep(0.1)
            return sockets

        answers, elapsed_s = self.drain(act)
        self.assertEqual(answers, [b""] * 20)
        self.assertLess(elapsed_s, DRAIN_READ_S + 0.5)

    def test_request_that_arrives_as_idle_connections_close_is_refused(self):
        """Guards against a request that was sent and whose connection was reset."""

        async def act(port):
            sock = connect(port)
            await curio.sleep(0.1)

            async def hold_up():
                await curio.sleep(DRAIN_READ_S - 0.2)
                time.sleep(0.3)

            async def send():
                # Due while the loop is held up, as the drain is, so that it looks at
                # the connection before the connection's task does.
                await curio.sleep(DRAIN_READ_S - 0.05)
                sock.sendall(make_request(b"between"))

            await curio.spawn(hold_up, daemon=True)
            await curio.spawn(send, daemon=True)
            return [sock]

        answers, _ = self.drain(act, accepting_s=DRAIN_READ_S - 0.1)
        self.assertEqual(len(answers), 1)
        self.assert_refused(answers[0])
        self.assertEqual(self.handled, [])


if __name__ == "__main__":
    unittest.main()

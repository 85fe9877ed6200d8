"""Send callers responses that they can't mistake: cut ones, and ones without a body."""

import socket
import unittest

import curio

from catkintrack.http import CallerDisconnected, ServerLimits, open_server

HOST = "127.0.0.1"
BODY = bytes(range(256)) * 20


async def stream(request, connection):
    await connection.start_response(200, ())
    await connection.send_body(BODY)
    await connection.finish_response()


async def cut(request, connection):
    await connection.start_response(200, ())
    await connection.send_body(BODY)


async def cut_by_an_error(request, connection):
    await cut(request, connection)
    raise CallerDisconnected("as after a failed send")


async def refuse(request, connection):
    await connection.respond(404, (), BODY)


async def respond_without_body(request, connection):
    status = {"/204": 204, "/304": 304}.get(request.path, 200)
    await connection.respond(status, (), b"")


class CallerResponseTest(unittest.TestCase):
    def exchange(self, handler, *requests: bytes) -> bytes:
        """Return what a caller receives until its connection is closed.

        Raise ConnectionResetError if it is reset.
        """

        async def run():
            async with open_server(HOST, 0, handler, ServerLimits()) as server:
                return await curio.run_in_thread(send_and_receive, server.port)

        def send_and_receive(port):
            with socket.create_connection((HOST, port), timeout=5) as sock:
                sock.sendall(b"".join(requests))
                self.received = b""
                while data := sock.recv(65536):
                    self.received += data
                return self.received

        return curio.run(run)

    def request(self, version=b"1.1", method=b"GET", path=b"/", headers=b""):
        line = b"%s %s HTTP/%s\r\nhost: x\r\n" % (method, path, version)
        return line + headers + b"\r\n"

    def close_request(self, **options):
        return self.request(headers=b"connection: close\r\n", **options)

    def test_response_without_length_is_in_chunks_and_keeps_the_connection(self):
        received = self.exchange(stream, self.request(), self.close_request())
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(received.count(BODY + b"\r\n0\r\n\r\n"), 2)

    def test_response_to_http_1_0_ends_with_its_connection(self):
        received = self.exchange(stream, self.request(b"1.0"))
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head.lower())
        self.assertEqual(body, BODY)

    def test_response_that_is_cut_has_no_last_chunk(self):
        received = self.exchange(cut, self.request())
        self.assertIn(BODY, received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))

    def test_response_to_http_1_0_that_is_cut_ends_by_a_reset(self):
        """Its regular end would be the close of the connection."""
        for handler in (cut, cut_by_an_error):
            with self.assertRaises(ConnectionResetError):
                self.exchange(handler, self.request(b"1.0"))
            self.assertTrue(self.received.endswith(BODY))

    def test_response_with_a_length_to_http_1_0_is_whole(self):
        received = self.exchange(refuse, self.request(b"1.0"))
        self.assertTrue(received.endswith(b"\r\n\r\n" + BODY))

    def test_response_to_head_has_the_length_but_no_body(self):
        received = self.exchange(
            refuse, self.request(method=b"HEAD"), self.close_request(method=b"HEAD")
        )
        self.assertEqual(received.count(b"HTTP/1.1 404"), 2)
        self.assertEqual(received.count(b"content-length: %d" % len(BODY)), 2)
        self.assertNotIn(BODY, received)

    def test_response_after_one_to_head_has_its_body(self):
        received = self.exchange(
            refuse, self.request(method=b"HEAD"), self.close_request()
        )
        self.assertEqual(received.count(b"HTTP/1.1 404"), 2)
        self.assertTrue(received.endswith(BODY))

    def test_response_that_has_no_body_claims_no_length(self):
        requests = (
            self.request(path=b"/204"),
            self.request(path=b"/304"),
            self.close_request(method=b"HEAD"),
        )
        received = self.exchange(respond_without_body, *requests)
        self.assertEqual(received.count(b"HTTP/1.1 "), 3)
        self.assertNotIn(b"content-length", received.lower())

    def test_empty_response_to_get_has_a_length(self):
        received = self.exchange(respond_without_body, self.close_request())
        self.assertIn(b"content-length: 0", received)


if __name__ == "__main__":
    unittest.main()

"""End the requests of callers who close behind data that is not read yet."""

import time
import unittest

import curio

from catkintrack.http import open_server
from catkintrack.http.tests.test_drain import HOST, connect

REQUEST = b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n"
HANDLING_S = 3.0


class DisconnectTest(unittest.TestCase):
    def serve(self, act, cancels_on_disconnect=True):
        """Return which requests a server begins and how long it serves the first."""
        self.begun = []
        self.elapsed_s = 0.0

        async def handle(request, connection):
            started_at = time.monotonic()
            self.begun.append(request.target)
            try:
                await curio.sleep(HANDLING_S)
            finally:
                self.elapsed_s = time.monotonic() - started_at

        async def run():
            async with open_server(
                HOST, 0, handle, cancels_on_disconnect=cancels_on_disconnect
            ) as server:
                sock = connect(server.port, REQUEST % 1)
                await curio.sleep(0.1)
                await act(sock)
                await curio.sleep(HANDLING_S / 2)
                sock.close()

        curio.run(run)

    async def send_more_and_close(self, sock):
        sock.sendall(REQUEST % 2)
        await curio.sleep(0.4)
        sock.close()

    async def send_more(self, sock):
        sock.sendall(REQUEST % 2)

    def test_close_behind_the_next_request_ends_the_first(self):
        self.serve(self.send_more_and_close)
        self.assertEqual(self.begun, [b"/1"])
        self.assertLess(self.elapsed_s, HANDLING_S / 2)

    def test_next_request_alone_ends_nothing(self):
        self.serve(self.send_more)
        self.assertEqual(self.begun, [b"/1"])
        self.assertGreater(self.elapsed_s, HANDLING_S / 2)


if __name__ == "__main__":
    unittest.main()

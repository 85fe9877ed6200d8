"""Bound the bytes that the system keeps for responses which are not read."""

import array
import fcntl
import termios
import unittest

import curio

from catkintrack.http import Pool, Request, open_exchange
from testkit.raw_upstreams import HEAD, make_chunk, open_raw_upstream, send_endless

REQUEST = Request(b"GET", b"/", ((b"host", b"x"), (b"x-request-id", b"r1")))
CHUNK = make_chunk(b"x" * 60_000)
BODY_START = HEAD + b"x-request-id: r1\r\n\r\n"
READ_BYTES = 64 << 20
MAX_UNREAD_BYTES = 65536
SETTLED_S = 0.3


def count_unread(sock):
    """Return the bytes that the system holds for a socket."""
    count = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return count[0]


class ReceiveBufferTest(unittest.TestCase):
    def test_unread_bytes_of_a_fast_response_are_bounded(self):
        """The system's own choice grows with the speed at which a socket is read."""
        pool = Pool()

        async def run(address):
            async with open_exchange(pool, address) as exchange:
                await exchange.send(REQUEST)
                await exchange.read_head(5.0)
                received = 0
                while received < READ_BYTES:
                    received += len(await exchange.read_body_part(5.0))
                await curio.sleep(SETTLED_S)
                return count_unread(exchange.sock)

        with open_raw_upstream(send_endless(BODY_START, CHUNK)) as address:
            self.assertLessEqual(curio.run(run, address), MAX_UNREAD_BYTES)

    def test_unread_bytes_of_a_waiting_call_are_bounded(self):
        pool = Pool()

        async def run(address):
            async with open_exchange(pool, address) as exchange:
                await exchange.send(REQUEST)
                await curio.sleep(SETTLED_S)
                return count_unread(exchange.sock)

        with open_raw_upstream(send_endless(BODY_START, CHUNK)) as address:
            self.assertLessEqual(curio.run(run, address), MAX_UNREAD_BYTES)


if __name__ == "__main__":
    unittest.main()

"""Bound the bytes that the system keeps for responses which are not read."""

import array
import fcntl
import termios
import time
import unittest

import curio

from catkintrack.http import (
    Pool,
    Request,
    close_unsolicited,
    fetch,
    open_exchange,
)
from testkit.raw_upstreams import (
    HEAD,
    make_chunk,
    open_raw_upstream,
    send_and_wait,
    send_endless,
)

REQUEST = Request(b"GET", b"/", ((b"host", b"x"), (b"x-request-id", b"r1")))
CHUNK = make_chunk(b"x" * 60_000)
BODY_START = HEAD + b"x-request-id: r1\r\n\r\n"
WHOLE = BODY_START + CHUNK + b"0\r\n\r\n"
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


class UnsolicitedBytesTest(unittest.TestCase):
    async def make_idle(self, address):
        self.pool = Pool()
        await fetch(self.pool, address, REQUEST, 5.0)
        self.assertEqual(len(self.pool.idle_by_address[address]), 1)
        await curio.sleep(SETTLED_S)
        await close_unsolicited(self.pool)
        return len(self.pool.idle_by_address[address])

    def test_idle_connection_with_bytes_without_end_is_closed(self):
        def script(send):
            send(WHOLE)
            time.sleep(SETTLED_S / 2)
            while True:
                send(CHUNK)

        with open_raw_upstream(script) as address:
            self.assertEqual(curio.run(self.make_idle, address), 0)
            self.assertIn(address, self.pool.lost_at_by_address)

    def test_idle_connection_without_bytes_is_kept(self):
        script = send_and_wait(WHOLE, 4 * SETTLED_S)
        with open_raw_upstream(script) as address:
            self.assertEqual(curio.run(self.make_idle, address), 1)


if __name__ == "__main__":
    unittest.main()

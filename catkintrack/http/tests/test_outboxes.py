"""Send a request to a peer that reads none of it."""

import socket
import time
import unittest

import curio

from catkintrack.http import (
    Address,
    Pool,
    ReaderCallbacks,
    Request,
    UpstreamDisconnected,
    open_exchange,
)

HOST = "127.0.0.1"
# More than the systems of both sides hold.
BODY = b"x" * (16 << 20)
STOPPED_AFTER_S = 0.5


class StoppedPeerTest(unittest.TestCase):
    def setUp(self):
        self.held_bytes = len(BODY)
        self.taken = []
        self.first_at = None

    def drop(self, size_bytes):
        self.held_bytes -= size_bytes

    def record_taken(self, taken_bytes, now):
        self.taken.append(taken_bytes)
        self.first_at = self.first_at or now

    def find_close_reason(self, source_waited_s, now):
        return "stopped" if now - self.first_at >= STOPPED_AFTER_S else None

    async def exchange(self, address):
        callbacks = ReaderCallbacks(
            try_hold=lambda size_bytes: True,
            drop=self.drop,
            record_taken=self.record_taken,
            record_nothing_waits=lambda: None,
            find_close_reason=self.find_close_reason,
        )
        length = str(len(BODY)).encode()
        headers = ((b"host", b"x"), (b"content-length", length))
        async with open_exchange(Pool(), address) as exchange:
            exchange.reader_callbacks = callbacks
            await exchange.send(Request(b"POST", b"/", headers, BODY))
            await exchange.read_head(10.0)

    def test_exchange_ends_once_the_peer_has_stopped(self):
        with socket.create_server((HOST, 0)) as listener:
            started_at = time.monotonic()
            with self.assertRaisesRegex(UpstreamDisconnected, "stopped"):
                curio.run(self.exchange, Address(HOST, listener.getsockname()[1]))
            elapsed_s = time.monotonic() - started_at
        self.assertGreaterEqual(elapsed_s, STOPPED_AFTER_S)
        self.assertLess(elapsed_s, 5.0)
        # What the systems took is no longer held, and not all was acknowledged.
        self.assertLess(self.held_bytes, len(BODY))
        self.assertLess(max(self.taken), len(BODY))


if __name__ == "__main__":
    unittest.main()

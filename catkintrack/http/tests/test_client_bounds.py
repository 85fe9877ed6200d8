"""Bound what an upstream may send, and how long it may take, to its response's end."""

import time
import unittest

import curio

from catkintrack.http import (
    Address,
    ClientLimits,
    Pool,
    Request,
    UpstreamExchangeError,
    UpstreamResponseTooLarge,
    UpstreamTimeout,
    fetch,
)
from testkit.raw_upstreams import (
    HEAD,
    make_chunk,
    open_raw_upstream,
    send_endless,
    send_once,
    send_slowly,
)

REQUEST = Request(b"GET", b"/", ((b"host", b"x"), (b"x-request-id", b"r1")))
END = b"0\r\n\r\n"
LARGE_CHUNK = make_chunk(b"x" * 60_000)
MAX_BODY_BYTES = 1 << 20


def make_pool() -> Pool:
    return Pool(ClientLimits(max_body_bytes=MAX_BODY_BYTES))


class ResponseBoundsTest(unittest.TestCase):
    def fetch(self, address: Address, timeout_s: float = 5.0, **options):
        started_at = time.monotonic()
        try:
            return curio.run(fetch, make_pool(), address, REQUEST, timeout_s)
        finally:
            self.elapsed_s = time.monotonic() - started_at

    def test_body_without_end_is_too_large(self):
        with open_raw_upstream(send_endless(HEAD + b"\r\n", LARGE_CHUNK)) as address:
            with self.assertRaises(UpstreamResponseTooLarge):
                self.fetch(address)

    def test_body_without_framing_or_end_is_too_large(self):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        with open_raw_upstream(send_endless(head, b"x" * 60_000)) as address:
            with self.assertRaises(UpstreamResponseTooLarge):
                self.fetch(address)

    def test_head_without_end_fails(self):
        for part in (b"a: b\r\n", b"x" * 60_000):
            with open_raw_upstream(send_endless(HEAD, part)) as address:
                with self.assertRaises(UpstreamExchangeError):
                    self.fetch(address)

    def test_head_of_many_short_fields_is_too_large(self):
        for fields in (1000, 3000):
            head = HEAD + b"a:\r\n" * fields + b"\r\n"
            with open_raw_upstream(send_once(head + END)) as address:
                with self.assertRaises(UpstreamResponseTooLarge):
                    self.fetch(address)

    def test_head_of_usual_size_is_read(self):
        head = HEAD + b"x-name: some value\r\n" * 300 + b"\r\n"
        with open_raw_upstream(send_once(head + END)) as address:
            self.assertEqual(len(self.fetch(address)[0].headers), 301)

    def test_informational_responses_without_end_fail_in_time(self):
        part = b"HTTP/1.1 102 Processing\r\n\r\n" * 50
        with open_raw_upstream(send_endless(b"", part)) as address:
            with self.assertRaises(UpstreamTimeout):
                self.fetch(address, 0.3)

    def test_informational_responses_of_many_fields_are_too_large(self):
        """Guards against heads whose decoding took the event loop for 11 s."""
        part = b"HTTP/1.1 102 Processing\r\n" + b"a:\r\n" * 100 + b"\r\n"
        with open_raw_upstream(send_endless(b"", part)) as address:
            with self.assertRaises(UpstreamResponseTooLarge):
                self.fetch(address)

    def test_bytes_that_are_no_response_fail(self):
        with open_raw_upstream(send_endless(b"", b"\x00" * 60_000)) as address:
            with self.assertRaises(UpstreamExchangeError):
                self.fetch(address)

    def test_failure_does_not_quote_the_bytes_at_length(self):
        """Guards against logs and error responses that hold what a replica sent."""
        junk = b"\x01" * 15_000
        for first in (b"", b"HTTP/1.1 200 OK\r\n", HEAD + b"\r\n"):
            with open_raw_upstream(send_once(first + junk + b"\r\n\r\n")) as address:
                with self.assertRaises(UpstreamExchangeError) as caught:
                    self.fetch(address)
            self.assertLess(len(str(caught.exception)), 300)

    def test_head_that_trickles_ends_in_time(self):
        parts = [b"a"] * 40
        with open_raw_upstream(send_slowly(HEAD, parts, 0.1)) as address:
            with self.assertRaises(UpstreamTimeout):
                self.fetch(address, 0.4)
        self.assertLess(self.elapsed_s, 4.0)

    def test_body_that_trickles_ends_in_time(self):
        parts = [make_chunk(b"x")] * 40
        with open_raw_upstream(send_slowly(HEAD + b"\r\n", parts, 0.1)) as address:
            with self.assertRaises(UpstreamTimeout):
                self.fetch(address, 0.4)
        self.assertLess(self.elapsed_s, 4.0)

    def test_slow_body_within_the_timeout_is_complete(self):
        parts = [make_chunk(b"x")] * 5 + [b"0\r\n\r\n"]
        with open_raw_upstream(send_slowly(HEAD + b"\r\n", parts, 0.1)) as address:
            _, body = self.fetch(address)
        self.assertEqual(body, b"xxxxx")

    def test_other_tasks_run_while_an_upstream_sends_without_end(self):
        async def run(address: Address) -> int:
            pool = Pool(ClientLimits(max_body_bytes=64 << 20))
            task = await curio.spawn(fetch, pool, address, REQUEST, 5.0)
            ticks = 0
            while not task.terminated:
                await curio.sleep(0)
                ticks += 1
            with self.assertRaises(curio.TaskError):
                await task.join()
            return ticks

        with open_raw_upstream(send_endless(HEAD + b"\r\n", LARGE_CHUNK)) as address:
            self.assertGreater(curio.run(run, address), 10)


if __name__ == "__main__":
    unittest.main()

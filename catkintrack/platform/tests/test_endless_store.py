"""Keep a process within its memory while the store sends bytes without end."""

import tracemalloc
import unittest

import curio
from returns.result import Failure, Success

from catkintrack.platform import StoreClient, StoreUnavailable, list_objects
from testkit.raw_upstreams import HEAD, make_chunk, open_raw_upstream, send_endless

CALLS = 20
MAX_PEAK_BYTES = 64 << 20


class EndlessStoreTest(unittest.TestCase):
    def test_lists_without_end_of_many_kinds(self):
        async def run(address):
            client = StoreClient(address)
            tasks = [
                await curio.spawn(list_objects, client, f"kind{number}")
                for number in range(CALLS)
            ]
            return [await task.join() for task in tasks]

        script = send_endless(HEAD + b"\r\n", make_chunk(b"x" * 60_000))
        with open_raw_upstream(script) as address:
            tracemalloc.start()
            try:
                outcomes = curio.run(run, address)
                peak_bytes = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
        for outcome in outcomes:
            match outcome:
                case Failure(StoreUnavailable()):
                    pass
                case Success(_) | Failure(_):
                    self.fail(f"unexpected {outcome}")
        self.assertLess(peak_bytes, MAX_PEAK_BYTES)


if __name__ == "__main__":
    unittest.main()

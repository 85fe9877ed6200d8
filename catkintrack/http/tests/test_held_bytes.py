"""Bound what all responses hold together, and release it however an exchange ends."""

import unittest

import curio

from catkintrack.http import (
    ByteBudget,
    ClientLimits,
    HeldBytes,
    HttpError,
    Pool,
    Request,
    ResponseMemoryExhausted,
    UpstreamDisconnected,
    UpstreamResponseTooLarge,
    UpstreamTimeout,
    add_held,
    drop_held,
    fetch,
    hold_bytes,
    move_held,
    open_exchange,
)
from testkit.raw_upstreams import (
    HEAD,
    make_chunk,
    open_raw_upstream,
    send_and_reset,
    send_endless,
    send_once,
    send_slowly,
)

REQUEST = Request(b"GET", b"/", ((b"host", b"x"), (b"x-request-id", b"r1")))
CHUNK = make_chunk(b"x" * 10_000)
BODY_START = HEAD + b"x-request-id: r1\r\n\r\n"
WHOLE_BODY = CHUNK + b"0\r\n\r\n"
WHOLE = BODY_START + WHOLE_BODY
MAX_HELD_BYTES = 1 << 20
CALLS = 40


class BudgetTest(unittest.TestCase):
    def test_one_response_takes_a_fifth_at_most(self):
        held = HeldBytes(ByteBudget(100))
        add_held(held, 20)
        with self.assertRaises(ResponseMemoryExhausted):
            add_held(held, 1)
        self.assertEqual(held.size_bytes, 20)

    def test_responses_without_end_leave_four_parts_to_others(self):
        budget = ByteBudget(1000)
        responses = [HeldBytes(budget) for _ in range(6)]
        growing = list(responses)
        while growing:
            for held in list(growing):
                try:
                    add_held(held, 1)
                except ResponseMemoryExhausted:
                    growing.remove(held)
        self.assertGreaterEqual(budget.max_bytes - budget.held_bytes, 400)
        add_held(HeldBytes(budget), 80)

    def test_moved_bytes_outlast_their_response(self):
        budget = ByteBudget(1000)
        with hold_bytes(budget) as call:
            with hold_bytes(budget) as response:
                add_held(response, 30)
                move_held(response, call, 20)
            self.assertEqual(budget.held_bytes, 20)
            drop_held(call, 5)
            self.assertEqual(budget.held_bytes, 15)
        self.assertEqual(budget.held_bytes, 0)


class ReleaseTest(unittest.TestCase):
    def setUp(self):
        self.pool = Pool(ClientLimits(), budget=ByteBudget(MAX_HELD_BYTES))

    async def fetch(self, address, timeout_s=10.0):
        return await fetch(self.pool, address, REQUEST, timeout_s)

    def check_failure(self, script, failure, timeout_s=10.0):
        with open_raw_upstream(script) as address:
            with self.assertRaises(failure):
                curio.run(self.fetch, address, timeout_s)
        self.assertEqual(self.pool.budget.held_bytes, 0)

    def test_after_a_complete_response(self):
        async def run(address):
            async with open_exchange(self.pool, address) as exchange:
                await exchange.send(REQUEST)
                await exchange.read_head(5.0)
                body = await exchange.read_body(5.0)
                self.assertGreaterEqual(self.pool.budget.held_bytes, len(body))
            self.assertEqual(self.pool.budget.held_bytes, 0)

        with open_raw_upstream(send_once(WHOLE)) as address:
            curio.run(run, address)

    def test_discarded_body_is_not_held(self):
        async def run(address):
            async with open_exchange(self.pool, address) as exchange:
                await exchange.send(REQUEST)
                await exchange.read_head(5.0)
                await exchange.discard_body(5.0)
                # The last read only.
                self.assertLess(self.pool.budget.held_bytes, 20_000)
                self.assertTrue(exchange.is_complete())

        script = send_once(BODY_START + CHUNK * 5 + WHOLE_BODY)
        with open_raw_upstream(script) as address:
            curio.run(run, address)

    def test_on_a_connection_that_is_used_again(self):
        async def run(address):
            async with open_exchange(self.pool, address) as exchange:
                for _ in range(2):
                    await exchange.send(REQUEST)
                    await exchange.read_head(5.0)
                    await exchange.read_body(5.0)
                    exchange.reuse()
                    self.assertEqual(self.pool.budget.held_bytes, 0)

        with open_raw_upstream(send_slowly(WHOLE, [WHOLE], 0.2)) as address:
            curio.run(run, address)

    def test_after_a_body_without_end(self):
        self.check_failure(send_endless(BODY_START, CHUNK), UpstreamResponseTooLarge)

    def test_after_a_timeout(self):
        script = send_slowly(BODY_START + CHUNK, [CHUNK] * 3, 0.4)
        self.check_failure(script, UpstreamTimeout, 0.2)

    def test_after_a_reset(self):
        script = send_and_reset(BODY_START + CHUNK, 0.05)
        self.check_failure(script, UpstreamDisconnected)

    def test_after_cancellation(self):
        async def run(address):
            task = await curio.spawn(self.fetch, address)
            while self.pool.budget.held_bytes < 10_000:
                await curio.sleep(0.01)
            await task.cancel()
            self.assertEqual(self.pool.budget.held_bytes, 0)

        script = send_slowly(BODY_START + CHUNK, [CHUNK], 3.0)
        with open_raw_upstream(script) as address:
            curio.run(run, address)


class TogetherTest(unittest.TestCase):
    """Many responses without end share one bound; short ones among them go on."""

    def setUp(self):
        self.pool = Pool(ClientLimits(), budget=ByteBudget(MAX_HELD_BYTES))
        self.ended = 0

    async def fetch_until_failure(self, address):
        try:
            await fetch(self.pool, address, REQUEST, 20.0)
        except HttpError as error:
            return error
        finally:
            self.ended += 1

    def test_others_are_served_while_responses_have_no_end(self):
        async def run(endless, sound):
            tasks = [
                await curio.spawn(self.fetch_until_failure, endless)
                for _ in range(CALLS)
            ]
            most_bytes = served = 0
            while self.ended < CALLS:
                _, body = await fetch(self.pool, sound, REQUEST, 20.0, True)
                served += len(body) == 10_000
                most_bytes = max(most_bytes, self.pool.budget.held_bytes)
            errors = [await task.join() for task in tasks]
            return errors, served, most_bytes

        with (
            open_raw_upstream(send_endless(BODY_START, CHUNK)) as endless,
            open_raw_upstream(send_once(WHOLE)) as sound,
        ):
            errors, served, most_bytes = curio.run(run, endless, sound)
        for error in errors:
            self.assertIsInstance(error, ResponseMemoryExhausted)
        self.assertGreater(served, 0)
        self.assertLessEqual(most_bytes, MAX_HELD_BYTES)
        self.assertEqual(self.pool.budget.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()

"""End the calls of a stopping instance: each gets a true answer."""

import time
import unittest
from types import SimpleNamespace

import curio

from catkintrack.calls import Waiter
from catkintrack.instance.attempts import CallProgress
from catkintrack.instance.ending_calls import (
    ANSWER_S,
    bound_calls,
    end_calls,
    register_call,
)
from catkintrack.instance.refusals import CallError, NotServed, OutcomeUnknown
from testkit.instances import make_call
from testkit.states import make_instance

CALLS = 10


class EndingTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.errors = {}

    async def run_call(self, id, progress, work, has_started=False):
        """Run `work` as a registered call and record the error that ends it."""
        call = make_call(id=id)
        connection = SimpleNamespace(has_response_started=has_started)
        try:
            async with register_call(self.instance, call, progress, connection):
                await work()
        except CallError as error:
            self.errors[id] = error

    async def start(self, id, work, may_have_run=False, has_started=False):
        progress = CallProgress(time.monotonic(), may_have_run=may_have_run)
        task = await curio.spawn(self.run_call, id, progress, work, has_started)
        await curio.sleep(0)
        return task

    async def sleep_long(self):
        await curio.sleep(60)

    def test_calls_end_with_what_is_known_of_them(self):
        async def run():
            await self.start(b"queued", self.sleep_long)
            await self.start(b"running", self.sleep_long, may_have_run=True)
            await end_calls(self.instance)

        curio.run(run)
        self.assertIsInstance(self.errors[b"queued"], NotServed)
        self.assertLess(self.errors[b"queued"].retry_after_s, 0.1)
        self.assertIsInstance(self.errors[b"running"], OutcomeUnknown)
        self.assertEqual(self.instance.open_calls, set())

    def test_response_that_has_begun_may_end_by_itself(self):
        async def write():
            await curio.sleep(ANSWER_S / 2)

        async def run():
            task = await self.start(b"writing", write, True, has_started=True)
            await self.start(b"stalled", self.sleep_long, True, has_started=True)
            started_at = time.monotonic()
            await end_calls(self.instance)
            self.assertLess(time.monotonic() - started_at, ANSWER_S + 0.1)
            self.assertTrue(task.terminated)

        curio.run(run)
        self.assertEqual(self.errors, {})

    def test_call_whose_caller_has_left_is_not_answered(self):
        async def run():
            task = await self.start(b"left", self.sleep_long)
            await task.cancel()
            await end_calls(self.instance)

        curio.run(run)
        self.assertEqual(self.errors, {})
        self.assertEqual(self.instance.open_calls, set())

    def test_waiting_call_does_not_take_the_place_of_an_ended_one(self):
        waiter = Waiter()
        dispatched = []

        async def wait():
            await waiter.done.wait()
            dispatched.append("waiting")

        async def work():
            try:
                await self.sleep_long()
            finally:
                # The end of an attempt lets the scheduler dispatch a call that waits.
                await waiter.done.set()

        async def run():
            for number in range(CALLS):
                await self.start(b"waiting-%d" % number, wait)
                await self.start(b"running-%d" % number, work, may_have_run=True)
            await end_calls(self.instance)

        curio.run(run)
        self.assertEqual(dispatched, [])
        self.assertEqual(len(self.errors), 2 * CALLS)

    def test_deadlines_are_bounded(self):
        async def run():
            await self.start(b"r1", self.sleep_long)
            (open_call,) = self.instance.open_calls
            bound_calls(self.instance, 105.0)
            self.assertEqual(open_call.call.deadline_at, 105.0)
            self.assertEqual(self.instance.calls_end_at, 105.0)
            open_call.call.deadline_at = 103.0
            bound_calls(self.instance, 105.0)
            self.assertEqual(open_call.call.deadline_at, 103.0)
            await open_call.task.cancel()

        curio.run(run)


if __name__ == "__main__":
    unittest.main()

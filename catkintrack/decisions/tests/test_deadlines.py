"""Refuse queued requests that a stopping process can't dispatch in time."""

import unittest
from random import Random

from catkintrack.decisions import POLICY_BY_NAME, Refusal, submit, tick
from catkintrack.decisions.deadlines import bound_deadlines
from testkit.decision_tables import make_request, make_tables

POLICY = "catkintrack"
QUEUE_TIMEOUT_S = 10.0
UNTIL_S = 6.0


class BoundDeadlinesTest(unittest.TestCase):
    def setUp(self):
        self.assertIn(POLICY, POLICY_BY_NAME)
        self.tables = make_tables(upstreams=1, max_running=1)
        self.submit("first", 0.0)
        self.tick(0.0)

    def submit(self, id, now, **options):
        options = {"queue_timeout_s": QUEUE_TIMEOUT_S} | options
        return submit(self.tables, make_request(id, arrived_at=now, **options), now)

    def tick(self, now):
        return tick(self.tables, now, Random(1), POLICY)

    def list_refused(self, now):
        return [d.request.id for d in self.tick(now) if isinstance(d, Refusal)]

    def test_requests_that_are_queued_are_refused_at_the_bound(self):
        self.submit("queued", 0.0)
        self.submit("short", 0.0, queue_timeout_s=3.0)
        bound_deadlines(self.tables, UNTIL_S)
        self.assertEqual(self.list_refused(2.9), [])
        self.assertEqual(self.list_refused(3.0), ["short"])
        self.assertEqual(self.list_refused(UNTIL_S - 0.1), [])
        self.assertEqual(self.list_refused(UNTIL_S), ["queued"])

    def test_requests_that_come_later_are_refused_at_the_bound(self):
        bound_deadlines(self.tables, UNTIL_S)
        self.submit("late", 2.0)
        self.assertEqual(self.list_refused(UNTIL_S - 0.1), [])
        self.assertEqual(self.list_refused(UNTIL_S), ["late"])

    def test_retries_are_bounded_too(self):
        self.submit("early", 1.0, is_retry=True)
        self.submit("short", 1.0, is_retry=True, queue_timeout_s=3.0)
        bound_deadlines(self.tables, UNTIL_S)
        self.submit("late", 2.0, is_retry=True)
        deadlines = [request.deadline for request in self.tables.retries]
        self.assertEqual(deadlines, [UNTIL_S, 4.0, UNTIL_S])

    def test_request_that_would_wait_beyond_the_bound_is_refused_at_once(self):
        (row,) = self.tables.workspace_by_name.values()
        row.dispatch_interval_s = 3.0
        self.assertIsNone(self.submit("queued", 1.0))
        self.assertIsNone(self.submit("queued-2", 1.0))
        bound_deadlines(self.tables, UNTIL_S)
        self.assertIsInstance(self.submit("late", 1.0), Refusal)

    def test_request_may_be_dispatched_until_the_bound(self):
        self.submit("queued", 0.0)
        bound_deadlines(self.tables, UNTIL_S)
        self.tables.running_by_id.clear()
        for row in self.tables.upstream_by_name.values():
            row.in_flight = 0
        (decision,) = self.tick(UNTIL_S - 0.1)
        self.assertEqual((decision.request.id, decision.upstream), ("queued", "u0"))


if __name__ == "__main__":
    unittest.main()

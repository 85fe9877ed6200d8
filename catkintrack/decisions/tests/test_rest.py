"""Decide on rests that replicas ask for, whatever they ask."""

import math
import unittest
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from catkintrack.decisions import Dispatch, Refusal, RefusalReason, submit, tick
from catkintrack.decisions.ejection import is_ejected
from catkintrack.decisions.load import compute_ramp_fraction
from catkintrack.decisions.rest import (
    REST_MAX_S,
    RETURN_TRIAL_S,
    SPREAD_MAX_S,
    Rest,
    RestTable,
    begin_rest,
    bound_rest_s,
    choose_return_s,
    end_answered_rest,
    end_rest_of_earlier_life,
    find_earliest_return,
    find_rest,
    has_returned,
    is_held,
    is_resting,
    record_placed,
)
from testkit.decision_tables import make_request, make_tables
from testkit.profiles import DETERMINISTIC
from testkit.upstreams import make_upstream

STEP_S = 0.01


class RestTest(unittest.TestCase):
    def setUp(self):
        self.table = RestTable()
        self.upstream = make_upstream()

    def begin(self, seconds: float, now: float = 10.0, seed: int = 1) -> bool:
        return begin_rest(self.table, self.upstream, seconds, now, Random(seed))

    def find(self, incarnation: int = 1000) -> Rest | None:
        return find_rest(self.table, make_upstream(incarnation=incarnation))

    def test_times_that_are_no_rest(self):
        for seconds in (-1.0, -math.inf, math.nan, 0.0, -0.0):
            with self.subTest(seconds=seconds):
                self.assertFalse(self.begin(seconds))
                self.assertIsNone(self.find())

    def test_long_times_are_bounded(self):
        for seconds in (REST_MAX_S + 1, 86_400.0 * 9, math.inf):
            self.assertEqual(bound_rest_s(seconds), REST_MAX_S)
        self.begin(math.inf)
        over_at = 10.0 + REST_MAX_S + SPREAD_MAX_S + RETURN_TRIAL_S
        self.assertFalse(is_held(self.find(), over_at))
        self.assertTrue(has_returned(self.find(), over_at))

    @DETERMINISTIC
    @given(st.floats(allow_nan=True, allow_infinity=True), st.integers(0, 99))
    def test_no_time_shuts_a_replica_out_for_good(self, seconds, seed):
        table = RestTable()
        begin_rest(table, self.upstream, seconds, 10.0, Random(seed))
        rest = find_rest(table, self.upstream)
        over_at = 10.0 + REST_MAX_S + SPREAD_MAX_S + RETURN_TRIAL_S
        self.assertFalse(is_held(rest, over_at))

    @DETERMINISTIC
    @given(st.floats(0.001, REST_MAX_S), st.integers(0, 99))
    def test_nothing_is_sent_before_the_stated_end(self, seconds, seed):
        table = RestTable()
        self.assertTrue(begin_rest(table, self.upstream, seconds, 10.0, Random(seed)))
        rest = find_rest(table, self.upstream)
        for now in (10.0, 10.0 + seconds / 2, math.nextafter(10.0 + seconds, 0)):
            self.assertTrue(is_resting(rest, now))
            self.assertTrue(is_held(rest, now))
        self.assertFalse(is_resting(rest, 10.0 + seconds + SPREAD_MAX_S))

    def test_instances_return_at_different_times(self):
        times = set()
        for seed in range(50):
            self.setUp()
            self.begin(4.0, seed=seed)
            times.add(round(self.find().returns_at, 1))
        self.assertGreaterEqual(len(times), 8)
        self.assertGreater(max(times) - min(times), 0.8 * SPREAD_MAX_S)

    def test_one_request_goes_first_and_its_answer_opens_the_replica(self):
        self.begin(2.0)
        rest = self.find()
        at = rest.returns_at
        self.assertFalse(is_held(rest, at))
        record_placed(rest, at)
        self.assertTrue(is_held(rest, at + STEP_S))
        self.assertFalse(is_resting(rest, at + STEP_S))
        # The answer to a request from before the rest proves nothing.
        self.assertIsNone(end_answered_rest(self.table, self.upstream, 9.0))
        self.assertIs(end_answered_rest(self.table, self.upstream, at), rest)
        self.assertIsNone(self.find())

    def test_first_request_without_an_answer_holds_the_others_for_a_bounded_time(self):
        self.begin(2.0)
        rest = self.find()
        record_placed(rest, rest.returns_at)
        self.assertFalse(is_held(rest, rest.returns_at + RETURN_TRIAL_S))

    def test_several_answers_make_one_rest_up_to_the_latest_end(self):
        self.assertTrue(self.begin(2.0))
        self.assertFalse(self.begin(1.0, 10.1))
        self.assertEqual(self.find().ends_at, 12.0)
        self.assertFalse(self.begin(2.0, 10.2))
        self.assertEqual(self.find().ends_at, 12.2)

    def test_rest_after_the_return_is_a_new_one(self):
        self.begin(2.0)
        at = self.find().returns_at
        record_placed(self.find(), at)
        self.assertTrue(self.begin(3.0, at + STEP_S))
        self.assertTrue(is_resting(self.find(), at + 3.0))

    def test_new_life_does_not_rest(self):
        self.begin(5.0)
        self.assertIsNone(self.find(2000))
        self.assertIsNotNone(self.find(900))
        newer = make_upstream(incarnation=2000)
        self.assertTrue(end_rest_of_earlier_life(self.table, newer, 11.0))
        self.assertFalse(end_rest_of_earlier_life(self.table, newer, 11.1))
        rest = self.find(2000)
        self.assertFalse(is_held(rest, 11.0))
        record_placed(rest, 11.0)
        self.assertTrue(is_held(rest, 11.0 + STEP_S))
        self.assertFalse(is_held(rest, 11.0 + RETURN_TRIAL_S))

    def test_late_word_of_an_earlier_life_changes_nothing(self):
        newer = make_upstream(incarnation=2000)
        begin_rest(self.table, newer, 1.0, 10.0, Random(1))
        self.assertFalse(self.begin(9.0))
        self.assertEqual(find_rest(self.table, newer).ends_at, 11.0)

    def test_earliest_return_only_if_all_rest(self):
        first, second = Rest(1, 12.0, 12.5), Rest(1, 11.0, 11.2)
        self.assertEqual(find_earliest_return([first, second], 10.0), 11.2)
        self.assertIsNone(find_earliest_return([first, None], 10.0))
        self.assertIsNone(find_earliest_return([first, second], 11.3))
        self.assertIsNone(find_earliest_return([], 10.0))

    @DETERMINISTIC
    @given(st.floats(0.0, 60.0), st.floats(0.0, 60.0), st.integers(0, 99))
    def test_callers_come_back_after_the_return_within_their_deadline(
        self, wait_s, left_s, seed
    ):
        now = 10.0
        returns_at, deadline_at = now + wait_s, now + left_s
        chosen_s = choose_return_s(returns_at, deadline_at, now, Random(seed))
        self.assertGreaterEqual(chosen_s, wait_s - 1e-9)
        self.assertLessEqual(chosen_s, wait_s + SPREAD_MAX_S)
        if returns_at < deadline_at:
            self.assertLessEqual(chosen_s, deadline_at - now + 1e-9)

    def test_refused_callers_are_spread(self):
        rng = Random(3)
        times = {round(choose_return_s(12.0, 20.0, 10.0, rng), 2) for _ in range(50)}
        self.assertGreater(len(times), 20)


class SchedulingTest(unittest.TestCase):
    """Place requests on the replicas u0, u1 and u2, of which some rest."""

    def setUp(self):
        self.tables = make_tables()
        self.tables.retry_budget = None

    def rest(self, id: str, seconds: float = 2.0, now: float = 10.0) -> None:
        upstream = make_upstream(id)
        begin_rest(self.tables.rests, upstream, seconds, now, Random(1))
        row = self.tables.upstream_by_name[id]
        row.rest = find_rest(self.tables.rests, upstream)

    def tick(self, now: float) -> list:
        return tick(self.tables, now, Random(1), "catkintrack")

    def submit(self, id: str, now: float, **options) -> None:
        request = make_request(id, arrived_at=now, **options)
        self.assertIsNone(submit(self.tables, request, now))

    def test_waiting_work_goes_elsewhere(self):
        self.rest("u0")
        self.rest("u1")
        for number in range(4):
            self.submit(f"r{number}", 10.0)
        upstreams = {decision.upstream for decision in self.tick(10.0)}
        self.assertEqual(upstreams, {"u2"})

    def test_all_resting_refuses_at_once_even_when_all_windows_are_full(self):
        for id in ("u0", "u1", "u2"):
            self.rest(id, 3.0)
            self.tables.upstream_by_name[id].in_flight = 99
        self.submit("r1", 10.0)
        self.submit("r2", 10.0, is_retry=True)
        refusals = self.tick(10.0)
        self.assertEqual(len(refusals), 2)
        for refusal in refusals:
            self.assertIsInstance(refusal, Refusal)
            self.assertEqual(refusal.reason, RefusalReason.RESTING)
            self.assertGreaterEqual(refusal.retry_after_s, 3.0)
        self.assertEqual(self.tables.waiting_count, 0)

    def test_started_response_waits_for_a_return_before_its_deadline(self):
        for id in ("u0", "u1", "u2"):
            self.rest(id, 3.0)
        for id, timeout_s in (("long", 9.0), ("short", 1.0)):
            request = make_request(
                id, arrived_at=10.0, is_retry=True, queue_timeout_s=timeout_s
            )
            submit(self.tables, replace(request, has_started=True), 10.0)
        (refusal,) = self.tick(10.0)
        self.assertEqual(refusal.request.id, "short")
        (dispatch,) = self.tick(10.0 + 3.0 + SPREAD_MAX_S)
        self.assertIsInstance(dispatch, Dispatch)

    def test_return_lets_one_request_through_then_all(self):
        self.tables = make_tables(1, max_running=32)
        self.tables.retry_budget = None
        self.rest("u0")
        row = self.tables.upstream_by_name["u0"]
        at = row.rest.returns_at
        for number in range(8):
            self.submit(f"r{number}", at)
        self.assertEqual(len(self.tick(at)), 1)
        self.assertEqual(self.tick(at + STEP_S), [])
        end_answered_rest(self.tables.rests, make_upstream("u0"), at)
        row.rest = None
        self.assertEqual(len(self.tick(at + 2 * STEP_S)), 7)

    def test_rest_is_no_sign_of_ill_health(self):
        self.rest("u0")
        row = self.tables.upstream_by_name["u0"]
        self.assertFalse(is_ejected(row, 10.0))
        after = row.rest.returns_at + RETURN_TRIAL_S
        self.assertEqual(compute_ramp_fraction(row, after), 1.0)


if __name__ == "__main__":
    unittest.main()

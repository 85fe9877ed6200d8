"""Replay roll-outs of good and bad versions over fleets that lose messages and processes."""

import math
import unittest
from dataclasses import dataclass, field
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from catkintrack.fleet import RolloutOrder, RolloutState
from catkintrack.rollouts import (
    Exposure,
    Fleet,
    Phase,
    Plan,
    Verdict,
    add_answer,
    advance,
    find_fault,
    find_share,
    judge,
    merge_counts,
    record_sent,
    reserve,
    review,
    unreserve,
)
from testkit.profiles import DETERMINISTIC

ROUTES = ("quotes", "orders", "rare")
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
DURATION_S = 30.0
STEP_S = 0.25
GRANT_S = 1.5
USUAL_S = 0.05


@dataclass
class Process:
    """Hold one instance: its exposure, its counts and the phase it was granted."""

    exposure: Exposure = field(default_factory=Exposure)
    counts: dict = field(default_factory=dict)
    phase: Phase = Phase.PROVING
    phase_since: float = 0.0
    granted_at: float = -math.inf


@dataclass
class Outcome:
    """Hold how a roll-out ended and what callers of the new version saw."""

    state: RolloutState
    ended_at: float
    worst_excess: float
    bad_at: list[float]
    last_new_at: float


def answer_well(route, now, rng):
    """Return the time of a good answer."""
    return USUAL_S * rng.lognormvariate(0, 0.4)


def make_bad(kind, share=0.3):
    """Return the answers of a bad version; they are None if it failed."""

    def answer(route, now, rng):
        is_due = {"failing": True, "slow": True, "one route": route == "orders"}
        if not is_due.get(kind, now > 0.5 * DURATION_S) or rng.random() > share:
            return answer_well(route, now, rng)
        return 4 * answer_well(route, now, rng) if kind == "slow" else None

    return answer


def roll_out(answer, instances, calls_per_s, seed, loss=0.0, kills=0, holder_gap=()):
    """Run a roll-out to its end, with all instances and their one holder.

    In `holder_gap`, from and until when, no instance holds the lease.
    """
    rng = Random(seed)
    processes = [Process() for _ in range(instances)]
    known, ended, total = {}, [], {}
    order = RolloutOrder("app", "v2", DURATION_S)
    plan, standby = Plan(order, 0.0), Plan(order, 0.0)
    kill_at = {rng.randrange(int(DURATION_S / STEP_S)) for _ in range(kills)}
    sent, exposed, worst, bad_at, last_new = 0, 0, -math.inf, [], -math.inf
    is_unproven = True
    for step in range(int(1.5 * DURATION_S / STEP_S)):
        now = step * STEP_S
        if step in kill_at:
            index = rng.randrange(instances)
            # Kept, since its counts are known by its identity.
            ended.append(processes[index])
            processes[index] = Process()
        for _ in range(round(calls_per_s * STEP_S)):
            process = rng.choice(processes)
            route = rng.choices(ROUTES, (10, 5, 1))[0]
            is_granted = now - process.granted_at < GRANT_S
            is_granted = is_granted and standby.verdict is not Verdict.BAD
            age = now - process.phase_since
            share = find_share(process.phase, age, EXPOSURE_SHARE) * is_granted
            if process.phase is Phase.PROVING:
                is_new = reserve(process.exposure, share)
            else:
                is_new = rng.random() < share
            if is_new:
                unreserve(process.exposure)
            if process.phase is Phase.PROVING:
                assert record_sent(process.exposure, is_new, share)
            found = answer(route, now, rng) if is_new else answer_well(route, now, rng)
            add_answer(process.counts, route, is_new, found)
            sent, exposed = sent + 1, exposed + is_new
            if is_new:
                last_new = now
                if found is None or found > 3 * USUAL_S:
                    bad_at.append(now)
            if is_unproven:
                worst = max(worst, exposed - EXPOSURE_SHARE * sent)
        for process in processes:
            if rng.random() >= loss:
                merge_counts(known.setdefault(id(process), {}), process.counts, total)
        review(standby, total, now)
        if holder_gap and holder_gap[0] <= now < holder_gap[1]:
            continue
        if holder_gap and now == holder_gap[1]:
            # Another process holds the lease, which has judged and been granted all along.
            last = max(processes, key=lambda process: process.phase)
            plan = standby
            plan.phase, plan.phase_since = last.phase, last.phase_since
        if plan.state is RolloutState.RUNNING:
            is_drained = all(p.phase is Phase.DRAINING for p in processes)
            advance(plan, total, Fleet(True, True, is_drained), now)
            is_unproven = is_unproven and plan.phase is Phase.PROVING
        if plan.state is not RolloutState.RUNNING:
            for process in processes:
                process.granted_at = -math.inf
            return Outcome(plan.state, now, worst, bad_at, last_new)
        for process in processes:
            if rng.random() >= loss:
                process.granted_at = now
                process.phase, process.phase_since = plan.phase, plan.phase_since
    return Outcome(plan.state, now, worst, bad_at, last_new)


class RollOutTest(unittest.TestCase):
    """Roll versions out over 6 and 82 instances that lose messages and processes."""

    def check_exposure(self, outcome):
        self.assertLessEqual(outcome.worst_excess, 0.0)

    @settings(DETERMINISTIC, max_examples=12)
    @given(
        st.sampled_from((6, 82)),
        st.integers(0, 10**6),
        st.sampled_from((0.0, 0.3, 0.6)),
        st.integers(0, 4),
        st.sampled_from(((), (4.0, 8.0), (14.0, 18.0))),
    )
    def test_good_version_is_completed_in_time(self, count, seed, loss, kills, gap):
        outcome = roll_out(answer_well, count, 400, seed, loss, kills, gap)
        self.assertEqual(outcome.state, RolloutState.COMPLETED)
        self.assertLessEqual(outcome.ended_at, DURATION_S)
        self.check_exposure(outcome)

    @settings(DETERMINISTIC, max_examples=16)
    @given(
        st.sampled_from(("failing", "slow", "one route", "later")),
        st.sampled_from((6, 82)),
        st.integers(0, 10**6),
        st.sampled_from((0.0, 0.3, 0.6)),
        st.integers(0, 4),
        st.sampled_from(((), (2.0, 6.0), (17.0, 21.0))),
    )
    def test_bad_version_is_rolled_back(self, kind, count, seed, loss, kills, gap):
        outcome = roll_out(make_bad(kind), count, 400, seed, loss, kills, gap)
        self.assertEqual(outcome.state, RolloutState.ROLLED_BACK)
        if len(outcome.bad_at) >= 50:
            self.assertLessEqual(outcome.last_new_at, outcome.bad_at[49] + ROLLBACK_S)
        self.check_exposure(outcome)

    def test_version_that_few_callers_ask_for_is_completed(self):
        outcome = roll_out(answer_well, 6, 12, 1)
        self.assertEqual(outcome.state, RolloutState.COMPLETED)

    def test_version_that_moves_late_is_completed_in_time(self):
        """A suspicion of 2.5 s delayed the move, and a peer has been silent since."""
        began_at = DURATION_S - 3.0
        plan = Plan(RolloutOrder("app", "v2", DURATION_S), 0.0, Phase.MOVING, began_at)
        for step in range(math.floor(2.0 / STEP_S) + 1):
            advance(plan, {}, Fleet(True, True, False), began_at + step * STEP_S)
        self.assertIs(plan.state, RolloutState.COMPLETED)

    def test_version_whose_replicas_are_gone_is_not_completed(self):
        plan = Plan(RolloutOrder("app", "v2", DURATION_S), 0.0, Phase.DRAINING, 20.0)
        for now in (25.0, DURATION_S):
            advance(plan, {}, Fleet(False, True, True), now)
            self.assertIsNot(plan.state, RolloutState.COMPLETED)
        self.assertIs(plan.state, RolloutState.ROLLED_BACK)

    def test_version_without_answers_is_rolled_back(self):
        outcome = roll_out(answer_well, 6, 0, 1)
        self.assertEqual(outcome.state, RolloutState.ROLLED_BACK)


def look_at(counts):
    """Return the verdict on counts by themselves."""
    return Verdict.BAD if find_fault(counts, {}) else judge(counts)[0]


class SuspicionTest(unittest.TestCase):
    """Review a version of which many answers fail at one moment."""

    def review_after(self, answers):
        """Count 20 failures in 1,000 answers, then `answers`; return the last verdict."""
        plan = Plan(RolloutOrder("app", "v2", DURATION_S), 0.0)
        counts = {}
        for _ in range(1000):
            add_answer(counts, "quotes", False, USUAL_S)
        for _ in range(100):
            add_answer(counts, "quotes", True, USUAL_S)
        for _ in range(20):
            add_answer(counts, "quotes", True, None)
        self.assertIs(review(plan, counts, 10.0), Verdict.UNKNOWN)
        self.assertIsNotNone(plan.suspicion)
        review(plan, counts, 11.0)
        for answer in answers:
            add_answer(counts, "quotes", True, answer)
        for now in (12.5, 12.75, 19.0):
            review(plan, counts, now)
        return plan.verdict

    def test_calls_that_one_crash_has_cut_are_no_reason_to_roll_back(self):
        self.assertIsNot(self.review_after([USUAL_S] * 60), Verdict.BAD)

    def test_failures_that_go_on_are(self):
        self.assertIs(self.review_after([USUAL_S, None] * 30), Verdict.BAD)

    def test_version_that_answers_no_more_is_bad(self):
        self.assertIs(self.review_after([]), Verdict.BAD)


class MovingTest(unittest.TestCase):
    """Review a version that gets all calls, so that none of the old one shows what is usual."""

    def review_moving(self, answer):
        plan = Plan(RolloutOrder("app", "v2", DURATION_S), 0.0)
        counts = {}
        for index in range(2000):
            add_answer(counts, "quotes", index % 10 == 0, USUAL_S)
        plan.phase, plan.phase_since = Phase.MOVING, 10.0
        for now in (12.0, 13.0, 14.5, 15.0):
            for _ in range(100):
                add_answer(counts, "quotes", True, answer)
            review(plan, counts, now)
        return plan.verdict

    def test_service_that_is_slow_as_a_whole_is_no_reason_to_roll_back(self):
        self.assertIsNot(self.review_moving(4 * USUAL_S), Verdict.BAD)

    def test_version_that_fails_is_rolled_back_also_then(self):
        self.assertIs(self.review_moving(None), Verdict.BAD)


class VerdictTest(unittest.TestCase):
    """Judge counts."""

    def count(self, seed, answer, number=300):
        rng = Random(seed)
        counts = {}
        verdicts = []
        for index in range(10 * number):
            is_new = index % 10 == 0
            found = (answer if is_new else answer_well)("quotes", 0.0, rng)
            add_answer(counts, "quotes", is_new, found)
            if index % 200 == 199:
                verdicts.append(look_at(counts))
        return verdicts

    def test_good_versions_are_never_called_bad_however_often_judged(self):
        for seed in range(60):
            verdicts = self.count(seed, answer_well)
            self.assertNotIn(Verdict.BAD, verdicts)
            self.assertIs(verdicts[-1], Verdict.GOOD)

    def test_versions_with_a_tenth_of_bad_answers_are_never_called_good(self):
        for seed in range(60):
            for kind in ("failing", "slow"):
                verdicts = self.count(seed, make_bad(kind, 0.15))
                self.assertNotIn(Verdict.GOOD, verdicts)
                self.assertIs(verdicts[-1], Verdict.BAD)

    def test_what_disturbs_both_versions_is_no_reason_to_roll_back(self):
        def fail_often(route, now, rng):
            return None if rng.random() < 0.2 else answer_well(route, now, rng)

        for seed in range(20):
            rng = Random(seed)
            counts = {}
            for index in range(4000):
                found = fail_often("quotes", 0.0, rng)
                add_answer(counts, "quotes", index % 10 == 0, found)
            self.assertIsNot(look_at(counts), Verdict.BAD)

    def test_counts_that_come_twice_and_out_of_order_count_once(self):
        early, late = {}, {}
        add_answer(early, "quotes", True, 0.1)
        add_answer(late, "quotes", True, 0.1)
        add_answer(late, "quotes", True, None)
        merged, total = {}, {}
        for counts in (late, early, late):
            merge_counts(merged, counts, total)
        self.assertEqual(merged, late)
        self.assertEqual(total, late)


if __name__ == "__main__":
    unittest.main()

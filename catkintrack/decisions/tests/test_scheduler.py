"""Test scheduling invariants under arbitrary orders of events, and placement."""

import unittest
from random import Random

import hypothesis.strategies as st
from hypothesis import given, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from catkintrack import decisions
from catkintrack.decisions import CacheScope, Dispatch, LoadRow, hash_prefix
from catkintrack.decisions.prefix import find_affinity_depth
from catkintrack.decisions.residency import add_cached_blocks, find_cached_depths
from testkit.decision_tables import make_blocks, make_request, make_tables
from testkit.profiles import DETERMINISTIC

WORKSPACES = ("w1", "w2", "w3")
UPSTREAMS = ("u0", "u1", "u2")


class SchedulerMachine(RuleBasedStateMachine):
    """Submit, dispatch, end and fail requests while upstreams leave and restart."""

    def __init__(self):
        super().__init__()
        self.tables = make_tables(weights={"w1": 1.0, "w2": 1.0, "w3": 4.0})
        self.rng = Random(1)
        self.now = 0.0
        self.next_id = 0
        self.waiting = {}
        self.running = {}
        self.incarnations = dict.fromkeys(UPSTREAMS, 1)

    @rule(workspace=st.sampled_from(WORKSPACES), seed=st.integers(0, 3))
    def submit(self, workspace, seed):
        self.next_id += 1
        blocks = make_blocks(hash(workspace) % 97 * 10 + seed, 6)
        request = make_request(
            f"r{self.next_id}", workspace, blocks, self.now, queue_timeout_s=5.0
        )
        if decisions.submit(self.tables, request, self.now) is None:
            self.waiting[request.id] = request

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.4, 3.0]))
    def tick(self, seconds):
        self.now += seconds
        for decision in decisions.tick(self.tables, self.now, self.rng, "catkintrack"):
            request = self.waiting.pop(decision.request.id)
            if isinstance(decision, Dispatch):
                row = self.tables.upstream_by_name[decision.upstream]
                assert not row.is_leaving, "request dispatched to a leaving upstream"
                assert request.model in row.models
                self.running[request.id] = decision.upstream
            else:
                assert decision.retry_after_s > 0

    @rule(index=st.integers(0, 20), is_failed=st.booleans())
    def finish(self, index, is_failed):
        if not self.running:
            return
        request_id = sorted(self.running)[index % len(self.running)]
        upstream = self.running.pop(request_id)
        if is_failed:
            decisions.record_failure(self.tables, request_id, self.now, False)
            return
        incarnation = f"{upstream}.{self.incarnations[upstream]}"
        decisions.record_first_token(self.tables, request_id, incarnation, self.now)
        decisions.record_end(self.tables, request_id, self.now)

    @rule(upstream=st.sampled_from(UPSTREAMS), is_leaving=st.booleans())
    def set_leaving(self, upstream, is_leaving):
        self.tables.upstream_by_name[upstream].is_leaving = is_leaving

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def crash(self, upstream):
        self.incarnations[upstream] += 1
        incarnation = f"{upstream}.{self.incarnations[upstream]}"
        report = LoadRow(incarnation, 0, 0, 0, False, self.now + 5.0)
        self.now += 5.0
        decisions.apply_load(self.tables, {upstream: report}, self.now)

    @rule(upstream=st.sampled_from(UPSTREAMS), age=st.integers(0, 3))
    def apply_late_events(self, upstream, age):
        """Apply delayed cache events of the current or a past incarnation."""
        incarnation = max(1, self.incarnations[upstream] - age)
        block = 10_000_000 + incarnation
        decisions.apply_cache_events(
            self.tables,
            upstream,
            f"{upstream}.{incarnation}",
            False,
            [block],
            [],
            self.now,
        )

    @invariant()
    def no_request_is_lost(self):
        assert self.tables.waiting_count == len(self.waiting)
        assert set(self.tables.running_by_id) == set(self.running)

    @invariant()
    def counts_are_exact(self):
        for name, row in self.tables.upstream_by_name.items():
            assert row.in_flight == sum(u == name for u in self.running.values())
            assert row.small_prefill_tokens >= 0
        pending = self.tables.prefills
        for tokens in pending.tokens_by_priority_by_upstream.values():
            assert all(count >= 0 for count in tokens.values())
        assert set(pending.id_by_block.values()) <= set(pending.prefill_by_id)

    @invariant()
    def no_block_is_credited_to_a_past_incarnation(self):
        for name, row in self.tables.upstream_by_name.items():
            if (
                row.incarnation
                and row.incarnation != f"{name}.{self.incarnations[name]}"
            ):
                continue
            for incarnation in range(1, self.incarnations[name]):
                mask = self.tables.residency.holders_by_block.get(
                    10_000_000 + incarnation, 0
                )
                assert not mask >> row.bit_index & 1, (
                    "block of a past incarnation is still credited"
                )

    @invariant()
    def load_is_bounded(self):
        for row in self.tables.upstream_by_name.values():
            window = max(1, round(row.max_running * 1.25))
            assert row.in_flight <= max(window, row.max_running)


class SchedulerTest(unittest.TestCase):
    def test_invariants_hold(self):
        run_state_machine_as_test(
            SchedulerMachine,
            settings=settings(DETERMINISTIC, max_examples=120, stateful_step_count=60),
        )

    def test_scheduling_is_work_conserving(self):
        """Guards against an idle upstream while requests that it could run wait."""
        tables = make_tables(upstreams=2, max_running=2)
        for number in range(6):
            decisions.submit(tables, make_request(f"r{number}"), 0.0)
        taken = decisions.tick(tables, 0.0, Random(1), "catkintrack")
        names = {decision.upstream for decision in taken}
        self.assertEqual(names, {"u0", "u1"})

    @given(st.integers(0, 1000))
    @settings(DETERMINISTIC, max_examples=30)
    def test_workspaces_share_a_saturated_upstream_by_weight(self, seed):
        """Guards against starvation beside a workspace of four times the weight."""
        tables = make_tables(1, 1, {"free": 1.0, "paid": 4.0})
        served = {"free": 0, "paid": 0}
        rng = Random(seed)
        now = 0.0
        number = 0
        for _ in range(200):
            for workspace in ("free", "paid"):
                while len(tables.workspace_by_name[workspace].waiting) < 5:
                    number += 1
                    request = make_request(
                        f"r{number}", workspace, (), now, 1e6, prompt_tokens=100
                    )
                    decisions.submit(tables, request, now)
            for decision in decisions.tick(tables, now, rng, "catkintrack"):
                served[decision.request.workspace] += 1
                now += 0.1
                decisions.record_first_token(tables, decision.request.id, "a", now)
                decisions.record_end(tables, decision.request.id, now)
        self.assertGreater(served["free"], 0.15 * sum(served.values()))
        self.assertGreater(served["paid"], 0.7 * sum(served.values()))

    @given(st.integers(0, 10_000), st.integers(2, 40))
    @settings(DETERMINISTIC)
    def test_instances_place_the_same_cold_prefix_alike(self, seed, count):
        """Guards against instances that place the same cold prefix differently.

        Their random numbers must not matter.
        """
        chosen = set()
        for instance in range(4):
            tables = make_tables(upstreams=5)
            request = make_request("r", blocks=make_blocks(seed, count))
            decisions.submit(tables, request, 0.0)
            rng = Random(instance)
            (decision,) = decisions.tick(tables, 0.0, rng, "catkintrack")
            chosen.add(decision.upstream)
        self.assertEqual(len(chosen), 1)

    def test_prefixes_of_a_lost_upstream_spread_over_the_rest(self):
        def place(excluded):
            upstream_by_seed = {}
            for seed in range(300):
                tables = make_tables(upstreams=5)
                request = make_request(
                    "r", blocks=make_blocks(seed, 8), excluded=excluded
                )
                decisions.submit(tables, request, 0.0)
                (taken,) = decisions.tick(tables, 0.0, Random(0), "catkintrack")
                upstream_by_seed[seed] = taken.upstream
            return upstream_by_seed

        before = place(frozenset())
        after = place(frozenset({"u0"}))
        new_upstreams = [after[seed] for seed in before if before[seed] == "u0"]
        unaffected = [seed for seed in before if before[seed] != "u0"]
        self.assertTrue(all(after[seed] == before[seed] for seed in unaffected))
        for name in ("u1", "u2", "u3", "u4"):
            self.assertGreater(new_upstreams.count(name), len(new_upstreams) / 10)

    def test_hot_prefix_is_replicated_under_load_only(self):
        tables = make_tables(upstreams=4, max_running=4)
        blocks = make_blocks(1, 20)
        rng = Random(2)
        chosen = []
        for number in range(12):
            decisions.submit(tables, make_request(f"r{number}", blocks=blocks), 0.0)
        now = 0.0
        for _ in range(40):
            for decision in decisions.tick(tables, now, rng, "catkintrack"):
                chosen.append(decision.upstream)
                decisions.record_first_token(
                    tables, decision.request.id, decision.upstream, now
                )
            now += 0.05
        self.assertEqual(len(chosen), 12)
        self.assertGreater(len(set(chosen)), 1)
        for number in range(12):
            decisions.record_end(tables, f"r{number}", now)
        for number in range(8):
            request = make_request(f"s{number}", blocks=blocks, arrived_at=now)
            decisions.submit(tables, request, now)
            (taken,) = decisions.tick(tables, now, rng, "catkintrack")
            self.assertEqual(taken.upstream, chosen[0])
            decisions.record_first_token(tables, taken.request.id, chosen[0], now)
            decisions.record_end(tables, taken.request.id, now)

    def test_returned_upstream_ramps_up(self):
        tables = make_tables(upstreams=2, max_running=16)
        row = tables.upstream_by_name["u0"]
        row.ramp_started_at = 0.0
        for number in range(40):
            decisions.submit(tables, make_request(f"r{number}"), 0.0)
        decisions.tick(tables, 0.0, Random(1), "catkintrack")
        self.assertLessEqual(row.in_flight, 6)

    def test_request_that_cannot_start_in_time_is_refused_at_once(self):
        tables = make_tables(upstreams=1, max_running=1)
        workspace = tables.workspace_by_name["w1"]
        workspace.dispatch_interval_s = 2.0
        for number in range(3):
            decisions.submit(tables, make_request(f"r{number}", queue_timeout_s=9), 0.0)
        refusal = decisions.submit(tables, make_request("late", queue_timeout_s=5), 0.0)
        self.assertIs(refusal.reason, decisions.RefusalReason.DEADLINE)
        self.assertGreaterEqual(refusal.retry_after_s, 1.0)

    def test_retries_are_refused_beyond_their_budget(self):
        tables = make_tables()
        taken = 0
        for number in range(50):
            request = make_request(f"r{number}", is_retry=True)
            taken += decisions.submit(tables, request, 0.0) is None
        self.assertEqual(taken, 10)

    def test_ejected_upstream_is_probed_by_a_single_request(self):
        tables = make_tables(upstreams=1)
        decisions.submit(tables, make_request("r0"), 0.0)
        decisions.tick(tables, 0.0, Random(1), "catkintrack")
        decisions.record_failure(tables, "r0", 0.0, True)
        for number in range(1, 4):
            decisions.submit(tables, make_request(f"r{number}"), 0.1)
        self.assertEqual(decisions.tick(tables, 0.1, Random(1), "catkintrack"), [])
        taken = decisions.tick(tables, 1.0, Random(1), "catkintrack")
        self.assertEqual(len(taken), 1)

    def test_request_waits_for_a_prefill_of_its_prefix(self):
        tables = make_tables(upstreams=3, max_running=16)
        blocks = make_blocks(5, 20)
        decisions.record_remote_prefill(tables, "other", "u2", blocks, 5000, 5, 0.0)
        decisions.submit(tables, make_request("r", blocks=blocks), 0.0)
        self.assertEqual(decisions.tick(tables, 0.0, Random(1), "catkintrack"), [])
        decisions.record_remote_prefill_end(tables, "other", "life", 0.5)
        (taken,) = decisions.tick(tables, 0.5, Random(1), "catkintrack")
        self.assertEqual((taken.upstream, taken.uncached_tokens), ("u2", 10))

    def test_lost_prefill_end_delays_requests_for_a_bounded_time(self):
        tables = make_tables(upstreams=3)
        blocks = make_blocks(5, 20)
        decisions.record_remote_prefill(tables, "other", "u2", blocks, 5000, 5, 0.0)
        decisions.submit(tables, make_request("r", blocks=blocks), 0.0)
        self.assertTrue(decisions.tick(tables, 4.0, Random(1), "catkintrack"))


class PrefixTest(unittest.TestCase):
    @given(st.binary(max_size=5000), st.binary(max_size=3000), st.binary(max_size=3000))
    @settings(DETERMINISTIC)
    def test_equal_hashes_mean_equal_prefixes(self, shared, one, other):
        scope = CacheScope("w1", "m1", "v1")
        first = hash_prefix(scope, shared + one)
        second = hash_prefix(scope, shared + other)
        for depth, (a, b) in enumerate(zip(first, second, strict=False), 1):
            end = 1024 * depth
            same = (shared + one)[:end] == (shared + other)[:end]
            self.assertEqual(a == b, same)

    @given(
        st.tuples(st.text(max_size=3), st.text(max_size=3), st.text(max_size=3)),
        st.tuples(st.text(max_size=3), st.text(max_size=3), st.text(max_size=3)),
    )
    @settings(DETERMINISTIC)
    def test_block_hashes_differ_between_scopes(self, one, other):
        if one == other or "\0" in "".join(one + other):
            return
        prompt = b"x" * 4096
        first = set(hash_prefix(CacheScope(*one), prompt))
        self.assertFalse(first & set(hash_prefix(CacheScope(*other), prompt)))

    @given(st.integers(1, 500))
    @settings(DETERMINISTIC)
    def test_affinity_depth_covers_most_blocks(self, count):
        depth = find_affinity_depth(count)
        self.assertLessEqual(depth, count)
        self.assertGreater(depth, (count - 1) * 0.6 - 1)

    def test_cached_depth_is_that_of_the_deepest_cached_block(self):
        residency = decisions.Residency()
        blocks = make_blocks(1, 10)
        add_cached_blocks(residency, 0, blocks[:4])
        add_cached_blocks(residency, 2, blocks)
        self.assertEqual(find_cached_depths(residency, blocks), {0: 4, 2: 10})


if __name__ == "__main__":
    unittest.main()

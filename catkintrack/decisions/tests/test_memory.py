"""Test the estimate of the memory that requests hold at a replica."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from catkintrack.decisions import Dispatch, submit, tick
from catkintrack.decisions.load import has_capacity, record_load_report
from catkintrack.decisions.memory import (
    add_own_run,
    estimate_memory_tokens,
    estimate_memory_wait_s,
    expire_remote_runs,
    has_memory,
    remove_own_run,
)
from catkintrack.decisions.placement import place_by_cost
from catkintrack.decisions.scheduler import (
    drop_upstream,
    put_upstream,
    record_end,
    record_first_token,
    record_remote_prefill,
    record_remote_prefill_end,
    set_incarnation,
)
from catkintrack.decisions.speeds import enable_speeds
from testkit.loads import make_long_request, make_site_tables
from testkit.profiles import DETERMINISTIC

HELD = 512 + 4870 + 6610 + 160
MEMORY_TOKENS = 247_000


def make_tables(upstreams=1):
    tables = make_site_tables(upstreams=upstreams, zones=1)
    for row in tables.upstream_by_name.values():
        row.max_running = 64
        row.incarnation = "life"
        row.memory_tokens = MEMORY_TOKENS
    enable_speeds(tables)
    return tables


def begin_remote(tables, id, now, upstream="u0"):
    record_remote_prefill(tables, id, upstream, (), 6610, 1, now, HELD, 160)


class MemoryTest(unittest.TestCase):
    """Guard against storms of preempted runs in engines whose memory is full."""

    def test_no_more_long_requests_run_than_fit(self):
        tables = make_tables()
        row = tables.upstream_by_name["u0"]
        sent = 0
        for number in range(64):
            now = 10.0 + number
            submit(tables, make_long_request(f"r{number}", number, now), now)
            for decision in tick(tables, now, Random(1), "catkintrack"):
                sent += isinstance(decision, Dispatch)
                record_first_token(tables, decision.request.id, "life", now)
        self.assertEqual(sent, int(0.9 * MEMORY_TOKENS / HELD))
        self.assertLess(row.in_flight, row.max_running)
        record_end(tables, "r0", 80.0)
        decisions = tick(tables, 80.0, Random(1), "catkintrack")
        self.assertEqual(sum(isinstance(d, Dispatch) for d in decisions), 1)

    def test_full_replica_loses_to_one_with_room_and_waits_are_counted(self):
        tables = make_tables(2)
        full, free = tables.upstream_by_name.values()
        for number in range(24):
            begin_remote(tables, f"p{number}", 10.0, full.name)
            record_remote_prefill_end(tables, f"p{number}", "life", 10.0)
        request = make_long_request("r", 7, 10.1)
        self.assertFalse(has_memory(tables, full, request, 10.1))
        self.assertFalse(has_capacity(tables, full, 10.1, 1, request))
        self.assertGreater(estimate_memory_wait_s(tables, full, request, 10.1), 0.0)
        for seed in range(20):
            placement = place_by_cost(tables, request, 10.1, Random(seed))
            self.assertEqual(placement.upstream, free)

    def test_requests_of_peers_end_after_the_usual_time_of_their_output(self):
        tables = make_tables()
        row = tables.upstream_by_name["u0"]
        tables.memory.output_tokens, tables.memory.output_s = 100.0, 1.0
        for id in ("p1", "p2"):
            begin_remote(tables, id, 10.0)
        record_remote_prefill_end(tables, "p1", "life", 10.2)
        record_remote_prefill_end(tables, "p2", "", 10.2)
        expire_remote_runs(tables, 10.3)
        self.assertEqual(estimate_memory_tokens(row, 10.3), HELD)
        expire_remote_runs(tables, 12.0)
        self.assertEqual(estimate_memory_tokens(row, 12.0), 0.0)

    def test_fresh_count_of_the_replica_corrects_the_known_requests(self):
        tables = make_tables()
        row = tables.upstream_by_name["u0"]
        for number in range(4):
            begin_remote(tables, f"p{number}", 10.0)
        record_load_report(tables, row, 8, 0, None, 10.1)
        self.assertEqual(estimate_memory_tokens(row, 10.2), 8 * HELD)
        record_load_report(tables, row, 1, 0, None, 10.3)
        self.assertEqual(estimate_memory_tokens(row, 10.4), HELD)
        self.assertEqual(estimate_memory_tokens(row, 20.0), 4 * HELD)

    def test_request_larger_than_the_memory_runs_alone(self):
        tables = make_tables()
        row = tables.upstream_by_name["u0"]
        large = replace(make_long_request("r", 7), prompt_tokens=2 * MEMORY_TOKENS)
        self.assertTrue(has_memory(tables, row, large, 10.0))
        begin_remote(tables, "p1", 10.0)
        self.assertFalse(has_memory(tables, row, large, 10.0))

    def test_large_request_is_sent_though_smaller_ones_fill_what_is_freed(self):
        tables = make_tables()
        row = tables.upstream_by_name["u0"]
        large = replace(make_long_request("r", 7, 10.0), prompt_tokens=100_000)
        for number in range(18):
            begin_remote(tables, f"p{number}", 10.0)
        self.assertFalse(has_memory(tables, row, large, 10.5))
        self.assertTrue(has_memory(tables, row, large, 11.0))
        for number in range(4):
            begin_remote(tables, f"q{number}", 10.0)
        usual = make_long_request("s", 8, 10.0)
        self.assertFalse(has_memory(tables, row, usual, 11.0))

    def test_retry_at_another_replica_moves_what_a_request_holds(self):
        tables = make_tables(2)
        first, second = tables.upstream_by_name.values()
        begin_remote(tables, "p", 10.0, first.name)
        record_remote_prefill_end(tables, "p", "", 10.0)
        begin_remote(tables, "p", 10.0, second.name)
        expire_remote_runs(tables, 10.1)
        held = [estimate_memory_tokens(row, 10.1) for row in (first, second)]
        self.assertEqual(held, [0.0, HELD])

    def test_replica_that_has_restarted_or_come_back_holds_nothing(self):
        tables = make_tables(2)
        restarted, left = tables.upstream_by_name.values()
        for row in (restarted, left):
            begin_remote(tables, f"p-{row.name}", 10.0, row.name)
        set_incarnation(tables, restarted, "life-2", 10.1, 10.1)
        self.assertEqual(estimate_memory_tokens(restarted, 10.1), 0.0)
        drop_upstream(tables, left.name)
        new = put_upstream(tables, left.name, "z0", left.models, 64, False, 85_000.0)
        begin_remote(tables, "q", 11.0, new.name)
        expire_remote_runs(tables, 25.5)
        self.assertEqual(estimate_memory_tokens(new, 25.5), HELD)

    def test_short_output_of_a_slow_reader_hardly_changes_the_time_per_token(self):
        tables = make_tables()
        row = tables.upstream_by_name["u0"]
        request = replace(make_long_request("r", 7), max_tokens=1)
        add_own_run(row, request)
        remove_own_run(tables, row, request, 10.0, 13.0)
        begin_remote(tables, "p", 13.0)
        record_remote_prefill_end(tables, "p", "life", 13.0)
        expire_remote_runs(tables, 15.0)
        self.assertEqual(estimate_memory_tokens(row, 15.0), 0.0)

    def test_nothing_is_bounded_where_it_is_not_switched_on(self):
        tables = make_tables()
        row = tables.upstream_by_name["u0"]
        for number in range(40):
            begin_remote(tables, f"p{number}", 10.0)
        request = make_long_request("r", 7)
        tables.speeds = None
        self.assertTrue(has_memory(tables, row, request, 10.0))
        enable_speeds(tables)
        row.memory_tokens = 0
        self.assertTrue(has_memory(tables, row, request, 10.0))

    @DETERMINISTIC
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["begin", "end", "fail", "expire"]),
                st.integers(0, 5),
                st.floats(0.0, 3.0),
            ),
            max_size=40,
        )
    )
    def test_all_memory_of_peers_is_free_in_the_end(self, steps):
        tables = make_tables()
        row = tables.upstream_by_name["u0"]
        now = 10.0
        for step, number, after_s in steps:
            now += after_s
            if step == "begin":
                begin_remote(tables, f"p{number}", now)
            elif step == "expire":
                expire_remote_runs(tables, now)
            else:
                life = "life" if step == "end" else ""
                record_remote_prefill_end(tables, f"p{number}", life, now)
            runs = tables.memory.run_by_id.values()
            self.assertEqual(row.memory.remote_tokens, sum(r.tokens for r in runs))
        expire_remote_runs(tables, now + 60.0)
        self.assertEqual((row.memory.remote_tokens, row.memory.remote_count), (0, 0))


if __name__ == "__main__":
    unittest.main()

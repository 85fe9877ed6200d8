"""Test what is learned of uneven replicas, without a network."""

from __future__ import annotations

import math
import unittest
from collections import Counter
from random import Random

from catkintrack.decisions.load import estimate_wait_s, record_load_report
from catkintrack.decisions.placement import place_by_cost
from catkintrack.decisions.residency import add_cached_blocks
from catkintrack.decisions.scheduler import put_upstream, record_remote_prefill
from catkintrack.decisions.services import (
    ServiceTables,
    choose_replica,
    ensure_service_row,
)
from catkintrack.decisions.speeds import (
    RateSample,
    TimedPrefill,
    add_rate_sample,
    enable_speeds,
    find_prefill_rate,
    record_prefill_end,
    record_slowdown,
    reset_precision,
)
from catkintrack.decisions.spreading import (
    SentTokens,
    add_sent_tokens,
    estimate_spread_s,
)
from testkit.loads import make_long_request, make_site_tables
from testkit.uneven_fleet import (
    TARGET_S,
    make_mixed_load,
    make_play,
    measure_spread,
    play,
    reset_measures,
)

USUAL_RATE = 56_900.0
KNOWN_AFTER_S = 2.5
UNTIL_S = 5.0


def make_tables(upstreams: int = 3):
    tables = make_site_tables(upstreams=upstreams, zones=1)
    enable_speeds(tables)
    return tables


def end_prefills(tables, row, rate, count, slowdown=1.0, first_at=100.0):
    """Report prefills of 6,610 tokens that ran alone at a rate, one a second."""
    duration_s = 6610 / rate * slowdown + 0.01
    for number in range(count):
        at = first_at + number
        timed = TimedPrefill(6610, at - duration_s, at, slowdown)
        record_prefill_end(tables, row, timed, at, at)
    return first_at + count


class UsualRateTest(unittest.TestCase):
    """Guard against waits estimated twice too short, and alike for all replicas."""

    def test_rates_of_uneven_replicas_are_learned_from_a_few_prefills(self):
        tables = make_tables()
        for row, factor in zip(
            tables.upstream_by_name.values(), (0.7, 0.7, 1.7), strict=True
        ):
            rate = factor * USUAL_RATE
            end_prefills(tables, row, rate, 8)
            learned = find_prefill_rate(tables, row, 200.0)
            self.assertAlmostEqual(learned / rate, 1.0, delta=0.1)

    def test_prefills_while_slowed_show_the_usual_rate(self):
        tables = make_tables(1)
        row = tables.upstream_by_name["u0"]
        end_prefills(tables, row, USUAL_RATE, 8, slowdown=2.5)
        learned = find_prefill_rate(tables, row, 200.0)
        self.assertAlmostEqual(learned / USUAL_RATE, 1.0, delta=0.1)

    def test_queued_prefill_is_timed_from_the_end_of_the_one_before(self):
        tables = make_tables(1)
        row = tables.upstream_by_name["u0"]
        for number in range(10):
            at = 100.0 + number
            alone_s = 6610 / USUAL_RATE + 0.01
            first = TimedPrefill(6610, at, at + alone_s)
            queued = TimedPrefill(6610, at + 0.01, at + 2 * alone_s)
            # The message about the first comes after the end of the second.
            record_prefill_end(tables, row, queued, queued.ended_at, at + 0.25)
            record_prefill_end(tables, row, first, first.ended_at, at + 0.3)
        learned = find_prefill_rate(tables, row, 200.0)
        self.assertAlmostEqual(learned / USUAL_RATE, 1.0, delta=0.15)

    def test_replica_not_measured_gets_the_mean_of_its_models(self):
        tables = make_tables()
        measured, other, _ = tables.upstream_by_name.values()
        end_prefills(tables, measured, 40_000.0, 20)
        self.assertAlmostEqual(other.prefill_tokens_per_s / 40_000.0, 1.0, delta=0.25)
        models = frozenset({"m1"})
        new = put_upstream(tables, "new", "z0", models, 32, False, 85_000.0)
        self.assertAlmostEqual(new.prefill_tokens_per_s / 40_000.0, 1.0, delta=0.25)

    def test_invalid_samples_and_slowdowns_are_ignored(self):
        tables = make_tables(1)
        row = tables.upstream_by_name["u0"]
        for rate in (0.0, -5.0, math.nan, math.inf, 1e12):
            add_rate_sample(tables, row, RateSample(rate, 0.1))
        for error in (0.0, -1.0, math.nan):
            add_rate_sample(tables, row, RateSample(5_000.0, error))
        for slowdown in (0.0, -2.5, math.nan, math.inf, 1e6):
            record_slowdown(tables, row, slowdown, 10.0)
        self.assertEqual(find_prefill_rate(tables, row, 10.0), 85_000.0)

    def test_restarted_replica_is_learned_anew_quickly(self):
        tables = make_tables(1)
        row = tables.upstream_by_name["u0"]
        at = end_prefills(tables, row, 1.7 * USUAL_RATE, 40)
        reset_precision(row)
        end_prefills(tables, row, 0.7 * USUAL_RATE, 8, first_at=at)
        learned = find_prefill_rate(tables, row, 300.0)
        self.assertAlmostEqual(learned / (0.7 * USUAL_RATE), 1.0, delta=0.15)


class SlowdownTest(unittest.TestCase):
    """Guard against calls that are sent to a replica while it is slowed."""

    def test_step_is_followed_at_once_and_fades_to_the_usual_slowdown(self):
        tables = make_tables(1)
        row = tables.upstream_by_name["u0"]
        for number in range(20):
            record_load_report(tables, row, 3, 0, 1.0, 5.0 + number / 10)
        record_load_report(tables, row, 3, 0, 2.5, 10.0)
        self.assertTrue(tables.has_uneven_replicas)
        now_rate = find_prefill_rate(tables, row, 10.0)
        self.assertAlmostEqual(now_rate, 85_000.0 / 2.5)
        self.assertLess(find_prefill_rate(tables, row, 10.2), 85_000.0 / 2.0)
        later = find_prefill_rate(tables, row, 13.0)
        self.assertAlmostEqual(later / 85_000.0, 1.0, delta=0.1)
        record_load_report(tables, row, 3, 0, 1.0, 13.0)
        self.assertEqual(find_prefill_rate(tables, row, 13.0), 85_000.0)

    def test_replica_that_always_names_a_slowdown_keeps_it_between_reports(self):
        tables = make_tables(2)
        slow, fast = tables.upstream_by_name.values()
        for number in range(30):
            for row, usual in ((slow, 1.7), (fast, 0.7)):
                slowdown = usual * (2.5 if number % 7 == 0 else 1.0)
                record_load_report(tables, row, 3, 0, slowdown, 10.0 + number / 5)
        ratio = find_prefill_rate(tables, fast, 60.0) / find_prefill_rate(
            tables, slow, 60.0
        )
        self.assertAlmostEqual(ratio, 1.7 / 0.7, delta=0.4)

    def test_older_report_of_a_peer_changes_nothing(self):
        tables = make_tables(1)
        row = tables.upstream_by_name["u0"]
        record_load_report(tables, row, 3, 1, 1.0, 10.0)
        record_load_report(tables, row, 30, 9, 2.5, 9.9)
        self.assertEqual((row.reported_running, row.reported_waiting), (3, 1))
        self.assertEqual(find_prefill_rate(tables, row, 10.0), 85_000.0)

    def test_wait_at_a_slowed_replica_is_longer(self):
        tables = make_tables(1)
        row = tables.upstream_by_name["u0"]
        record_remote_prefill(tables, "p1", "u0", (1,), 6610, 1, 10.0)
        usual_s = estimate_wait_s(tables, row, 10.0, 5)
        record_slowdown(tables, row, 2.5, 10.0)
        self.assertAlmostEqual(estimate_wait_s(tables, row, 10.0, 5), 2.5 * usual_s)

    def test_nothing_changes_where_no_replica_names_a_slowdown(self):
        tables = make_site_tables(upstreams=1)
        row = tables.upstream_by_name["u0"]
        for slowdown in (None, 1.0):
            record_load_report(tables, row, 3, 0, slowdown, 10.0)
        end_prefills(tables, row, 40_000.0, 20)
        self.assertIsNone(tables.speeds)
        self.assertFalse(tables.has_uneven_replicas)
        self.assertEqual(find_prefill_rate(tables, row, 200.0), 85_000.0)


class ServiceSpeedTest(unittest.TestCase):
    """Guard against plain calls sent to a slowed replica, or all to the same one."""

    def test_slowed_and_full_replicas_get_fewer_calls(self):
        services = ServiceTables()
        tables = make_tables(1)
        for name, running, slowdown in (("a", 1, 1.0), ("b", 1, 2.5), ("c", 6, 1.0)):
            row = ensure_service_row(services, name)
            row.max_running = 6
            record_load_report(tables, row, running, 0, slowdown, 100.0)
        rng = Random(1)
        names = ("a", "b", "c")
        chosen = Counter(
            choose_replica(services, names, 100.1, rng) for _ in range(1000)
        )
        self.assertGreater(chosen["a"], 2 * chosen["b"])
        self.assertGreater(chosen["a"], 10 * chosen["c"])
        # Other instances choose at the same time.
        self.assertGreater(chosen["b"], 50)

    def test_idle_replica_that_is_slowed_gets_few_calls_whatever_its_slots(self):
        services = ServiceTables()
        tables = make_tables(1)
        for name, slowdown in (("a", 1.0), ("b", 2.5)):
            row = ensure_service_row(services, name)
            row.max_running = 64
            record_load_report(tables, row, 0, 0, slowdown, 100.0)
        rng = Random(1)
        names = ("a", "b")
        chosen = Counter(
            choose_replica(services, names, 100.1, rng) for _ in range(1000)
        )
        self.assertGreater(chosen["a"], 3 * chosen["b"])


class UnevenFleetTest(unittest.TestCase):
    """Replay two thirds of the fleet's capacity on replicas at 0.7, 0.7 and 1.7.

    Guards against herding onto the fast replicas, which all instances know alike.
    """

    def test_shared_speeds_shorten_waits_without_herding(self):
        for instances in (8, 64, 195):
            with self.subTest(instances=instances):
                apart = run_fleet(instances, shares=False)
                shared = run_fleet(instances, shares=True)
                self.assertLess(measure_spread(shared), 1.6)
                self.assertLess(find_percentile(shared, 0.99), TARGET_S)
                self.assertLess(
                    find_percentile(shared, 0.95), find_percentile(apart, 0.95)
                )

    def test_random_choice_leaves_no_cached_prompt_without_need(self):
        tables = make_tables(24)
        tables.transfer_rates = None
        tables.router_count = 64
        holder = tables.upstream_by_name["u0"]
        request = make_long_request("r", 7, 10.0)
        add_cached_blocks(tables.residency, holder.bit_index, request.blocks[:1])
        add_sent_tokens(tables.speeds.sent, 24 * 85_000, 10.0)
        rng = Random(1)
        chosen = {
            place_by_cost(tables, request, 10.0, rng).upstream.name for _ in range(200)
        }
        self.assertEqual(chosen, {holder.name})

    def test_random_term_follows_the_load_and_stays_bounded(self):
        sent = SentTokens()
        for number in range(100):
            add_sent_tokens(sent, 1000, number / 100)
        spread_s = estimate_spread_s(sent, 100_000.0, 64, 1.0)
        self.assertGreater(spread_s, 0.05)
        self.assertLessEqual(spread_s, 0.1)
        self.assertEqual(estimate_spread_s(sent, 100_000.0, 1, 1.0), 0.0)
        self.assertLess(estimate_spread_s(sent, 100_000.0, 64, 9.0), 0.01)


def run_fleet(instances, shares):
    """Return a fleet of 12 replicas that was played until caches and speeds are known."""
    fleet = make_play(instances, 12, UNTIL_S, shares)
    play(fleet, make_mixed_load(160.0, UNTIL_S, histories=48), KNOWN_AFTER_S)
    reset_measures(fleet)
    play(fleet, [], UNTIL_S)
    return fleet


def find_percentile(fleet, share):
    waits = sorted(fleet.waits_s)
    return waits[int(share * (len(waits) - 1))]


if __name__ == "__main__":
    unittest.main()

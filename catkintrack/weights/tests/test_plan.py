"""Test the plan of a rolling weights update for a few replicas."""

import unittest

from catkintrack.fleet import ModelWeights
from catkintrack.weights import (
    WeightsTables,
    find_replaced_at,
    plan_loads,
    record_load_ended,
    record_load_sent,
    record_replica_version,
    record_target_weights,
)

WORK_BY_UPSTREAM = {f"u{number}": float(number) for number in range(5)}


def make_tables(version: int = 1, target: int = 2) -> WeightsTables:
    tables = WeightsTables()
    for upstream in WORK_BY_UPSTREAM:
        record_replica_version(tables, upstream, ModelWeights("m1", version))
    record_target_weights(tables, ModelWeights("m1", target), 10.0)
    return tables


class PlanTest(unittest.TestCase):
    def test_replicas_that_load_nothing_do_not_keep_others_from_loading(self):
        """Guards against idle replicas that are gone but still listed."""
        tables = make_tables()
        work = {"dead1": 0, "dead2": 0, "live": 3}
        ordered = []
        for second in range(6):
            for planned in plan_loads(tables, "m1", work, float(second)):
                ordered.append(planned.upstream)
                record_load_sent(tables, planned.upstream, planned.weights, second)
            # Without a response, an order counts as failed after most of a second.
            for upstream in work:
                record_load_ended(tables, upstream)
        self.assertEqual(sorted(ordered[:3]), ["dead1", "dead2", "live"])

    def test_few_replicas_load_at_once_the_least_busy_first(self):
        planned = plan_loads(make_tables(), "m1", WORK_BY_UPSTREAM, 10.0)
        self.assertEqual([row.upstream for row in planned], ["u0", "u1"])

    def test_next_replica_loads_when_a_load_ends(self):
        tables = make_tables()
        for upstream in ("u0", "u1"):
            record_load_sent(tables, upstream, ModelWeights("m1", 2), 10.0)
        self.assertEqual(plan_loads(tables, "m1", WORK_BY_UPSTREAM, 10.1), [])
        record_replica_version(tables, "u0", ModelWeights("m1", 2))
        planned = plan_loads(tables, "m1", WORK_BY_UPSTREAM, 10.2)
        self.assertEqual([row.upstream for row in planned], ["u2"])

    def test_all_replicas_have_the_weights_within_the_bound(self):
        """Replays loads of 0.2 and 0.8 s, each with its relay and its last poll."""
        for load_s in (0.2, 0.8):
            for count in (1, 3, 4, 9, 32):
                with self.subTest(load_s=load_s, count=count):
                    self.assertLess(self.load_all(count, 0.12 + load_s + 0.2), 6.0)

    def load_all(self, count, busy_s):
        """Return when the last of `count` replicas has loaded, from the new target on."""
        work = {f"u{number}": 0.0 for number in range(count)}
        tables = WeightsTables()
        target = ModelWeights("m1", 2)
        record_target_weights(tables, target, 0.0)
        ended_at_by_upstream = {}
        for tick in range(200):
            now = tick / 10
            for upstream, ended_at in ended_at_by_upstream.items():
                if now >= ended_at:
                    record_replica_version(tables, upstream, target)
            for planned in plan_loads(tables, "m1", work, now):
                self.assertNotIn(planned.upstream, ended_at_by_upstream)
                record_load_sent(tables, planned.upstream, planned.weights, now)
                ended_at_by_upstream[planned.upstream] = now + busy_s
        self.assertEqual(len(ended_at_by_upstream), count)
        return max(ended_at_by_upstream.values())

    def test_failed_load_is_retried_after_an_interval(self):
        tables = make_tables()
        record_load_sent(tables, "u0", ModelWeights("m1", 2), 10.0)
        record_load_ended(tables, "u0")
        early = plan_loads(tables, "m1", {"u0": 0.0}, 10.1)
        later = plan_loads(tables, "m1", {"u0": 0.0}, 10.4)
        self.assertEqual((len(early), len(later)), (0, 1))

    def test_load_without_an_outcome_is_retried_after_a_timeout(self):
        tables = make_tables()
        record_load_sent(tables, "u0", ModelWeights("m1", 2), 10.0)
        self.assertEqual(len(plan_loads(tables, "m1", {"u0": 0.0}, 12.0)), 1)

    def test_superseded_target_version_is_not_loaded(self):
        tables = make_tables()
        record_target_weights(tables, ModelWeights("m1", 3), 10.2)
        planned = plan_loads(tables, "m1", WORK_BY_UPSTREAM, 10.2)
        self.assertEqual({row.weights.version for row in planned}, {3})

    def test_older_versions_are_ignored(self):
        tables = make_tables(version=2)
        self.assertFalse(record_replica_version(tables, "u0", ModelWeights("m1", 1)))
        self.assertFalse(record_target_weights(tables, ModelWeights("m1", 1), 11.0))
        self.assertEqual(plan_loads(tables, "m1", WORK_BY_UPSTREAM, 11.0), [])

    def test_earliest_known_time_of_a_target_counts(self):
        tables = make_tables()
        self.assertFalse(record_target_weights(tables, ModelWeights("m1", 2), 7.0))
        self.assertEqual(tables.target_by_model["m1"].set_at, 7.0)
        self.assertFalse(record_target_weights(tables, ModelWeights("m1", 2), 9.0))
        self.assertEqual(tables.target_by_model["m1"].set_at, 7.0)

    def test_older_version_learned_late_is_added_to_the_history(self):
        tables = make_tables(target=4)
        self.assertFalse(record_target_weights(tables, ModelWeights("m1", 2), 3.0))
        target = tables.target_by_model["m1"]
        self.assertEqual(find_replaced_at(target, 1), 3.0)
        self.assertEqual(find_replaced_at(target, 2), 10.0)
        self.assertIsNone(find_replaced_at(target, 4))

    def test_twelve_of_thirty_replicas_load_at_once(self):
        tables = WeightsTables()
        record_target_weights(tables, ModelWeights("m1", 2), 0.0)
        work = {f"u{number:02}": 1.0 for number in range(30)}
        self.assertEqual(len(plan_loads(tables, "m1", work, 0.0)), 12)

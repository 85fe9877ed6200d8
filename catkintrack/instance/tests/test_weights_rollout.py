"""Test that requests are kept away from a replica before it loads weights."""

import time
import unittest
from unittest.mock import patch

import curio

from catkintrack.fleet import ModelWeights, SwapMode, UpstreamReport
from catkintrack.instance import mesh, weights_rollout
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import apply_replica_weights, apply_upstream
from catkintrack.instance.messages import LoadBegun, LoadEnded
from catkintrack.weights import record_load_sent
from catkintrack.weights.plan import INITIAL_LOAD_S, PlannedLoad
from testkit.instances import make_config_spec, make_entry_spec
from testkit.states import make_instance


class LoadAnnouncementTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        apply_configuration(self.instance, 5, make_config_spec(), "store")
        apply_upstream(self.instance, "i1", make_entry_spec(), time.monotonic())
        self.instance.weights.order_count_by_upstream["i1"] = 0
        self.planned = PlannedLoad("i1", ModelWeights("m1", 2), SwapMode.KEEP_RUNNING)
        self.events = []

    def run_load(self, holds_lease=lambda instance: True, has_hubs=False):
        """Execute a load and record the broadcasts and orders in sequence."""

        async def record_broadcast(instance, message):
            self.events.append(("peers", message, time.monotonic()))

        async def record_order(instance, upstream, planned):
            row = instance.decisions.upstream_by_name["i1"]
            is_excluded = row.loading_until > time.monotonic()
            self.events.append(("replica", is_excluded, time.monotonic()))
            return 202

        async def skip_polling(*_arguments):
            return None

        with (
            patch.object(weights_rollout, "broadcast", record_broadcast),
            patch.object(weights_rollout, "_send_order", record_order),
            patch.object(weights_rollout, "_await_load", skip_polling),
            patch.object(weights_rollout, "holds_lease", holds_lease),
            patch.object(weights_rollout, "has_hubs", lambda instance: has_hubs),
        ):
            curio.run(weights_rollout._execute_load, self.instance, self.planned)

    def test_peers_are_told_before_the_order_is_sent(self):
        """Guards against orders that are sent before peers know of the load.

        The replica then rejects requests that peers still send: 78 instances keep
        sending while 12 replicas begin to load.
        """
        self.run_load()
        (first, message, _), (second, is_excluded, _) = self.events
        self.assertEqual((first, second), ("peers", "replica"))
        self.assertIsInstance(message, LoadBegun)
        self.assertTrue(is_excluded)

    def test_order_waits_for_the_relay_through_hubs(self):
        self.run_load(has_hubs=True)
        (_, message, announced_at), (_, is_excluded, ordered_at) = self.events
        self.assertGreaterEqual(ordered_at - announced_at, weights_rollout.HUB_RELAY_S)
        self.assertTrue(is_excluded)
        self.assertGreater(message.ready_in_s, weights_rollout.HUB_RELAY_S)

    def test_no_order_after_the_lease_is_lost_during_the_announcement(self):
        answers = iter([True, False])
        self.run_load(holds_lease=lambda instance: next(answers))
        (_, begun, _), (_, ended, _) = self.events
        self.assertIsInstance(begun, LoadBegun)
        self.assertEqual(ended, LoadEnded("i1", "m1", 1, begun.fencing))
        row = self.instance.decisions.upstream_by_name["i1"]
        self.assertLessEqual(row.loading_until, time.monotonic())

    def test_load_that_takes_longer_than_usual_keeps_calls_away(self):
        """Replays loads of 0.8 s, of which instances had assumed 0.3 s.

        Calls were sent to replicas that still loaded, which rejected them, until the
        retry budget was used up.
        """
        self.run_load()
        row = self.instance.decisions.upstream_by_name["i1"]
        begun_at = self.events[0][2]
        self.assertGreater(row.loading_until, begun_at + 1.2)
        ended = LoadEnded("i1", "m1", 2)
        curio.run(mesh._handle_load_ended, self.instance, ended)
        self.assertLessEqual(row.loading_until, time.monotonic())
        self.assertEqual(row.weights_version, 2)

    def run_polls(self, reports):
        """Await a load whose replica sends `reports` and return the broadcasts."""
        sent = []

        async def record_broadcast(instance, message):
            sent.append(message)

        async def send_report(instance, upstream):
            report = reports.pop(0)
            if callable(report):
                report = report()
            for weights in report.weights if report else ():
                apply_replica_weights(instance, "i1", weights, time.monotonic())
            return report

        upstream = self.instance.upstream_by_id["i1"]
        with (
            patch.object(weights_rollout, "broadcast", record_broadcast),
            patch.object(weights_rollout, "refresh_report", send_report),
        ):
            curio.run(
                weights_rollout._await_load,
                self.instance,
                upstream,
                self.planned,
                True,
            )
        return sent

    def make_report(self, version, is_busy):
        return UpstreamReport((ModelWeights("m1", version),), is_busy, 1, 0, 0, 0)

    def test_end_of_a_load_is_announced_at_once(self):
        reports = [self.make_report(1, True), self.make_report(2, False)]
        self.assertEqual(self.run_polls(reports), [LoadEnded("i1", "m1", 2)])
        self.assertEqual(reports, [])
        self.assertNotEqual(self.instance.weights.load_time_s, INITIAL_LOAD_S)

    def test_load_without_effect_lets_calls_go_on(self):
        row = self.instance.decisions.upstream_by_name["i1"]
        row.loading_until = time.monotonic() + 5
        reports = [self.make_report(1, False)]
        self.assertEqual(self.run_polls(reports), [LoadEnded("i1", "m1", 1)])
        self.assertLessEqual(row.loading_until, time.monotonic())

    def test_load_that_a_later_order_replaced_is_not_announced(self):
        """The first poll shows the old weights while a second order is under way."""
        loads = self.instance.weights
        record_load_sent(loads, "i1", self.planned.weights, 0.0)

        def order_again():
            record_load_sent(loads, "i1", ModelWeights("m1", 3), 2.0)
            return self.make_report(2, True)

        self.assertEqual(self.run_polls([order_again]), [])
        self.assertFalse(loads.load_by_upstream["i1"].has_ended)

    def test_end_from_an_earlier_holder_leaves_the_load_of_the_next(self):
        begun = LoadBegun("i1", "m1", 2, 1.5, 8)
        row = self.instance.decisions.upstream_by_name["i1"]
        curio.run(mesh._handle_load_begun, self.instance, begun)
        curio.run(mesh._handle_load_ended, self.instance, LoadEnded("i1", "m1", 1, 7))
        self.assertGreater(row.loading_until, time.monotonic() + 1)
        curio.run(mesh._handle_load_ended, self.instance, LoadEnded("i1", "m1", 1, 8))
        self.assertLessEqual(row.loading_until, time.monotonic())

    def test_replica_that_sends_no_report_stays_in_use(self):
        """Answers a replica dark to the holder only: each order kept all calls away."""
        self.instance.weights.order_count_by_upstream.clear()

        async def send_no_report(instance, upstream):
            return None

        with patch.object(weights_rollout, "refresh_report", send_no_report):
            self.run_load()
        self.assertEqual(self.events, [])

    def test_usual_time_falls_after_a_slow_load(self):
        """A poll that finds the load ended does not show when it ended."""
        self.instance.weights.load_time_s = 0.4
        self.run_polls([self.make_report(2, False)])
        self.assertLess(self.instance.weights.load_time_s, 0.36)


if __name__ == "__main__":
    unittest.main()

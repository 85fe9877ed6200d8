"""Test that requests are kept away from a replica before it loads weights."""

import time
import unittest
from unittest.mock import patch

import curio

from catkintrack.fleet import ModelWeights, SwapMode
from catkintrack.instance import weights_rollout
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import apply_upstream
from catkintrack.instance.messages import LoadBegun
from catkintrack.weights.plan import PlannedLoad
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
        self.assertEqual([recipient for recipient, *_ in self.events], ["peers"])


if __name__ == "__main__":
    unittest.main()

"""Order replicas to load weights without turning requests away."""

import time
import unittest
from unittest.mock import patch

import curio

from catkintrack.fleet import ModelWeights, SwapMode
from catkintrack.instance import weights_rollout
from catkintrack.instance.beliefs import apply_configuration, apply_upstream
from catkintrack.instance.messages import LoadBegun
from catkintrack.weights.plan import PlannedLoad
from testkit.instances import make_config_spec, make_entry_spec
from testkit.states import make_instance


class LoadAnnouncementTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        apply_configuration(self.instance, 5, make_config_spec(), "store")
        apply_upstream(self.instance, "i1", make_entry_spec(), time.monotonic())
        self.instance.weights.order_count_by_id["i1"] = 0
        self.planned = PlannedLoad("i1", ModelWeights("m1", 2), SwapMode.UNDER_RUNS)
        self.said = []

    def load(self, holds_lease=lambda instance: True, has_hubs=False):
        """Carry out a load and record what was said to whom, in order."""

        async def tell(instance, message):
            self.said.append(("peers", message, time.monotonic()))

        async def order(instance, upstream, planned):
            row = instance.decisions.upstream_by_name["i1"]
            is_spared = row.loading_until > time.monotonic()
            self.said.append(("replica", is_spared, time.monotonic()))
            return 202

        async def follow(*_arguments):
            return None

        with (
            patch.object(weights_rollout, "broadcast", tell),
            patch.object(weights_rollout, "_send_order", order),
            patch.object(weights_rollout, "_await_load", follow),
            patch.object(weights_rollout, "holds_lease", holds_lease),
            patch.object(weights_rollout, "has_hubs", lambda instance: has_hubs),
        ):
            curio.run(weights_rollout._execute_load, self.instance, self.planned)

    def test_peers_are_told_before_the_order_is_sent(self):
        """Load pattern: 78 instances send on while 12 replicas begin to load."""
        self.load()
        (told, message, _), (ordered, is_spared, _) = self.said
        self.assertEqual((told, ordered), ("peers", "replica"))
        self.assertIsInstance(message, LoadBegun)
        self.assertTrue(is_spared)

    def test_order_waits_for_the_relay_through_hubs(self):
        self.load(has_hubs=True)
        (_, message, told_at), (_, is_spared, ordered_at) = self.said
        self.assertGreaterEqual(ordered_at - told_at, weights_rollout.HUB_RELAY_S)
        self.assertTrue(is_spared)
        self.assertGreater(message.ready_in_s, weights_rollout.HUB_RELAY_S)

    def test_no_order_after_the_lease_is_lost_during_the_announcement(self):
        answers = iter([True, False])
        self.load(holds_lease=lambda instance: next(answers))
        self.assertEqual([who for who, *_ in self.said], ["peers"])


if __name__ == "__main__":
    unittest.main()

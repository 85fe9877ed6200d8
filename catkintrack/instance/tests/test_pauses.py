"""Do not act on a permission that ran out while the process was paused."""

import time
import unittest

import curio

from catkintrack.fleet import ModelWeights, RateLimit, SwapMode
from catkintrack.instance import weights_rollout
from catkintrack.instance.clocks import read_boot_clock
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import apply_upstream
from catkintrack.instance.pauses import PAUSE_S, limit_after_own_pause
from catkintrack.leases import LeaseRecord, record_acquisition
from catkintrack.pooling import take
from catkintrack.weights.plan import PlannedLoad
from testkit.instances import make_config_spec, make_entry_spec
from testkit.raw_upstreams import open_raw_upstream
from testkit.states import make_instance

LIMIT = RateLimit(1000.0, 1000.0, True, 10.0)


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        apply_configuration(self.instance, 5, make_config_spec(), "store")
        self.planned = PlannedLoad("i1", ModelWeights("m1", 2), SwapMode.KEEP_RUNNING)
        self.orders = 0

    def send_order(self, acquired_s_ago):
        """Order a load under a lease that was renewed this long ago."""

        def script(send):
            self.orders += 1
            send(b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n")

        sent_at = read_boot_clock() - acquired_s_ago
        record_acquisition(self.instance.lease, LeaseRecord("n1", 1, 7, 3), sent_at)
        with open_raw_upstream(script) as address:
            entry = make_entry_spec(address=str(address))
            apply_upstream(self.instance, "i1", entry, time.monotonic())
            upstream = self.instance.upstream_by_id["i1"]
            return curio.run(
                weights_rollout._send_order, self.instance, upstream, self.planned
            )

    def test_order_is_sent_under_the_lease(self):
        self.assertEqual(self.send_order(0.0), 202)
        self.assertEqual(self.orders, 1)

    def test_no_order_is_sent_under_a_lease_that_expired_meanwhile(self):
        """Guards against an order after a pause between the check and the send."""
        lease_s = self.instance.lease.duration_s
        with self.assertLogs("catkintrack.instance.reports", "WARNING"):
            self.assertEqual(self.send_order(lease_s + 1.0), 0)
        self.assertEqual(self.orders, 0)


class LimitTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.instance.limits.known_instances = 5
        self.instance.limits.initial_level = 5000.0
        take(self.instance.limits, "w", LIMIT, 0.0, 0.0)
        limit_after_own_pause(self.instance, 100.0, 0.0)

    def read_level(self):
        return self.instance.limits.bucket_by_workspace["w"].level

    def test_paused_instance_keeps_its_own_share_only(self):
        """Guards against a full burst that peers used during the pause."""
        with self.assertLogs("catkintrack.instance.pauses", "WARNING"):
            limit_after_own_pause(self.instance, 105.0, 5.0)
        self.assertEqual(self.read_level(), 200.0)
        # The time of the pause adds nothing either.
        self.assertIsNotNone(take(self.instance.limits, "w", LIMIT, 500.0, 5.0))

    def test_suspension_that_the_monotonic_clock_does_not_count_is_noticed(self):
        with self.assertLogs("catkintrack.instance.pauses", "WARNING"):
            limit_after_own_pause(self.instance, 105.0, 0.1)
        self.assertEqual(self.read_level(), 200.0)

    def test_running_instance_keeps_its_limits(self):
        for step in range(10):
            limit_after_own_pause(self.instance, 100.0 + step * 0.9 * PAUSE_S, 0.0)
        self.assertEqual(self.read_level(), 1000.0)


if __name__ == "__main__":
    unittest.main()

"""Share the fleet's room among workspaces that different instances serve."""

import unittest

from catkintrack.decisions.fleet_shares import (
    SHARE_AVERAGE_S,
    FleetShares,
    forget_peer_totals,
    read_weighted_usage,
    record_own_usage,
    record_peer_total,
)
from catkintrack.decisions.tables import WorkspaceRow
from testkit.decision_tables import make_request


def read(shares, name, now, weight=1.0):
    return read_weighted_usage(shares, WorkspaceRow(name, weight), now)


class FleetSharesTest(unittest.TestCase):
    def test_usage_at_other_instances_counts(self):
        """Guards against a workspace that gets an equal share of each instance."""
        shares = FleetShares()
        for number in range(61):
            record_peer_total(shares, f"i{number}", 1, "hot", 50_000, 0.0)
            record_peer_total(shares, f"i{number}", 1, "hot", 57_000, 0.5)
        record_own_usage(shares, make_request("r1", "calm"), 0.5)
        self.assertAlmostEqual(read(shares, "hot", 0.5), 61 * 7_000)
        self.assertGreater(read(shares, "hot", 0.5), read(shares, "calm", 0.5))

    def test_weights_divide_usage(self):
        shares = FleetShares()
        record_own_usage(shares, make_request("r1", "w1", prompt_tokens=984), 0.0)
        self.assertEqual(read(shares, "w1", 0.0, weight=4.0), 250.0)

    def test_usage_is_forgotten(self):
        """Guards against a lent share that becomes a debt."""
        shares = FleetShares()
        record_own_usage(shares, make_request("r1", prompt_tokens=50_000), 0.0)
        self.assertLess(read(shares, "w1", 6 * SHARE_AVERAGE_S), 200)

    def test_restart_or_return_of_a_peer_is_a_baseline(self):
        shares = FleetShares()
        record_peer_total(shares, "i1", 1, "w1", 1_000, 0.0)
        record_peer_total(shares, "i1", 2, "w1", 9_000, 0.0)
        record_peer_total(shares, "i1", 1, "w1", 99_000, 0.0)
        self.assertEqual(read(shares, "w1", 0.0), 0.0)
        record_peer_total(shares, "i1", 2, "w1", 9_500, 0.0)
        self.assertEqual(read(shares, "w1", 0.0), 500.0)
        forget_peer_totals(shares, {"i2"})
        record_peer_total(shares, "i1", 2, "w1", 20_000, 0.0)
        self.assertEqual(read(shares, "w1", 0.0), 500.0)

    def test_refunds_reduce_usage(self):
        shares = FleetShares()
        for total in (0, 4_000, 1_000):
            record_peer_total(shares, "i1", 1, "w1", total, 0.0)
        self.assertEqual(read(shares, "w1", 0.0), 1_000.0)

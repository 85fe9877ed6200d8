"""Share the fleet's room among workspaces that different instances serve."""

import unittest

from catkintrack.decisions.fleet_shares import (
    SHARE_AVERAGE_S,
    FleetShares,
    compute_mean_usage,
    forget_idle_workspaces,
    forget_peer_totals,
    read_weighted_usage,
    record_own_usage,
    record_peer_total,
)
from catkintrack.decisions.tables import WorkspaceRow
from testkit.decision_tables import make_request, make_tables


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

    def test_idle_workspaces_do_not_lower_the_share(self):
        """Guards against a mean below which no workspace that asks can stay."""
        shares, tables = FleetShares(), make_tables()
        for number in range(100):
            request = make_request(f"r{number}", f"idle{number}", prompt_tokens=2_000)
            record_own_usage(shares, request, 0.0)
        now = 20 * SHARE_AVERAGE_S
        for workspace, tokens in (("calm", 1_000), ("hot", 7_000)):
            request = make_request(workspace, workspace, prompt_tokens=tokens)
            record_own_usage(shares, request, now)
        share = compute_mean_usage(tables, shares, now)
        self.assertLess(read(shares, "calm", now), share)
        self.assertGreater(read(shares, "hot", now), share)
        forget_idle_workspaces(shares, now)
        self.assertEqual(set(shares.usage_by_workspace), {"calm", "hot"})

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

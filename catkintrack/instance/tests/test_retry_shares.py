"""Divide a service's retry budget by the instances that share it now (issue 48)."""

import time
import unittest
from dataclasses import replace

import curio

from catkintrack.decisions.retries import BUDGET_SAFETY_FACTOR
from catkintrack.instance.peers import PEER_REMOVAL_S, get_or_add_peer
from catkintrack.instance.process import keep_house
from catkintrack.instance.retry_budgets import find_retry_budget
from testkit.states import make_instance

PEERS = 7


class RetryShareTest(unittest.TestCase):
    def setUp(self):
        self.instance = make_instance()
        self.extra = self.instance.site.bounds.retry_extra

    def hear_peers(self, count=PEERS, heard_s_ago=0.0):
        """Let the first `count` peers have been heard that long ago."""
        for number in range(count):
            peer = get_or_add_peer(
                self.instance, f"n{number + 2}", "z1", f"10.0.0.{number + 2}", 8608
            )
            peer.incarnation = 5
            peer.heard_at = time.monotonic() - heard_s_ago

    def find_cap(self):
        """Return the share of one instance after its housekeeping."""
        curio.run(keep_house, self.instance)
        return find_retry_budget(self.instance, "app").cap

    def test_instance_that_served_before_it_knew_its_peers_has_its_share_only(self):
        """A first call before the first gossip must not give the whole fleet's budget."""
        self.instance.started_at = time.monotonic()
        find_retry_budget(self.instance, "app")
        self.hear_peers()
        share = BUDGET_SAFETY_FACTOR * self.extra / (PEERS + 1)
        self.assertLessEqual(self.find_cap(), share)

    def test_young_instance_has_no_share_before_it_knows_its_peers(self):
        """What the instance held before its restart may have just been spent."""
        self.instance.started_at = time.monotonic()
        self.instance.site = replace(self.instance.site, is_bootstrap=False)
        self.assertLessEqual(self.find_cap(), 1.0)
        self.assertEqual(find_retry_budget(self.instance, "app").level, 0.0)

    def test_first_start_has_retries_before_the_first_gossip(self):
        """Refused: replicas that rejected its first calls left it without a retry."""
        self.instance.started_at = time.monotonic()
        for seed in self.instance.site.seeds:
            get_or_add_peer(self.instance, "", "", seed.host, seed.port)
        self.assertGreaterEqual(find_retry_budget(self.instance, "app").level, 2.0)

    def test_silent_peers_keep_their_shares_until_they_are_removed(self):
        self.hear_peers()
        share = self.find_cap()
        self.hear_peers(heard_s_ago=PEER_REMOVAL_S / 2)
        self.assertEqual(self.find_cap(), share)
        self.hear_peers(heard_s_ago=PEER_REMOVAL_S + 1)
        self.assertGreater(self.find_cap(), share)

    def test_larger_share_adds_no_credit(self):
        self.hear_peers()
        self.find_cap()
        level = find_retry_budget(self.instance, "app").level
        self.hear_peers(heard_s_ago=PEER_REMOVAL_S + 1)
        self.find_cap()
        self.assertEqual(find_retry_budget(self.instance, "app").level, level)


if __name__ == "__main__":
    unittest.main()

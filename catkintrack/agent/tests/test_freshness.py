"""Check when an instance may rely on its API keys to authenticate calls."""

import unittest
from dataclasses import replace

from catkintrack.agent.freshness import FreshnessEvidence, are_keys_current
from catkintrack.processes import PauseDetector

CURRENT = FreshnessEvidence(
    revision=7,
    highest_seen_revision=7,
    platform_age_s=1.0,
    peer_heartbeat_age_s=0.2,
    alive_members=8,
    known_members=8,
    are_messages_recent=True,
)


class KeyFreshnessTest(unittest.TestCase):
    def test_decision_for_each_kind_of_evidence(self):
        cases = [
            ({}, True),
            ({"revision": 0, "highest_seen_revision": 0}, False),
            ({"highest_seen_revision": 8}, False),
            ({"platform_age_s": 3600.0}, True),
            ({"platform_age_s": 3600.0, "alive_members": 5}, True),
            ({"platform_age_s": 3600.0, "alive_members": 4}, False),
            ({"platform_age_s": 3600.0, "peer_heartbeat_age_s": 3.0}, False),
            ({"platform_age_s": 3600.0, "alive_members": 1, "known_members": 1}, True),
            ({"are_messages_recent": False}, False),
        ]
        for override, expected in cases:
            self.assertIs(
                are_keys_current(replace(CURRENT, **override)), expected, override
            )

    def test_two_sides_of_a_partition_never_both_serve(self):
        for alive_on_one_side in range(9):
            sides = [
                are_keys_current(
                    replace(CURRENT, platform_age_s=99.0, alive_members=alive)
                )
                for alive in (alive_on_one_side, 8 - alive_on_one_side)
            ]
            self.assertLess(sum(sides), 2)

    def test_messages_just_after_a_pause_are_not_trusted(self):
        guard = PauseDetector(0.0)
        self.assertTrue(guard.are_messages_recent(0.5))
        self.assertFalse(guard.are_messages_recent(30.0))
        self.assertFalse(guard.are_messages_recent(30.4))
        self.assertTrue(guard.are_messages_recent(30.6))


if __name__ == "__main__":
    unittest.main()

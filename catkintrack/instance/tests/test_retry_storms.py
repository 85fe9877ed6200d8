"""Keep the retries of a fleet with hubs within the budget, in virtual time."""

import unittest

from testkit.retry_storm import play_storm
from testkit.virtual_clock import run_virtually

FLEET_SIZE = 24
FAULTS = 5
SEEDS = (0, 1)


class RetryStormTest(unittest.TestCase):
    def test_disturbed_fleet_with_hubs_keeps_its_retry_budget(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                share = run_virtually(play_storm, seed, FLEET_SIZE, FAULTS)
                self.assertLessEqual(share, 1.0)
                self.assertGreaterEqual(share, 0.5)


if __name__ == "__main__":
    unittest.main()

"""Keep the fleet's retries within the budget while its members change (issue 48)."""

import unittest
from random import Random

from testkit.retry_fleet import RetryFleet

SEEDS = 200
STEPS = 160
MAX_PARTITION_S = 8.0


def play(seed, instances):
    """Play random joins, leaves, kills, returns and partitions under random load."""
    rng = Random(seed)
    fleet = RetryFleet(rng)
    names = [f"n{number}" for number in range(instances)]
    for name in names:
        fleet.start(name, is_first_start=True)
    heals_at = 0.0
    load_per_s = rng.choice((10.0, 60.0, 160.0))
    retries_per_request = rng.choice((0, 1, 3))
    for _ in range(STEPS):
        action = rng.random()
        if action < 0.04:
            chosen = rng.sample(names, rng.choice((1, 2, instances)))
            fleet.kill(chosen, rng.choice((0.5, 2.0, 6.0, 20.0)))
        elif action < 0.06 and fleet.now >= heals_at:
            heals_at = fleet.now + rng.uniform(1.0, MAX_PARTITION_S)
            for member in fleet.member_by_name.values():
                member.side = rng.randrange(2)
        elif action < 0.1:
            retries_per_request = rng.choice((0, 1, 3))
        if fleet.now >= heals_at:
            for member in fleet.member_by_name.values():
                member.side = 0
        fleet.step(load_per_s, retries_per_request)
    return fleet


class FleetRetryTest(unittest.TestCase):
    def test_retries_stay_within_the_budget_in_each_window(self):
        """More than allowed: an instance kept the share of a fleet that it was alone in."""
        for seed in range(SEEDS):
            fleet = play(seed, 4 + seed % 5)
            self.assertLessEqual(fleet.find_worst_share(), 1.0, f"seed {seed}")

    def test_calm_fleet_uses_most_of_its_budget(self):
        fleet = RetryFleet(Random(1))
        for number in range(8):
            fleet.start(f"n{number}", is_first_start=True)
        for _ in range(120):
            fleet.step(60.0, 0)
        for _ in range(40):
            fleet.step(60.0, 3)
        self.assertGreaterEqual(fleet.find_worst_share(), 0.8)


if __name__ == "__main__":
    unittest.main()

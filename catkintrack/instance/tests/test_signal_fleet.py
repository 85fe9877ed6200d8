"""Leave, rest and restart at random in virtual time; the work of each service goes on.

By hand over more seeds: `python bin/soak_signals.py --seeds 200`.
"""

import logging
import unittest

from testkit.signal_fleet import SignalFleet, check_fleet, make_plan, simulate_signals

CI_SEEDS = 20


class SignalFleetTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_nothing_reaches_replicas_that_leave_or_rest_and_work_goes_on(self):
        for seed in range(CI_SEEDS):
            with self.subTest(seed=seed):
                fleet = simulate_signals(make_plan(seed), seed)
                self.assertEqual(check_fleet(fleet), [])

    def test_seeds_meet_every_kind_of_event(self):
        fleets: list[SignalFleet] = [
            simulate_signals(make_plan(seed), seed) for seed in range(4)
        ]
        kinds = {kind for fleet in fleets for kind in fleet.kinds}
        wanted = {"rest", "hidden rest", "leave", "crash", "stale entry", "lapse"}
        self.assertEqual(kinds, wanted | {"restart"})
        self.assertTrue(all(fleet.told_at and fleet.rests for fleet in fleets))
        self.assertGreater(sum(fleet.outcomes["resting"] for fleet in fleets), 0)


if __name__ == "__main__":
    unittest.main()

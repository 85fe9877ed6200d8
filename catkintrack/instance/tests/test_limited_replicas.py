"""Keep to the limits that replicas name, over all instances, and use them."""

import logging
import unittest

from testkit.named_limit_fleet import (
    LimitedPlan,
    count_arrivals,
    find_excesses,
    simulate_limits,
)

SEEDS = range(3)


class LimitedReplicaTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def simulate_kept(self, plan, seeds=SEEDS):
        """Yield the simulations of a plan in which each limit was kept."""
        for seed in seeds:
            fleet = simulate_limits(plan, seed)
            self.assertEqual(find_excesses(fleet)[:3], [], f"{plan}, seed {seed}")
            yield fleet

    def test_replica_gets_no_more_than_its_limit_from_all_instances_together(self):
        for service in ("models", "app"):
            for limit_per_s in (0.0, 0.7, 1.5, 2.3, 6.0):
                plan = LimitedPlan(service=service, limit_per_s=limit_per_s)
                for fleet in self.simulate_kept(plan):
                    arrived = fleet.outcomes["arrived"]
                    self.assertGreater(fleet.outcomes["served"], 0.97 * arrived)

    def test_limit_is_kept_and_used_where_all_replicas_name_one(self):
        for service in ("models", "app"):
            plan = LimitedPlan(service=service, limited=5, limit_per_s=3.0)
            for fleet in self.simulate_kept(plan):
                for number in range(plan.limited):
                    served = count_arrivals(fleet, f"r{number}", 10.0, 20.0)
                    self.assertGreater(served, 0.5 * 10.0 * plan.limit_per_s)

    def test_limit_is_kept_by_a_large_fleet(self):
        plan = LimitedPlan(
            instances=40, replicas=8, limited=3, calls_per_s=120.0, limit_per_s=2.0
        )
        for _ in self.simulate_kept(plan, seeds=range(1)):
            pass

    def test_limit_is_kept_through_restarts_and_with_uneven_callers(self):
        plan = LimitedPlan(skew=0.6, restarts_s=(9.0, 13.0, 17.0))
        for _ in self.simulate_kept(plan):
            pass

    def test_limit_is_kept_while_instances_do_not_hear_each_other(self):
        for limit_per_s in (1.5, 2.3, 6.0):
            plan = LimitedPlan(limit_per_s=limit_per_s, silences_s=(9.0, 14.0, 19.0))
            for _ in self.simulate_kept(plan):
                pass

    def test_replica_gets_its_share_of_calls_again_after_its_limit(self):
        for instances in (8, 40):
            plan = LimitedPlan(
                instances=instances, replicas=4, ends_s=14.0, duration_s=40.0
            )
            for fleet in self.simulate_kept(plan, seeds=range(1)):
                for number in range(plan.limited):
                    calls = count_arrivals(fleet, f"r{number}", 30.0, 40.0)
                    share = 10.0 * plan.calls_per_s / plan.replicas
                    self.assertGreater(calls, 0.5 * share)


if __name__ == "__main__":
    unittest.main()

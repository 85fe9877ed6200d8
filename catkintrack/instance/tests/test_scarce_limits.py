"""Keep a workspace's limit over a large fleet that hears of use by news."""

import heapq
import math
import unittest
from collections import deque
from random import Random

from catkintrack.fleet import TokenLimit
from catkintrack.instance.mesh import choose_gossip_interval_s
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.pooling import PooledLimits, record_peer_usage, take
from testkit.states import make_instance

INSTANCES = 63
# Two hubs and the way between them.
SPREAD_S = 0.1
WINDOW_S = 8.0
# What the users allow beyond rate and burst in a window: a share, and tokens.
EXCESS, SLACK = 0.1, 140_000
# A hot workspace: it asks nine times its rate of all instances at random.
RATE, BURST, DEMAND, MEAN_COST = 211_580.0, 423_160.0, 2_000_000.0, 3_700.0
SECONDS = 14.0


class ScarceLimitTest(unittest.TestCase):
    def setUp(self):
        self.instances = [make_instance() for _ in range(INSTANCES)]
        for instance in self.instances:
            instance.limits = PooledLimits(math.inf, 0.0)
            for port in range(INSTANCES - 1):
                get_or_add_peer(instance, "", "", "10.9.9.9", 1000 + port)

    def test_hot_workspace_stays_within_its_limit(self):
        """Load pattern: one workspace asks nine times its rate of 63 instances.

        A hunted day had 2.51 million tokens in 8 s where 2.47 were allowed.
        """
        for seed in (1, 2, 3):
            self.setUp()
            self.assert_kept(self.play(Random(seed)), seed)

    def assert_kept(self, grants, seed):
        allowed = (RATE * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
        self.assertLessEqual(find_worst_window(grants), allowed, f"seed {seed}")
        # It is served what it may have, too.
        served = sum(cost for _, cost in grants)
        self.assertGreater(served, 0.9 * (RATE * SECONDS + BURST))

    def play(self, rng):
        """Return (time, cost) of what was granted, news passing between instances."""
        limit = TokenLimit(RATE, BURST, counts_tokens=True, plain_cost=1.0)
        for number, instance in enumerate(self.instances):
            take(instance.limits, "w1", limit, 0.0, 0.0)
            self.hear(number, 0.0)
        due = [(rng.random() * 0.5, "tell", number, 0.0) for number in range(INSTANCES)]
        due.append((0.0, "ask", 0, 0.0))
        heapq.heapify(due)
        grants = []
        while due[0][0] < SECONDS:
            now, kind, number, total = heapq.heappop(due)
            limits = self.instances[number].limits
            if kind == "ask":
                cost = rng.expovariate(1 / MEAN_COST)
                if take(limits, "w1", limit, cost, now) is None:
                    grants.append((now, cost))
                pause_s = rng.expovariate(DEMAND / MEAN_COST)
                asked = rng.randrange(INSTANCES)
                heapq.heappush(due, (now + pause_s, "ask", asked, 0.0))
            elif kind == "tell":
                row = limits.bucket_by_workspace.get("w1")
                if row is not None:
                    told = (now + SPREAD_S, "hear", number, row.local_total)
                    heapq.heappush(due, told)
                pause_s = choose_gossip_interval_s(self.instances[number])
                heapq.heappush(due, (now + pause_s, "tell", number, 0.0))
            else:
                self.hear(number, total)
        return grants

    def hear(self, number, total):
        """Let all others hear what an instance has used."""
        for other, instance in enumerate(self.instances):
            if other != number:
                record_peer_usage(instance.limits, f"n{number}", 1, "w1", total)


def find_worst_window(grants):
    """Return the most that was granted in any window."""
    window, used, worst = deque(), 0.0, 0.0
    for at, cost in grants:
        window.append((at, cost))
        used += cost
        while window[0][0] < at - WINDOW_S:
            used -= window.popleft()[1]
        worst = max(worst, used)
    return worst


if __name__ == "__main__":
    unittest.main()

"""Run a short seeded soak; seeds that ever failed stay here with their cause."""

import unittest

from testkit.site_soak import run_soak

SECONDS = 8.0


class SoakTest(unittest.TestCase):
    def check(self, seed):
        broken, soak = run_soak(seed, SECONDS)
        self.assertEqual(broken, [], f"seed {seed}, faults {soak.actions}")

    def test_short_run(self):
        self.check(1)

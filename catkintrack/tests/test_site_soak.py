"""Run a short seeded soak; a seed that fails is kept here as a test with its cause."""

import unittest

from testkit.site_soak import run_soak

DURATION_S = 8.0


class SoakTest(unittest.TestCase):
    def assert_soak_passes(self, seed):
        violations, soak = run_soak(seed, DURATION_S)
        self.assertEqual(violations, [], f"seed {seed}, faults {soak.actions}")

    def test_short_run(self):
        self.assert_soak_passes(1)

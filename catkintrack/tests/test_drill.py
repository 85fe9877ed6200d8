"""Drill four instances for some seconds; a seed that fails is kept here with its cause."""

import unittest
from random import Random

from testkit.drill import DrillSize, run_drill
from testkit.drill_checks import find_violations
from testkit.drill_faults import make_incident_plan, make_mixed_plan

DURATION_S = 10.0


class DrillTest(unittest.TestCase):
    def assert_drill_passes(self, seed, plan):
        run = run_drill(seed, plan, DrillSize())
        steps = [step.text for step in plan]
        self.assertEqual(find_violations(run), [], f"seed {seed}, {steps}")

    def test_silent_replicas_beside_a_changing_configuration(self):
        plan = make_incident_plan(Random(1), DURATION_S, ("models", "app"), 1.6)
        self.assert_drill_passes(1, plan)

    def test_mixed_disruptions(self):
        self.assert_drill_passes(2, make_mixed_plan(Random(2), DURATION_S))

"""Run the seeded model of a store that goes back under several instances."""

import unittest
from unittest.mock import patch

from catkintrack.instance import config_state, departures, fleet_state
from catkintrack.instance.config_order import Judgement
from catkintrack.leases import lease
from testkit.era_model import ModelBroken, run_seed

SEEDS = 20


class EraModelTest(unittest.TestCase):
    def test_seeds(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_seed(seed)


class ModelCatchesTest(unittest.TestCase):
    """Let the model find each mechanism that is disabled."""

    def assert_caught(self, reason):
        for seed in range(SEEDS):
            try:
                run_seed(seed)
            except ModelBroken as error:
                if reason in str(error):
                    return
        self.fail(f"no seed found: {reason}")

    def test_configuration_of_the_copy_that_comes_into_force(self):
        judge = lambda *_: Judgement.APPLY  # noqa: E731
        with patch.object(config_state, "judge_configuration", judge):
            self.assert_caught("configuration goes back")

    def test_departed_replica_that_comes_back(self):
        with (
            patch.object(departures, "record_departure", lambda *_: None),
            patch.object(fleet_state, "record_departure", lambda *_: None),
        ):
            self.assert_caught("is back")

    def test_replicas_out_of_use_at_once(self):
        with patch.object(fleet_state, "LAPSE_GRACE_S", 0.0):
            with patch.object(fleet_state, "is_after_new_era", lambda *_: False):
                self.assert_caught("out of use")

    def test_candidate_that_does_not_wait(self):
        with patch.object(lease, "TAKEOVER_MARGIN_S", -3.0):
            self.assert_caught("hold the lease")


if __name__ == "__main__":
    unittest.main()

"""Check that limits are ready only while no recount is due to suspend lending."""

import unittest
from types import SimpleNamespace
from unittest.mock import patch

from catkintrack.agent import routers

STARTED_AT = 100.0


def make_agent(can_lend):
    holder = SimpleNamespace(can_lend=can_lend)
    limits = SimpleNamespace(holder=holder)
    return SimpleNamespace(started_at=STARTED_AT, limits=limits)


class LimitsReadyTest(unittest.TestCase):
    def is_ready(self, can_lend=True, is_due=False, age_s=0.1):
        with patch.object(routers, "is_recount_due", lambda agent: is_due):
            return routers.are_limits_ready(make_agent(can_lend), STARTED_AT + age_s)

    def test_not_ready_while_a_recount_is_due(self):
        """Guard against calls refused while a fleet starts.

        Seen in an integration run: an agent was ready with the first ledger, then the
        recount for the next member suspended lending and a call was refused.
        """
        self.assertFalse(self.is_ready(is_due=True))

    def test_ready_once_the_agent_can_lend(self):
        self.assertTrue(self.is_ready())
        self.assertFalse(self.is_ready(can_lend=False))

    def test_ready_after_the_timeout(self):
        age_s = routers.LIMITS_READY_TIMEOUT_S + 0.1
        self.assertTrue(self.is_ready(can_lend=False, is_due=True, age_s=age_s))


if __name__ == "__main__":
    unittest.main()

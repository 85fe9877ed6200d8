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


class MeetingTest(unittest.TestCase):
    """A router that is ready must know of another agent, which only agents name."""

    def is_meeting(self, listed, alive=("n0",), age_s=0.1):
        rows = {name: SimpleNamespace(id=name, mesh_port=1) for name in listed}
        agent = SimpleNamespace(
            instance="n0", started_at=STARTED_AT, members=alive, instance_row_by_id=rows
        )
        with patch.object(routers, "list_alive", lambda members: members):
            return routers.is_meeting_others(agent, STARTED_AT + age_s)

    def test_listed_instances_are_to_be_met_by_a_new_agent(self):
        self.assertTrue(self.is_meeting(["n0", "n1"]))
        self.assertFalse(self.is_meeting(["n0", "n1", "n2"], ["n0", "n2"]))
        age_s = routers.MEETING_TIMEOUT_S + 0.1
        self.assertFalse(self.is_meeting(["n0", "n1"], age_s=age_s))

    def test_single_instance_meets_nobody(self):
        self.assertFalse(self.is_meeting(["n0"]))

    def test_list_that_was_not_read_may_hold_others(self):
        self.assertTrue(self.is_meeting([]))
        self.assertFalse(self.is_meeting([], ["n0", "n1"]))


if __name__ == "__main__":
    unittest.main()

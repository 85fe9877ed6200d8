"""Wait for limits of the own agent, or of another one if the own can have none."""

import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

import curio

from catkintrack.links import FleetView
from catkintrack.router import process
from catkintrack.router.state import AgentLink

READY_WITHIN_S = 0.3


def make_agent(
    instance,
    are_limits_ready,
    is_joining_blocked=False,
    is_heard=True,
    is_meeting_others=False,
):
    view = FleetView(
        1, 1, True, are_limits_ready, (), (), is_joining_blocked, is_meeting_others
    )
    heard_at = time.monotonic() + (60.0 if is_heard else -60.0)
    link = SimpleNamespace()
    return AgentLink(
        instance, "127.0.0.1", 1, link, view=view, last_message_at=heard_at
    )


class ReadinessTest(unittest.TestCase):
    def is_ready(self, *agents):
        router = SimpleNamespace(agents=list(agents))
        stop_task = SimpleNamespace(terminated=False)

        async def wait():
            ready = curio.ignore_after(
                READY_WITHIN_S, process._wait_until_ready, router, stop_task
            )
            started_at = time.monotonic()
            await ready
            return time.monotonic() - started_at < READY_WITHIN_S

        with patch.object(process, "is_router_ready", lambda router: True):
            return curio.run(wait)

    def test_ready_with_the_limits_of_the_own_agent(self):
        self.assertTrue(self.is_ready(make_agent("n0", True)))
        self.assertFalse(self.is_ready(make_agent("n0", False)))

    def test_own_agent_that_may_still_join_is_waited_for(self):
        self.assertFalse(self.is_ready(make_agent("n0", False), make_agent("n1", True)))

    def test_ready_with_another_agent_if_the_own_can_not_join(self):
        own = make_agent("n0", False, is_joining_blocked=True)
        self.assertTrue(self.is_ready(own, make_agent("n1", True)))

    def test_other_agent_must_have_limits_and_be_heard(self):
        own = make_agent("n0", False, is_joining_blocked=True)
        self.assertFalse(self.is_ready(own))
        self.assertFalse(self.is_ready(own, make_agent("n1", False)))
        self.assertFalse(self.is_ready(own, make_agent("n1", True, is_heard=False)))
        opened = make_agent("n1", True)
        opened.view = None
        self.assertFalse(self.is_ready(own, opened))

    def test_another_agent_must_be_known_if_there_is_one(self):
        """Seen in test_restarts: an agent that ended at once had named no other one."""
        own = make_agent("n0", True, is_meeting_others=True)
        self.assertFalse(self.is_ready(own))
        self.assertTrue(self.is_ready(own, make_agent("n1", True)))


if __name__ == "__main__":
    unittest.main()

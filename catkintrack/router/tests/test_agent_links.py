"""Test how often a router sends hellos to its agents.

A hello sent before the link is connected is dropped, so that a starting router must
resend it soon or become ready late.
"""

import unittest
from types import SimpleNamespace

from catkintrack.router.agent_links import (
    AGENT_SILENCE_TIMEOUT_S,
    HELLO_INTERVAL_S,
    compute_hello_interval_s,
)
from catkintrack.router.state import AgentLink

# A starting router should detect a running agent within this time.
MAX_STARTUP_DETECTION_S = 0.05


def make_agent(last_message_at):
    return AgentLink(
        "n0", "127.0.0.1", 1, SimpleNamespace(), last_message_at=last_message_at
    )


class HelloTest(unittest.TestCase):
    def test_first_hello_is_resent_quickly_until_an_agent_answers(self):
        silent_agent = AgentLink("n0", "127.0.0.1", 1, SimpleNamespace())
        self.assertLessEqual(
            compute_hello_interval_s([silent_agent]), MAX_STARTUP_DETECTION_S
        )

    def test_hello_interval_is_longer_once_an_agent_answered(self):
        agents = [AgentLink("n0", "127.0.0.1", 1, SimpleNamespace()), make_agent(5.0)]
        self.assertEqual(compute_hello_interval_s(agents), HELLO_INTERVAL_S)
        self.assertLess(HELLO_INTERVAL_S, AGENT_SILENCE_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()

"""Test how a router greets its agents."""

import unittest
from types import SimpleNamespace

from catkintrack.router.agent_links import (
    AGENT_SILENCE_TIMEOUT_S,
    HELLO_INTERVAL_S,
    find_hello_interval_s,
)
from catkintrack.router.state import AgentLink

# Within this a router that starts should know that its agent is there.
MAX_STARTUP_DETECTION_S = 0.05


def make_agent(heard_at):
    return AgentLink("n0", "127.0.0.1", 1, SimpleNamespace(), heard_at=heard_at)


class HelloTest(unittest.TestCase):
    def test_first_hello_is_resent_quickly_until_an_agent_answers(self):
        unheard = AgentLink("n0", "127.0.0.1", 1, SimpleNamespace())
        self.assertLessEqual(find_hello_interval_s([unheard]), MAX_STARTUP_DETECTION_S)

    def test_hello_interval_is_longer_once_an_agent_answered(self):
        agents = [AgentLink("n0", "127.0.0.1", 1, SimpleNamespace()), make_agent(5.0)]
        self.assertEqual(find_hello_interval_s(agents), HELLO_INTERVAL_S)
        self.assertLess(HELLO_INTERVAL_S, AGENT_SILENCE_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()

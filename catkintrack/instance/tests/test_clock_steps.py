"""Step the time of day: nothing but the incarnation of a start depends on it."""

import ast
import time
import unittest
from pathlib import Path
from unittest.mock import patch

import curio

import catkintrack
from catkintrack.fleet import RateLimit
from catkintrack.instance import mesh
from catkintrack.instance.messages import encode_peer_message
from catkintrack.instance.peers import PEER_TIMEOUT_S, get_or_add_peer
from catkintrack.pooling import take
from testkit.states import RecordingLink, make_gossip, make_instance

STEPS_S = (-3600.0, -60.0, 60.0, 3600.0)
ROOT = Path(catkintrack.__file__).parent
# Each takes the time of day once, at the start of a process.
TIME_OF_DAY_USERS = {"agent/process.py", "instance/process.py", "router/process.py"}
TIME_OF_DAY_NAMES = {"time", "time_ns", "now", "utcnow", "today", "localtime", "gmtime"}


def uses_time_of_day(path: Path) -> bool:
    """Report whether a module calls a function that returns the time of day."""
    return any(
        isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id in ("time", "datetime", "date")
        and node.attr in TIME_OF_DAY_NAMES
        for node in ast.walk(ast.parse(path.read_text()))
    )


class TimeOfDayTest(unittest.TestCase):
    def test_only_the_start_of_a_process_takes_the_time_of_day(self):
        users = {
            str(path.relative_to(ROOT))
            for path in ROOT.rglob("*.py")
            if "tests" not in path.parts and uses_time_of_day(path)
        }
        self.assertEqual(users, TIME_OF_DAY_USERS)

    def test_limits_do_not_change_with_the_time_of_day(self):
        limit = RateLimit(100.0, 100.0, True, 1.0)
        for step_s in STEPS_S:
            limits = make_instance().limits
            limits.initial_level = 100.0
            take(limits, "w", limit, 100.0, time.monotonic())
            real_ns = time.time_ns()
            with patch("time.time_ns", lambda r=real_ns, s=step_s: r + int(s * 1e9)):
                wait_s = take(limits, "w", limit, 100.0, time.monotonic())
            self.assertAlmostEqual(wait_s, 1.0, delta=0.5)


class RestartAfterStepTest(unittest.TestCase):
    """A peer restarts after its time of day was set back."""

    def setUp(self):
        self.instance = make_instance()
        self.instance.limits.initial_level = 1000.0
        self.peer = get_or_add_peer(self.instance, "n2", "z1", "127.0.0.1", 9000)
        self.peer.link = RecordingLink()
        take(self.instance.limits, "w", RateLimit(1.0, 1000.0, True, 1.0), 0.0, 0.0)
        self.hear(incarnation=5000, used=300)

    def hear(self, incarnation, used):
        gossip = make_gossip(incarnation=incarnation, used_by_workspace={"w": used})
        curio.run(mesh._handle_message, self.instance, encode_peer_message(gossip))

    def read_level(self):
        return self.instance.limits.bucket_by_workspace["w"].level

    def test_delayed_message_of_an_earlier_incarnation_is_ignored(self):
        self.hear(incarnation=4000, used=900)
        self.assertEqual(self.peer.incarnation, 5000)

    def test_peer_that_was_silent_is_heard_again(self):
        """Guards against a peer that is ignored for as long as its clock lags."""
        self.peer.heard_at -= 2 * PEER_TIMEOUT_S
        self.hear(incarnation=4000, used=10)
        self.assertEqual(self.peer.incarnation, 4000)
        before = self.read_level()
        self.hear(incarnation=4000, used=60)
        self.assertEqual(self.read_level(), before - 50)


if __name__ == "__main__":
    unittest.main()

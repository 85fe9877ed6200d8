"""Decide at once that an agent can't reserve tokens until the platform is back."""

import time
import unittest

import curio
import zmq

from catkintrack.agent.borrowing import (
    BORROW_TIMEOUT_S,
    CONVERGENCE_TIMEOUT_S,
    PLATFORM_AWAY_AFTER_S,
    is_joining_blocked,
    reserve_tokens,
)
from catkintrack.agent.config_feed import (
    record_platform_contact,
    record_platform_failure,
)
from catkintrack.agent.process import make_agent
from catkintrack.limits import Ledger, LimitSpec, set_limit_specs
from catkintrack.links import ReserveOutcome
from catkintrack.settings import Settings

EARLIER_INCARNATION = 5


def make_restarted_agent():
    """Return an agent whose earlier incarnation is in the ledger."""
    public, secret = (key.decode() for key in zmq.curve_keypair())
    settings = Settings.model_validate(
        {
            "instance": {"id": "n0", "zone": "z1"},
            "links": {"public_key": public, "secret_key": secret},
        }
    )
    agent = make_agent(settings, None)
    holder = agent.limits.holder
    holder.ledger = Ledger(3, members={"n0": EARLIER_INCARNATION})
    set_limit_specs(holder.shares, {"w1": LimitSpec(100, 1000)}, time.monotonic())
    return agent


class JoiningBlockedTest(unittest.TestCase):
    def setUp(self):
        self.agent = make_restarted_agent()

    def is_blocked(self, after_s=PLATFORM_AWAY_AFTER_S + 0.1):
        return is_joining_blocked(self.agent, time.monotonic() + after_s)

    def test_not_blocked_while_no_call_has_failed(self):
        self.assertFalse(self.is_blocked())

    def test_blocked_once_calls_fail_for_a_while(self):
        record_platform_failure(self.agent)
        self.assertFalse(self.is_blocked(0.0))
        record_platform_failure(self.agent)
        self.assertTrue(self.is_blocked())

    def test_not_blocked_after_the_platform_has_answered(self):
        record_platform_failure(self.agent)
        record_platform_contact(self.agent)
        self.assertFalse(self.is_blocked())

    def test_not_blocked_if_another_instance_reaches_the_platform(self):
        self.agent.fleet_platform_contact_at = time.monotonic() - 0.2
        record_platform_failure(self.agent)
        self.assertTrue(self.is_blocked())
        self.agent.fleet_platform_contact_at = time.monotonic()
        self.assertFalse(self.is_blocked())

    def test_member_of_the_ledger_is_not_blocked(self):
        members = {"n0": self.agent.incarnation}
        self.agent.limits.holder.ledger = Ledger(4, members=members)
        record_platform_failure(self.agent)
        self.assertFalse(self.is_blocked())


class ReservationTest(unittest.TestCase):
    def reserve(self, failing_s):
        """Return the outcome of a reservation, and the seconds it took."""
        agent = make_restarted_agent()
        if failing_s is not None:
            agent.platform_failing_since = time.monotonic() - failing_s
        started_at = time.monotonic()
        outcome, _ = curio.run(reserve_tokens, agent, "w1", 10)
        return outcome, time.monotonic() - started_at

    def test_unavailable_at_once_if_the_platform_is_away(self):
        outcome, elapsed_s = self.reserve(PLATFORM_AWAY_AFTER_S)
        self.assertEqual(outcome, ReserveOutcome.UNAVAILABLE)
        self.assertLess(elapsed_s, BORROW_TIMEOUT_S)

    def test_unavailable_as_soon_as_the_platform_counts_as_away(self):
        outcome, elapsed_s = self.reserve(0.0)
        self.assertEqual(outcome, ReserveOutcome.UNAVAILABLE)
        self.assertGreater(elapsed_s, PLATFORM_AWAY_AFTER_S / 2)
        self.assertLess(elapsed_s, CONVERGENCE_TIMEOUT_S - 0.5)

    def test_waits_for_a_recount_while_the_platform_answers(self):
        outcome, elapsed_s = self.reserve(None)
        self.assertEqual(outcome, ReserveOutcome.UNAVAILABLE)
        self.assertGreaterEqual(elapsed_s, CONVERGENCE_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()

"""Distinguish an exhausted limit from a share that awaits a recount."""

import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

import curio
import zmq

from catkintrack.agent import borrowing
from catkintrack.agent.borrowing import is_ledger_entry_stale, reserve_tokens
from catkintrack.agent.process import make_agent
from catkintrack.limits import Ledger, LimitSpec, set_limit_specs
from catkintrack.links import ReserveOutcome
from catkintrack.settings import Settings


class LedgerEntryStaleTest(unittest.TestCase):
    def test_entry_of_an_earlier_incarnation_is_stale(self):
        self.assertTrue(is_ledger_entry_stale({"n1": 5, "n2": 7}, "n1", 6))

    def test_own_incarnation_or_missing_entry_is_not_stale(self):
        self.assertFalse(is_ledger_entry_stale({"n1": 6, "n2": 7}, "n1", 6))
        self.assertFalse(is_ledger_entry_stale({"n2": 7}, "n1", 6))


class UnaskedLenderTest(unittest.TestCase):
    """A lender that could not be asked has not said that its share is used up."""

    def reserve(self, lenders, is_sent):
        """Return the outcome of a reservation on an agent without tokens of its own."""
        public, secret = (key.decode() for key in zmq.curve_keypair())
        settings = Settings.model_validate(
            {
                "instance": {"id": "n0", "zone": "z1"},
                "links": {"public_key": public, "secret_key": secret},
            }
        )
        agent = make_agent(settings, None)
        members = {"n0": agent.incarnation} | dict.fromkeys(lenders, 7)
        holder = agent.limits.holder
        holder.ledger = Ledger(3, members=members)
        set_limit_specs(holder.shares, {"w1": LimitSpec(100, 1000)}, time.monotonic())
        for name in lenders:
            agent.members.member_by_instance[name] = SimpleNamespace()

        async def send(agent, peer, body):
            return is_sent

        with (
            patch.object(borrowing, "list_lenders", lambda agent: list(lenders)),
            patch.object(borrowing, "send_to_peer", send),
        ):
            return curio.run(reserve_tokens, agent, "w1", 10)[0]

    def test_lender_that_is_not_connected_leaves_the_limit_unknown(self):
        outcome = self.reserve(("n1",), is_sent=False)
        self.assertEqual(outcome, ReserveOutcome.UNAVAILABLE)

    def test_lender_that_does_not_answer_leaves_the_limit_unknown(self):
        outcome = self.reserve(("n1",), is_sent=True)
        self.assertEqual(outcome, ReserveOutcome.UNAVAILABLE)

    def test_only_member_without_tokens_is_over_the_limit(self):
        self.assertEqual(self.reserve((), is_sent=True), ReserveOutcome.OVER_LIMIT)

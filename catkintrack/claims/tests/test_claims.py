"""Test that a claimed call runs at most once when the platform fails in any way."""

import unittest
from collections import Counter

import hypothesis.strategies as st
from hypothesis import given, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from catkintrack import claims
from catkintrack.claims import ClaimStatus, ClaimVerdict
from testkit.profiles import DETERMINISTIC

FINGERPRINT = claims.fingerprint_call(b"POST", b"/deposit", b"100")
owners = st.sampled_from(["a", "b", "c", "d"])


class ClaimMachine(RuleBasedStateMachine):
    """Interleave the requests of one call with late writes and lost responses.

    Each request does what `acquire_claim` does: conditional write, read, judge.  Between
    any two steps other requests act, writes arrive late and requests are abandoned.
    """

    judge = staticmethod(claims.judge_claim)

    def __init__(self):
        super().__init__()
        self.version = 0
        self.stored = None
        self.in_flight = []
        self.runs = Counter()
        self.ran_by = set()

    def write(self, value, expected):
        if self.version != expected:
            return False
        self.version += 1
        self.stored = value
        return True

    @rule(owner=owners, outcome=st.sampled_from(["answered", "lost", "late"]))
    def try_claim(self, owner, outcome):
        """Try to create the claim; a late write may arrive at any time or never."""
        wanted = claims.Claim(owner, FINGERPRINT)
        expected = 0
        if self.stored is not None and self.stored.status is ClaimStatus.NOT_RUN:
            expected = self.version
        if outcome == "late":
            self.in_flight.append((wanted, expected))
            return
        is_written = self.write(wanted, expected)
        if is_written and outcome == "answered":
            self.run(owner)
        elif self.stored is not None:
            verdict = self.judge(self.stored, owner, FINGERPRINT)
            if verdict is ClaimVerdict.RUN:
                self.run(owner)

    @rule(index=st.integers(0, 9))
    def deliver_late_write(self, index):
        if self.in_flight:
            wanted, expected = self.in_flight.pop(index % len(self.in_flight))
            self.write(wanted, expected)

    def run(self, owner):
        # Each request has its own owner name and runs the call once.
        if owner not in self.ran_by:
            self.ran_by.add(owner)
            self.runs[self.version] += 1

    @rule(owner=owners, has_run=st.booleans())
    def finish(self, owner, has_run):
        """Finish a call as its owner, as not run only if it did not run."""
        if self.stored is None or self.stored.owner != owner:
            return
        if owner in self.ran_by:
            has_run = True
        done = claims.finish_claim(self.stored, has_run, b"answer")
        self.write(done, self.version)

    @invariant()
    def call_runs_at_most_once(self):
        assert sum(self.runs.values()) <= 1, self.runs


class ClaimTest(unittest.TestCase):
    def check(self, machine):
        run_state_machine_as_test(
            machine,
            settings=settings(DETERMINISTIC, max_examples=300, stateful_step_count=30),
        )

    def test_runs_at_most_once(self):
        self.check(ClaimMachine)

    def test_detects_a_verdict_that_lets_every_request_run(self):
        machine = type(
            "FaultyClaimMachine",
            (ClaimMachine,),
            {"judge": staticmethod(lambda found, owner, fp: ClaimVerdict.RUN)},
        )
        with self.assertRaises(AssertionError):
            self.check(machine)

    def test_same_key_in_another_workspace_is_a_different_claim(self):
        one = claims.make_claim_name("w1", "r", "k")
        self.assertNotEqual(one, claims.make_claim_name("w2", "r", "k"))

    @given(st.binary(max_size=80))
    @settings(DETERMINISTIC)
    def test_decoding_random_bytes_never_raises(self, data):
        found = claims.decode_claim(data)
        self.assertTrue(found is None or isinstance(found, claims.Claim))

    def test_oversized_response_is_not_stored(self):
        claim = claims.Claim("a", FINGERPRINT)
        finished = claims.finish_claim(claim, True, b"x" * 100_000)
        self.assertEqual((finished.status, finished.response), (ClaimStatus.DONE, b""))


if __name__ == "__main__":
    unittest.main()

"""Test the lease with competing candidates, pauses, lost responses and late writes."""

import unittest

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from catkintrack.leases import (
    Lease,
    LeaseAction,
    LeaseRecord,
    choose_action,
    drop_lease,
    is_held,
    mark_fencing_refused,
    observe_record,
    record_acquisition,
    record_renewal,
)
from testkit.profiles import DETERMINISTIC

DURATION_S = 3.0
names = st.sampled_from(["a", "b", "c"])


class LeaseMachine(RuleBasedStateMachine):
    """Let three processes act on the lease at any time, with any response lost."""

    choose = staticmethod(choose_action)

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.revision = 1
        self.stored = LeaseRecord("", 0, 0, 1)
        self.leases = {name: Lease(name, 1, DURATION_S) for name in "abc"}
        self.holder_by_fencing = {}

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.9, 4.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(name=names, is_lost=st.booleans(), rank=st.integers(0, 2))
    def act(self, name, is_lost, rank):
        lease = self.leases[name]
        match self.choose(lease, rank, self.now):
            case LeaseAction.READ:
                observe_record(lease, self.stored, self.now)
                lease.last_read_at = self.now
            case LeaseAction.TAKE:
                self.write(lease, lease.record.fencing + 1, is_lost)
            case LeaseAction.RENEW:
                lease.last_attempt_at = self.now
                self.write(lease, lease.record.fencing, is_lost)

    def write(self, lease, fencing, is_lost):
        """Write the record if it is still at the revision last seen."""
        if lease.record.revision != self.stored.revision:
            drop_lease(lease)
            observe_record(lease, self.stored, self.now)
            return
        self.revision += 1
        record = LeaseRecord(lease.owner, lease.incarnation, fencing, self.revision)
        is_renewal = self.stored.holder == lease.owner
        self.stored = record
        if is_lost:
            lease.last_read_at = -1e9
        elif is_renewal and lease.renewed_at is not None:
            record_renewal(lease, record.revision, self.now)
        else:
            record_acquisition(lease, record, self.now)
            seen = self.holder_by_fencing.setdefault(fencing, lease.owner)
            assert seen == lease.owner, "two holders with one fencing token"

    @invariant()
    def at_most_one_holder(self):
        held = [name for name, lease in self.leases.items() if is_held(lease, self.now)]
        assert len(held) <= 1, held


class EarlyTakeoverMachine(LeaseMachine):
    """Take over as soon as the record has been read, without waiting for expiry."""

    @staticmethod
    def choose(lease, rank, now):
        action = choose_action(lease, rank, now)
        return (
            LeaseAction.TAKE
            if action is LeaseAction.NONE and lease.record.revision
            else action
        )


class LeaseTest(unittest.TestCase):
    def test_never_two_holders(self):
        run_state_machine_as_test(LeaseMachine, settings=DETERMINISTIC)

    def test_detects_a_takeover_before_expiry(self):
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(EarlyTakeoverMachine, settings=DETERMINISTIC)

    def test_takeover_delay_starts_when_the_record_is_seen(self):
        lease = Lease("a", 1, DURATION_S)
        observe_record(lease, LeaseRecord("b", 1, 4, 9), 100.0)
        self.assertIs(choose_action(lease, 0, 103.0), LeaseAction.NONE)
        self.assertIs(choose_action(lease, 0, 103.3), LeaseAction.READ)
        lease.last_read_at = 103.3
        self.assertIs(choose_action(lease, 0, 103.3), LeaseAction.TAKE)

    def test_renewal_restarts_the_takeover_delay(self):
        lease = Lease("a", 1, DURATION_S)
        observe_record(lease, LeaseRecord("b", 1, 4, 9), 100.0)
        observe_record(lease, LeaseRecord("b", 1, 4, 10), 103.0)
        self.assertIs(choose_action(lease, 0, 103.3), LeaseAction.NONE)

    def test_holder_stops_before_the_lease_expires(self):
        lease = Lease("a", 1, DURATION_S)
        record_acquisition(lease, LeaseRecord("a", 1, 1, 2), 100.0)
        self.assertTrue(is_held(lease, 102.4))
        self.assertFalse(is_held(lease, 102.6))

    def test_released_lease_is_taken_without_an_expiry_wait(self):
        lease = Lease("a", 1, DURATION_S)
        observe_record(lease, LeaseRecord("", 0, 4, 9), 100.0)
        self.assertIs(choose_action(lease, 0, 100.0), LeaseAction.TAKE)
        self.assertIs(choose_action(lease, 1, 100.0), LeaseAction.NONE)
        self.assertIs(choose_action(lease, 1, 100.3), LeaseAction.TAKE)

    def test_process_that_has_just_started_does_not_take_a_released_lease(self):
        """Guards against two holders that take turns by planned stops in a row."""
        lease = Lease("a", 2, DURATION_S, started_at=99.0)
        observe_record(lease, LeaseRecord("", 0, 4, 9), 100.0)
        self.assertIs(choose_action(lease, 0, 101.9), LeaseAction.NONE)
        self.assertIs(choose_action(lease, 0, 102.1), LeaseAction.TAKE)

    def test_last_holder_but_one_does_not_take_a_released_lease_at_once(self):
        lease = Lease("a", 1, DURATION_S)
        record_acquisition(lease, LeaseRecord("a", 1, 3, 2), 100.0)
        observe_record(lease, LeaseRecord("b", 1, 4, 8), 103.5)
        observe_record(lease, LeaseRecord("", 0, 4, 9), 104.0)
        self.assertIs(choose_action(lease, 0, 105.4), LeaseAction.NONE)
        self.assertIs(choose_action(lease, 0, 105.6), LeaseAction.TAKE)

    def test_refused_fencing_token_ends_the_lease(self):
        lease = Lease("a", 1, DURATION_S)
        record_acquisition(lease, LeaseRecord("a", 1, 5, 2), 100.0)
        mark_fencing_refused(lease)
        self.assertFalse(is_held(lease, 100.1))
        self.assertEqual(lease.refused_fencing, 5)

"""Test the lease when the store comes back from an older copy, in a new era."""

import unittest

from catkintrack.leases import (
    Lease,
    LeaseAction,
    LeaseRecord,
    begin_lease_era,
    choose_action,
    choose_fencing,
    is_held,
    mark_fencing_refused,
    observe_fencing,
    observe_record,
    record_acquisition,
    record_renewal,
)

DURATION_S = 3.0


def make_holder() -> Lease:
    """Return a lease that process a took at 100 s in era 1."""
    lease = Lease("a", 1, DURATION_S)
    begin_lease_era(lease, 1, 90.0)
    record_acquisition(lease, LeaseRecord("a", 1, 7, 12, 1), 100.0)
    return lease


class LeaseEraTest(unittest.TestCase):
    def test_lease_is_void_once_its_holder_sees_a_new_era(self):
        lease = make_holder()
        self.assertTrue(is_held(lease, 100.1))
        self.assertTrue(begin_lease_era(lease, 2, 100.1))
        self.assertFalse(is_held(lease, 100.1))

    def test_renewal_accepted_in_another_era_does_not_count(self):
        lease = make_holder()
        record_renewal(lease, 13, 101.0, era=2)
        self.assertEqual((lease.renewed_at, lease.record.revision), (100.0, 12))
        begin_lease_era(lease, 2, 101.0)
        record_renewal(lease, 13, 101.0, era=1)
        record_acquisition(lease, LeaseRecord("a", 1, 8, 14, 1), 101.0)
        self.assertFalse(is_held(lease, 101.1))

    def test_candidate_waits_out_the_lease_from_when_it_saw_the_era(self):
        lease = Lease("b", 1, DURATION_S)
        observe_record(lease, LeaseRecord("a", 1, 7, 12, 1), 100.0)
        begin_lease_era(lease, 2, 110.0)
        self.assertIs(choose_action(lease, 0, 110.0), LeaseAction.READ)
        lease.last_read_at = 110.0
        self.assertIs(choose_action(lease, 0, 113.1), LeaseAction.NONE)
        self.assertIs(choose_action(lease, 0, 113.2), LeaseAction.TAKE)

    def test_candidates_look_for_a_record_in_order_of_rank(self):
        lease = Lease("b", 1, DURATION_S)
        begin_lease_era(lease, 2, 110.0)
        self.assertIs(choose_action(lease, 4, 110.9), LeaseAction.NONE)
        self.assertIs(choose_action(lease, 4, 111.0), LeaseAction.READ)

    def test_former_holder_waits_like_the_others(self):
        lease = make_holder()
        begin_lease_era(lease, 2, 101.0)
        lease.last_read_at = 101.0
        self.assertIs(choose_action(lease, 0, 104.1), LeaseAction.NONE)
        self.assertIs(choose_action(lease, 0, 104.3), LeaseAction.TAKE)

    def test_second_era_starts_the_wait_again(self):
        lease = Lease("b", 1, DURATION_S)
        begin_lease_era(lease, 2, 110.0)
        begin_lease_era(lease, 3, 112.0)
        lease.last_read_at = 112.0
        self.assertIs(choose_action(lease, 0, 114.0), LeaseAction.NONE)
        self.assertFalse(begin_lease_era(lease, 2, 116.0))
        self.assertIs(choose_action(lease, 0, 115.3), LeaseAction.TAKE)

    def test_records_are_ordered_by_era_and_revision(self):
        lease = Lease("b", 1, DURATION_S)
        observe_record(lease, LeaseRecord("a", 1, 7, 90, 1), 100.0)
        observe_record(lease, LeaseRecord("c", 1, 3, 12, 2), 101.0)
        self.assertEqual(lease.record.holder, "c")
        observe_record(lease, LeaseRecord("a", 1, 7, 91, 1), 102.0)
        self.assertEqual((lease.record.holder, lease.first_seen_at), ("c", 101.0))

    def test_store_without_eras_needs_no_wait_for_the_first_lease(self):
        lease = Lease("b", 1, DURATION_S)
        self.assertIs(choose_action(lease, 0, 100.0), LeaseAction.READ)
        lease.last_read_at = 100.0
        self.assertIs(choose_action(lease, 0, 100.1), LeaseAction.TAKE)


class FencingTest(unittest.TestCase):
    def test_fencing_token_given_out_again_is_passed_over(self):
        lease = Lease("b", 1, DURATION_S)
        observe_record(lease, LeaseRecord("a", 1, 7, 12, 1), 100.0)
        begin_lease_era(lease, 2, 110.0)
        observe_record(lease, LeaseRecord("-", 0, 5, 9, 2), 110.0)
        self.assertGreater(choose_fencing(lease), 7)

    def test_holder_of_a_new_era_is_above_tokens_that_nobody_remembers(self):
        old, new = Lease("a", 1, DURATION_S), Lease("b", 1, DURATION_S)
        begin_lease_era(old, 1, 100.0)
        observe_record(old, LeaseRecord("a", 1, choose_fencing(old) + 9, 12, 1), 100.0)
        begin_lease_era(new, 2, 110.0)
        self.assertGreater(choose_fencing(new), choose_fencing(old))

    def test_token_heard_from_a_peer_or_refused_by_a_replica_is_passed_over(self):
        lease = Lease("b", 1, DURATION_S)
        observe_fencing(lease, 41)
        self.assertEqual(choose_fencing(lease), 42)
        record_acquisition(lease, LeaseRecord("b", 1, 42, 9), 100.0)
        mark_fencing_refused(lease)
        self.assertGreater(choose_fencing(lease), 42)

    def test_repeated_refusals_raise_the_token_faster(self):
        lease = Lease("b", 1, DURATION_S)
        tokens = []
        for _ in range(5):
            tokens.append(choose_fencing(lease))
            record_acquisition(lease, LeaseRecord("b", 1, tokens[-1], 9), 100.0)
            mark_fencing_refused(lease)
        self.assertEqual(tokens, [1, 3, 7, 15, 31])


if __name__ == "__main__":
    unittest.main()

"""Decide when to take, renew and give up a lease.

All times come from a clock that also counts while the machine is suspended.  A
candidate measures the age of a lease from when it saw the record change, so that
clocks of different machines are never compared.  See Gray and Cheriton, "Leases", 1989.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# The holder stops acting this long before its lease expires, so before any takeover.
STOP_MARGIN_S = 0.5
TAKEOVER_MARGIN_S = 0.2
RENEW_INTERVAL_S = 1.0
# Candidates try in order of rank at this interval, so that usually only one writes.
CANDIDATE_STAGGER_S = 0.25


class LeaseAction(Enum):
    """Enumerate the next steps of a lease's candidate or holder."""

    NONE = "none"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Represent the stored lease; `revision` 0 means that none is known."""

    holder: str
    incarnation: int
    fencing: int
    revision: int


# In a stored record an empty holder means that the lease was released.
NO_RECORD = LeaseRecord("", 0, 0, 0)


@dataclass(slots=True)
class Lease:
    """Hold one process's view of the lease; times in seconds.

    `first_seen_at` is when the current record was first seen and `last_read_at` when it
    was last read from the store.  `renewed_at` is set while this process holds the
    lease, to when its last accepted write was sent.  `refused_fencing` is this
    process's last fencing token that was refused, 0 if none.
    """

    owner: str
    incarnation: int
    duration_s: float
    record: LeaseRecord = NO_RECORD
    first_seen_at: float = -1e9
    last_read_at: float = -1e9
    last_attempt_at: float = -1e9
    renewed_at: float | None = None
    refused_fencing: int = 0


def is_held(lease: Lease, now: float) -> bool:
    """Report whether this process may act as the holder."""
    if lease.renewed_at is None:
        return False
    return now < lease.renewed_at + lease.duration_s - STOP_MARGIN_S


def choose_action(lease: Lease, rank: int, now: float) -> LeaseAction:
    """Return the next action, and drop this process's lease if it has expired.

    `rank` is the position of this process among the live candidates.
    """
    if lease.renewed_at is not None:
        if now > lease.renewed_at + lease.duration_s:
            drop_lease(lease)
            return LeaseAction.READ
        return LeaseAction.RENEW if _is_renewal_due(lease, now) else LeaseAction.NONE
    rank_delay_s = rank * CANDIDATE_STAGGER_S
    if lease.record.revision and not lease.record.holder:
        # The lease was released, so there is no expiry to wait for.
        is_due = now - lease.first_seen_at >= rank_delay_s
        return (
            LeaseAction.TAKE
            if is_due and now - lease.last_attempt_at > rank_delay_s
            else LeaseAction.NONE
        )
    has_no_record = lease.record is NO_RECORD
    expiry_wait_s = 0.0 if has_no_record else lease.duration_s + TAKEOVER_MARGIN_S
    if has_no_record and lease.first_seen_at < 0:
        lease.first_seen_at = now
    if now - lease.first_seen_at < expiry_wait_s + rank_delay_s:
        return LeaseAction.NONE
    if lease.last_read_at < lease.first_seen_at + expiry_wait_s or has_no_record:
        return LeaseAction.READ
    return LeaseAction.TAKE


def _is_renewal_due(lease: Lease, now: float) -> bool:
    return now >= max(lease.renewed_at or 0.0, lease.last_attempt_at) + RENEW_INTERVAL_S


def observe_record(lease: Lease, record: LeaseRecord, now: float) -> None:
    """Adopt a newer record that was read from the store or received from a peer."""
    if record.revision <= lease.record.revision:
        return
    lease.record = record
    lease.first_seen_at = now
    is_own = (record.holder, record.incarnation) == (lease.owner, lease.incarnation)
    if lease.renewed_at is not None and not is_own:
        drop_lease(lease)


def record_acquisition(lease: Lease, record: LeaseRecord, sent_at: float) -> None:
    """Become the holder by a write that was sent at `sent_at` and accepted."""
    lease.record = record
    lease.first_seen_at = sent_at
    lease.renewed_at = sent_at


def record_renewal(lease: Lease, revision: int, sent_at: float) -> None:
    """Extend the lease by a renewal that was sent at `sent_at` and accepted."""
    record = lease.record
    renewed = LeaseRecord(record.holder, record.incarnation, record.fencing, revision)
    record_acquisition(lease, renewed, sent_at)


def drop_lease(lease: Lease) -> None:
    """Stop acting as the holder."""
    lease.renewed_at = None
    lease.last_read_at = -1e9


def mark_fencing_refused(lease: Lease) -> None:
    """Give up the lease because its fencing token was refused; never reuse the token."""
    lease.refused_fencing = lease.record.fencing
    drop_lease(lease)

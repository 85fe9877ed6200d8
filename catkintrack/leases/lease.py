"""Decide when to take, renew and give up a lease.

All times come from a clock that also counts while the machine is suspended.  A
candidate measures the age of a lease from when it saw the record change, so that
clocks of different machines are never compared.  See Gray and Cheriton, "Leases", 1989.

A store that comes back from an older copy begins a new era, in which it may hand out a
lease and its fencing token a second time.  A lease therefore holds only within its era:
it ends when its holder sees the next one, and a candidate waits out the full time from
when it saw the era, in which a holder that has not seen it stops by itself.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

# The holder stops acting this long before its lease expires, so before any takeover.
STOP_MARGIN_S = 0.5
TAKEOVER_MARGIN_S = 0.2
RENEW_INTERVAL_S = 1.0
# Candidates try in order of rank at this interval, so that usually only one writes.
CANDIDATE_STAGGER_S = 0.25
# Interval at which a candidate that knows no record tries to read it.
READ_RETRY_S = 0.5
# The fencing tokens of an era are above all those of earlier ones, also if nobody
# remembers them.  Far more than there can be holders in an era.
FENCING_TOKENS_PER_ERA = 1_000_000
MAX_FENCING_STEP = 1024


class LeaseAction(Enum):
    """Enumerate the next steps of a lease's candidate or holder."""

    NONE = "none"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Represent the stored lease at a revision of the store in an era.

    `revision` 0 means that none is known in that era.
    """

    holder: str
    incarnation: int
    fencing: int
    revision: int
    era: int = 0


# In a stored record an empty holder means that the lease was released.
NO_RECORD = LeaseRecord("", 0, 0, 0)


@dataclass(slots=True)
class Lease:
    """Hold one process's view of the lease; times in seconds.

    `first_seen_at` is when the current record was first seen and `last_read_at` when it
    was last read from the store.  `renewed_at` is set while this process holds the
    lease, to when its last accepted write was sent.  `refused_fencing` is this
    process's last fencing token that was refused, 0 if none.  `highest_fencing` is the
    highest token seen in any era, `fencing_step` what the next one is above it.
    `started_at` is when this process started, `held_until` the end of the time in which
    it could last act as the holder.
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
    era: int = 0
    highest_fencing: int = 0
    fencing_step: int = 1
    started_at: float = -1e9
    held_until: float = -1e9


def begin_lease_era(lease: Lease, era: int, now: float) -> bool:
    """Begin an era if it is new; report whether this process's lease ended with that."""
    if era <= lease.era:
        return False
    was_held = lease.renewed_at is not None
    drop_lease(lease)
    lease.era = era
    forget_record(lease)
    lease.first_seen_at = now
    lease.last_attempt_at = -1e9
    return was_held


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
        # The lease was released, so there is no expiry to wait for.  But this process, or
        # the one before it, may have held it lately, and holders must not take turns.
        rested_from = max(lease.started_at, lease.held_until)
        is_due = now - rested_from >= lease.duration_s
        is_due = is_due and now - lease.first_seen_at >= rank_delay_s
        return (
            LeaseAction.TAKE
            if is_due and now - lease.last_attempt_at > rank_delay_s
            else LeaseAction.NONE
        )
    if not lease.record.revision:
        return _choose_first_action(lease, rank_delay_s, now)
    expiry_wait_s = lease.duration_s + TAKEOVER_MARGIN_S
    if now - lease.first_seen_at < expiry_wait_s + rank_delay_s:
        return LeaseAction.NONE
    if lease.last_read_at < lease.first_seen_at + expiry_wait_s:
        return LeaseAction.READ
    return LeaseAction.TAKE


def _choose_first_action(lease: Lease, rank_delay_s: float, now: float) -> LeaseAction:
    """Return the next action of a candidate that knows no record of this era.

    It first looks for one.  If there is none, a holder that has not seen the era yet
    may still act; without eras there is no such holder.
    """
    if lease.first_seen_at < 0:
        lease.first_seen_at = now
    if lease.last_read_at < lease.first_seen_at:
        is_due = now - lease.first_seen_at >= rank_delay_s
        is_due = is_due and now - lease.last_attempt_at >= READ_RETRY_S
        return LeaseAction.READ if is_due else LeaseAction.NONE
    expiry_wait_s = lease.duration_s + TAKEOVER_MARGIN_S if lease.era else 0.0
    is_due = now - lease.first_seen_at >= expiry_wait_s + rank_delay_s
    return LeaseAction.TAKE if is_due else LeaseAction.NONE


def _is_renewal_due(lease: Lease, now: float) -> bool:
    return now >= max(lease.renewed_at or 0.0, lease.last_attempt_at) + RENEW_INTERVAL_S


def observe_record(lease: Lease, record: LeaseRecord, now: float) -> None:
    """Adopt a newer record that was read from the store or received from a peer."""
    observe_fencing(lease, record.fencing)
    begin_lease_era(lease, record.era, now)
    known = lease.record
    if (record.era, record.revision) <= (known.era, known.revision):
        return
    lease.record = record
    lease.first_seen_at = now
    if lease.renewed_at is not None and not is_own_record(lease, record):
        drop_lease(lease)


def forget_record(lease: Lease) -> None:
    """Record that the store has no lease record in this era."""
    lease.record = LeaseRecord("", 0, 0, 0, lease.era)


def record_acquisition(lease: Lease, record: LeaseRecord, sent_at: float) -> None:
    """Become the holder by a write that was sent at `sent_at` and accepted.

    A write that was accepted in an earlier era no longer counts.
    """
    if record.era != lease.era:
        return
    observe_fencing(lease, record.fencing)
    lease.record = record
    lease.first_seen_at = sent_at
    lease.renewed_at = sent_at
    lease.held_until = sent_at + lease.duration_s - STOP_MARGIN_S


def record_renewal(lease: Lease, revision: int, sent_at: float, era: int = 0) -> None:
    """Extend the lease by a renewal that was sent at `sent_at` and accepted in `era`.

    It counts only in the era of the record that it renews.
    """
    if era == lease.record.era and is_own_record(lease, lease.record):
        record_acquisition(lease, replace(lease.record, revision=revision), sent_at)


def is_own_record(lease: Lease, record: LeaseRecord) -> bool:
    """Report whether a record names this process as the holder."""
    return (record.holder, record.incarnation) == (lease.owner, lease.incarnation)


def drop_lease(lease: Lease) -> None:
    """Stop acting as the holder."""
    lease.renewed_at = None
    lease.last_read_at = -1e9


def mark_fencing_refused(lease: Lease) -> None:
    """Give up the lease because its fencing token was refused; never reuse the token."""
    lease.refused_fencing = lease.record.fencing
    observe_fencing(lease, lease.record.fencing)
    # The replica does not say which token it has seen.
    lease.fencing_step = min(MAX_FENCING_STEP, lease.fencing_step * 2)
    drop_lease(lease)


def observe_fencing(lease: Lease, fencing: int) -> None:
    """Record a fencing token that a replica may have seen; the highest one counts."""
    lease.highest_fencing = max(lease.highest_fencing, fencing)


def choose_fencing(lease: Lease) -> int:
    """Return a fencing token for the next holder, above all that replicas may know."""
    floor = lease.era * FENCING_TOKENS_PER_ERA
    return max(floor, lease.highest_fencing) + lease.fencing_step

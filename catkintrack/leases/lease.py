"""Decide when to take, renew and give up a lease.

Times are those of a clock that also counts while the machine is suspended.  A
candidate measures a lease's age from when it saw the record change, so that no two
clocks are compared.  Gray and Cheriton, "Leases", 1989.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# The holder stops this much before others may take over.
STOP_MARGIN_S = 0.5
TAKEOVER_MARGIN_S = 0.2
RENEW_INTERVAL_S = 1.0
# Candidates try one after the other, so that one write is enough as a rule.
CANDIDATE_STAGGER_S = 0.25


class LeaseAction(Enum):
    """Say what to do about the lease now."""

    NONE = "none"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Hold the lease as it is stored; `revision` 0 stands for none."""

    holder: str
    incarnation: int
    fencing: int
    revision: int


# An empty holder stands for a lease that was released.
NO_RECORD = LeaseRecord("", 0, 0, 0)


@dataclass(slots=True)
class Lease:
    """Hold one process's view of the lease; times in seconds.

    `seen_at` is when the current record was first seen, `read_at` when the store was
    last asked for it; `renewed_at` is set while this process holds the lease.
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
    """Return what to do now; `rank` is the place among the live candidates."""
    if lease.renewed_at is not None:
        if now > lease.renewed_at + lease.duration_s:
            drop_lease(lease)
            return LeaseAction.READ
        return LeaseAction.RENEW if _is_renewal_due(lease, now) else LeaseAction.NONE
    delay_s = rank * CANDIDATE_STAGGER_S
    if lease.record.revision and not lease.record.holder:
        # Released: nobody has to be waited for.
        is_due = now - lease.first_seen_at >= delay_s
        return (
            LeaseAction.TAKE
            if is_due and now - lease.last_attempt_at > delay_s
            else LeaseAction.NONE
        )
    is_unknown = lease.record is NO_RECORD
    patience_s = 0.0 if is_unknown else lease.duration_s + TAKEOVER_MARGIN_S
    if is_unknown and lease.first_seen_at < 0:
        lease.first_seen_at = now
    if now - lease.first_seen_at < patience_s + delay_s:
        return LeaseAction.NONE
    if lease.last_read_at < lease.first_seen_at + patience_s or is_unknown:
        return LeaseAction.READ
    return LeaseAction.TAKE


def _is_renewal_due(lease: Lease, now: float) -> bool:
    return now >= max(lease.renewed_at or 0.0, lease.last_attempt_at) + RENEW_INTERVAL_S


def observe_record(lease: Lease, record: LeaseRecord, now: float) -> None:
    """Take over a record read from the store or heard from a peer."""
    if record.revision <= lease.record.revision:
        return
    lease.record = record
    lease.first_seen_at = now
    is_own = (record.holder, record.incarnation) == (lease.owner, lease.incarnation)
    if lease.renewed_at is not None and not is_own:
        drop_lease(lease)


def record_acquisition(lease: Lease, record: LeaseRecord, asked_at: float) -> None:
    """Note that a write that was sent at `asked_at` made this process the holder."""
    lease.record = record
    lease.first_seen_at = asked_at
    lease.renewed_at = asked_at


def record_renewal(lease: Lease, revision: int, asked_at: float) -> None:
    """Note that a renewal that was sent at `asked_at` was accepted."""
    record = lease.record
    renewed = LeaseRecord(record.holder, record.incarnation, record.fencing, revision)
    record_acquisition(lease, renewed, asked_at)


def drop_lease(lease: Lease) -> None:
    """Stop acting as the holder."""
    lease.renewed_at = None
    lease.last_read_at = -1e9


def mark_fencing_refused(lease: Lease) -> None:
    """Note that the own fencing number was refused; it is never used again."""
    lease.refused_fencing = lease.record.fencing
    drop_lease(lease)

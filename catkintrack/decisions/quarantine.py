"""Quarantine the parts of prompts whose requests crash replicas ("queries of death").

A replica that is lost while a request has begun to be answered, but before its first
event, is held against the parts of that request's prompt.  Sound parts clear themselves:
any request with the part that gets an event shows that it is not the cause.  A part
under which several replicas were lost in a row is quarantined: requests with it are
refused until a trial of a single one shows that it is sound.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Replicas lost in a row, without an event in between, that quarantine a part.  A single
# failure of hardware can hit two replicas at once.
LOST_REPLICAS_TO_QUARANTINE = 3
# Replicas lost longer ago are not held against a part.
SUSPICION_S = 120.0
# A trial may cost a replica.
QUARANTINE_S = 600.0
QUARANTINE_MAX_S = 3600.0
# A trial whose request has shown nothing by then is followed by another one.
TRIAL_S = 15.0
# Instances begin their trials at this interval, so that the first one's outcome is
# known to the others.
TRIAL_STAGGER_S = 5.0
# Parts remembered as served; far more than are in use at a time.
MAX_SERVED_PARTS = 8192
MAX_SUSPECT_PARTS = 1024


@dataclass(slots=True)
class QuarantinedPart:
    """Hold until when requests with a part are refused, and for how long in all.

    `trial_at` is when the trial under way began, None if there is none.
    """

    until: float
    duration_s: float
    trial_at: float | None = None


@dataclass(slots=True)
class Quarantine:
    """Hold what is known of the parts of prompts, keyed by block hash; times in seconds.

    `lost_by_suspect` holds when each replica was lost, by its incarnation.
    """

    served_at_by_part: OrderedDict[int, float] = field(default_factory=OrderedDict)
    lost_by_suspect: OrderedDict[int, dict[str, float]] = field(
        default_factory=OrderedDict
    )
    row_by_part: dict[int, QuarantinedPart] = field(default_factory=dict)


def list_suspect_parts(blocks: Sequence[int]) -> tuple[int, ...]:
    """Return the parts of a prompt that other prompts may share."""
    return tuple(blocks[:-1] if len(blocks) > 1 else blocks)


def record_served(
    quarantine: Quarantine, parts: Iterable[int], now: float
) -> tuple[int, ...]:
    """Clear parts that a replica has answered; return those that were under suspicion."""
    cleared = []
    for part in parts:
        quarantine.served_at_by_part[part] = now
        quarantine.served_at_by_part.move_to_end(part)
        if clear_part(quarantine, part):
            cleared.append(part)
    while len(quarantine.served_at_by_part) > MAX_SERVED_PARTS:
        quarantine.served_at_by_part.popitem(last=False)
    return tuple(cleared)


def clear_part(quarantine: Quarantine, part: int) -> bool:
    """End the suspicion and quarantine of a part; report whether there was any."""
    was_suspect = quarantine.lost_by_suspect.pop(part, None) is not None
    return quarantine.row_by_part.pop(part, None) is not None or was_suspect


def record_lost_replica(
    quarantine: Quarantine, replica: str, parts: Sequence[int], now: float
) -> int | None:
    """Hold a lost replica against the parts of a request; return a part to quarantine.

    `replica` identifies one incarnation, which counts once.  If a part of the request is
    quarantined already, that one explains the loss.
    """
    known = [part for part in parts if part in quarantine.row_by_part]
    if known:
        return _extend_after_trial(quarantine, known, now)
    for part in parts:
        lost = quarantine.lost_by_suspect.setdefault(part, {})
        lost[replica] = now
        quarantine.lost_by_suspect.move_to_end(part)
        for old in [r for r, at in lost.items() if now - at > SUSPICION_S]:
            del lost[old]
    while len(quarantine.lost_by_suspect) > MAX_SUSPECT_PARTS:
        quarantine.lost_by_suspect.popitem(last=False)
    culprit = _find_culprit(quarantine, parts)
    if culprit is not None:
        put_in_quarantine(quarantine, culprit, QUARANTINE_S, now)
    return culprit


def _find_culprit(quarantine: Quarantine, parts: Sequence[int]) -> int | None:
    """Return the part that explains enough losses: the one served least recently.

    Of parts that were never served the last one is taken: parts that many prompts share
    come first.
    """
    due = [
        part
        for part in parts
        if len(quarantine.lost_by_suspect.get(part, ())) >= LOST_REPLICAS_TO_QUARANTINE
    ]
    served_at = quarantine.served_at_by_part
    return min(reversed(due), key=lambda part: served_at.get(part, -1.0), default=None)


def _extend_after_trial(
    quarantine: Quarantine, parts: Iterable[int], now: float
) -> int | None:
    """Quarantine a part again if its trial cost a replica; return that part."""
    for part in parts:
        row = quarantine.row_by_part[part]
        if row.until <= now:
            duration_s = min(QUARANTINE_MAX_S, 2 * row.duration_s)
            put_in_quarantine(quarantine, part, duration_s, now)
            return part
    return None


def put_in_quarantine(
    quarantine: Quarantine, part: int, duration_s: float, now: float
) -> None:
    """Quarantine a part; it explains the losses that are held against other parts."""
    quarantine.row_by_part[part] = QuarantinedPart(now + duration_s, duration_s)
    explained = quarantine.lost_by_suspect.pop(part, {})
    for other, lost in list(quarantine.lost_by_suspect.items()):
        for replica in explained:
            lost.pop(replica, None)
        if not lost:
            del quarantine.lost_by_suspect[other]


def adopt_quarantine(
    quarantine: Quarantine, part: int, remaining_s: float, duration_s: float, now: float
) -> bool:
    """Adopt a quarantine that a peer or the store reports; report whether it is new.

    The longer one counts.
    """
    row = quarantine.row_by_part.get(part)
    duration_s = min(duration_s, QUARANTINE_MAX_S)
    until = now + min(remaining_s, duration_s)
    if row is not None and row.until >= until:
        return False
    put_in_quarantine(quarantine, part, duration_s, now)
    quarantine.row_by_part[part].until = until
    return row is None


def find_quarantine_end(
    quarantine: Quarantine, parts: Iterable[int], rank: int, now: float
) -> float | None:
    """Return when a request with these parts may be sent, None if now.

    After a part's quarantine an instance sends one request as a trial; `rank` is its
    position among the live instances.
    """
    if not quarantine.row_by_part:
        return None
    ends = []
    for part in parts:
        row = quarantine.row_by_part.get(part)
        if row is None:
            continue
        until = row.until + rank * TRIAL_STAGGER_S
        if row.trial_at is not None:
            until = max(until, row.trial_at + TRIAL_S)
        if until > now:
            ends.append(until)
    return max(ends, default=None)


def begin_trial(quarantine: Quarantine, parts: Iterable[int], now: float) -> None:
    """Record that a request with parts whose quarantine is over is sent as their trial."""
    for part in parts:
        row = quarantine.row_by_part.get(part)
        if row is not None:
            row.trial_at = now

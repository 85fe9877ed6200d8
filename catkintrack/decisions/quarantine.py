"""Quarantine requests that crash replicas ("queries of death").

A replica that is lost before a request's response is complete is held against the
request's content, which its repetitions under other request IDs share.  If a response
has begun, but has no event yet, the loss is also held against the parts of the request's
prompt, which other requests share.

A suspect that any instance has seen answered is sound.  One under which several replicas
were lost without an answer in between is quarantined: requests with it are refused until
a trial of a single one shows that it is sound.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

# Replicas lost to a part that quarantine it.  A failure of hardware can hit two replicas
# at once.
LOST_REPLICAS_TO_QUARANTINE = 3
# The same for a suspect that was answered before, and the seconds that lie between its
# losses: those with another cause must not be taken for its own while no replica is left
# to answer it.
LOST_REPLICAS_OF_SERVED_PART = 8
LOSS_INTERVAL_S = 1.0
# Replicas lost longer ago are not held against a part.
SUSPICION_S = 120.0
# A trial may cost a replica.
QUARANTINE_S = 600.0
QUARANTINE_MAX_S = 3600.0
# The same for a content: who sends it again waits for seconds, not for minutes.
CONTENT_QUARANTINE_S = 30.0
CONTENT_QUARANTINE_MAX_S = 86400.0
# Factors of the duration after each trial that cost a replica.
PART_BACKOFF = 2.0
CONTENT_BACKOFF = 20.0
# A reported quarantine that ends later than the known one by less is the same one.
SAME_QUARANTINE_S = 10.0
# A trial whose request has shown nothing by then is followed by another one.
TRIAL_S = 15.0
# Peers remember for this long that a part was answered, and are not told again.
ANNOUNCEMENT_S = 60.0
# Parts remembered as served; far more than are in use at a time.
MAX_SERVED_PARTS = 8192
MAX_COMPLETED_CONTENTS = 4096
MAX_SUSPECTS = 4096
MAX_QUARANTINED = 256
# More parts of one prompt are not looked at.
MAX_PARTS_PER_PROMPT = 64
PART_CACHE_SIZE = 8192


@dataclass(slots=True)
class QuarantineRow:
    """Hold until when requests with a suspect are refused, and for how long in all.

    `trial_at` is when the trial under way began, None if there is none.
    """

    until: float
    duration_s: float
    is_content: bool = False
    trial_at: float | None = None


@dataclass(slots=True)
class Quarantine:
    """Hold what is known of contents and parts of prompts, by hash; times in seconds.

    `lost_by_suspect` holds when each replica was lost, keyed by its incarnation,
    `announced_at_by_suspect` when an instance last announced that one was answered.
    """

    served_at_by_suspect: OrderedDict[int, float] = field(default_factory=OrderedDict)
    completed_at_by_content: OrderedDict[int, float] = field(
        default_factory=OrderedDict
    )
    lost_by_suspect: OrderedDict[int, dict[str, float]] = field(
        default_factory=OrderedDict
    )
    row_by_suspect: dict[int, QuarantineRow] = field(default_factory=dict)
    announced_at_by_suspect: OrderedDict[int, float] = field(
        default_factory=OrderedDict
    )


def list_suspect_parts(ids: Sequence[str]) -> tuple[int, ...]:
    """Return the hashes of a prompt's parts that other prompts may share.

    They do not depend on the model or the workspace: a part crashes replicas whatever
    else the request holds.
    """
    shared = ids[:-1] if len(ids) > 1 else ids
    return tuple(_hash_part(id) for id in shared[:MAX_PARTS_PER_PROMPT])


@lru_cache(PART_CACHE_SIZE)
def _hash_part(id: str) -> int:
    digest = hashlib.blake2b(id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def hash_content(workspace: str, method: bytes, target: bytes, body: bytes) -> int:
    """Return the hash of what a caller sends again under another request ID."""
    digest = hashlib.blake2b(digest_size=8, person=b"content")
    for value in (workspace.encode(), method, target, body):
        digest.update(b"%d:" % len(value))
        digest.update(value)
    return int.from_bytes(digest.digest(), "big")


def _drop_oldest(table: OrderedDict[int, Any], size: int) -> None:
    while len(table) > size:
        table.popitem(last=False)


def record_served(
    quarantine: Quarantine, suspects: Iterable[int], now: float
) -> tuple[int, ...]:
    """Clear what a replica has answered; return those that were under suspicion."""
    cleared = []
    for suspect in suspects:
        quarantine.served_at_by_suspect[suspect] = now
        quarantine.served_at_by_suspect.move_to_end(suspect)
        was_suspect = quarantine.lost_by_suspect.pop(suspect, None) is not None
        was_quarantined = quarantine.row_by_suspect.pop(suspect, None) is not None
        if was_quarantined or was_suspect:
            cleared.append(suspect)
    _drop_oldest(quarantine.served_at_by_suspect, MAX_SERVED_PARTS)
    return tuple(cleared)


def record_completed(quarantine: Quarantine, content: int, now: float) -> bool:
    """Record that a call was answered completely; report whether it was suspect."""
    completed = quarantine.completed_at_by_content
    completed[content] = now
    completed.move_to_end(content)
    _drop_oldest(completed, MAX_COMPLETED_CONTENTS)
    return content in quarantine.lost_by_suspect or content in quarantine.row_by_suspect


def _is_served(quarantine: Quarantine, suspect: int) -> bool:
    served = quarantine.served_at_by_suspect
    return suspect in served or suspect in quarantine.completed_at_by_content


def list_unannounced(
    quarantine: Quarantine, suspects: Iterable[int], now: float
) -> tuple[int, ...]:
    """Return the suspects that were answered, which the peers may not know."""
    announced_at = quarantine.announced_at_by_suspect
    return tuple(
        suspect
        for suspect in suspects
        if _is_served(quarantine, suspect)
        and now - announced_at.get(suspect, -math.inf) > ANNOUNCEMENT_S
    )


def record_announced(
    quarantine: Quarantine, suspects: Iterable[int], now: float
) -> None:
    """Record that the peers were notified that suspects were answered."""
    for suspect in suspects:
        quarantine.announced_at_by_suspect[suspect] = now
        quarantine.announced_at_by_suspect.move_to_end(suspect)
    _drop_oldest(quarantine.announced_at_by_suspect, MAX_SUSPECTS)


def record_lost_replica(
    quarantine: Quarantine,
    replica: str,
    parts: Sequence[int],
    now: float,
    content: int | None = None,
) -> int | None:
    """Hold a lost replica against a request; return a suspect to quarantine.

    `replica` identifies one incarnation, which counts once.  If a suspect of the request
    is quarantined already, that one explains the loss.
    """
    suspects = (*parts,) if content is None else (*parts, content)
    known = [s for s in suspects if s in quarantine.row_by_suspect]
    for suspect in known or suspects:
        _add_loss(quarantine, suspect, replica, now)
    if known:
        for suspect in known:
            _release_explained(quarantine, suspect)
        return _extend_after_trial(quarantine, known, now)
    culprit = _find_culprit(quarantine, suspects)
    _drop_oldest(quarantine.lost_by_suspect, MAX_SUSPECTS)
    if culprit is not None:
        _release_explained(quarantine, culprit)
        is_content = culprit == content
        duration_s = CONTENT_QUARANTINE_S if is_content else QUARANTINE_S
        until = now + duration_s
        put_in_quarantine(quarantine, culprit, until, duration_s, is_content)
    return culprit


def _add_loss(quarantine: Quarantine, suspect: int, replica: str, now: float) -> None:
    """Hold a lost replica against a suspect, and forget those lost long ago."""
    lost = quarantine.lost_by_suspect.setdefault(suspect, {})
    lost[replica] = now
    quarantine.lost_by_suspect.move_to_end(suspect)
    for old in [r for r, at in lost.items() if now - at > SUSPICION_S]:
        del lost[old]


def _find_culprit(quarantine: Quarantine, suspects: Sequence[int]) -> int | None:
    """Return the suspect that explains the most losses, if they are enough.

    Of equal ones the last is taken: parts that many prompts share come first, and the
    content, which only repetitions share, is last.
    """
    count_by_suspect = {
        suspect: len(quarantine.lost_by_suspect.get(suspect, ()))
        for suspect in suspects
    }
    due = [
        suspect
        for suspect in suspects
        if _has_enough_losses(quarantine, suspect)
        and not _is_explained(quarantine, suspect)
    ]
    return max(reversed(due), key=count_by_suspect.__getitem__, default=None)


def _is_explained(quarantine: Quarantine, suspect: int) -> bool:
    """Report whether all of a suspect's losses, and more, have a quarantined culprit.

    With equal losses either may be the culprit.
    """
    lost = quarantine.lost_by_suspect[suspect].keys()
    return any(
        lost < quarantine.lost_by_suspect.get(culprit, {}).keys()
        for culprit in quarantine.row_by_suspect
    )


def _has_enough_losses(quarantine: Quarantine, suspect: int) -> bool:
    """Report whether a suspect's losses quarantine it."""
    lost = quarantine.lost_by_suspect.get(suspect, {})
    if not _is_served(quarantine, suspect):
        return len(lost) >= LOST_REPLICAS_TO_QUARANTINE
    if len(lost) < LOST_REPLICAS_OF_SERVED_PART:
        return False
    # A content that many callers send is lost with all replicas of a rack at once.
    moments = 0
    last_at = -math.inf
    for at in sorted(lost.values()):
        if at - last_at >= LOSS_INTERVAL_S:
            moments += 1
            last_at = at
    return moments >= LOST_REPLICAS_TO_QUARANTINE


def _release_explained(quarantine: Quarantine, culprit: int) -> None:
    """End the quarantine of suspects whose losses the culprit explains, and more."""
    explained = quarantine.lost_by_suspect[culprit].keys()
    for suspect in list(quarantine.row_by_suspect):
        lost = quarantine.lost_by_suspect.get(suspect, {}).keys()
        if lost and lost < explained:
            del quarantine.row_by_suspect[suspect]


def _extend_after_trial(
    quarantine: Quarantine, suspects: Iterable[int], now: float
) -> int | None:
    """Quarantine a suspect again if its trial cost a replica; return that suspect."""
    for suspect in suspects:
        row = quarantine.row_by_suspect.get(suspect)
        if row is not None and row.until <= now:
            backoff = CONTENT_BACKOFF if row.is_content else PART_BACKOFF
            duration_s = min(_find_max_s(row.is_content), backoff * row.duration_s)
            until = now + duration_s
            put_in_quarantine(quarantine, suspect, until, duration_s, row.is_content)
            return suspect
    return None


def _find_max_s(is_content: bool) -> float:
    return CONTENT_QUARANTINE_MAX_S if is_content else QUARANTINE_MAX_S


def put_in_quarantine(
    quarantine: Quarantine,
    suspect: int,
    until: float,
    duration_s: float,
    is_content: bool = False,
) -> None:
    """Refuse requests with a suspect until a time."""
    rows = quarantine.row_by_suspect
    rows[suspect] = QuarantineRow(until, duration_s, is_content)
    if len(rows) > MAX_QUARANTINED:
        others = (other for other in rows if other != suspect)
        del rows[min(others, key=lambda other: rows[other].until)]


def adopt_quarantine(
    quarantine: Quarantine,
    suspect: int,
    remaining_s: float,
    duration_s: float,
    now: float,
    is_content: bool = False,
) -> bool:
    """Adopt a quarantine that a peer or the store reports; report whether it is new.

    A suspect that is known to have been answered is not adopted: its answer is newer, or
    the report takes it for the culprit wrongly.
    """
    if _is_served(quarantine, suspect):
        return False
    row = quarantine.row_by_suspect.get(suspect)
    duration_s = min(duration_s, _find_max_s(is_content))
    until = now + min(remaining_s, duration_s)
    # Reports are relative to their arrival, so each transit adds a little.
    if row is not None and until < row.until + SAME_QUARANTINE_S:
        return False
    put_in_quarantine(quarantine, suspect, until, duration_s, is_content)
    return row is None


def find_quarantine_end(
    quarantine: Quarantine, suspects: Iterable[int], rank: int, now: float
) -> float | None:
    """Return when a request with these suspects may be sent, None if now.

    After a quarantine only the first live instance, of rank 0, sends a request as a
    trial, one at a time.
    """
    if not quarantine.row_by_suspect:
        return None
    ends = []
    for suspect in suspects:
        row = quarantine.row_by_suspect.get(suspect)
        if row is None:
            continue
        until = row.until
        if rank > 0:
            until = max(until, now + TRIAL_S)
        elif row.trial_at is not None:
            until = max(until, row.trial_at + TRIAL_S)
        if until > now:
            ends.append(until)
    return max(ends, default=None)


def begin_trial(quarantine: Quarantine, suspects: Iterable[int], now: float) -> None:
    """Record that a request whose suspects' quarantine is over is sent as a trial."""
    for suspect in suspects:
        row = quarantine.row_by_suspect.get(suspect)
        if row is not None:
            row.trial_at = now

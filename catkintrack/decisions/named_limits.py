"""Remember the limits that replicas name in their answers.

A replica in need names how many requests a second it takes from all instances together.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from catkintrack.fleet import Upstream

# Far more than the replicas of a fleet that can be in need at once.
MAX_REMEMBERED = 4096


@dataclass(slots=True)
class NamedLimit:
    """Hold the limit that a replica's incarnation has named; times in seconds.

    `begun_at` is when the first answer with it arrived, `named_at` the last one.
    """

    incarnation: int
    per_s: float
    begun_at: float
    named_at: float


@dataclass(slots=True)
class NamedLimitTable:
    """Hold the limits in force by replica."""

    limit_by_upstream: dict[str, NamedLimit] = field(default_factory=dict)


def is_usable_limit(per_s: float) -> bool:
    """Report whether a named limit is one; NaN stands for no number."""
    return math.isfinite(per_s) and per_s >= 0


def find_limit(table: NamedLimitTable, upstream: Upstream) -> NamedLimit | None:
    """Return the limit that this life of a replica, or a later one, has named, if any."""
    limit = table.limit_by_upstream.get(upstream.id)
    if limit is None or upstream.incarnation > limit.incarnation:
        return None
    return limit


def record_limit(
    table: NamedLimitTable, upstream: Upstream, per_s: float, sent_at: float, now: float
) -> bool:
    """Record a limit named in the answer to a request sent at `sent_at`.

    Report whether the replica had named none before.  Answers may overtake each other:
    of two to requests sent before the first arrived, the lower limit holds.
    """
    known = find_limit(table, upstream)
    if known is not None:
        if known.incarnation == upstream.incarnation:
            is_later = sent_at >= known.named_at
            known.per_s = per_s if is_later else min(per_s, known.per_s)
            known.named_at = now
        return False
    limits = table.limit_by_upstream
    limits.pop(upstream.id, None)
    limits[upstream.id] = NamedLimit(upstream.incarnation, per_s, now, now)
    if len(limits) > MAX_REMEMBERED:
        del limits[next(iter(limits))]
    return True


def end_unnamed_limit(
    table: NamedLimitTable, upstream: Upstream, sent_at: float
) -> NamedLimit | None:
    """End a limit that the answer to a request sent at `sent_at` does not name.

    Return the limit if the request was sent after the last answer that names it.
    """
    limit = table.limit_by_upstream.get(upstream.id)
    if limit is None or upstream.incarnation < limit.incarnation:
        return None
    if upstream.incarnation == limit.incarnation and sent_at < limit.named_at:
        return None
    return table.limit_by_upstream.pop(upstream.id)

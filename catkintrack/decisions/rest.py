"""Decide how long a replica that asked for rest gets nothing, and how work returns.

A rest is no failure: it neither ejects a replica nor slows its start.  It belongs to the
replica's incarnation and ends a random time after the stated one, differently on each
instance.  Then one request goes first; its answer, or RETURN_TRIAL_S, opens the replica
to all others.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from catkintrack.fleet import Upstream

# Replicas rest for seconds.  A longer time is more likely a mistake, and a replica that
# means it can ask again.
REST_MAX_S = 60.0
# Largest random addition to a rest, as a fraction of it, and the bounds of that.
SPREAD_SHARE = 0.25
SPREAD_MIN_S = 0.1
SPREAD_MAX_S = 1.0
# Time in which at most one request goes to a replica whose rest has ended.
RETURN_TRIAL_S = 1.0


@dataclass(slots=True)
class Rest:
    """Hold one rest; times in seconds.

    The replica asked for nothing until `ends_at`; this instance sends it nothing until
    `returns_at`, and its first request again at `trial_at`.  `is_inherited` is set if
    an earlier life asked for it: then only the order of the return is left of it.
    """

    incarnation: int
    ends_at: float
    returns_at: float
    trial_at: float | None = None
    is_inherited: bool = False


@dataclass(slots=True)
class RestTable:
    """Hold the replicas that rest or return from a rest."""

    rest_by_upstream: dict[str, Rest] = field(default_factory=dict)


def is_usable_time(retry_after_s: float) -> bool:
    """Report whether a replica's stated time is one; NaN stands for no number."""
    return not math.isnan(retry_after_s) and retry_after_s >= 0


def bound_rest_s(retry_after_s: float | None) -> float:
    """Return for how long a replica that states this time rests, 0.0 if not at all.

    Times that are negative or no number give no rest, longer ones than REST_MAX_S that
    one.
    """
    if retry_after_s is None or not is_usable_time(retry_after_s):
        return 0.0
    return min(retry_after_s, REST_MAX_S)


def begin_rest(
    table: RestTable, upstream: Upstream, retry_after_s: float, now: float, rng: Random
) -> bool:
    """Begin or extend a rest; report whether one has begun."""
    rest_s = bound_rest_s(retry_after_s)
    if not rest_s:
        return False
    ends_at = now + rest_s
    known = find_rest(table, upstream)
    was_resting = is_resting(known, now)
    if known is not None and (
        known.incarnation > upstream.incarnation or known.ends_at >= ends_at
    ):
        # The word of an earlier life, or one that adds nothing.
        return False
    returns_at = ends_at + _bound_spread_s(rest_s) * rng.random()
    rest = Rest(upstream.incarnation, ends_at, returns_at)
    table.rest_by_upstream[upstream.id] = rest
    return not was_resting


def _bound_spread_s(rest_s: float) -> float:
    return min(SPREAD_MAX_S, max(SPREAD_MIN_S, SPREAD_SHARE * rest_s))


def find_rest(table: RestTable, upstream: Upstream) -> Rest | None:
    """Return the rest of this life of a replica, or of a later one, if any."""
    rest = table.rest_by_upstream.get(upstream.id)
    if rest is None or upstream.incarnation > rest.incarnation:
        return None
    return rest


def is_resting(rest: Rest | None, now: float) -> bool:
    """Report whether nothing may be sent to the replica."""
    return rest is not None and now < rest.returns_at


def is_held(rest: Rest | None, now: float) -> bool:
    """Report whether no request may be placed on the replica.

    It rests, or the first request after its rest has no answer yet.
    """
    if rest is None or has_returned(rest, now):
        return False
    return now < rest.returns_at or rest.trial_at is not None


def record_placed(rest: Rest | None, now: float) -> None:
    """Record that a request was placed on the replica."""
    if rest is not None and now >= rest.returns_at and rest.trial_at is None:
        rest.trial_at = now


def has_returned(rest: Rest, now: float) -> bool:
    """Report whether the time for a first request is over as well."""
    return now >= rest.returns_at + RETURN_TRIAL_S


def end_answered_rest(
    table: RestTable, upstream: Upstream, sent_at: float
) -> Rest | None:
    """End a rest if the answered request was sent after it; return it if so."""
    rest = find_rest(table, upstream)
    if rest is None or sent_at < rest.returns_at:
        return None
    return table.rest_by_upstream.pop(upstream.id)


def end_rest_of_earlier_life(table: RestTable, upstream: Upstream, now: float) -> bool:
    """End a rest that an earlier life asked for; report whether there was one.

    Until its entry arrives, a new life's word is taken for that of the earlier one.  It
    may rest itself, so it still gets one request first.
    """
    rest = table.rest_by_upstream.get(upstream.id)
    if rest is None or rest.incarnation >= upstream.incarnation:
        return False
    _inherit_rest(table, upstream, now)
    return not rest.is_inherited


def record_word_of_earlier_life(
    table: RestTable, upstream: Upstream, now: float
) -> None:
    """Record that a life before the present one, `upstream`, seemed to ask for rest."""
    if find_rest(table, upstream) is None:
        _inherit_rest(table, upstream, now)


def _inherit_rest(table: RestTable, upstream: Upstream, now: float) -> None:
    inherited = Rest(upstream.incarnation, now, now, is_inherited=True)
    table.rest_by_upstream[upstream.id] = inherited


def find_earliest_return(rests: Iterable[Rest | None], now: float) -> float | None:
    """Return when the first of the replicas returns, or None unless all rest."""
    returns_at: list[float] = []
    for rest in rests:
        if rest is None or not is_resting(rest, now):
            return None
        returns_at.append(rest.returns_at)
    return min(returns_at, default=None)


def choose_return_s(
    returns_at: float, deadline_at: float, now: float, rng: Random
) -> float:
    """Return after how many seconds a caller should ask again, at random.

    The random part keeps a caller within its deadline if the return is within it.
    """
    wait_s = max(0.0, returns_at - now)
    left_s = deadline_at - max(now, returns_at)
    spread_s = _bound_spread_s(wait_s)
    if left_s > 0:
        spread_s = min(spread_s, left_s)
    return wait_s + rng.random() * spread_s

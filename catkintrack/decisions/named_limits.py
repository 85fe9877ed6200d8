"""Keep to the limits that replicas name in their answers.

A replica in need names how many requests a second it takes from all instances together.
Each instance keeps to an equal share by a token bucket of its own, without asking its
peers.  Buckets begin empty and hold little: full ones could all be spent at once.  In a
large fleet only some instances, chosen alike by all, have a share in a replica's limit.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from catkintrack.fleet import Upstream

from .rest import Rest, is_resting

# Far more than the replicas of a fleet that can be in need at once.
MAX_REMEMBERED = 4096
# A limit of zero is tried at this rate; otherwise its end would never be seen.
MIN_LIMIT_PER_S = 0.1
# Tokens that may be spent at once over all instances, as seconds of the limit and as a
# number: half of what the users allow above the limit in each 4 s, and their 5 requests.
BURST_S = 2.0
BURST_REQUESTS = 5
# Seconds of its share that an instance may save up, if that is more than one request.
SAVED_S = 0.25
# An instance without a share forgets a limit of which no peer with one has told so long.
CONFIRMATION_TIMEOUT_S = 6.0
# Far more than the time in which a lapsed entry is written again.
GONE_MEMORY_S = 60.0


@dataclass(slots=True)
class NamedLimit:
    """Hold the limit that a replica's incarnation has named; times in seconds.

    `named_at` is when the last answer with it arrived, `confirmed_at` when a peer with
    a share last told of it.  `tokens` are as of `filled_at`; `reserved` ones belong to
    requests that were placed and not sent yet.
    """

    incarnation: int
    per_s: float
    named_at: float
    share_per_s: float
    filled_at: float
    tokens: float = 0.0
    reserved: int = 0
    confirmed_at: float = -1e9


@dataclass(slots=True)
class NamedLimitTable:
    """Hold the limits in force by replica, and the instances that share them."""

    limit_by_upstream: dict[str, NamedLimit] = field(default_factory=dict)
    own_name: str = ""
    sharer_names: tuple[str, ...] = ("",)


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
            _set_share(table, upstream.id, known, now)
        return False
    limits = table.limit_by_upstream
    limits.pop(upstream.id, None)
    limit = NamedLimit(upstream.incarnation, per_s, now, 0.0, now)
    limits[upstream.id] = limit
    _set_share(table, upstream.id, limit, now)
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


def set_sharers(
    table: NamedLimitTable, own_name: str, sharer_names: Iterable[str], now: float
) -> None:
    """Divide the limits among the instances that share them, this one included."""
    names = tuple(sorted({own_name, *sharer_names}))
    if names == table.sharer_names and own_name == table.own_name:
        return
    table.own_name, table.sharer_names = own_name, names
    for id, limit in table.limit_by_upstream.items():
        _set_share(table, id, limit, now)


def _set_share(table: NamedLimitTable, id: str, limit: NamedLimit, now: float) -> None:
    _fill(limit, now)
    limit.share_per_s = compute_share_per_s(
        limit.per_s, id, table.own_name, table.sharer_names
    )


def compute_share_per_s(
    limit_per_s: float, id: str, own_name: str, sharer_names: tuple[str, ...]
) -> float:
    """Return the share of an instance in a replica's limit, in requests a second.

    No more instances have one than may each send a request at once.
    """
    per_s = max(MIN_LIMIT_PER_S, limit_per_s)
    count = int(BURST_S * limit_per_s) + BURST_REQUESTS
    if len(sharer_names) <= count:
        return per_s / len(sharer_names)
    ranked = sorted(sharer_names, key=lambda name: zlib.crc32(f"{id}/{name}".encode()))
    return per_s / count if own_name in ranked[:count] else 0.0


def _fill(limit: NamedLimit, now: float) -> None:
    """Add the tokens of the time since the last call."""
    saved = max(1.0, limit.share_per_s * SAVED_S)
    gained = (now - limit.filled_at) * limit.share_per_s
    limit.tokens = min(saved, limit.tokens + gained)
    limit.filled_at = now


def has_token(limit: NamedLimit | None, now: float) -> bool:
    """Report whether a request may be placed on the replica."""
    if limit is None:
        return True
    _fill(limit, now)
    return limit.tokens >= 1.0


def reserve_token(limit: NamedLimit | None, now: float) -> None:
    """Take a token for a request that is placed, which must have found one."""
    if limit is None:
        return
    _fill(limit, now)
    limit.tokens = max(0.0, limit.tokens - 1.0)
    # Those of requests that were never sent must not add up.
    saved = max(1.0, limit.share_per_s)
    limit.reserved = min(int(saved), limit.reserved + 1)


def take_token(limit: NamedLimit | None, now: float) -> bool:
    """Take the token of a request that is sent, or report that there is none.

    A request that was placed before the replica named its limit has none reserved.
    """
    if limit is None:
        return True
    if limit.reserved > 0:
        limit.reserved -= 1
        return True
    if not has_token(limit, now):
        return False
    limit.tokens -= 1.0
    return True


@dataclass(frozen=True, slots=True)
class TokenSupply:
    """Hold the tokens of some replicas together, and how many come in a second.

    `whole` is the number of requests that can be placed now, `next_s` the seconds until
    one of the replicas has another token, `return_s` until one returns from its rest.
    """

    whole: int
    tokens: float
    per_s: float
    next_s: float
    return_s: float


def find_supply(
    signals: Iterable[tuple[NamedLimit | None, Rest | None]], now: float
) -> TokenSupply | None:
    """Return the supply of replicas that have these limits and rests.

    Return None if there are none, or if one of them neither rests nor has a limit.
    """
    whole, tokens, per_s, next_s, return_s = 0, 0.0, 0.0, math.inf, math.inf
    is_empty = True
    for limit, rest in signals:
        is_empty = False
        if rest is not None and is_resting(rest, now):
            return_s = min(return_s, rest.returns_at - now)
            continue
        if limit is None:
            return None
        _fill(limit, now)
        whole += int(limit.tokens)
        tokens += limit.tokens
        per_s += limit.share_per_s
        if limit.share_per_s > 0:
            next_s = min(next_s, (1.0 - limit.tokens % 1.0) / limit.share_per_s)
    return None if is_empty else TokenSupply(whole, tokens, per_s, next_s, return_s)


def compute_wait_s(supply: TokenSupply, count: int) -> float:
    """Return in how many seconds `count` requests can be placed, infinity if never."""
    if count <= supply.whole:
        return 0.0
    if supply.per_s <= 0:
        return supply.return_s
    wait_s = max(supply.next_s, (count - supply.tokens) / supply.per_s)
    return min(wait_s, supply.return_s)


def list_own_limits(table: NamedLimitTable) -> tuple[str, ...]:
    """Return the replicas with a limit in which this instance has a share."""
    limits = table.limit_by_upstream.items()
    return tuple(id for id, limit in limits if limit.share_per_s > 0)


def confirm_limits(table: NamedLimitTable, ids: Iterable[str], now: float) -> None:
    """Record that a peer with a share in them knows of these replicas' limits."""
    for id in ids:
        limit = table.limit_by_upstream.get(id)
        if limit is not None:
            limit.confirmed_at = now


def forget_limits_of_gone(
    table: NamedLimitTable, known_ids: Container[str], now: float
) -> None:
    """Forget the limits of replicas that are gone, unless they may come back soon."""
    for id, limit in list(table.limit_by_upstream.items()):
        if id not in known_ids and now - limit.named_at > GONE_MEMORY_S:
            del table.limit_by_upstream[id]


def forget_unconfirmed_limits(table: NamedLimitTable, now: float) -> list[str]:
    """Forget the limits without an own share that no peer confirms; return their replicas.

    Only those with a share send requests, whose answers tell when a limit is over.
    """
    ids = [
        id
        for id, limit in table.limit_by_upstream.items()
        if limit.share_per_s <= 0
        and now - max(limit.named_at, limit.confirmed_at) > CONFIRMATION_TIMEOUT_S
    ]
    for id in ids:
        del table.limit_by_upstream[id]
    return ids

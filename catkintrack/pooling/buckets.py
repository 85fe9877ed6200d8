"""Enforce a workspace's rate limit over all instances from the usage that peers report.

Each instance keeps a token bucket for the whole limit and charges its own and its
peers' usage to it.  A peer that does not report may use its share unnoticed, so the
bucket holds and refills only the combined share of the instances that do report.

Usage is reported with a delay.  While the bucket holds far more than peers use in that
time, it grants each call.  Below that all instances would grant the same tokens at once;
each then grants only its share of them, measured by recent usage.  A share that is too
small for a call grants it with the probability that gives the share on average.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random

from catkintrack.fleet import RateLimit

from .averages import USAGE_AVERAGE_S, UsageAverage

MIN_RETRY_AFTER_S = 0.05
# Reports, one of which may be lost, until peers know of a call.
REPORTS_UNTIL_KNOWN = 2
# Growth of usage within the report delay.
GROWTH_FACTOR = 2.0
# Usage as a fraction of the rate below which no growth, and above which full growth, is
# expected within the report delay.
CALM_LOAD = 0.6
HOT_LOAD = 0.9
# After a refusal usage is low because nothing is granted, not because demand is.
HOT_AFTER_REFUSAL_S = 4.0
MIN_RATE = 1e-9


@dataclass(slots=True)
class PeerUsage:
    """Hold the cumulative usage that a peer last reported, and when it last grew.

    `grown_at` leaves out the time for which the bucket was overdrawn.
    """

    incarnation: int
    total: float
    grown_at: float = -math.inf


@dataclass(slots=True)
class TokenBucket:
    """Hold one workspace's token bucket; `level` is in the limit's unit.

    `unreported` holds the time and cost of the own calls that peers may not know yet.
    `draw` decides on calls above the own share until `draw_until`.  The level of a
    bucket that `is_provisional` is a guess, which a peer's level replaces.  While it is
    overdrawn, for `overdrawn_s` in all, peers use nothing although they have demand.
    """

    level: float
    refilled_at: float
    local_total: float = 0.0
    usage_by_peer: dict[str, PeerUsage] = field(default_factory=dict)
    local_average: UsageAverage = field(default_factory=UsageAverage)
    peer_average: UsageAverage = field(default_factory=UsageAverage)
    unreported: deque[tuple[float, float]] = field(default_factory=deque)
    unreported_cost: float = 0.0
    draw: float = 1.0
    draw_until: float = -math.inf
    is_provisional: bool = False
    refused_at: float = -math.inf
    overdrawn_s: float = 0.0


@dataclass(slots=True)
class PooledLimits:
    """Hold the buckets, keyed by workspace.

    `reporting_fraction` is the fraction of the fleet whose usage is known, including
    this instance.  `initial_level` is what all instances together may use after a
    restart at `started_at`, unless a peer sends its level; infinity means that nothing
    can have been used before.  `known_instances` is the size of the fleet, as far as
    known, and `incarnation` that of this process.
    `early_usage_by_workspace` holds what peers report before the bucket exists.
    `report_delay_s` is the time until all peers know of a call.
    """

    initial_level: float
    started_at: float
    bucket_by_workspace: dict[str, TokenBucket] = field(default_factory=dict)
    early_usage_by_workspace: dict[str, dict[str, PeerUsage]] = field(
        default_factory=dict
    )
    reporting_fraction: float = 1.0
    known_instances: int = 1
    incarnation: int | None = None
    report_delay_s: float = 0.5
    rng: Random = field(default_factory=lambda: Random(1))


def compute_report_delay_s(interval_s: float, transit_s: float) -> float:
    """Return the seconds until all peers know of a call, also if a report is lost."""
    return REPORTS_UNTIL_KNOWN * interval_s + transit_s


def ensure_bucket(
    limits: PooledLimits, workspace: str, limit: RateLimit, now: float
) -> TokenBucket:
    """Return a workspace's bucket, refilled up to now and created if missing.

    A new bucket has been refilling since the process started.
    """
    bucket = limits.bucket_by_workspace.get(workspace)
    if bucket is None:
        bucket = _make_bucket(limits, workspace, limit)
        limits.bucket_by_workspace[workspace] = bucket
    capacity = limit.burst * limits.reporting_fraction
    rate = limit.rate_per_s * limits.reporting_fraction
    elapsed_s = max(0.0, now - bucket.refilled_at)
    refill = rate * elapsed_s
    if bucket.level < 0 < rate:
        bucket.overdrawn_s += min(elapsed_s, -bucket.level / rate)
    bucket.level = min(capacity, bucket.level + refill)
    bucket.refilled_at = now
    return bucket


def _make_bucket(limits: PooledLimits, workspace: str, limit: RateLimit) -> TokenBucket:
    """Return a new bucket, charged with the usage of peers since its start."""
    level = limits.initial_level / limits.known_instances
    bucket = TokenBucket(min(limit.burst, level), limits.started_at)
    bucket.is_provisional = math.isfinite(level)
    bucket.usage_by_peer = limits.early_usage_by_workspace.pop(workspace, {})
    bucket.level -= sum(
        use.total
        for use in bucket.usage_by_peer.values()
        if not bucket.is_provisional or _has_restarted_too(limits, use)
    )
    return bucket


def _has_restarted_too(limits: PooledLimits, use: PeerUsage) -> bool:
    """Report whether a peer started with or after this process, as in a joint restart."""
    return limits.incarnation is not None and use.incarnation >= limits.incarnation


def take(
    limits: PooledLimits, workspace: str, limit: RateLimit, cost: float, now: float
) -> float | None:
    """Take `cost` and return None, or return the seconds until it is available."""
    bucket = ensure_bucket(limits, workspace, limit, now)
    capacity = limit.burst * limits.reporting_fraction
    # A cost above the burst needs only a full bucket and makes its level negative.
    needed = min(cost, capacity)
    _expire_unreported(bucket, now - limits.report_delay_s)
    peer_rate = bucket.peer_average.read(now)
    usage_rate = peer_rate + bucket.local_average.read(now)
    has_refused = now - bucket.refused_at < HOT_AFTER_REFUSAL_S
    load = HOT_LOAD if has_refused else usage_rate / max(limit.rate_per_s, MIN_RATE)
    growth = _estimate_growth(load)
    reserve = min(growth * peer_rate * limits.report_delay_s, capacity - needed)
    if bucket.level >= needed and _is_in_share(limits, bucket, cost, reserve, now):
        _charge(bucket, cost, now)
        return None
    bucket.refused_at = now
    rate = limit.rate_per_s * limits.reporting_fraction
    deficit = needed + reserve - bucket.level
    return max(MIN_RETRY_AFTER_S, deficit / rate)


def _estimate_growth(load: float) -> float:
    """Return by how much peers' usage may exceed what they report, for a limit's load.

    Usage far below the rate seldom grows before reports show it; usage near the rate
    may be all that a much larger demand was granted.
    """
    hot = min(1.0, max(0.0, (load - CALM_LOAD) / (HOT_LOAD - CALM_LOAD)))
    return 1.0 + (GROWTH_FACTOR - 1.0) * hot


def _charge(bucket: TokenBucket, cost: float, now: float) -> None:
    bucket.level -= cost
    bucket.local_total += cost
    bucket.local_average.add(cost, now)
    bucket.unreported.append((now, cost))
    bucket.unreported_cost += cost


def _expire_unreported(bucket: TokenBucket, until: float) -> None:
    """Forget the calls up to `until`, which all peers know by now."""
    while bucket.unreported and bucket.unreported[0][0] <= until:
        bucket.unreported_cost -= bucket.unreported.popleft()[1]


def _is_in_share(
    limits: PooledLimits, bucket: TokenBucket, cost: float, reserve: float, now: float
) -> bool:
    """Report whether this instance may grant a call that the bucket can pay.

    Usage that is not yet reported at all instances must add up to no more than the
    bucket holds.
    """
    active_since = now - bucket.overdrawn_s - USAGE_AVERAGE_S
    active_peers = sum(
        use.grown_at > active_since for use in bucket.usage_by_peer.values()
    )
    if not active_peers:
        return True
    own = bucket.unreported_cost
    # What the bucket held before the own calls that peers may not know yet.
    shared = bucket.level + own
    allowance = shared * _compute_share(bucket, active_peers, now)
    if own + cost <= allowance:
        return True
    usual = bucket.local_average.read(now) * limits.report_delay_s
    if bucket.level - cost >= reserve and own <= GROWTH_FACTOR * max(usual, cost):
        return True
    if own >= allowance:
        return False
    if now >= bucket.draw_until:
        bucket.draw = limits.rng.random()
        bucket.draw_until = now + limits.report_delay_s
    return bucket.draw < (allowance - own) / cost


def _compute_share(bucket: TokenBucket, active_peers: int, now: float) -> float:
    """Return the own share of recent usage, at least half of an equal share."""
    own = bucket.local_average.read(now)
    total = own + bucket.peer_average.read(now)
    least = 0.5 / (active_peers + 1)
    return max(least, own / total) if total > 0 else 2 * least


def adopt_level(limits: PooledLimits, workspace: str, level: float, now: float) -> None:
    """Give a workspace's bucket a peer's level, unless its own level is known.

    A process that has just started does not know how much was used before.
    """
    bucket = limits.bucket_by_workspace.get(workspace)
    if bucket is None:
        bucket = TokenBucket(level, now)
        bucket.usage_by_peer = limits.early_usage_by_workspace.pop(workspace, {})
        limits.bucket_by_workspace[workspace] = bucket
    elif bucket.is_provisional:
        # The peer does not know this process's usage yet.
        bucket.level = level - bucket.local_total
        bucket.refilled_at = now
        bucket.is_provisional = False


def forget_peer_usage(limits: PooledLimits, peer: str) -> None:
    """Take a peer's next report as its first, since its counts began anew."""
    for bucket in limits.bucket_by_workspace.values():
        bucket.usage_by_peer.pop(peer, None)
    for early in limits.early_usage_by_workspace.values():
        early.pop(peer, None)


def limit_after_pause(limits: PooledLimits, now: float) -> None:
    """Keep only an even share of each bucket after this process was paused.

    Peers may have used the limits meanwhile; their reports have yet to be read.
    """
    for bucket in limits.bucket_by_workspace.values():
        if bucket.level > 0:
            bucket.level /= limits.known_instances
        bucket.refilled_at = now


def refund(limits: PooledLimits, workspace: str, cost: float) -> None:
    """Return the cost of a call that did not run to the bucket."""
    bucket = limits.bucket_by_workspace.get(workspace)
    if bucket is not None:
        bucket.level += cost
        bucket.local_total -= cost


def record_peer_usage(
    limits: PooledLimits,
    peer: str,
    incarnation: int,
    workspace: str,
    total: float,
    now: float,
) -> None:
    """Charge a peer's new usage to the bucket.

    The first report of a peer that has run for longer than this process is a baseline.
    """
    bucket = limits.bucket_by_workspace.get(workspace)
    if bucket is None:
        early = limits.early_usage_by_workspace.setdefault(workspace, {})
        early[peer] = PeerUsage(incarnation, total)
        return
    known = bucket.usage_by_peer.get(peer)
    if known is None:
        known = PeerUsage(incarnation, total)
        bucket.usage_by_peer[peer] = known
        if not _has_restarted_too(limits, known):
            return
        known.total = 0.0
    if incarnation < known.incarnation:
        return
    is_same_incarnation = incarnation == known.incarnation
    used = total - known.total if is_same_incarnation else total
    bucket.level -= used
    known.incarnation = incarnation
    known.total = total
    if used > 0:
        known.grown_at = now - bucket.overdrawn_s
        bucket.peer_average.add(used, now)

"""Enforce a workspace's rate limit over all instances from the usage that peers report.

Each instance keeps a token bucket for the whole limit and charges its own and its
peers' usage to it.  A peer that does not report may use its share unnoticed, so the
bucket holds and refills only the combined share of the instances that do report.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from catkintrack.fleet import RateLimit

MIN_RETRY_AFTER_S = 0.05


@dataclass(slots=True)
class PeerUsage:
    """Hold the cumulative usage that a peer last reported."""

    incarnation: int
    total: float


@dataclass(slots=True)
class TokenBucket:
    """Hold one workspace's token bucket; `level` is in the limit's unit."""

    level: float
    refilled_at: float
    local_total: float = 0.0
    usage_by_peer: dict[str, PeerUsage] = field(default_factory=dict)


@dataclass(slots=True)
class PooledLimits:
    """Hold the buckets, keyed by workspace.

    `reporting_fraction` is the fraction of the fleet whose usage is known, including
    this instance.  `initial_level` is a bucket's level at `started_at`, unless a peer
    sends its own; infinity means that nothing can have been used before.
    `early_usage_by_workspace` holds what peers report before the bucket exists.
    """

    initial_level: float
    started_at: float
    bucket_by_workspace: dict[str, TokenBucket] = field(default_factory=dict)
    early_usage_by_workspace: dict[str, dict[str, PeerUsage]] = field(
        default_factory=dict
    )
    reporting_fraction: float = 1.0


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
    refill = (
        limit.rate_per_s
        * limits.reporting_fraction
        * max(0.0, now - bucket.refilled_at)
    )
    bucket.level = min(capacity, bucket.level + refill)
    bucket.refilled_at = now
    return bucket


def _make_bucket(limits: PooledLimits, workspace: str, limit: RateLimit) -> TokenBucket:
    """Return a new bucket; if it starts full, charge all usage of peers to it."""
    bucket = TokenBucket(min(limit.burst, limits.initial_level), limits.started_at)
    bucket.usage_by_peer = limits.early_usage_by_workspace.pop(workspace, {})
    if math.isinf(limits.initial_level):
        bucket.level -= sum(use.total for use in bucket.usage_by_peer.values())
    return bucket


def take(
    limits: PooledLimits, workspace: str, limit: RateLimit, cost: float, now: float
) -> float | None:
    """Take `cost` and return None, or return the seconds until it is available."""
    bucket = ensure_bucket(limits, workspace, limit, now)
    # A cost above the burst needs only a full bucket and makes its level negative.
    needed = min(cost, limit.burst * limits.reporting_fraction)
    if bucket.level >= needed:
        bucket.level -= cost
        bucket.local_total += cost
        return None
    rate = limit.rate_per_s * limits.reporting_fraction
    return max(MIN_RETRY_AFTER_S, (needed - bucket.level) / rate)


def adopt_level(limits: PooledLimits, workspace: str, level: float, now: float) -> None:
    """Create a workspace's bucket with a peer's level, unless it exists already.

    A process that has just started does not know how much was used before.
    """
    if workspace not in limits.bucket_by_workspace:
        bucket = TokenBucket(level, now)
        bucket.usage_by_peer = limits.early_usage_by_workspace.pop(workspace, {})
        limits.bucket_by_workspace[workspace] = bucket


def refund(limits: PooledLimits, workspace: str, cost: float) -> None:
    """Return the cost of a call that did not run to the bucket."""
    bucket = limits.bucket_by_workspace.get(workspace)
    if bucket is not None:
        bucket.level += cost
        bucket.local_total -= cost


def record_peer_usage(
    limits: PooledLimits, peer: str, incarnation: int, workspace: str, total: float
) -> None:
    """Charge a peer's new usage to the bucket; its first report is a baseline."""
    bucket = limits.bucket_by_workspace.get(workspace)
    if bucket is None:
        early = limits.early_usage_by_workspace.setdefault(workspace, {})
        early[peer] = PeerUsage(incarnation, total)
        return
    known = bucket.usage_by_peer.get(peer)
    if known is None:
        bucket.usage_by_peer[peer] = PeerUsage(incarnation, total)
        return
    if incarnation < known.incarnation:
        return
    is_same_incarnation = incarnation == known.incarnation
    bucket.level -= total - known.total if is_same_incarnation else total
    bucket.usage_by_peer[peer] = PeerUsage(incarnation, total)

"""Keep a workspace's limit over all instances by the use that peers report.

Each instance holds a bucket of the whole limit and takes its own and its peers' use
out of it.  A peer that is silent may use its share unseen, so that the bucket fills
only at the rate of those that are heard.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from catkintrack.fleet import TokenLimit

MIN_RETRY_AFTER_S = 0.05


@dataclass(slots=True)
class PeerUsage:
    """Hold a peer's cumulative use, as it last reported it."""

    incarnation: int
    total: float


@dataclass(slots=True)
class TokenBucket:
    """Hold one workspace's bucket; `level` is in the limit's unit."""

    level: float
    refilled_at: float
    local_total: float = 0.0
    usage_by_peer: dict[str, PeerUsage] = field(default_factory=dict)


@dataclass(slots=True)
class PooledLimits:
    """Hold the buckets, keyed by workspace.

    `heard_share` is the part of the fleet whose use is known, oneself included.
    `initial` is what a bucket holds at `started_at`, when nobody has told its level;
    an infinite one says that nobody can have used anything before.  `early_use` is what
    peers told of workspaces without a bucket here.
    """

    initial_level: float
    started_at: float
    bucket_by_workspace: dict[str, TokenBucket] = field(default_factory=dict)
    early_usage_by_workspace: dict[str, dict[str, PeerUsage]] = field(
        default_factory=dict
    )
    reporting_fraction: float = 1.0


def ensure_bucket(
    limits: PooledLimits, workspace: str, limit: TokenLimit, now: float
) -> TokenBucket:
    """Return a workspace's bucket, filled up to now.

    A bucket of which nothing is known has filled since the process started.
    """
    row = limits.bucket_by_workspace.get(workspace)
    if row is None:
        row = _make_row(limits, workspace, limit)
        limits.bucket_by_workspace[workspace] = row
    cap = limit.burst * limits.reporting_fraction
    gained = (
        limit.rate_per_s * limits.reporting_fraction * max(0.0, now - row.refilled_at)
    )
    row.level = min(cap, row.level + gained)
    row.refilled_at = now
    return row


def _make_row(limits: PooledLimits, workspace: str, limit: TokenLimit) -> TokenBucket:
    """Return a new bucket, less what peers have used when that is all there was."""
    row = TokenBucket(min(limit.burst, limits.initial_level), limits.started_at)
    row.usage_by_peer = limits.early_usage_by_workspace.pop(workspace, {})
    if math.isinf(limits.initial_level):
        row.level -= sum(use.total for use in row.usage_by_peer.values())
    return row


def take(
    limits: PooledLimits, workspace: str, limit: TokenLimit, cost: float, now: float
) -> float | None:
    """Take `cost` and return None, or return the seconds after which it is there."""
    row = ensure_bucket(limits, workspace, limit, now)
    # A cost above the burst goes through a full bucket and leaves a debt.
    needed = min(cost, limit.burst * limits.reporting_fraction)
    if row.level >= needed:
        row.level -= cost
        row.local_total += cost
        return None
    rate = limit.rate_per_s * limits.reporting_fraction
    return max(MIN_RETRY_AFTER_S, (needed - row.level) / rate)


def adopt_level(limits: PooledLimits, workspace: str, level: float, now: float) -> None:
    """Take over a peer's level of a bucket of which nothing is known here.

    A process that has just started does not know what was used before.
    """
    if workspace not in limits.bucket_by_workspace:
        row = TokenBucket(level, now)
        row.usage_by_peer = limits.early_usage_by_workspace.pop(workspace, {})
        limits.bucket_by_workspace[workspace] = row


def refund(limits: PooledLimits, workspace: str, cost: float) -> None:
    """Return what a call took that never ran."""
    row = limits.bucket_by_workspace.get(workspace)
    if row is not None:
        row.level += cost
        row.local_total -= cost


def record_peer_usage(
    limits: PooledLimits, peer: str, incarnation: int, workspace: str, total: float
) -> None:
    """Take a peer's new use out of the bucket; its first report is a baseline."""
    row = limits.bucket_by_workspace.get(workspace)
    if row is None:
        early = limits.early_usage_by_workspace.setdefault(workspace, {})
        early[peer] = PeerUsage(incarnation, total)
        return
    known = row.usage_by_peer.get(peer)
    if known is None:
        row.usage_by_peer[peer] = PeerUsage(incarnation, total)
        return
    if incarnation < known.incarnation:
        return
    is_same_life = incarnation == known.incarnation
    row.level -= total - known.total if is_same_life else total
    row.usage_by_peer[peer] = PeerUsage(incarnation, total)

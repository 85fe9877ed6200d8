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
class PeerUse:
    """Hold a peer's cumulative use, as it last reported it."""

    incarnation: int
    total: float


@dataclass(slots=True)
class PooledRow:
    """Hold one workspace's bucket; `level` is in the limit's unit."""

    level: float
    filled_at: float
    own_total: float = 0.0
    use_by_peer: dict[str, PeerUse] = field(default_factory=dict)


@dataclass(slots=True)
class PooledLimits:
    """Hold the buckets, keyed by workspace.

    `heard_share` is the part of the fleet whose use is known, oneself included.
    `initial` is what a bucket holds at `started_at`, when nobody has told its level;
    an infinite one says that nobody can have used anything before.  `early_use` is what
    peers told of workspaces without a bucket here.
    """

    initial: float
    started_at: float
    row_by_workspace: dict[str, PooledRow] = field(default_factory=dict)
    early_use_by_workspace: dict[str, dict[str, PeerUse]] = field(default_factory=dict)
    heard_share: float = 1.0


def find_row(
    limits: PooledLimits, workspace: str, limit: TokenLimit, now: float
) -> PooledRow:
    """Return a workspace's bucket, filled up to now.

    A bucket of which nothing is known has filled since the process started.
    """
    row = limits.row_by_workspace.get(workspace)
    if row is None:
        row = _make_row(limits, workspace, limit)
        limits.row_by_workspace[workspace] = row
    cap = limit.burst * limits.heard_share
    gained = limit.rate_per_s * limits.heard_share * max(0.0, now - row.filled_at)
    row.level = min(cap, row.level + gained)
    row.filled_at = now
    return row


def _make_row(limits: PooledLimits, workspace: str, limit: TokenLimit) -> PooledRow:
    """Return a new bucket, less what peers have used when that is all there was."""
    row = PooledRow(min(limit.burst, limits.initial), limits.started_at)
    row.use_by_peer = limits.early_use_by_workspace.pop(workspace, {})
    if math.isinf(limits.initial):
        row.level -= sum(use.total for use in row.use_by_peer.values())
    return row


def take(
    limits: PooledLimits, workspace: str, limit: TokenLimit, cost: float, now: float
) -> float | None:
    """Take `cost` and return None, or return the seconds after which it is there."""
    row = find_row(limits, workspace, limit, now)
    # A cost above the burst goes through a full bucket and leaves a debt.
    needed = min(cost, limit.burst * limits.heard_share)
    if row.level >= needed:
        row.level -= cost
        row.own_total += cost
        return None
    rate = limit.rate_per_s * limits.heard_share
    return max(MIN_RETRY_AFTER_S, (needed - row.level) / rate)


def adopt_level(limits: PooledLimits, workspace: str, level: float, now: float) -> None:
    """Take over a peer's level of a bucket of which nothing is known here.

    A process that has just started does not know what was used before.
    """
    if workspace not in limits.row_by_workspace:
        row = PooledRow(level, now)
        row.use_by_peer = limits.early_use_by_workspace.pop(workspace, {})
        limits.row_by_workspace[workspace] = row


def give_back(limits: PooledLimits, workspace: str, cost: float) -> None:
    """Return what a call took that never ran."""
    row = limits.row_by_workspace.get(workspace)
    if row is not None:
        row.level += cost
        row.own_total -= cost


def note_peer_use(
    limits: PooledLimits, peer: str, incarnation: int, workspace: str, total: float
) -> None:
    """Take a peer's new use out of the bucket; its first report is a baseline."""
    row = limits.row_by_workspace.get(workspace)
    if row is None:
        early = limits.early_use_by_workspace.setdefault(workspace, {})
        early[peer] = PeerUse(incarnation, total)
        return
    known = row.use_by_peer.get(peer)
    if known is None:
        row.use_by_peer[peer] = PeerUse(incarnation, total)
        return
    if incarnation < known.incarnation:
        return
    is_same_life = incarnation == known.incarnation
    row.level -= total - known.total if is_same_life else total
    row.use_by_peer[peer] = PeerUse(incarnation, total)

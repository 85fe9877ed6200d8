"""Share the fleet's room among workspaces by weight, from the usage of all instances.

Load pattern: one workspace sends seven times its usual, at all instances or at some.
An instance that counts only what it has sent itself would give it an equal share of each
instance where it queues, and so most of the fleet.

Workspaces are served in order of their recent usage by weight, in tokens read and written,
as in the virtual token counter of Sheng et al., "Fairness in serving large language
models", 2024.  Usage is forgotten with time, so that an idle workspace gains no credit and
an unused share is lent at once without a debt.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .decay import DecayingSum
from .tables import ModelRequest, Tables, WorkspaceRow

# Time constant of the usage that decides on the order.
SHARE_AVERAGE_S = 4.0


@dataclass(slots=True)
class PeerTotal:
    """Hold a peer's cumulative usage of a workspace, in tokens."""

    incarnation: int
    total: float


@dataclass(slots=True)
class FleetShares:
    """Hold the recent usage of each workspace over all instances."""

    usage_by_workspace: dict[str, DecayingSum] = field(default_factory=dict)
    total_by_peer_and_workspace: dict[tuple[str, str], PeerTotal] = field(
        default_factory=dict
    )


def record_own_usage(shares: FleetShares, request: ModelRequest, now: float) -> None:
    """Charge a request that this instance dispatches to its workspace."""
    tokens = request.prompt_tokens + request.max_tokens
    _charge(shares, request.workspace, tokens, now)


def record_peer_total(
    shares: FleetShares,
    peer: str,
    incarnation: int,
    workspace: str,
    total: float,
    now: float,
) -> None:
    """Charge what a peer has used since its last report; its first is a baseline."""
    key = (peer, workspace)
    known = shares.total_by_peer_and_workspace.get(key)
    if known is not None and incarnation < known.incarnation:
        return
    shares.total_by_peer_and_workspace[key] = PeerTotal(incarnation, total)
    if known is not None and incarnation == known.incarnation:
        _charge(shares, workspace, total - known.total, now)


def forget_peer_totals(shares: FleetShares, peers: set[str]) -> None:
    """Forget the totals of peers that are not in `peers`."""
    gone = [key for key in shares.total_by_peer_and_workspace if key[0] not in peers]
    for key in gone:
        del shares.total_by_peer_and_workspace[key]


def read_weighted_usage(shares: FleetShares, row: WorkspaceRow, now: float) -> float:
    """Return a workspace's recent usage in tokens, divided by its weight."""
    usage = shares.usage_by_workspace.get(row.name)
    return max(0.0, usage.read(now)) / row.weight if usage else 0.0


def compute_mean_usage(tables: Tables, shares: FleetShares, now: float) -> float:
    """Return the recent usage in tokens per weight of all workspaces that have any.

    A workspace that used more than that is over its share.
    """
    rows = tables.workspace_by_name
    total = weights = 0.0
    for name, usage in shares.usage_by_workspace.items():
        total += max(0.0, usage.read(now))
        weights += rows[name].weight if name in rows else 1.0
    return total / weights if weights else 0.0


def _charge(shares: FleetShares, workspace: str, tokens: float, now: float) -> None:
    usage = shares.usage_by_workspace.get(workspace)
    if usage is None:
        usage = shares.usage_by_workspace[workspace] = DecayingSum(SHARE_AVERAGE_S)
    usage.add(tokens, now)

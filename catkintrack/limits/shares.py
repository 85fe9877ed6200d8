"""Hold an instance's shares of the workspaces' token limits.

A share is a number of parts out of PARTS_TOTAL, which fixes the rate and the burst
that its holder may use, and the tokens that it has left.  Parts are conserved over
the fleet and tokens never exceed the burst that the parts stand for, so that all
holders together admit at most burst + rate * time in any stretch of time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PARTS_TOTAL = 1_000_000


@dataclass(frozen=True, slots=True)
class LimitSpec:
    """Hold a workspace's limit over the fleet, in tokens and tokens a second."""

    rate: float
    burst: float


@dataclass(slots=True)
class WorkspaceShare:
    """Hold one workspace's share; `tokens` may be negative after a settlement.

    `fresh_parts` are those that nobody has used yet: they come with full tokens as
    soon as the workspace's limit is known here.
    """

    parts: int = 0
    tokens: float = 0.0
    updated_at: float = 0.0
    fresh_parts: int = 0


@dataclass(slots=True)
class ShareTable:
    """Hold the shares of one holder, keyed by workspace."""

    spec_by_workspace: dict[str, LimitSpec] = field(default_factory=dict)
    share_by_workspace: dict[str, WorkspaceShare] = field(default_factory=dict)


def compute_burst(spec: LimitSpec, parts: int) -> float:
    """Return the tokens that `parts` may hold."""
    return spec.burst * parts / PARTS_TOTAL


def refresh_share(shares: ShareTable, workspace: str, now: float) -> WorkspaceShare:
    """Return the workspace's share with its tokens accrued up to `now`."""
    row = shares.share_by_workspace.get(workspace)
    if row is None:
        row = WorkspaceShare(updated_at=now)
        shares.share_by_workspace[workspace] = row
    spec = shares.spec_by_workspace.get(workspace)
    if spec is not None:
        row.tokens += compute_burst(spec, row.fresh_parts)
        row.fresh_parts = 0
        _accrue(row, spec, now)
    return row


def _accrue(row: WorkspaceShare, spec: LimitSpec, now: float) -> None:
    elapsed_s = max(0.0, now - row.updated_at)
    accrued = row.tokens + spec.rate * row.parts / PARTS_TOTAL * elapsed_s
    row.tokens = min(accrued, compute_burst(spec, row.parts))
    row.updated_at = max(now, row.updated_at)


def set_limit_specs(
    shares: ShareTable, specs: dict[str, LimitSpec], now: float
) -> None:
    """Put new limits in force; what accrued before counts by the old ones."""
    for workspace in shares.share_by_workspace:
        refresh_share(shares, workspace, now)
    shares.spec_by_workspace = specs
    for workspace in shares.share_by_workspace:
        refresh_share(shares, workspace, now)


def debit(shares: ShareTable, workspace: str, tokens: float, now: float) -> float:
    """Take `tokens` if the share has them; return how many are missing, else 0."""
    row = refresh_share(shares, workspace, now)
    if row.tokens < tokens:
        return tokens - row.tokens
    row.tokens -= tokens
    return 0.0


def refund_tokens(
    shares: ShareTable, workspace: str, tokens: float, now: float
) -> None:
    """Give back reserved tokens that were not used; negative ones are owed."""
    row = refresh_share(shares, workspace, now)
    spec = shares.spec_by_workspace.get(workspace)
    if spec is not None:
        row.tokens = min(row.tokens + tokens, compute_burst(spec, row.parts))

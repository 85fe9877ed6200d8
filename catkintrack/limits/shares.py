"""Keep an instance's shares of the workspaces' token limits.

A share is a token bucket: a number of parts out of PARTS_TOTAL, which sets its rate
and burst as a fraction of the workspace's limit, and the tokens left.  The parts of
all holders never add up to more than PARTS_TOTAL and the tokens of a share never
exceed its burst, so that all holders together admit at most burst + rate * time
in any period.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PARTS_TOTAL = 1_000_000


@dataclass(frozen=True, slots=True)
class LimitSpec:
    """Specify a workspace's fleet-wide limit: `rate` in tokens/s, `burst` in tokens."""

    rate: float
    burst: float


@dataclass(slots=True)
class WorkspaceShare:
    """Represent one workspace's share of its limit.

    `tokens` is negative after a call used more than it reserved.  `fresh_parts` counts
    parts that have never been used; their full burst is added to `tokens` once the
    workspace's limit is known here.
    """

    parts: int = 0
    tokens: float = 0.0
    updated_at: float = 0.0
    fresh_parts: int = 0


@dataclass(slots=True)
class ShareTable:
    """Hold the shares of one holder and their limits, keyed by workspace."""

    spec_by_workspace: dict[str, LimitSpec] = field(default_factory=dict)
    share_by_workspace: dict[str, WorkspaceShare] = field(default_factory=dict)


def compute_burst(spec: LimitSpec, parts: int) -> float:
    """Return the burst, in tokens, of a share with `parts` parts."""
    return spec.burst * parts / PARTS_TOTAL


def refresh_share(shares: ShareTable, workspace: str, now: float) -> WorkspaceShare:
    """Return the workspace's share, created if absent, with tokens accrued to `now`."""
    share = shares.share_by_workspace.get(workspace)
    if share is None:
        share = WorkspaceShare(updated_at=now)
        shares.share_by_workspace[workspace] = share
    spec = shares.spec_by_workspace.get(workspace)
    if spec is not None:
        share.tokens += compute_burst(spec, share.fresh_parts)
        share.fresh_parts = 0
        _accrue_tokens(share, spec, now)
    return share


def _accrue_tokens(share: WorkspaceShare, spec: LimitSpec, now: float) -> None:
    elapsed_s = max(0.0, now - share.updated_at)
    accrued = share.tokens + spec.rate * share.parts / PARTS_TOTAL * elapsed_s
    share.tokens = min(accrued, compute_burst(spec, share.parts))
    share.updated_at = max(now, share.updated_at)


def set_limit_specs(
    shares: ShareTable, specs: dict[str, LimitSpec], now: float
) -> None:
    """Replace the limits; tokens up to `now` accrue at the old rates."""
    for workspace in shares.share_by_workspace:
        refresh_share(shares, workspace, now)
    shares.spec_by_workspace = specs
    for workspace in shares.share_by_workspace:
        refresh_share(shares, workspace, now)


def debit(shares: ShareTable, workspace: str, tokens: float, now: float) -> float:
    """Deduct `tokens` if the share has enough; return the shortfall, 0 on success."""
    share = refresh_share(shares, workspace, now)
    if share.tokens < tokens:
        return tokens - share.tokens
    share.tokens -= tokens
    return 0.0


def refund_tokens(
    shares: ShareTable, workspace: str, tokens: float, now: float
) -> None:
    """Return unused reserved tokens to the share; a negative amount is charged to it."""
    share = refresh_share(shares, workspace, now)
    spec = shares.spec_by_workspace.get(workspace)
    if spec is not None:
        share.tokens = min(share.tokens + tokens, compute_burst(spec, share.parts))

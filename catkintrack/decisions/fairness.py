"""Order the queued requests of workspaces by start-time fair queueing.

Goyal, Vin and Cheng, "Start-time fair queueing", 1996.
"""

from __future__ import annotations

from .tables import ModelRequest, Tables, WorkspaceRow

# Decoding one token occupies a batch slot as long as prefilling this many.
OUTPUT_TOKEN_COST = 4.0


def compute_cost(request: ModelRequest, uncached_tokens: int) -> float:
    """Return the cost of a request in units of one prefilled token."""
    return uncached_tokens + OUTPUT_TOKEN_COST * request.max_tokens


def order_workspaces(tables: Tables) -> list[WorkspaceRow]:
    """Return the workspaces with queued requests in order of start tag."""
    waiting = [row for row in tables.workspace_by_name.values() if row.waiting]
    return sorted(waiting, key=lambda row: (compute_start_tag(tables, row), row.name))


def compute_start_tag(tables: Tables, row: WorkspaceRow) -> float:
    """Return the start tag of the workspace's next request, in virtual time."""
    return max(tables.virtual_time, row.virtual_finish)


def charge_workspace(tables: Tables, row: WorkspaceRow, cost: float) -> None:
    """Advance the workspace's finish tag by `cost` divided by its weight."""
    start = compute_start_tag(tables, row)
    tables.virtual_time = start
    row.virtual_finish = start + cost / row.weight

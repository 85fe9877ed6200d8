"""Order the waiting requests of workspaces by start-time fair queueing.

Goyal, Vin and Cheng, "Start-time fair queueing", 1996.
"""

from __future__ import annotations

from .tables import ModelRequest, Tables, WorkspaceRow

# Decoding one token holds a batch slot for as long as this many prefilled ones.
OUTPUT_TOKEN_COST = 4.0


def compute_cost(request: ModelRequest, uncached_tokens: int) -> float:
    """Return the cost of a request in prefilled tokens."""
    return uncached_tokens + OUTPUT_TOKEN_COST * request.max_tokens


def order_workspaces(tables: Tables) -> list[WorkspaceRow]:
    """Return the workspaces that wait, the least served for its weight first."""
    waiting = [row for row in tables.workspace_by_name.values() if row.waiting]
    return sorted(waiting, key=lambda row: (compute_start_tag(tables, row), row.name))


def compute_start_tag(tables: Tables, row: WorkspaceRow) -> float:
    """Return the virtual time at which the workspace's next request starts."""
    return max(tables.virtual_time, row.virtual_finish)


def charge_workspace(tables: Tables, row: WorkspaceRow, cost: float) -> None:
    """Move the workspace back in the order by `cost` over its weight."""
    start = compute_start_tag(tables, row)
    tables.virtual_time = start
    row.virtual_finish = start + cost / row.weight

"""Choose the scheduling priority that engines run a request with.

After an outage, requests that have missed their target are retried together with new
ones.  Requests that can still meet their target go first, so that late ones make no
others late.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Engine priorities; 0 runs first.
LATE_PRIORITY_OFFSET = 5
MAX_ON_TIME_PRIORITY = 4
MAX_PRIORITY = 9
# Urgencies of one paid priority.
URGENCIES_PER_PRIORITY = 2
# Relative spread of the first timeouts that callers of one route set.
TIMEOUT_SPREAD = 0.3


@dataclass(slots=True)
class MaxTimeoutTable:
    """Hold the longest timeout that callers of each route have set, in seconds."""

    max_timeout_s_by_route: dict[str, float] = field(default_factory=dict)


def estimate_first_attempt_at(
    table: MaxTimeoutTable, route: str, deadline_s: float | None, now: float
) -> float:
    """Return the estimated time of a request's first attempt.

    A caller that retries sends the rest of its timeout as `deadline_s`.  Timeouts
    differ between callers, so only one far below the route's longest indicates a retry.
    """
    if deadline_s is None:
        return now
    longest_s = max(table.max_timeout_s_by_route.get(route, 0.0), deadline_s)
    table.max_timeout_s_by_route[route] = longest_s
    if deadline_s >= (1 - TIMEOUT_SPREAD) * longest_s:
        return now
    usual_s = (1 - TIMEOUT_SPREAD / 2) * longest_s
    return now - (usual_s - deadline_s)


def compute_urgency(workspace_priority: int | None, route_priority: int) -> int:
    """Return the urgency of a call, 0 first: by paid priority, then by its route's.

    Answers the load of one workspace whose urgent short calls and long drafts compete
    for too little room: at equal paid priority the drafts would take most of it.
    """
    if workspace_priority is None:
        return route_priority
    return URGENCIES_PER_PRIORITY * workspace_priority + (route_priority > 0)


def compute_engine_priority(
    priority: int, target_at: float, wait_s: float, now: float
) -> int:
    """Return the engine priority of a request whose first token takes `wait_s`."""
    engine_priority = max(0, min(MAX_ON_TIME_PRIORITY, priority))
    if now + wait_s > target_at:
        engine_priority += LATE_PRIORITY_OFFSET
    return min(MAX_PRIORITY, engine_priority)

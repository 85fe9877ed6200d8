"""Rank requests for engines that run the most urgent first.

Answers the rush after an outage, when requests whose target has passed come back
together with new ones: those that can still be on time go first, so that the late ones
cost nobody else its target.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Ranks of the engines, of which 0 is the first.
LATE_PRIORITY_OFFSET = 5
MAX_ON_TIME_PRIORITY = 4
MAX_PRIORITY = 9
# How far callers of one route differ in the time that they give.
TIMEOUT_SPREAD = 0.3


@dataclass(slots=True)
class MaxTimeoutTable:
    """Hold the longest time that callers of a route have given, in seconds."""

    max_timeout_s_by_route: dict[str, float] = field(default_factory=dict)


def estimate_first_attempt_at(
    table: MaxTimeoutTable, route: str, deadline_s: float | None, now: float
) -> float:
    """Return when a caller first asked, from how much less time it gives than others.

    A caller that asks again gives what is left of its time.  Callers differ in their
    patience, so that only much less time than the longest says so.
    """
    if deadline_s is None:
        return now
    longest_s = max(table.max_timeout_s_by_route.get(route, 0.0), deadline_s)
    table.max_timeout_s_by_route[route] = longest_s
    if deadline_s >= (1 - TIMEOUT_SPREAD) * longest_s:
        return now
    usual_s = (1 - TIMEOUT_SPREAD / 2) * longest_s
    return now - (usual_s - deadline_s)


def compute_engine_priority(
    priority: int, target_at: float, wait_s: float, now: float
) -> int:
    """Return the rank for a request of `priority` that would wait `wait_s`."""
    rank = max(0, min(MAX_ON_TIME_PRIORITY, priority))
    if now + wait_s > target_at:
        rank += LATE_PRIORITY_OFFSET
    return min(MAX_PRIORITY, rank)

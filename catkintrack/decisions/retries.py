"""Bound how many attempts beyond the first the fleet sends to a service.

Each instance earns a share of an attempt with each request and holds its part of what
the fleet may send beyond that.
"""

from __future__ import annotations

from dataclasses import dataclass

# The bound holds over a sliding window, whose ends may cut two bursts apart.
BUDGET_SAFETY_FACTOR = 0.9
# What a router of its own may send beyond the first attempts.
ROUTER_RATIO = 0.2
ROUTER_CAP = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Hold the attempts that one instance may still send to one service."""

    ratio: float
    cap: float
    level: float


def make_retry_budget(ratio: float, extra: float, instances: int) -> RetryBudget:
    """Return the budget of one of `instances`, half full.

    A restarted instance may have spent its part just before.
    """
    cap = max(1.0, BUDGET_SAFETY_FACTOR * extra / max(1, instances))
    return RetryBudget(ratio * BUDGET_SAFETY_FACTOR, cap, cap / 2)


def make_router_budget() -> RetryBudget:
    """Return the budget of a router that shares none with others."""
    return RetryBudget(ROUTER_RATIO, ROUTER_CAP, ROUTER_CAP)


def add_retry_credit(budget: RetryBudget) -> None:
    """Count a request that earns a part of an attempt."""
    budget.level = min(budget.cap, budget.level + budget.ratio)


def take_retry(budget: RetryBudget) -> bool:
    """Take one attempt; False when none is left."""
    if budget.level < 1.0:
        return False
    budget.level -= 1.0
    return True

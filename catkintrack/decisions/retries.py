"""Limit the retries that the fleet sends to a service with a retry budget.

Each request credits a fraction of a retry to its instance's budget.  The budget also
holds the instance's share of the extra retries that the fleet may send.
"""

from __future__ import annotations

from dataclasses import dataclass

# Margin for the bound, which holds over any sliding window, even one that spans parts
# of two bursts.
BUDGET_SAFETY_FACTOR = 0.9
# Budget of a router that shares none with others.
ROUTER_RATIO = 0.2
ROUTER_CAP = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Hold the retries that one instance may still send to one service."""

    ratio: float
    cap: float
    level: float


def make_retry_budget(ratio: float, extra: float, instances: int) -> RetryBudget:
    """Return the budget of one of `instances`, half full.

    It is not full because a restarted instance may have just spent its share.
    """
    cap = max(1.0, BUDGET_SAFETY_FACTOR * extra / max(1, instances))
    return RetryBudget(ratio * BUDGET_SAFETY_FACTOR, cap, cap / 2)


def make_router_budget() -> RetryBudget:
    """Return the full budget of a router that shares none with others."""
    return RetryBudget(ROUTER_RATIO, ROUTER_CAP, ROUTER_CAP)


def add_retry_credit(budget: RetryBudget) -> None:
    """Credit the budget for one request, up to its cap."""
    budget.level = min(budget.cap, budget.level + budget.ratio)


def take_retry(budget: RetryBudget) -> bool:
    """Take one retry from the budget; return False if none is left."""
    if budget.level < 1.0:
        return False
    budget.level -= 1.0
    return True

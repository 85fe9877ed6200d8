"""Limit the retries that the fleet sends to a service by a retry budget.

The fleet may send a ratio of retries to requests, and a number of extra retries, in each
window.  Each instance keeps a token bucket of retries: a request adds the ratio to it, and
its capacity is the instance's share of the extra retries.

A window's retries are at most what the buckets hold when it begins, and what its requests
add.  So the fleet keeps the bound in every window if the capacities never exceed the extra
retries together, and if a bucket that replaces another one starts empty: what the other
one held may have been spent in the same window.
"""

from __future__ import annotations

from dataclasses import dataclass

# Covers the time in which instances do not know yet that another one has joined.
BUDGET_SAFETY_FACTOR = 0.9
# Capacity of an instance that does not know yet with how many others it shares.
MIN_CAP = 1.0
# From an instance's start until it has the addresses of its peers, and until each of them
# has exchanged messages with it.
JOIN_S = 0.5
SETTLE_S = 3.0
# Instances that a joining one assumes for each address that it knows.
JOINING_FACTOR = 2
# Budget of a router process, which shares none with others.
ROUTER_RETRY_RATIO = 0.2
ROUTER_RETRY_CAP = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Hold a token bucket of retries; `ratio` is what each request adds to `level`.

    `has_start_credit` is set once the bucket holds what it may have had at its start.
    """

    ratio: float
    cap: float
    level: float
    has_start_credit: bool = False


@dataclass(frozen=True, slots=True)
class RetryShare:
    """Describe an instance's share of a service's budget; times in seconds.

    The fleet may send `ratio` retries per request and `extra` retries per `window_s`.
    `heard_peers` may send retries now, None if it is unknown whether there are any, and
    `known_peers` are those whose address is known.  `age_s` is the time since the
    instance's start, which is the fleet's first if `is_first_start`.
    """

    ratio: float
    extra: float
    window_s: float
    heard_peers: int | None
    known_peers: int
    age_s: float
    is_first_start: bool


def open_retry_budget(share: RetryShare) -> RetryBudget:
    """Return an instance's budget for a service that it has not called before."""
    level = MIN_CAP if share.is_first_start else 0.0
    budget = RetryBudget(share.ratio * BUDGET_SAFETY_FACTOR, MIN_CAP, level)
    apply_share(budget, share)
    return budget


def apply_share(budget: RetryBudget, share: RetryShare) -> None:
    """Adopt a share; a larger one adds no credit.

    Half of the share is credited once, when no window contains both this bucket's retries
    and those of one that it replaces.
    """
    budget.ratio = share.ratio * BUDGET_SAFETY_FACTOR
    instances = _count_instances(share)
    if instances is None:
        budget.cap = MIN_CAP
        budget.level = min(budget.level, budget.cap)
        return
    budget.cap = _compute_cap(share.extra, instances)
    if not budget.has_start_credit and (
        share.is_first_start or share.age_s >= share.window_s
    ):
        budget.has_start_credit = True
        start_level = MIN_CAP if share.is_first_start else 0.0
        budget.level += max(0.0, budget.cap / 2 - start_level)
    budget.level = min(budget.level, budget.cap)


def _count_instances(share: RetryShare) -> int | None:
    """Return how many instances may share the budget, None if that is unknown."""
    joining_count = JOINING_FACTOR * (share.known_peers + 1)
    if share.is_first_start and share.age_s < SETTLE_S:
        # Nothing has been spent yet, so an estimate that is too small does no harm.
        return joining_count
    if share.heard_peers is None or share.age_s < JOIN_S:
        return None
    return joining_count if share.age_s < SETTLE_S else share.heard_peers + 1


def _compute_cap(extra: float, instances: int) -> float:
    return max(MIN_CAP, BUDGET_SAFETY_FACTOR * extra / max(1, instances))


def make_router_budget() -> RetryBudget:
    """Return the budget of a router process, which starts full."""
    return RetryBudget(ROUTER_RETRY_RATIO, ROUTER_RETRY_CAP, ROUTER_RETRY_CAP)


def add_retry_credit(budget: RetryBudget) -> None:
    """Credit the budget with one request's share of a retry, up to its cap."""
    budget.level = min(budget.cap, budget.level + budget.ratio)


def may_take(budget: RetryBudget) -> bool:
    """Report whether at least one retry is left."""
    return budget.level >= 1.0


def take_retry(budget: RetryBudget) -> bool:
    """Take one retry from the budget; return False if less than one is left."""
    if not may_take(budget):
        return False
    budget.level -= 1.0
    return True

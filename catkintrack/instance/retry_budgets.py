"""Share the fleet's retry budget of each service with the other instances."""

from __future__ import annotations

import time

from catkintrack.decisions.retries import (
    RetryBudget,
    RetryShare,
    add_retry_credit,
    apply_share,
    may_take,
    open_retry_budget,
    take_retry,
)
from catkintrack.fleet import Call
from catkintrack.platform import is_relayed

from .attempts import CallProgress
from .peers import PEER_REMOVAL_S, list_limit_sharers
from .state import Instance


def find_retry_budget(instance: Instance, service: str) -> RetryBudget:
    """Return this instance's retry budget for a service, creating it if missing."""
    budget = instance.retry_budget_by_service.get(service)
    if budget is None:
        budget = open_retry_budget(_find_share(instance, time.monotonic()))
        instance.retry_budget_by_service[service] = budget
    return budget


def credit_request(instance: Instance, call: Call) -> None:
    """Credit the budget of a call's service, unless the relaying peer has done so."""
    if not is_relayed(call):
        add_retry_credit(find_retry_budget(instance, call.service))


def share_retry_budgets(instance: Instance, now: float) -> None:
    """Adapt this instance's budgets to the instances that share them now."""
    share = _find_share(instance, now)
    for service, budget in instance.retry_budget_by_service.items():
        apply_share(budget, share)
        instance.metrics.retry_budget.set({"service": service}, budget.level)


def _take_retry(instance: Instance, service: str) -> bool:
    """Take one retry from a service's budget; report False if none is left."""
    is_allowed = take_retry(find_retry_budget(instance, service))
    outcome = "allowed" if is_allowed else "refused"
    instance.metrics.retries.inc({"service": service, "outcome": outcome})
    return is_allowed


def take_next_attempt(instance: Instance, call: Call, progress: CallProgress) -> bool:
    """Report whether a call may be sent once more, and take a retry if that needs one.

    It needs none if no attempt has reached a replica.  A retry lasts until one has.
    """
    return not progress.connected_attempts or reserve_retry(instance, call, progress)


def has_retry_left(instance: Instance, call: Call, progress: CallProgress) -> bool:
    """Report whether a call has a retry, or may take one."""
    return progress.has_retry or may_take(find_retry_budget(instance, call.service))


def reserve_retry(instance: Instance, call: Call, progress: CallProgress) -> bool:
    """Take a retry for the next attempt of a call; report False if none is left."""
    progress.has_retry = progress.has_retry or _take_retry(instance, call.service)
    return progress.has_retry


def _find_share(instance: Instance, now: float) -> RetryShare:
    bounds = instance.site.bounds
    return RetryShare(
        bounds.retry_ratio,
        bounds.retry_extra,
        bounds.retry_window_s,
        _count_heard_peers(instance, now),
        len(instance.peer_by_address),
        now - instance.started_at,
        instance.site.is_bootstrap,
    )


def _count_heard_peers(instance: Instance, now: float) -> int | None:
    """Return how many peers may send retries; None for a young instance without any."""
    own = (instance.site.mesh.host, instance.site.mesh.port)
    has_seeds = any((seed.host, seed.port) != own for seed in instance.site.seeds)
    peers = list_limit_sharers(instance, now)
    is_young = now - instance.started_at < PEER_REMOVAL_S
    return None if not peers and has_seeds and is_young else len(peers)

"""Refuse the queued requests that can't be served in time."""

from __future__ import annotations

from collections import Counter
from random import Random

from .brittleness import count_places
from .named_limits import TokenSupply, compute_wait_s, find_supply
from .placement import may_run
from .rest import choose_return_s, find_earliest_return
from .shedding import (
    choose_retry_after_s,
    find_requests_to_shed,
    update_late_queue,
)
from .tables import (
    ModelRequest,
    Tables,
    UpstreamRow,
    WorkspaceRow,
    ensure_workspace,
)
from .verdicts import MIN_RETRY_AFTER_S, Refusal, RefusalReason

# Lower bound of the time from dispatch to first token: a queued request that is due
# sooner is late.  instance/model_calls.py has a smaller one for priorities in engines.
MIN_FIRST_TOKEN_S = 0.03


def refuse_expired(tables: Tables, now: float) -> list[Refusal]:
    """Refuse the queued requests whose deadline has passed."""
    refusals = []
    for row in tables.workspace_by_name.values():
        due = [request for request in row.waiting if request.deadline <= now]
        for request in due:
            row.waiting.remove(request)
            retry_after_s = max(MIN_RETRY_AFTER_S, predict_wait_s(row, now))
            refusals.append(Refusal(request, RefusalReason.DEADLINE, retry_after_s))
    return refusals


def refuse_while_resting(tables: Tables, now: float, rng: Random) -> list[Refusal]:
    """Refuse the queued requests whose model is served by resting replicas only.

    A started response waits for one that returns before its deadline.
    """
    if not tables.rests.rest_by_upstream:
        return []
    queues = [row.waiting for row in tables.workspace_by_name.values()]
    refusals = []
    for queue in (*queues, tables.retries):
        for request in list(queue):
            returns_at = _find_earliest_return(tables, request.model, now)
            if returns_at is None:
                continue
            if request.has_started and returns_at < request.deadline:
                continue
            queue.remove(request)
            wait_s = choose_return_s(returns_at, request.deadline, now, rng)
            refusals.append(Refusal(request, RefusalReason.RESTING, wait_s))
    return refusals


def _find_earliest_return(tables: Tables, model: str, now: float) -> float | None:
    rows = tables.upstream_by_name.values()
    return find_earliest_return(
        (row.rest for row in rows if model in row.models and not is_leaving(row)), now
    )


def refuse_beyond_limits(tables: Tables, now: float, rng: Random) -> list[Refusal]:
    """Refuse the queued requests that limited replicas take only after their deadline.

    That concerns models of which each replica has named a limit or rests.  A started
    response can't be refused and waits: a limit may end.
    """
    refusals = _refuse_without_places(tables, rng)
    if not tables.named_limits.limit_by_upstream:
        return refusals
    queues = [row.waiting for row in tables.workspace_by_name.values()]
    places = [
        (request, queue) for queue in (tables.retries, *queues) for request in queue
    ]
    supplies = {
        model: _find_supply(tables, model, now)
        for model in {request.model for request, _ in places}
    }
    supply_by_model = {
        m: supply for m, supply in supplies.items() if supply is not None
    }
    places = [place for place in places if place[0].model in supply_by_model]
    places.sort(key=lambda place: (not place[0].is_retry, place[0].target_at))
    count_by_model: Counter[str] = Counter()
    for request, queue in places:
        count = count_by_model[request.model] + 1
        wait_s = compute_wait_s(supply_by_model[request.model], count)
        if request.has_started or now + wait_s <= request.deadline:
            count_by_model[request.model] = count
            continue
        queue.remove(request)
        refusals.append(_refuse_limited(request, wait_s, rng))
    return refusals


def _refuse_without_places(tables: Tables, rng: Random) -> list[Refusal]:
    """Refuse the queued requests whose model only brittle replicas serve, without a part.

    A started response waits: instances may end, or replicas be sound again.
    """
    if not tables.brittle.record_by_upstream:
        return []
    queues = [row.waiting for row in tables.workspace_by_name.values()]
    models = {request.model for queue in queues for request in queue}
    models = {model for model in models if not _has_places(tables, model)}
    refusals = []
    for queue in queues if models else []:
        for request in list(queue):
            if request.model in models and not request.has_started:
                queue.remove(request)
                refusals.append(_refuse_limited(request, MIN_RETRY_AFTER_S, rng))
    return refusals


def _has_places(tables: Tables, model: str) -> bool:
    """Report whether a model's replicas may get requests, or there are none."""
    rows = tables.upstream_by_name.values()
    serving = [row for row in rows if model in row.models and not is_leaving(row)]
    return not serving or any(
        row.brittleness is None or count_places(row.brittleness) for row in serving
    )


def _refuse_limited(request: ModelRequest, wait_s: float, rng: Random) -> Refusal:
    """Refuse a request whose caller comes back to another instance, with another part."""
    retry_after_s = min(wait_s, MIN_RETRY_AFTER_S) * (0.5 + rng.random() / 2)
    return Refusal(request, RefusalReason.LIMITED, retry_after_s)


def _find_supply(tables: Tables, model: str, now: float) -> TokenSupply | None:
    rows = tables.upstream_by_name.values()
    serving = (row for row in rows if model in row.models and not is_leaving(row))
    return find_supply(((row.limit, row.rest) for row in serving), now)


def is_leaving(row: UpstreamRow) -> bool:
    """Report whether discovery or the upstream itself says that it leaves."""
    return row.is_leaving or row.has_announced_leaving


def is_served_anywhere(tables: Tables, request: ModelRequest) -> bool:
    """Report whether an upstream may run the request, even if it is not eligible now."""
    return any(
        may_run(row, request) and not is_leaving(row)
        for row in tables.upstream_by_name.values()
    )


def is_version_gone(tables: Tables, request: ModelRequest) -> bool:
    """Report whether no upstream has the software version that a stream began at."""
    has_version = request.software_version is not None
    return has_version and not is_served_anywhere(tables, request)


def shed_late_requests(tables: Tables, now: float) -> list[Refusal]:
    """Refuse the late requests that would be dispatched after their deadline."""
    queue = tables.late_queue
    if queue is None:
        return []
    rows = tables.workspace_by_name.values()
    late = [r for row in rows for r in row.waiting if is_late(r, now)]
    update_late_queue(queue, not late, now)
    late.sort(key=lambda request: request.target_at)
    refusals = []
    for request in find_requests_to_shed(queue, late, now):
        ensure_workspace(tables, request.workspace).waiting.remove(request)
        wait_s = choose_retry_after_s(request, now)
        refusals.append(Refusal(request, RefusalReason.DEADLINE, wait_s))
    return refusals


def predict_wait_s(row: WorkspaceRow, now: float) -> float:
    """Return the estimated queueing time of a request that is submitted now."""
    if not row.waiting:
        return 0.0
    return len(row.waiting) * row.dispatch_interval_s


def is_late(request: ModelRequest, now: float) -> bool:
    """Report whether the request can no longer meet its first-token target."""
    return now + MIN_FIRST_TOKEN_S > request.target_at

"""Queue, dispatch and refuse requests, and keep the scheduling tables current.

Time and random numbers are arguments, so that the same calls give the same decisions.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkintrack.config import ConfigTables

from . import admission, ejection, load, pacing
from .deadlines import bound_deadline
from .fairness import charge_workspace, compute_cost, order_workspaces
from .memory import (
    add_remote_run,
    drop_remote_runs,
    expire_remote_runs,
    record_remote_first_token,
)
from .named_limits import reserve_token
from .placement import POLICY_BY_NAME, WINDOWED_POLICIES, Placement
from .prefills import (
    Prefill,
    add_prefill,
    compute_prefill_expiry,
    drop_prefills,
    end_prefill,
    expire_prefills,
)
from .refusing import (
    is_late,
    is_served_anywhere,
    is_version_gone,
    predict_wait_s,
    refuse_beyond_limits,
    refuse_expired,
    refuse_while_resting,
    shed_late_requests,
)
from .residency import add_cached_blocks, clear_cached_blocks, remove_cached_blocks
from .rest import record_placed
from .retries import add_retry_credit, take_retry
from .shedding import record_late_dispatch
from .speeds import (
    count_sent_prefill,
    find_named_slowdown,
    find_prefill_rate,
    initialize_rate,
    may_measure,
)
from .tables import (
    ModelRequest,
    RunningRow,
    Tables,
    UpstreamRow,
    WorkspaceRow,
    add_upstream,
    ensure_workspace,
)
from .verdicts import MIN_RETRY_AFTER_S, Decision, Dispatch, Refusal, RefusalReason

# Requests of a workspace that are tried before the next workspace's.
LOOKAHEAD_REQUESTS = 16
MAX_WAITING_PER_WORKSPACE = 512
INTERVAL_SMOOTHING = 0.2
# A report or peer message may name an incarnation that ended up to this long before.
REPORT_LAG_MAX_S = 2.0


@dataclass(frozen=True, slots=True)
class LoadRow:
    """Hold one load report; `at` is when the upstream measured it, in seconds."""

    incarnation: str
    running: int
    waiting: int
    prefill_tokens: int
    is_loading: bool
    at: float


def sync_upstreams(
    tables: Tables,
    config: ConfigTables,
    leaving_instances: frozenset[str],
    router_count: int,
    now: float,
) -> None:
    """Update the upstream and workspace tables from the configuration."""
    tables.router_count = max(1, router_count)
    wanted = {n: u for n, u in config.upstream_by_name.items() if u.models}
    for name in set(tables.upstream_by_name) - set(wanted):
        drop_upstream(tables, name)
    for name, upstream in wanted.items():
        rates = [config.model_by_name[m].prefill_tokens_per_s for m in upstream.models]
        put_upstream(
            tables,
            name,
            upstream.zone,
            upstream.models,
            upstream.max_running,
            upstream.is_leaving or upstream.instance in leaving_instances,
            min(rates),
        )
    for name, workspace in config.workspace_by_name.items():
        ensure_workspace(tables, name).weight = workspace.tier.weight


def put_upstream(
    tables: Tables,
    name: str,
    zone: str,
    models: frozenset[str],
    max_running: int,
    is_leaving: bool,
    prefill_tokens_per_s: float,
) -> UpstreamRow:
    """Add or update one upstream and return its row."""
    row = tables.upstream_by_name.get(name)
    if row is None:
        row = UpstreamRow(name, 0, zone, models, 1)
        add_upstream(tables, row)
    row.models = models
    row.max_running = max_running
    row.is_leaving = is_leaving
    if row.configured_prefill_tokens_per_s != prefill_tokens_per_s:
        row.configured_prefill_tokens_per_s = prefill_tokens_per_s
        row.prefill_tokens_per_s = prefill_tokens_per_s
        initialize_rate(tables, row)
    return row


def drop_upstream(tables: Tables, name: str) -> None:
    """Remove an upstream, its cached blocks and the prefills in progress there."""
    drop_remote_runs(tables, name)
    row = tables.upstream_by_name.pop(name, None)
    drop_prefills(tables.prefills, name)
    if row is not None:
        clear_cached_blocks(tables.residency, row.bit_index)
        del tables.upstream_by_bit_index[row.bit_index]


def submit(tables: Tables, request: ModelRequest, now: float) -> Refusal | None:
    """Queue a request, or refuse it for retry budget, queue length or deadline."""
    request = bound_deadline(tables, request)
    if request.is_retry:
        budget = tables.retry_budget
        if budget is not None and not take_retry(budget):
            reason = RefusalReason.RETRY_BUDGET
            return Refusal(request, reason, MIN_RETRY_AFTER_S)
        tables.retries.append(request)
        return None
    if tables.retry_budget is not None:
        add_retry_credit(tables.retry_budget)
    row = ensure_workspace(tables, request.workspace)
    wait_s = 0.0 if tables.admission else predict_wait_s(row, now)
    if len(row.waiting) >= MAX_WAITING_PER_WORKSPACE:
        return Refusal(
            request, RefusalReason.QUEUE_FULL, max(MIN_RETRY_AFTER_S, wait_s)
        )
    if now + wait_s > request.deadline:
        over_s = now + wait_s - request.deadline
        return Refusal(request, RefusalReason.DEADLINE, max(MIN_RETRY_AFTER_S, over_s))
    row.waiting.append(request)
    return None


def remove_waiting(tables: Tables, request_id: str) -> None:
    """Remove a request whose caller has disconnected from its queue."""
    for row in tables.workspace_by_name.values():
        for request in row.waiting:
            if request.id == request_id:
                row.waiting.remove(request)
                return
    for request in tables.retries:
        if request.id == request_id:
            tables.retries.remove(request)
            return


def tick(tables: Tables, now: float, rng: Random, policy: str) -> list[Decision]:
    """Return the dispatches and refusals that are due now."""
    expire_prefills(tables.prefills, now)
    expire_remote_runs(tables, now)
    decisions: list[Decision] = []
    decisions += refuse_expired(tables, now)
    decisions += refuse_while_resting(tables, now, rng)
    decisions += refuse_beyond_limits(tables, now, rng)
    decisions += shed_late_requests(tables, now)
    decisions += dispatch_retries(tables, now, rng, policy)
    decisions += dispatch_waiting(tables, now, rng, policy)
    decisions += admission.refuse_unfinishable(tables, now, rng)
    return decisions


def dispatch_retries(
    tables: Tables, now: float, rng: Random, policy: str
) -> list[Decision]:
    """Dispatch retries, first because a caller may already have part of a response."""
    decisions: list[Decision] = []
    for _ in range(len(tables.retries)):
        request = tables.retries.popleft()
        placement = POLICY_BY_NAME[policy](tables, request, now, rng)
        if placement is None and request.excluded:
            # No other upstream is eligible, and the one that failed may have recovered.
            unrestricted = replace(request, excluded=frozenset())
            placement = POLICY_BY_NAME[policy](tables, unrestricted, now, rng)
        if placement is not None:
            decisions.append(_dispatch(tables, request, placement, now))
        elif now >= request.deadline or is_version_gone(tables, request):
            reason = RefusalReason.NO_UPSTREAM
            decisions.append(Refusal(request, reason, MIN_RETRY_AFTER_S))
        else:
            tables.retries.append(request)
    return decisions


def dispatch_waiting(
    tables: Tables, now: float, rng: Random, policy: str
) -> list[Decision]:
    """Dispatch queued requests in fair order while upstreams have capacity.

    Requests that can still meet their target go before late ones.
    """
    decisions: list[Decision] = []
    if not _has_any_capacity(tables, now, policy):
        return decisions
    decision: Decision | None = None
    while decision is not None or not decisions:
        for upstream in tables.upstream_by_name.values():
            upstream.queued_count = 0
        decision = _dispatch_next(tables, now, rng, policy)
        if decision is None:
            break
        decisions.append(decision)
    return decisions


def _has_any_capacity(tables: Tables, now: float, policy: str) -> bool:
    """Report whether any upstream has capacity for a request of top priority.

    It is also true without upstreams, so that requests are refused, and for policies
    that ignore capacity.
    """
    rows = tables.upstream_by_name.values()
    if policy not in WINDOWED_POLICIES or not rows:
        return True
    return any(load.has_capacity(tables, row, now, 0) for row in rows)


def _dispatch_next(
    tables: Tables, now: float, rng: Random, policy: str
) -> Decision | None:
    for candidates, include_late in _list_queues(tables, now):
        decision = _dispatch_one(tables, candidates, now, rng, policy, include_late)
        if decision is not None:
            return decision
    return None


def _list_queues(
    tables: Tables, now: float
) -> Iterator[tuple[list[ModelRequest], bool]]:
    """Return the requests to try, in order, and whether late ones are among them."""
    if tables.admission is not None:
        yield admission.list_candidates(tables, now, LOOKAHEAD_REQUESTS), True
        return
    ordered = order_workspaces(tables)
    for include_late in (False, True):
        for row in ordered:
            queued = [r for r in row.waiting if include_late or not is_late(r, now)]
            queued.sort(key=lambda request: request.target_at)
            yield queued[:LOOKAHEAD_REQUESTS], include_late


def _dispatch_one(
    tables: Tables,
    candidates: list[ModelRequest],
    now: float,
    rng: Random,
    policy: str,
    include_late: bool,
) -> Decision | None:
    """Dispatch the first candidate whose best upstream has capacity."""
    for request in candidates:
        row = ensure_workspace(tables, request.workspace)
        placement = POLICY_BY_NAME[policy](tables, request, now, rng)
        if placement is None:
            if not is_served_anywhere(tables, request):
                admission.remove_queued(tables, request)
                reason = RefusalReason.NO_UPSTREAM
                return Refusal(request, reason, MIN_RETRY_AFTER_S)
            continue
        request = admission.rank_as_placed(tables, request, placement, now)
        if not include_late and now + placement.first_token_s > request.target_at:
            continue
        must_wait = policy in WINDOWED_POLICIES and (
            placement.is_awaiting
            or not load.has_capacity(
                tables, placement.upstream, now, request.priority, request
            )
            or not admission.may_begin(tables, request, placement, now)
        )
        if must_wait:
            # Requests behind this one must count it in the upstream's queue.
            placement.upstream.queued_count += 1
            continue
        admission.remove_queued(tables, request)
        if admission.is_placement_refused(tables, request, placement, now):
            return admission.refuse(
                tables, request, placement.first_token_s, 0.0, now, rng
            )
        admission.record_admitted(tables, request, now)
        _record_interval(row, now)
        if include_late and tables.late_queue is not None:
            record_late_dispatch(tables.late_queue, now)
        cost = compute_cost(request, placement.uncached_tokens)
        charge_workspace(tables, row, cost)
        return _dispatch(tables, request, placement, now)
    return None


def _record_interval(row: WorkspaceRow, now: float) -> None:
    """Update the mean interval between dispatches from the workspace's backlog."""
    if row.last_backlog_dispatch_at is None:
        row.dispatch_interval_s *= 1 - INTERVAL_SMOOTHING
    else:
        interval_s = max(0.0, now - row.last_backlog_dispatch_at)
        change = INTERVAL_SMOOTHING * (interval_s - row.dispatch_interval_s)
        row.dispatch_interval_s += change
    # Only intervals between two dispatches from the same backlog are measured.
    row.last_backlog_dispatch_at = now if row.waiting else None


def _dispatch(
    tables: Tables, request: ModelRequest, placement: Placement, now: float
) -> Dispatch:
    row = placement.upstream
    is_alone = load.is_prefill_idle(tables, row)
    is_measurable = may_measure(tables, row, placement.source is not None)
    load.record_dispatch(tables, row, request, placement.uncached_tokens, now)
    ejection.begin_trial(row, now)
    record_placed(row.rest, now)
    reserve_token(row.limit, now)
    tables.running_by_id[request.id] = RunningRow(
        request,
        row.name,
        now,
        placement.uncached_tokens,
        was_prefilled_alone=is_alone,
        is_measurable=is_measurable,
        slowdown_at_dispatch=find_named_slowdown(row, now),
    )
    return Dispatch(
        request,
        row.name,
        placement.uncached_tokens,
        placement.best_cached_tokens,
        placement.source.name if placement.source else None,
    )


def record_first_token(
    tables: Tables, request_id: str, incarnation: str, now: float
) -> None:
    """Record the end of a prefill, after which the upstream caches the prompt."""
    running = tables.running_by_id.get(request_id)
    row = tables.upstream_by_name.get(running.upstream) if running else None
    if running is None or row is None:
        return
    load.record_prefilled(tables, row, running, now)
    if set_incarnation(tables, row, incarnation, now, now):
        add_cached_blocks(tables.residency, row.bit_index, running.request.blocks)


def record_answer(tables: Tables, request_id: str, now: float) -> None:
    """Record that an upstream has sent a valid event or a whole response.

    A response's head alone doesn't show that the upstream works.
    """
    running = tables.running_by_id.get(request_id)
    row = tables.upstream_by_name.get(running.upstream) if running else None
    if row is not None:
        ejection.record_success(row, now)


def record_end(tables: Tables, request_id: str, now: float) -> None:
    """Record that a request has ended at its upstream."""
    running = tables.running_by_id.pop(request_id, None)
    row = tables.upstream_by_name.get(running.upstream) if running else None
    if running is not None and row is not None:
        load.release_request(tables, row, running, now)
        ejection.end_trial(row, running.dispatched_at)


def record_failure(
    tables: Tables, request_id: str, now: float, is_unreachable: bool
) -> bool:
    """Record that a request has failed; report whether that ejects its upstream."""
    running = tables.running_by_id.get(request_id)
    record_end(tables, request_id, now)
    row = tables.upstream_by_name.get(running.upstream) if running else None
    if running is None or row is None:
        return False
    return ejection.record_failure(row, running.dispatched_at, now, is_unreachable)


def set_incarnation(
    tables: Tables, row: UpstreamRow, incarnation: str, observed_at: float, now: float
) -> bool:
    """Apply an observed incarnation and report whether it is the current one.

    A new incarnation clears the upstream's cached blocks and begins its slow start.
    Past incarnations are ignored, however late a report about them arrives.
    """
    if incarnation == row.incarnation:
        return True
    if not incarnation:
        return False
    if incarnation in row.past_incarnations or observed_at < row.incarnation_seen_at:
        return False
    if row.incarnation:
        row.past_incarnations.append(row.incarnation)
        clear_cached_blocks(tables.residency, row.bit_index)
        drop_remote_runs(tables, row.name)
        row.ramp_started_at = now
    row.incarnation = incarnation
    row.incarnation_seen_at = observed_at
    return True


def apply_load(
    tables: Tables, report_by_name: Mapping[str, LoadRow], now: float
) -> None:
    """Apply load reports that are newer than the last one applied."""
    for name, report in report_by_name.items():
        row = tables.upstream_by_name.get(name)
        if row is None or report.at <= row.reported_at:
            continue
        observed_at = report.at - REPORT_LAG_MAX_S
        if not set_incarnation(tables, row, report.incarnation, observed_at, now):
            continue
        row.reported_at = report.at
        row.reported_running = report.running
        row.reported_waiting = report.waiting
        row.reported_prefill_tokens = report.prefill_tokens
        row.is_loading = report.is_loading
        recent = [
            running
            for running in tables.running_by_id.values()
            if running.upstream == name and running.dispatched_at > report.at
        ]
        row.sent_since_report = len(recent)


def apply_cache_events(
    tables: Tables,
    upstream: str,
    incarnation: str,
    is_reset: bool,
    stored: Iterable[int],
    evicted: Iterable[int],
    now: float,
) -> None:
    """Apply changes of an upstream's cache, unless from another incarnation."""
    row = tables.upstream_by_name.get(upstream)
    if row is None:
        return
    if not row.incarnation:
        set_incarnation(tables, row, incarnation, now - REPORT_LAG_MAX_S, now)
    if incarnation != row.incarnation:
        return
    if is_reset:
        clear_cached_blocks(tables.residency, row.bit_index)
    add_cached_blocks(tables.residency, row.bit_index, stored)
    remove_cached_blocks(tables.residency, row.bit_index, evicted)


def record_remote_prefill(
    tables: Tables,
    prefill_id: str,
    upstream: str,
    blocks: tuple[int, ...],
    tokens: int,
    priority: int,
    now: float,
    held_tokens: int = 0,
    max_tokens: int = 0,
) -> None:
    """Record a long prefill that a peer has dispatched.

    Its request will hold `held_tokens`, `max_tokens` of them output; 0 if unknown.
    """
    row = tables.upstream_by_name.get(upstream)
    if row is None:
        return
    pacing.record_prefill_work(tables, row, tokens, priority, now, is_own=False)
    wait_s = load.estimate_wait_s(tables, row, now, priority)
    count_sent_prefill(tables, row, tokens, now)
    add_remote_run(tables, row, prefill_id, held_tokens, max_tokens, now)
    rate = find_prefill_rate(tables, row, now)
    expires_at = compute_prefill_expiry(now, wait_s, tokens, rate)
    add_prefill(
        tables.prefills,
        Prefill(prefill_id, upstream, blocks, tokens, expires_at, priority),
    )


def record_remote_prefill_end(
    tables: Tables, prefill_id: str, incarnation: str, now: float
) -> None:
    """Record the end of a peer's prefill; `incarnation` is empty if it failed."""
    record_remote_first_token(tables, prefill_id, not incarnation, now)
    prefill = end_prefill(tables.prefills, prefill_id)
    row = tables.upstream_by_name.get(prefill.upstream) if prefill else None
    if prefill is None or row is None or not incarnation:
        return
    observed_at = now - REPORT_LAG_MAX_S
    if set_incarnation(tables, row, incarnation, observed_at, now):
        add_cached_blocks(tables.residency, row.bit_index, prefill.blocks)

"""Order replicas to load the target weights while this instance holds the lease."""

from __future__ import annotations

import logging
import time

import curio

from catkintrack.fleet import ModelWeights, Upstream, WeightsOrder
from catkintrack.leases import mark_fencing_refused
from catkintrack.platform import make_order_request
from catkintrack.timeouts import ignore_after
from catkintrack.weights import (
    plan_loads,
    record_load_ended,
    record_load_sent,
    record_load_time,
)
from catkintrack.weights.plan import (
    LOAD_TIMEOUT_S,
    PlannedLoad,
    WeightsLoad,
    find_version,
)

from .broadcasting import broadcast
from .fleet_state import record_load_result
from .hubs import has_hubs
from .lease_keeper import holds_lease
from .messages import LoadBegun, LoadEnded
from .peers import list_live_peers
from .replica_signals import may_send
from .reports import exchange_with, make_request_id, refresh_report
from .state import Instance

logger = logging.getLogger(__name__)

TICK_S = 0.1
REPORT_POLL_INTERVAL_S = 0.05
# Time for a message to reach all instances: the batching delay of two hubs and transit.
HUB_RELAY_S = 0.12
MAX_REPORT_POLLS = 20
ACCEPTED_STATUS = 202


async def run_weights_rollout(instance: Instance, wake: curio.Event) -> None:
    """Order the replicas to load target weights when due, until cancelled."""
    while True:
        await ignore_after(TICK_S, wake.wait)
        wake.clear()
        if holds_lease(instance):
            await send_due_orders(instance)


async def send_due_orders(instance: Instance) -> None:
    """Order the loads that are due, each in a task of its own."""
    now = time.monotonic()
    for model in list(instance.weights.target_by_model):
        in_flight_by_upstream = _count_in_flight(instance, model, now)
        for planned in plan_loads(instance.weights, model, in_flight_by_upstream, now):
            record_load_sent(instance.weights, planned.upstream, planned.weights, now)
            await curio.spawn(_execute_load, instance, planned, daemon=True)


def _count_in_flight(instance: Instance, model: str, now: float) -> dict[str, float]:
    """Return the in-flight requests of all instances at each replica of the model."""
    in_flight_by_upstream: dict[str, float] = {}
    peers = list_live_peers(instance, now)
    for id, upstream in instance.upstream_by_id.items():
        row = instance.decisions.upstream_by_name.get(id)
        if row is None or model not in row.models or upstream.is_draining:
            continue
        if not may_send(instance, upstream, now):
            continue
        peer_counts = [peer.in_flight_by_upstream.get(id, 0) for peer in peers]
        in_flight_by_upstream[id] = row.in_flight + sum(peer_counts)
    return in_flight_by_upstream


async def _execute_load(instance: Instance, planned: PlannedLoad) -> None:
    """Order one replica to load weights and poll its report until it runs them."""
    upstream = instance.upstream_by_id.get(planned.upstream)
    if upstream is None:
        return
    tables = instance.weights
    is_known = upstream.id in tables.order_count_by_upstream
    # An order that may not arrive would keep the calls of all instances away.
    if not is_known and await refresh_report(instance, upstream) is None:
        record_load_ended(tables, upstream.id)
        return
    is_due = not _has_weights(instance, planned) and holds_lease(instance)
    fencing = instance.lease.record.fencing
    if is_due:
        await _announce_load(instance, planned)
    if not is_due or not holds_lease(instance):
        record_load_ended(tables, upstream.id)
        if is_due:
            await _announce_load_end(instance, upstream, planned, fencing)
        return
    status = await _send_order(instance, upstream, planned)
    instance.metrics.orders.inc({"outcome": str(status)})
    logger.info(
        "weights ordered",
        extra={
            "upstream": upstream.id,
            "version": planned.weights.version,
            "mode": planned.mode.value,
            "fencing": instance.lease.record.fencing,
            "status": status,
        },
    )
    _apply_order_status(instance, upstream, status)
    accepted = status == ACCEPTED_STATUS
    await _await_load(instance, upstream, planned, accepted, fencing)


def _has_weights(instance: Instance, planned: PlannedLoad) -> bool:
    weights = planned.weights
    known = find_version(instance.weights, planned.upstream, weights.model)
    return known >= weights.version


def _apply_order_status(instance: Instance, upstream: Upstream, status: int) -> None:
    """Update the order count; drop the lease if its fencing token was refused."""
    counts = instance.weights.order_count_by_upstream
    if status == ACCEPTED_STATUS:
        counts[upstream.id] = counts.get(upstream.id, 0) + 1
    elif status != 200:
        counts.pop(upstream.id, None)
    if status == 412:
        mark_fencing_refused(instance.lease)


async def _send_order(
    instance: Instance, upstream: Upstream, planned: PlannedLoad
) -> int:
    """Send an order and return the response status, 0 without a response."""
    order = WeightsOrder(
        planned.weights,
        planned.mode,
        instance.site.instance,
        instance.lease.record.fencing,
        instance.weights.order_count_by_upstream.get(upstream.id),
    )
    request = make_order_request(upstream, order, make_request_id(instance))
    # The process may have been paused since the order was planned.
    answer = await exchange_with(
        instance, upstream, request, lambda: holds_lease(instance)
    )
    return 0 if answer is None else answer[0].status


async def _announce_load(instance: Instance, planned: PlannedLoad) -> None:
    """Stop all instances from sending to a replica before it is ordered to load.

    A replica rejects all requests while it loads.  How long that takes is not known
    before, so the announcement holds until LoadEnded.
    """
    row = instance.decisions.upstream_by_name.get(planned.upstream)
    relay_s = HUB_RELAY_S if has_hubs(instance) else 0.0
    load_s = relay_s + LOAD_TIMEOUT_S
    if row is not None:
        row.loading_until = time.monotonic() + load_s
        row.load_fencing = instance.lease.record.fencing
    weights = planned.weights
    message = LoadBegun(
        planned.upstream,
        weights.model,
        weights.version,
        load_s,
        instance.lease.record.fencing,
    )
    await broadcast(instance, message)
    if relay_s:
        await curio.sleep(relay_s)


async def _await_load(
    instance: Instance,
    upstream: Upstream,
    planned: PlannedLoad,
    accepted: bool,
    fencing: int = 0,
) -> None:
    """Poll the replica's report until the load has succeeded or failed; announce that.

    Nothing is announced once a later order to the same replica has replaced this one.
    """
    tables = instance.weights
    load = tables.load_by_upstream.get(upstream.id)
    ordered_at = time.monotonic()
    loading_s = 0.0
    if accepted:
        await curio.sleep(tables.load_time_s)
    for _ in range(MAX_REPORT_POLLS):
        if _has_weights(instance, planned) or _is_replaced(instance, upstream, load):
            break
        report = await refresh_report(instance, upstream)
        if report is not None and not report.is_busy:
            break
        loading_s = time.monotonic() - ordered_at
        await curio.sleep(REPORT_POLL_INTERVAL_S)
    if _is_replaced(instance, upstream, load):
        return
    if not _has_weights(instance, planned):
        record_load_ended(tables, upstream.id)
    elif accepted:
        # The load ended between the last two polls.
        ended_s = time.monotonic() - ordered_at
        record_load_time(tables, (loading_s + ended_s) / 2)
    await _announce_load_end(instance, upstream, planned, fencing)


def _is_replaced(
    instance: Instance, upstream: Upstream, load: WeightsLoad | None
) -> bool:
    """Report whether a replica has been sent another order since `load`."""
    current = instance.weights.load_by_upstream.get(upstream.id)
    return current is not None and current is not load


async def _announce_load_end(
    instance: Instance, upstream: Upstream, planned: PlannedLoad, fencing: int
) -> None:
    """Let all instances send to a replica again, with the weights that it runs."""
    model = planned.weights.model
    version = find_version(instance.weights, upstream.id, model)
    weights = ModelWeights(model, version)
    record_load_result(instance, upstream.id, weights, fencing, time.monotonic())
    await broadcast(instance, LoadEnded(upstream.id, model, version, fencing))

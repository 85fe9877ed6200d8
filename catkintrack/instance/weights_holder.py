"""Order replicas to load named weights while this instance holds the lease."""

from __future__ import annotations

import logging
import time

import curio

from catkintrack.fleet import Upstream, WeightsOrder
from catkintrack.leases import mark_fencing_refused
from catkintrack.platform import make_order_request
from catkintrack.weights import (
    note_load_ended,
    note_load_sent,
    plan_loads,
)
from catkintrack.weights.plan import PlannedLoad, find_version

from .broadcasting import broadcast
from .hubs import has_hubs
from .lease_keeper import holds_lease
from .messages import LoadBegun
from .peers import list_heard
from .reports import exchange_with, make_own_id, refresh_report
from .state import Instance

logger = logging.getLogger(__name__)

TICK_S = 0.1
# The time a replica takes to load, until one has been seen to take another.
INITIAL_LOAD_S = 0.3
REPORT_INTERVAL_S = 0.1
# What two hubs gather for and the way take until a message has reached all.
HUB_SPREAD_S = 0.12
MAX_REPORTS = 10


async def run_weights_holder(instance: Instance, wake: curio.Event) -> None:
    """Keep the replicas at the named weights, until cancelled."""
    while True:
        await curio.ignore_after(TICK_S, wake.wait)
        wake.clear()
        if holds_lease(instance):
            await order_loads(instance)


async def order_loads(instance: Instance) -> None:
    """Send the orders that are due, each in a task of its own."""
    now = time.monotonic()
    for model in list(instance.weights.named_by_model):
        work = _measure_work(instance, model, now)
        for planned in plan_loads(instance.weights, model, work, now):
            note_load_sent(instance.weights, planned.upstream, planned.weights, now)
            await curio.spawn(_load, instance, planned, daemon=True)


def _measure_work(instance: Instance, model: str, now: float) -> dict[str, float]:
    """Return the requests in flight at each replica of the model, over all peers."""
    work: dict[str, float] = {}
    peers = list_heard(instance, now)
    for id, upstream in instance.upstream_by_id.items():
        row = instance.decisions.upstream_by_name.get(id)
        if row is None or model not in row.models or upstream.is_draining:
            continue
        counts = [peer.in_flight_by_upstream.get(id, 0) for peer in peers]
        work[id] = row.in_flight + sum(counts)
    return work


async def _load(instance: Instance, planned: PlannedLoad) -> None:
    """Order one replica and follow it until it runs the weights."""
    upstream = instance.upstream_by_id.get(planned.upstream)
    if upstream is None:
        return
    tables = instance.weights
    if upstream.id not in tables.order_count_by_id:
        await refresh_report(instance, upstream)
    is_due = not _has_weights(instance, planned) and holds_lease(instance)
    if is_due:
        await _announce(instance, planned)
    if not is_due or not holds_lease(instance):
        note_load_ended(tables, upstream.id)
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
    _note_status(instance, upstream, status)
    await _follow(instance, upstream, planned)


def _has_weights(instance: Instance, planned: PlannedLoad) -> bool:
    weights = planned.weights
    known = find_version(instance.weights, planned.upstream, weights.model)
    return known >= weights.version


def _note_status(instance: Instance, upstream: Upstream, status: int) -> None:
    """Take over what the answer to an order says of the count and the fencing."""
    counts = instance.weights.order_count_by_id
    if status == 202:
        counts[upstream.id] = counts.get(upstream.id, 0) + 1
    elif status != 200:
        counts.pop(upstream.id, None)
    if status == 412:
        mark_fencing_refused(instance.lease)


async def _send_order(
    instance: Instance, upstream: Upstream, planned: PlannedLoad
) -> int:
    """Send an order and return its status, 0 where none came."""
    order = WeightsOrder(
        planned.weights,
        planned.mode,
        instance.site.instance,
        instance.lease.record.fencing,
        instance.weights.order_count_by_id.get(upstream.id),
    )
    request = make_order_request(upstream, order, make_own_id(instance))
    answer = await exchange_with(instance, upstream, request)
    return 0 if answer is None else answer[0].status


async def _announce(instance: Instance, planned: PlannedLoad) -> None:
    """Let the fleet send nothing more to a replica before it is ordered to load.

    A replica that loads turns away all that reaches it.
    """
    row = instance.decisions.upstream_by_name.get(planned.upstream)
    spread_s = HUB_SPREAD_S if has_hubs(instance) else 0.0
    load_s = spread_s + INITIAL_LOAD_S
    if row is not None:
        row.loading_until = time.monotonic() + load_s
    weights = planned.weights
    message = LoadBegun(planned.upstream, weights.model, weights.version, load_s)
    await broadcast(instance, message)
    if spread_s:
        await curio.sleep(spread_s)


async def _follow(instance: Instance, upstream: Upstream, planned: PlannedLoad) -> None:
    """Ask the replica for its report until the order has ended."""
    await curio.sleep(INITIAL_LOAD_S)
    for _ in range(MAX_REPORTS):
        if _has_weights(instance, planned):
            return
        report = await refresh_report(instance, upstream)
        if report is not None and not report.is_busy:
            break
        await curio.sleep(REPORT_INTERVAL_S)
    if not _has_weights(instance, planned):
        note_load_ended(instance.weights, upstream.id)

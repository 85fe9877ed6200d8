"""Follow whether this instance reaches any replica."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from contextlib import contextmanager

import curio

from catkintrack.decisions import ejection
from catkintrack.decisions.partition import (
    choose_probes,
    count_contacts,
    record_asked,
    record_ended,
    record_reached,
    record_unreachable,
    update_partition,
)
from catkintrack.fleet import Upstream
from catkintrack.http import (
    Request,
    UpstreamDisconnected,
    UpstreamExchangeError,
    UpstreamUnreachable,
    open_exchange,
)
from catkintrack.platform import (
    make_health_request,
    make_report_request,
    parse_response_headers,
)

from .replica_signals import apply_signals, may_send
from .reports import make_request_id
from .state import Instance

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.6


def record_contact(instance: Instance, upstream: Upstream, is_reached: bool) -> None:
    """Record whether a connection to a replica could be opened."""
    record = record_reached if is_reached else record_unreachable
    record(instance.partition, upstream.id, time.monotonic())
    if not is_reached:
        update_own_partition(instance)


def update_own_partition(instance: Instance) -> None:
    """Begin or end a partition, by the contacts so far."""
    now = time.monotonic()
    if not update_partition(instance.partition, instance.upstream_by_id, now):
        return
    is_cut_off = instance.partition.is_cut_off
    instance.metrics.is_cut_off.set({}, int(is_cut_off))
    message = "no replica is reached" if is_cut_off else "replicas reached again"
    logger.warning(message, extra=count_contacts(instance.partition, now))
    if not is_cut_off:
        _end_ejections(instance)


def _end_ejections(instance: Instance) -> None:
    """Let the replicas that were out of reach get calls again, beginning slowly."""
    rows = [
        *instance.decisions.upstream_by_name.values(),
        *instance.services.row_by_name.values(),
    ]
    for row in rows:
        if row.ejections:
            ejection.record_success(row, time.monotonic())


@contextmanager
def follow_request(instance: Instance, upstream: Upstream) -> Iterator[None]:
    """Follow whether a replica answers the request that is sent in this context."""
    record_asked(instance.partition, upstream.id, time.monotonic())
    try:
        yield
    finally:
        record_ended(instance.partition, upstream.id, time.monotonic())


async def probe_while_cut_off(instance: Instance) -> None:
    """Ask replicas now and then while none seems to be reached, until cancelled."""
    next_probe_at = -1e9
    while True:
        await curio.sleep(CHECK_INTERVAL_S)
        update_own_partition(instance)
        now = time.monotonic()
        if now < next_probe_at:
            continue
        names = choose_probes(
            instance.partition, instance.upstream_by_id, now, instance.rng
        )
        for upstream in [instance.upstream_by_id[name] for name in names]:
            if may_send(instance, upstream, now):
                pause_s = PROBE_INTERVAL_S * (0.5 + instance.rng.random())
                next_probe_at = now + pause_s
                await curio.spawn(_probe, instance, upstream, daemon=True)


async def _probe(instance: Instance, upstream: Upstream) -> None:
    """Ask a replica for an answer of any kind, over a new connection."""
    request = _make_probe(instance, upstream)
    try:
        async with open_exchange(
            instance.pool, upstream.address, True, PROBE_TIMEOUT_S
        ) as exchange:
            sent_at = time.monotonic()
            if not may_send(instance, upstream, sent_at):
                return
            with follow_request(instance, upstream):
                await exchange.send(request)
                head = await exchange.read_head(PROBE_TIMEOUT_S)
    except (UpstreamUnreachable, UpstreamDisconnected):
        record_contact(instance, upstream, is_reached=False)
        return
    except UpstreamExchangeError:
        return
    fields = parse_response_headers(head)
    apply_signals(instance, upstream, None, fields, sent_at, time.monotonic())
    record_contact(instance, upstream, is_reached=True)
    update_own_partition(instance)


def _make_probe(instance: Instance, upstream: Upstream) -> Request:
    """Return the request for a report, or for its health if it runs no models."""
    request_id = make_request_id(instance)
    config = instance.config
    service = config.service_by_name.get(upstream.service) if config else None
    if service is None or service.engine is not None:
        return make_report_request(upstream, request_id)
    return make_health_request(service.health_path, upstream.address, request_id)

"""Apply what replicas say of being brittle, and bound the requests that reach them."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager

import curio

from catkintrack.decisions.brittleness import (
    Brittleness,
    end_loans,
    find_brittleness,
    forget_brittleness,
    has_place,
    inherit_brittleness,
    inherit_from_services,
    is_usable_number,
    may_send_placed,
    read_max_rejected,
    record_brittle,
    record_given_up,
    record_rejection,
    record_sound,
    share_room,
)
from catkintrack.decisions.load import has_loan_room
from catkintrack.decisions.tables import UpstreamRow
from catkintrack.fleet import Upstream
from catkintrack.http import UpstreamTimeout
from catkintrack.platform import ResponseFields

from .peers import list_limit_sharers
from .state import Instance

logger = logging.getLogger(__name__)

REJECTION_STATUSES = frozenset({429, 503})


def apply_brittleness(
    instance: Instance,
    upstream: Upstream,
    request_id: bytes | None,
    fields: ResponseFields,
    sent_at: float,
    now: float,
) -> None:
    """Apply an announcement in an answer, its absence in a signed one, and a rejection."""
    table = instance.decisions.brittle
    per_s = fields.max_rejected_per_s
    if per_s is None:
        if not table.record_by_upstream:
            return
        is_evidence = request_id is not None and fields.is_signed
        if is_evidence and record_sound(table, upstream, sent_at, now):
            update_brittleness(instance, upstream.id)
            _log(upstream, "upstream is brittle no more", None)
    else:
        max_rejected = read_max_rejected(per_s)
        if record_brittle(table, upstream, max_rejected, sent_at, now):
            share_brittle_room(instance, now)
            _log(upstream, "upstream is brittle", max_rejected)
            if not is_usable_number(per_s):
                logger.warning(
                    "brittle upstream names no number; it counts as 0",
                    extra={"upstream": upstream.id},
                )
    record = find_brittleness(table, upstream)
    if record is not None and _is_rejection(fields):
        record_rejection(record, now)
        instance.metrics.brittle_rejections.inc({"upstream": upstream.id})


def _is_rejection(fields: ResponseFields) -> bool:
    is_rejected = fields.is_not_run and not fields.is_misdirected
    return is_rejected and fields.status in REJECTION_STATUSES


def has_brittle_replicas(instance: Instance) -> bool:
    """Report whether any replica is taken for brittle."""
    return bool(instance.decisions.brittle.record_by_upstream)


def find_records(instance: Instance, service: str) -> list[Brittleness]:
    """Return what is known of a service's brittle replicas."""
    records = instance.decisions.brittle.record_by_upstream
    return [
        record
        for id, record in records.items()
        if record.service == service and id in instance.upstream_by_id
    ]


def may_place(instance: Instance, upstream: Upstream, now: float) -> bool:
    """Report whether another call may be placed on a replica, brittle or not."""
    record = _find_record(instance, upstream)
    if record is None:
        return True
    rows = _list_rows(instance, upstream.id)
    has_room = any(has_loan_room(row, record, now) for row in rows)
    return has_place(record, sum(row.in_flight for row in rows), has_room, now)


def may_send_to(instance: Instance, upstream: Upstream, now: float) -> bool:
    """Report whether a call that was placed on a replica may be sent there now."""
    record = _find_record(instance, upstream)
    if record is None:
        return True
    rows = _list_rows(instance, upstream.id)
    return may_send_placed(record, sum(row.in_flight for row in rows), now)


@contextmanager
def watch_given_up(instance: Instance, upstream: Upstream) -> Iterator[None]:
    """Keep the place of an attempt that is given up before its answer is whole."""
    try:
        yield
    except (curio.CancelledError, UpstreamTimeout):
        record = _find_record(instance, upstream)
        if record is not None:
            record_given_up(record, time.monotonic())
        raise


def share_brittle_room(instance: Instance, now: float) -> None:
    """Divide the brittle replicas' room anew; forget the records that are over."""
    table = instance.decisions.brittle
    if not table.record_by_upstream and not table.sound_by_upstream:
        return
    for id in forget_brittleness(table, instance.upstream_by_id, now):
        logger.info(
            "upstream's announcement of being brittle has expired",
            extra={"upstream": id},
        )
        update_brittleness(instance, id)
    services = {record.service for record in table.record_by_upstream.values()}
    upstreams = [u for u in instance.upstream_by_id.values() if u.service in services]
    for upstream in inherit_from_services(table, upstreams, now):
        record = table.record_by_upstream[upstream.id]
        _log(upstream, "upstream is taken for brittle", record.max_rejected)
    sharers = [peer.instance for peer in list_limit_sharers(instance, now)]
    share_room(table, upstreams, instance.site.instance, sharers)
    for upstream in upstreams:
        update_brittleness(instance, upstream.id)


def apply_gossiped_brittleness(
    instance: Instance,
    max_rejected_by_upstream: Mapping[str, int],
    rejecting_ids: Iterable[str],
    now: float,
) -> None:
    """Take replicas for brittle that have said so to a peer of late.

    Those that have rejected requests of the peer get no loans for a time.
    """
    has_begun = False
    for id, max_rejected in max_rejected_by_upstream.items():
        upstream = instance.upstream_by_id.get(id)
        if upstream is not None:
            table = instance.decisions.brittle
            has_begun |= inherit_brittleness(table, upstream, max_rejected, now)
    if has_begun:
        share_brittle_room(instance, now)
    for id in rejecting_ids:
        record = instance.decisions.brittle.record_by_upstream.get(id)
        if record is not None:
            end_loans(record, now)


def adopt_life(instance: Instance, upstream: Upstream, now: float) -> None:
    """Take a replica's present life for brittle if its service is."""
    table = instance.decisions.brittle
    if table.record_by_upstream:
        inherit_from_services(table, [upstream], now)
        update_brittleness(instance, upstream.id)


def update_brittleness(instance: Instance, id: str) -> None:
    """Apply what is known of a replica's present life to its rows, and count."""
    upstream = instance.upstream_by_id.get(id)
    if upstream is None:
        return
    table = instance.decisions.brittle
    for row in _list_rows(instance, id):
        row.brittleness = find_brittleness(table, upstream)
    instance.metrics.brittle_replicas.set({}, len(table.record_by_upstream))


def _find_record(instance: Instance, upstream: Upstream) -> Brittleness | None:
    return find_brittleness(instance.decisions.brittle, upstream)


def _list_rows(instance: Instance, id: str) -> list[UpstreamRow]:
    """Return a replica's rows: that of model calls and that of other calls."""
    rows = (
        instance.decisions.upstream_by_name.get(id),
        instance.services.row_by_name.get(id),
    )
    return [row for row in rows if row is not None]


def _log(upstream: Upstream, message: str, max_rejected: int | None) -> None:
    logger.info(
        message,
        extra={
            "upstream": upstream.id,
            "service": upstream.service,
            "incarnation": upstream.incarnation,
            "max_rejected_per_s": max_rejected,
        },
    )

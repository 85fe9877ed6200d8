"""Apply and report the decisions to leave the availability zone."""

from __future__ import annotations

import logging
import time
from typing import Any

from catkintrack.decisions.tables import UpstreamRow
from catkintrack.decisions.zones import (
    FULL_WAIT_S,
    ZoneShare,
    ZoneTable,
    describe_choice,
    find_share,
    record_answered_call,
    record_lost_call,
    record_sign,
)
from catkintrack.fleet import Feature
from catkintrack.platform import ResponseFields

from .state import Instance

logger = logging.getLogger(__name__)


def switch_on_zones(instance: Instance) -> None:
    """Let calls leave the zone by its load where the settings or the replicas ask for it."""
    tables = instance.decisions
    is_wanted = (
        Feature.ADMISSION in instance.site.features or tables.has_uneven_replicas
    )
    if tables.zones is not None or not is_wanted:
        return
    tables.zones = ZoneTable(instance.site.zone)
    instance.services.zones = tables.zones
    logger.info("calls leave the zone by its load", extra={"zone": instance.site.zone})


def record_zone_choice(
    instance: Instance, service: str, row: UpstreamRow
) -> dict[str, Any]:
    """Count where a call is sent, and return the reasons for the log."""
    zones = instance.decisions.zones
    if zones is None:
        return {}
    choice = describe_choice(zones, service, row.zone)
    labels = {"service": service, "choice": choice["zone_choice"]}
    instance.metrics.zone_calls.inc(labels)
    return choice


def record_zone_answer(
    instance: Instance,
    service: str,
    row: UpstreamRow,
    fields: ResponseFields,
    wait_s: float = 0.0,
) -> None:
    """Lower a zone's share if a replica there rejects calls or lets them wait.

    `wait_s` is by how much the answer came later than its prefill takes.
    """
    state = _find_remote_share(instance, service, row)
    if state is None:
        return
    record_answered_call(state)
    has_queue = fields.load is not None and row.reported_waiting > 0
    if fields.is_not_run or has_queue or wait_s > FULL_WAIT_S:
        record_sign(state, time.monotonic())


def record_zone_loss(instance: Instance, service: str, row: UpstreamRow) -> None:
    """Lower a zone's share, since an attempt failed there."""
    state = _find_remote_share(instance, service, row)
    if state is not None:
        record_lost_call(state, time.monotonic())


def report_zone_shares(instance: Instance) -> None:
    """Set the metrics of all zones' shares."""
    zones = instance.decisions.zones
    if zones is None:
        return
    for service, shares in zones.share_by_zone_by_service.items():
        for zone, state in shares.items():
            labels = {"service": service, "zone": zone}
            instance.metrics.zone_share.set(labels, state.share)


def _find_remote_share(
    instance: Instance, service: str, row: UpstreamRow
) -> ZoneShare | None:
    zones = instance.decisions.zones
    if zones is None or row.zone in ("", zones.home):
        return None
    return find_share(zones, service, row.zone)

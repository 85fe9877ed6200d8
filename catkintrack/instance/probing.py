"""Probe replicas that have requests in flight and have gone silent."""

from __future__ import annotations

import time

import curio

from catkintrack.decisions.failure_detection import is_suspect
from catkintrack.decisions.tables import UpstreamRow
from catkintrack.fleet import Upstream
from catkintrack.http import UpstreamUnreachable, open_exchange

from .health import record_replica_failure
from .state import Instance

PROBE_INTERVAL_S = 0.5


async def probe_suspects(instance: Instance) -> None:
    """Probe each model replica that has requests in flight and has gone silent.

    Such a replica gets no new requests, so only a probe can show that it is unreachable.
    """
    now = time.monotonic()
    for id, row in list(instance.decisions.upstream_by_name.items()):
        upstream = instance.upstream_by_id.get(id)
        is_due = now - instance.probed_at_by_upstream.get(id, -1e9) > PROBE_INTERVAL_S
        if upstream is not None and is_due and is_suspect(row, now):
            instance.probed_at_by_upstream[id] = now
            await curio.spawn(probe, instance, upstream, row, daemon=True)


async def probe(instance: Instance, upstream: Upstream, row: UpstreamRow) -> None:
    """Connect to a replica and eject it if that fails."""
    asked_at = time.monotonic()
    try:
        async with open_exchange(instance.pool, upstream.address, force_new=True):
            return
    except UpstreamUnreachable as error:
        record_replica_failure(row, asked_at, True, f"silent and unreachable: {error}")

"""Ask replicas that a silent stream may move to for their reports, in the background."""

from __future__ import annotations

import time

import curio

from catkintrack.decisions.moves import (
    choose_asked,
    is_due,
    record_answered,
    record_asked,
)
from catkintrack.decisions.tables import ModelRequest, UpstreamRow
from catkintrack.fleet import Upstream

from .lives import ask_life, has_other_life
from .state import Instance


async def ask_silent(instance: Instance, upstream: Upstream, row: UpstreamRow) -> None:
    """Begin to ask a silent replica whether it still runs in its known life."""
    now = time.monotonic()
    if is_due(row, now):
        record_asked(row, now)
        await curio.spawn(has_other_life, instance, upstream, daemon=True)


async def ask_others(instance: Instance, request: ModelRequest) -> None:
    """Begin to ask the replicas to which a silent stream may move."""
    now = time.monotonic()
    for row in choose_asked(instance.decisions, request, now):
        upstream = instance.upstream_by_id.get(row.name)
        if upstream is not None:
            record_asked(row, now)
            await curio.spawn(_ask, instance, upstream, row, now, daemon=True)


async def _ask(
    instance: Instance, upstream: Upstream, row: UpstreamRow, asked_at: float
) -> None:
    report = await ask_life(instance, upstream)
    # A report may have been asked for before the replica rejected a call.
    is_latest = row.asked_at == asked_at
    if report is not None and is_latest and report.running < row.max_running:
        record_answered(row, time.monotonic())

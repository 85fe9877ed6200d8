"""Let model calls wait until the decision core places or refuses them."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import curio

from catkintrack.decisions import (
    Decision,
    ModelRequest,
    Tables,
    remove_waiting,
    submit,
    tick,
)
from catkintrack.http import CallerGone

TICK_S = 0.01
IDLE_TICK_S = 0.1
CALLER_CHECK_INTERVAL_S = 0.25


@dataclass(slots=True)
class Waiter:
    """Hold a waiting model call until its decision comes."""

    done: curio.Event = field(default_factory=curio.Event)
    decision: Decision | None = None


@dataclass(slots=True)
class CallQueue:
    """Hold the calls that wait, keyed by request id, and what decides on them.

    `note_waiting` is told how many wait, at each tick while any does.
    """

    tables: Tables
    rng: Random
    policy: str
    record_waiting: Callable[[int], None]
    waiter_by_id: dict[str, Waiter] = field(default_factory=dict)


async def wait_for_decision(
    room: CallQueue,
    request: ModelRequest,
    is_caller_gone: Callable[[], bool] = lambda: False,
) -> Decision:
    """Return the decision on a request; raise CallerGone when nobody waits for it."""
    refusal = submit(room.tables, request, time.monotonic())
    if refusal is not None:
        return refusal
    waiter = Waiter()
    room.waiter_by_id[request.id] = waiter
    try:
        await run_tick(room)
        while waiter.decision is None:
            await curio.ignore_after(CALLER_CHECK_INTERVAL_S, waiter.done.wait)
            if waiter.decision is None and is_caller_gone():
                raise CallerGone("the caller left while its call waited")
        return waiter.decision
    finally:
        room.waiter_by_id.pop(request.id, None)
        if waiter.decision is None:
            remove_waiting(room.tables, request.id)


async def run_tick(room: CallQueue) -> None:
    """Take the decisions that are due and wake their calls."""
    for decision in tick(room.tables, time.monotonic(), room.rng, room.policy):
        waiter = room.waiter_by_id.get(decision.request.id)
        if waiter is not None:
            waiter.decision = decision
            await waiter.done.set()


async def run_ticks(room: CallQueue) -> None:
    """Tick while calls wait, until cancelled."""
    while True:
        waiting = room.tables.waiting_count
        await curio.sleep(TICK_S if waiting else IDLE_TICK_S)
        if waiting:
            room.record_waiting(waiting)
            await run_tick(room)

"""Wait for the scheduler to dispatch or refuse queued model calls."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

import curio

from catkintrack.decisions import (
    Decision,
    ModelRequest,
    Tables,
    record_end,
    remove_waiting,
    submit,
    tick,
)
from catkintrack.http import CallerDisconnected
from catkintrack.timeouts import ignore_after

TICK_S = 0.01
IDLE_TICK_S = 0.1
CALLER_CHECK_INTERVAL_S = 0.25


class CallWithdrawn(Exception):
    """Report that a queued call is to be served elsewhere."""


@dataclass(slots=True)
class Waiter:
    """Hold the decision on one queued model call and the event that announces it."""

    done: curio.Event = field(default_factory=curio.Event)
    decision: Decision | None = None


@dataclass(slots=True)
class CallQueue:
    """Hold the queued calls, keyed by request id, and the scheduler's state.

    `record_waiting` is called with the queue length at each tick that finds calls
    queued; such ticks come each `tick_s`, in seconds, beside those at each event.
    `should_withdraw_by_id` holds a check for calls that may be served elsewhere.
    """

    tables: Tables
    rng: Random
    policy: str
    record_waiting: Callable[[int], None]
    waiter_by_id: dict[str, Waiter] = field(default_factory=dict)
    tick_s: float = TICK_S
    should_withdraw_by_id: dict[str, Callable[[], bool]] = field(default_factory=dict)


@contextmanager
def allow_withdrawal(
    queue: CallQueue, request_id: str, should_withdraw: Callable[[], bool]
) -> Iterator[None]:
    """Withdraw a call that is queued in this context once `should_withdraw` says so.

    It is asked each CALLER_CHECK_INTERVAL_S.
    """
    queue.should_withdraw_by_id[request_id] = should_withdraw
    try:
        yield
    finally:
        queue.should_withdraw_by_id.pop(request_id, None)


async def wait_for_decision(
    queue: CallQueue,
    request: ModelRequest,
    has_caller_disconnected: Callable[[], bool] = lambda: False,
) -> Decision:
    """Queue a request and return the decision on it.

    Raise CallerDisconnected if its caller disconnects first, CallWithdrawn if it is
    withdrawn (`allow_withdrawal`). The place that a dispatch
    holds is the caller's to give back, but for a call that ends while it waits.
    """
    refusal = submit(queue.tables, request, time.monotonic())
    if refusal is not None:
        return refusal
    waiter = Waiter()
    queue.waiter_by_id[request.id] = waiter
    try:
        await run_tick(queue)
        while waiter.decision is None:
            await ignore_after(CALLER_CHECK_INTERVAL_S, waiter.done.wait)
            if waiter.decision is None and has_caller_disconnected():
                raise CallerDisconnected(
                    "caller disconnected while its call was queued"
                )
            should_withdraw = queue.should_withdraw_by_id.get(request.id)
            if waiter.decision is None and should_withdraw and should_withdraw():
                raise CallWithdrawn("the call is served elsewhere")
        return waiter.decision
    except BaseException:
        # A decision may arrive in the turn in which the call is cancelled.
        record_end(queue.tables, request.id, time.monotonic())
        raise
    finally:
        queue.waiter_by_id.pop(request.id, None)
        if waiter.decision is None:
            remove_waiting(queue.tables, request.id)


async def run_tick(queue: CallQueue) -> None:
    """Run one scheduler tick and wake the calls that it decided."""
    for decision in tick(queue.tables, time.monotonic(), queue.rng, queue.policy):
        waiter = queue.waiter_by_id.get(decision.request.id)
        if waiter is not None:
            waiter.decision = decision
            await waiter.done.set()


async def run_ticks(queue: CallQueue) -> None:
    """Run scheduler ticks while calls are queued, until cancelled."""
    while True:
        waiting = queue.tables.waiting_count
        await curio.sleep(queue.tick_s if waiting else IDLE_TICK_S)
        if waiting:
            queue.record_waiting(waiting)
            await run_tick(queue)

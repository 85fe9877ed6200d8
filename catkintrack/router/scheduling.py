"""Carry model calls through the decision core."""

from __future__ import annotations

import time

import curio

from catkintrack.decisions import (
    Dispatch,
    ModelRequest,
    Refusal,
    submit,
    tick,
    withdraw,
)
from catkintrack.http import CallerGone, Connection

from .state import Router, Waiter

TICK_S = 0.02
IDLE_TICK_S = 0.1
CALLER_CHECK_S = 0.25


async def place_call(
    router: Router, request: ModelRequest, connection: Connection
) -> Dispatch | Refusal:
    """Wait for the decision on a request; raise CallerGone when nobody waits."""
    refusal = submit(router.decisions, request, time.monotonic())
    if refusal is not None:
        return refusal
    waiter = Waiter()
    router.waiter_by_id[request.id] = waiter
    try:
        await run_tick(router)
        while waiter.decision is None:
            await curio.ignore_after(CALLER_CHECK_S, waiter.done.wait)
            if waiter.decision is None and connection.is_caller_gone():
                raise CallerGone("the caller left while its call waited")
        return waiter.decision
    finally:
        del router.waiter_by_id[request.id]
        if waiter.decision is None:
            withdraw(router.decisions, request.id)


async def run_tick(router: Router) -> None:
    """Take the decisions that are due and wake their calls."""
    policy = router.settings.router.placement.policy
    decisions = tick(router.decisions, time.monotonic(), router.rng, policy)
    for decision in decisions:
        waiter = router.waiter_by_id.get(decision.request.id)
        if waiter is not None:
            waiter.decision = decision
            await waiter.done.set()


async def run_ticks(router: Router) -> None:
    """Tick while calls wait, until cancelled."""
    while True:
        is_waiting = router.decisions.waiting_count > 0
        await curio.sleep(TICK_S if is_waiting else IDLE_TICK_S)
        if is_waiting:
            router.metrics.waiting_calls.set({}, router.decisions.waiting_count)
            await run_tick(router)

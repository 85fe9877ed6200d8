"""End the calls of a stopping instance in time, each with an answer."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio

from catkintrack.decisions.deadlines import bound_deadlines
from catkintrack.fleet import Call
from catkintrack.http import Connection
from catkintrack.timeouts import ignore_after

from .attempts import CallProgress
from .refusals import RETRY_AFTER_JITTER, CallError, NotServed, OutcomeUnknown
from .state import Instance, OpenCall

# Calls that are dispatched later than this before the end would mostly be cut, while
# their callers have time left for another instance.
MIN_SERVICE_S = 1.0
# Time in which the answers to ended calls are sent.
ANSWER_S = 0.2
# Other instances serve meanwhile, so callers may retry almost at once.
RETRY_AFTER_S = 0.05


@asynccontextmanager
async def register_call(
    instance: Instance, call: Call, progress: CallProgress, connection: Connection
) -> AsyncIterator[None]:
    """Register a call while it runs, so that a stop of the instance can end it.

    Raise NotServed or OutcomeUnknown if a stop has ended it.
    """
    task = await curio.current_task()
    open_call = OpenCall(call, connection, task)
    instance.open_calls.add(open_call)
    try:
        yield
    except curio.CancelledError:
        if not open_call.is_ended:
            raise
        raise _make_end_error(instance, progress) from None
    finally:
        instance.open_calls.discard(open_call)


def _make_end_error(instance: Instance, progress: CallProgress) -> CallError:
    if progress.may_have_run:
        return OutcomeUnknown("the instance stops before the call has ended")
    jitter = 1.0 + RETRY_AFTER_JITTER * instance.rng.random()
    return NotServed("the instance stops", RETRY_AFTER_S * jitter)


def bound_calls(instance: Instance, end_at: float) -> None:
    """Bound the deadlines of calls, now and later, by the time at which they end.

    Calls that can't be dispatched long enough before are refused when that is known.
    `end_at` is in seconds of the monotonic clock.
    """
    instance.calls_end_at = end_at
    for open_call in instance.open_calls:
        call = open_call.call
        call.deadline_at = min(call.deadline_at, end_at)
    bound_deadlines(instance.decisions, end_at - MIN_SERVICE_S)


async def end_calls(instance: Instance) -> None:
    """End the calls that have no response yet, and wait while responses are sent.

    All are ended before one of them goes on, so that none takes the place of another at
    a replica.
    """
    open_calls = list(instance.open_calls)
    for open_call in open_calls:
        if not open_call.connection.has_response_started:
            open_call.is_ended = True
            await open_call.task.cancel(blocking=False)
    deadline_at = time.monotonic() + ANSWER_S
    for open_call in open_calls:
        remaining_s = deadline_at - time.monotonic()
        await ignore_after(max(0.0, remaining_s), open_call.task.wait)

"""Limit how long operations take, also while the event loop is late.

If a timeout expires as the operation's event arrives, curio keeps the timeout for the
task's next blocking operation, unless the operation ends in time to take it back.  It
does not take it back where an enclosing timeout has expired meanwhile, which then ends
with an UncaughtTimeoutError.  These functions take it back in each case; the enclosing
timeout is still delivered.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import curio

T = TypeVar("T")


@asynccontextmanager
async def timeout_after(seconds: float) -> AsyncIterator[None]:
    """Raise curio.TaskTimeout if the block takes more than `seconds`."""
    try:
        async with curio.timeout_after(seconds):
            yield
    finally:
        await _drop_expired_timeout()


async def call_within(
    seconds: float, function: Callable[..., Awaitable[T]], *args: Any
) -> T:
    """Return a call's result; raise curio.TaskTimeout if it takes more than `seconds`."""
    try:
        return await curio.timeout_after(seconds, function, *args)
    finally:
        await _drop_expired_timeout()


async def ignore_after(
    seconds: float, function: Callable[..., Awaitable[T]], *args: Any
) -> T | None:
    """Return a call's result, or None if it takes more than `seconds`."""
    try:
        return await curio.ignore_after(seconds, function, *args)
    finally:
        await _drop_expired_timeout()


async def _drop_expired_timeout() -> None:
    """Drop a timeout that is pending for a context that has ended.

    The timer of an enclosing one has been set again and fires at once if it is due.
    """
    task = await curio.current_task()
    if isinstance(task.cancel_pending, curio.TaskTimeout):
        task.cancel_pending = None

"""Run curio tasks in virtual time: a wait ends at once and sets the clock forward."""

from __future__ import annotations

import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

import curio


class _SkippingSelector(selectors.DefaultSelector):
    """Set the clock forward by the timeout instead of waiting for it."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; without anything ready, let the timeout pass."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise AssertionError("all tasks wait, and none for a time")
        self.clock.now += max(0.0, timeout)
        return []


class VirtualClock:
    """Hold the virtual time in seconds."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def read(self) -> float:
        """Return the virtual time."""
        return self.now


def run_virtually(
    function: Callable[..., Awaitable[Any]], *arguments: Any, now: float = 1000.0
) -> Any:
    """Run a coroutine function, with `time.monotonic` on a virtual clock."""
    clock = VirtualClock(now)
    with patch.object(time, "monotonic", clock.read):
        return curio.run(function, *arguments, selector=_SkippingSelector(clock))

"""Limit how many requests a simulated replica runs at once, and queue some more."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import curio


class Slots:
    """Hold a replica's slots and the length of its queue; 0 slots mean no limit."""

    def __init__(self, slots: int = 0, queue: int = 0) -> None:
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.free = curio.Semaphore(slots)

    def is_full(self) -> bool:
        """Report whether a further request is to be rejected."""
        return self.has_queue(self.queue)

    def has_queue(self, queue: int) -> bool:
        """Report whether all slots are in use and `queue` requests or more wait."""
        return 0 < self.slots + queue <= self.running + self.waiting

    @asynccontextmanager
    async def take(self) -> AsyncIterator[None]:
        """Wait for a slot and hold it."""
        if not self.slots:
            yield
            return
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            await self.free.release()


def describe_slots(slots: Any) -> dict[str, int]:
    """Return the counters of a replica's slots."""
    return {"running": slots.running, "waiting": slots.waiting}

"""Begin a new era when the store has come back from an older copy of itself.

An era is seen in the store's responses or heard from a peer.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable
from functools import partial
from typing import Any

import curio

from catkintrack.leases import begin_lease_era

from .clocks import read_boot_clock
from .state import Instance

logger = logging.getLogger(__name__)

# Replicas' entries that are missing in the copy are restored within this time.
ENTRY_RESTORE_S = 2.5
# Interval at which a pending watch checks that its era lasts.
ERA_CHECK_S = 0.25


def follow_eras(instance: Instance) -> None:
    """Begin each new era that a response of the store or a peer shows."""
    instance.store.on_new_era = partial(_begin_era, instance)


async def run_within_era(instance: Instance, era: int, call: Awaitable[Any]) -> Any:
    """Return the result of a call to the store, or None as soon as the era is over.

    A watch may hang on a connection of the earlier era for seconds.
    """
    if not era:
        return await call
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_run, call)
        await group.spawn(_await_end_of_era, instance, era)
    return group.completed.result


async def _run(call: Awaitable[Any]) -> Any:
    return await call


async def _await_end_of_era(instance: Instance, era: int) -> None:
    while instance.store.era <= era:
        await curio.sleep(ERA_CHECK_S)


def is_after_new_era(instance: Instance, now: float) -> bool:
    """Report whether replicas may still have to write their entries again."""
    return now - instance.era_seen_at < ENTRY_RESTORE_S


def _begin_era(instance: Instance, era: int, source: str) -> None:
    """End what holds only within an era: the lease, and the feeds' being current.

    The first era that a process sees ends nothing that it knows.
    """
    previous = instance.lease.era
    has_state = instance.config is not None or bool(instance.spec_by_upstream)
    was_held = begin_lease_era(instance.lease, era, read_boot_clock())
    instance.metrics.store_era.set({}, era)
    if has_state:
        instance.era_seen_at = time.monotonic()
    for feed in instance.feed_by_kind.values():
        feed.last_success_at = -1e9
    logger.info(
        "store era seen",
        extra={
            "era": era,
            "previous": previous,
            "source": source,
            "is_lease_lost": was_held,
        },
    )

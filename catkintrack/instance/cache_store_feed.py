"""Follow the store of kept cache: one instance reads its events and tells the others."""

from __future__ import annotations

import logging
import time
from collections import defaultdict
from dataclasses import dataclass

import curio
from returns.result import Failure, Success

from catkintrack.decisions.kept import (
    add_stored_blocks,
    clear_stored_blocks,
    remove_stored_blocks,
)
from catkintrack.fleet import CacheChanges
from catkintrack.http import (
    Address,
    UpstreamBroken,
    UpstreamUnreachable,
    fetch,
)
from catkintrack.platform import decode_cache_events, make_cache_events_request

from .broadcasting import broadcast
from .messages import CacheStoreChanged, CacheStoreCleared
from .peers import find_rank
from .prompts import hash_cached_block
from .reports import make_request_id
from .state import Instance

logger = logging.getLogger(__name__)

WAIT_S = 1.0
ANSWER_MARGIN_S = 0.5
# Between two calls, so that changes are told in bunches.
PAUSE_S = 0.25
RETRY_S = 1.0


@dataclass(slots=True)
class Cursor:
    """Hold how far the store's events have been read."""

    address: Address | None = None
    life: int | None = None
    next_number: int = 0


async def run_cache_store_feed(instance: Instance) -> None:
    """Follow the store while this instance is the first by name, until cancelled."""
    cursor = Cursor()
    while True:
        address = instance.cache_store_address
        is_reader = not instance.is_stopping and not find_rank(
            instance, time.monotonic()
        )
        if address is None or not is_reader:
            cursor = Cursor()
            await curio.sleep(RETRY_S)
            continue
        if address != cursor.address:
            cursor = Cursor(address)
        changes = await _fetch(instance, address, cursor)
        if changes is None:
            await curio.sleep(RETRY_S)
            continue
        await _take(instance, cursor, changes)
        await curio.sleep(PAUSE_S)


async def _fetch(
    instance: Instance, address: Address, cursor: Cursor
) -> CacheChanges | None:
    request = make_cache_events_request(
        address, cursor.next_number, WAIT_S, make_request_id(instance)
    )
    timeout_s = WAIT_S + ANSWER_MARGIN_S
    try:
        head, body = await fetch(instance.pool, address, request, timeout_s)
    except (UpstreamUnreachable, UpstreamBroken) as error:
        logger.warning("kept cache not followed", extra={"reason": str(error)})
        return None
    if head.status != 200:
        return None
    match decode_cache_events(body):
        case Success(changes):
            return changes
        case Failure(error):
            logger.warning("kept cache not followed", extra={"reason": error.reason})
            return None


async def _take(instance: Instance, cursor: Cursor, changes: CacheChanges) -> None:
    store = instance.decisions.kv_store
    if store is None:
        return
    if cursor.life is not None and changes.life != cursor.life:
        logger.info("kept cache emptied", extra={"life": changes.life})
        clear_stored_blocks(store)
        await broadcast(instance, CacheStoreCleared())
        # The events of the new life are read from their start.
        cursor.life, cursor.next_number = changes.life, 0
        return
    cursor.life = changes.life
    cursor.next_number = changes.next_number
    stored_by_part: dict[tuple[int, int], bool] = {}
    for change in changes.changes:
        part = hash_cached_block(change.salt, change.part)
        if part is not None:
            stored_by_part[part] = change.is_stored
    await _tell(instance, stored_by_part)


async def _tell(
    instance: Instance, stored_by_part: dict[tuple[int, int], bool]
) -> None:
    """Note what the store has gained and lost, and tell peers."""
    store = instance.decisions.kv_store
    blocks_by_change: dict[tuple[int, bool], list[int]] = defaultdict(list)
    for (version, block), is_stored in stored_by_part.items():
        blocks_by_change[(version, is_stored)].append(block)
    for (version, is_stored), blocks in blocks_by_change.items():
        if store is not None:
            note = add_stored_blocks if is_stored else remove_stored_blocks
            note(store, version, blocks)
        await broadcast(instance, CacheStoreChanged(version, is_stored, tuple(blocks)))

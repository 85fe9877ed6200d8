"""Follow the cache stores' events; one instance reads and broadcasts those of each."""

from __future__ import annotations

import logging
import time
from collections import defaultdict
from dataclasses import dataclass

import curio
from returns.result import Failure, Success

from catkintrack.decisions.cache_store import (
    CacheStoreIndex,
    add_stored_blocks,
    clear_stored_blocks,
    find_store,
    remove_stored_blocks,
)
from catkintrack.decisions.rest import bound_rest_s
from catkintrack.fleet import CacheChangeBatch
from catkintrack.http import (
    Address,
    UpstreamExchangeError,
    UpstreamUnreachable,
    fetch,
)
from catkintrack.platform import (
    decode_cache_events,
    make_cache_events_request,
    parse_response_headers,
)
from catkintrack.processes import run_restarting

from .broadcasting import broadcast
from .messages import CacheStoreChanged, CacheStoreCleared
from .peers import find_rank, list_live_peers
from .prompts import hash_cached_block
from .replica_signals import REST_STATUS
from .reports import make_request_id
from .state import Instance

logger = logging.getLogger(__name__)

POLL_WAIT_S = 1.0
ANSWER_MARGIN_S = 0.5
# Pause between two polls, so that changes are broadcast in batches.
POLL_PAUSE_S = 0.25
RETRY_S = 1.0


@dataclass(slots=True)
class Cursor:
    """Hold the position up to which the cache store's events have been read.

    `rest_s` is the time that its last answer asked for, in seconds.
    """

    address: Address | None = None
    incarnation: int | None = None
    next_number: int = 0
    rest_s: float = 0.0


async def run_cache_store_feed(instance: Instance) -> None:
    """Follow the events of each cache store that is configured, until cancelled."""
    task_by_name: dict[str, curio.Task] = {}
    try:
        while True:
            names = set(instance.store_address_by_name)
            for name in names - set(task_by_name):
                task_by_name[name] = await curio.spawn(
                    run_restarting, _follow_store, instance, name, daemon=True
                )
            for name in set(task_by_name) - names:
                await task_by_name.pop(name).cancel()
            await curio.sleep(RETRY_S)
    finally:
        for task in task_by_name.values():
            await task.cancel()


async def _follow_store(instance: Instance, name: str) -> None:
    """Read a cache store's events while this instance is its reader, until cancelled."""
    cursor = Cursor()
    while True:
        address = instance.store_address_by_name.get(name)
        if address is None or not _is_reader(instance, name):
            cursor = Cursor()
            _set_leaving(instance, find_store(instance.decisions, name), False)
            await curio.sleep(RETRY_S)
            continue
        if address != cursor.address:
            store = find_store(instance.decisions, name)
            # A restart may fall into the time between two readers.
            cursor = Cursor(address, store.incarnation if store else None)
        changes = await _fetch(instance, address, cursor)
        if changes is None:
            await curio.sleep(max(RETRY_S, cursor.rest_s))
            continue
        await apply_changes(instance, cursor, changes)
        await curio.sleep(POLL_PAUSE_S)


def _is_reader(instance: Instance, name: str) -> bool:
    """Report whether this instance reads a store's events: the stores have one each."""
    if instance.is_stopping:
        return False
    now = time.monotonic()
    peers = [p for p in list_live_peers(instance, now) if not p.is_leaving]
    position = sorted(instance.store_address_by_name).index(name)
    return find_rank(instance, now) == position % (len(peers) + 1)


def _find_store_at(
    instance: Instance, address: Address | None
) -> CacheStoreIndex | None:
    """Return the store at an address, or else the only one, if there is one.

    One that the configuration has removed meanwhile is none of several.
    """
    tables = instance.decisions
    return find_store(tables, str(address or "")) or find_store(tables, "")


async def _fetch(
    instance: Instance, address: Address, cursor: Cursor
) -> CacheChangeBatch | None:
    request = make_cache_events_request(
        address, cursor.next_number, POLL_WAIT_S, make_request_id(instance)
    )
    cursor.rest_s = 0.0
    timeout_s = POLL_WAIT_S + ANSWER_MARGIN_S
    try:
        head, body = await fetch(instance.pool, address, request, timeout_s)
    except (UpstreamUnreachable, UpstreamExchangeError) as error:
        logger.warning("cache store events not fetched", extra={"reason": str(error)})
        return None
    fields = parse_response_headers(head)
    store = _find_store_at(instance, cursor.address)
    if fields.is_leaving:
        _set_leaving(instance, store, True)
    if fields.is_misdirected:
        await _announce_absence(instance, store, fields.upstream_id)
        return None
    if fields.status == REST_STATUS:
        cursor.rest_s = bound_rest_s(fields.retry_after_s)
    if fields.status != 200:
        return None
    match decode_cache_events(body):
        case Success(changes):
            return changes
        case Failure(error):
            logger.warning("invalid cache store events", extra={"reason": error.reason})
            return None


def _set_leaving(
    instance: Instance, store: CacheStoreIndex | None, is_leaving: bool
) -> None:
    """Mark a cache store as leaving by its answer, until its next life.

    Events are still read, which is how a new life shows.
    """
    if store is None or store.is_leaving == is_leaving:
        return
    store.is_leaving = is_leaving
    if is_leaving:
        logger.info("cache store leaves by its answer", extra={"store": store.name})


async def _announce_absence(
    instance: Instance, store: CacheStoreIndex | None, found: str | None
) -> None:
    """Let no instance use a cache store while another server has its address.

    Each poll repeats it for instances that have started since.
    """
    if store is None:
        return
    if not store.is_absent:
        extra = {"store": store.name, "found": found}
        logger.warning("another server has the cache store's address", extra=extra)
    clear_stored_blocks(store)
    store.is_absent = True
    await broadcast(instance, CacheStoreCleared(is_absent=True, store=store.name))


async def apply_changes(
    instance: Instance, cursor: Cursor, changes: CacheChangeBatch
) -> None:
    """Record and broadcast the changes that a cache store has reported."""
    store = _find_store_at(instance, cursor.address)
    if store is None:
        return
    if store.is_absent:
        logger.info("cache store is back", extra={"store": store.name})
        store.is_absent = False
        await broadcast(instance, CacheStoreCleared(store=store.name))
    if cursor.incarnation is not None and changes.incarnation != cursor.incarnation:
        logger.info("kept cache emptied", extra={"life": changes.incarnation})
        clear_stored_blocks(store)
        await broadcast(instance, CacheStoreCleared(store=store.name))
        # The events of the restarted store are read from the first one.
        cursor.incarnation, cursor.next_number = changes.incarnation, 0
        return
    cursor.incarnation = store.incarnation = changes.incarnation
    cursor.next_number = changes.next_number
    is_stored_by_version_block: dict[tuple[int, int], bool] = {}
    for change in changes.changes:
        version_block = hash_cached_block(change.salt, change.part)
        if version_block is not None:
            is_stored_by_version_block[version_block] = change.is_stored
    await _broadcast_changes(instance, store, is_stored_by_version_block)


async def _broadcast_changes(
    instance: Instance,
    store: CacheStoreIndex,
    is_stored_by_version_block: dict[tuple[int, int], bool],
) -> None:
    """Record and broadcast which blocks a store has gained and lost."""
    blocks_by_change: dict[tuple[int, bool], list[int]] = defaultdict(list)
    for (version, block), is_stored in is_stored_by_version_block.items():
        blocks_by_change[(version, is_stored)].append(block)
    for (version, is_stored), blocks in blocks_by_change.items():
        apply_change = add_stored_blocks if is_stored else remove_stored_blocks
        apply_change(store, version, blocks)
        message = CacheStoreChanged(
            version, is_stored, tuple(blocks), store.name, store.incarnation
        )
        await broadcast(instance, message)

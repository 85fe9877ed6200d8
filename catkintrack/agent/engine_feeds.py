"""Poll the load and the KV cache events of the model engines."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TypeVar

import curio
import msgspec

from catkintrack.config import Upstream
from catkintrack.http import HttpError, Request, fetch
from catkintrack.links import CacheEvents, LoadReport

from .routers import collect_load_reports, send_to_routers
from .state import Agent, EngineFeed

logger = logging.getLogger(__name__)

ENGINE_CALL_TIMEOUT_S = 1.0
EVENT_LONG_POLL_TIMEOUT_S = 1.0
EVENT_RETRY_DELAY_S = 0.5

Decoded = TypeVar("Decoded")


class EngineLoad(msgspec.Struct, frozen=True):
    """Hold the body of an engine's load response."""

    incarnation: str
    weights: str = ""
    running: int = 0
    waiting: int = 0
    prefill_tokens: int = 0
    capacity_blocks: int = 0
    is_loading: bool = False


class EngineEvents(msgspec.Struct, frozen=True):
    """Hold a batch of cache events as (sequence, kind, block hash in hex)."""

    incarnation: str
    last_sequence: int
    events: tuple[tuple[int, str, str], ...]


@dataclass(frozen=True, slots=True)
class CacheDelta:
    """Hold the net effect of a batch of cache events.

    `is_reset` invalidates all earlier blocks: events were lost or the cache cleared.
    """

    is_reset: bool
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


def compute_cache_delta(sequence: int, batch: EngineEvents) -> CacheDelta:
    """Return the net effect of `batch` on a cache state as of `sequence`.

    After a gap in the sequence only the blocks of later events count as cached.
    """
    is_reset = False
    expected_sequence = sequence + 1
    is_stored_by_block: dict[int, bool] = {}
    for event_sequence, kind, block in batch.events:
        if event_sequence != expected_sequence or kind == "cleared":
            is_reset = True
            is_stored_by_block.clear()
        expected_sequence = event_sequence + 1
        if kind != "cleared":
            is_stored_by_block[int(block, 16)] = kind == "stored"
    if expected_sequence <= batch.last_sequence:
        # The last events of the batch are lost, and may have evicted any block.
        return CacheDelta(True, (), ())
    stored = tuple(b for b, is_stored in is_stored_by_block.items() if is_stored)
    evicted = tuple(b for b, is_stored in is_stored_by_block.items() if not is_stored)
    return CacheDelta(is_reset, stored, evicted)


async def sync_engine_feeds(agent: Agent) -> None:
    """Start and stop feeds to match the configured model engines."""
    upstreams = agent.tables.upstream_by_name
    wanted_upstreams = {name for name, upstream in upstreams.items() if upstream.models}
    for name in set(agent.feed_by_upstream) - wanted_upstreams:
        feed = agent.feed_by_upstream.pop(name)
        for task in feed.tasks:
            await task.cancel(blocking=False)
    for name in wanted_upstreams - set(agent.feed_by_upstream):
        feed = EngineFeed(name)
        agent.feed_by_upstream[name] = feed
        feed.tasks = [
            await curio.spawn(poll_engine_load, agent, feed, daemon=True),
            await curio.spawn(poll_cache_events, agent, feed, daemon=True),
        ]


async def poll_engine_load(agent: Agent, feed: EngineFeed) -> None:
    """Poll an engine's load until cancelled."""
    while True:
        body = await _fetch_from_engine(agent, feed, "/load", ENGINE_CALL_TIMEOUT_S)
        load = _decode_body(body, EngineLoad)
        if load is not None:
            _record_load(feed, load)
        await curio.sleep(agent.settings.agent.load_interval_s)


def _record_load(feed: EngineFeed, load: EngineLoad) -> None:
    feed.load_received_at = time.monotonic()
    feed.load = LoadReport(
        upstream=feed.upstream,
        incarnation=load.incarnation,
        weights=load.weights,
        running=load.running,
        waiting=load.waiting,
        prefill_tokens=load.prefill_tokens,
        capacity_blocks=load.capacity_blocks,
        is_loading=load.is_loading,
        age_s=0.0,
    )


async def push_load_reports(agent: Agent) -> None:
    """Send load reports to the routers at an interval until cancelled."""
    while True:
        await curio.sleep(agent.settings.agent.load_interval_s)
        await send_to_routers(agent, collect_load_reports(agent))


async def poll_cache_events(agent: Agent, feed: EngineFeed) -> None:
    """Long-poll an engine's cache events until cancelled."""
    while True:
        path = f"/events?after={feed.sequence}&timeout_s={EVENT_LONG_POLL_TIMEOUT_S}"
        body = await _fetch_from_engine(
            agent, feed, path, EVENT_LONG_POLL_TIMEOUT_S + ENGINE_CALL_TIMEOUT_S
        )
        batch = _decode_body(body, EngineEvents)
        if batch is None:
            await curio.sleep(EVENT_RETRY_DELAY_S)
            continue
        await _apply_cache_events(agent, feed, batch)


async def _apply_cache_events(
    agent: Agent, feed: EngineFeed, batch: EngineEvents
) -> None:
    is_new_incarnation = batch.incarnation != feed.incarnation
    if is_new_incarnation:
        # Sequence numbers restart at 1, so a batch requested with the previous
        # incarnation's sequence may lack the first events.
        feed.incarnation = batch.incarnation
        feed.sequence = 0
        feed.blocks.clear()
        if batch.events and batch.events[0][0] != 1:
            return
    change = compute_cache_delta(feed.sequence, batch)
    feed.sequence = batch.last_sequence
    if not (is_new_incarnation or change.is_reset or change.stored or change.evicted):
        return
    if change.is_reset:
        agent.metrics.event_gaps.inc({"upstream": feed.upstream})
        feed.blocks.clear()
    feed.blocks.update(change.stored)
    feed.blocks.difference_update(change.evicted)
    is_reset = change.is_reset or is_new_incarnation
    events = CacheEvents(
        feed.upstream, feed.incarnation, is_reset, change.stored, change.evicted
    )
    await send_to_routers(agent, events)


async def _fetch_from_engine(
    agent: Agent, feed: EngineFeed, path: str, timeout_s: float
) -> bytes | None:
    upstream: Upstream | None = agent.tables.upstream_by_name.get(feed.upstream)
    if upstream is None:
        return None
    feed.next_request_id += 1
    headers = (
        (b"host", str(upstream.address).encode()),
        (b"x-request-id", f"{feed.upstream}-{feed.next_request_id}".encode()),
    )
    request = Request(b"GET", path.encode(), headers)
    try:
        head, body = await fetch(
            agent.upstream_pool, upstream.address, request, timeout_s
        )
    except HttpError as error:
        logger.debug(
            "engine request failed",
            extra={"upstream": feed.upstream, "reason": str(error)},
        )
        return None
    return body if head.status == 200 else None


def _decode_body(body: bytes | None, kind: type[Decoded]) -> Decoded | None:
    if body is None:
        return None
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None

"""Bound what the instance holds for callers and replicas that read slowly."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace

from catkintrack.decisions import slow_readers as decisions
from catkintrack.decisions.slow_readers import SlowReader, SlowReaders
from catkintrack.fleet import Call, Feature, Site
from catkintrack.http import Connection, Exchange, ReaderCallbacks, ServerLimits

from .state import Instance

# Share of the memory limit for what is held for slow readers.  One answer of the largest
# size fits the share of a workspace, half of this.
MEMORY_SHARE = 1 / 12
# What the system holds for each connection beside; Linux keeps up to twice as many.
SEND_BUFFER_BYTES = 16384

logger = logging.getLogger(__name__)


def make_slow_readers(site: Site) -> SlowReaders:
    """Return the counts of what is held, with their bound for this instance."""
    return SlowReaders(round(site.memory_mb * 1e6 * MEMORY_SHARE))


def make_server_limits(site: Site) -> ServerLimits:
    """Return the limits of the callers' server."""
    if Feature.SLOW_READERS in site.features:
        return ServerLimits(send_buffer_bytes=SEND_BUFFER_BYTES)
    return ServerLimits()


@contextmanager
def hold_for_caller(
    instance: Instance, call: Call, connection: Connection
) -> Iterator[SlowReader | None]:
    """Hold an answer for a caller that reads slowly, where that is switched on."""
    readers = instance.slow_readers
    if readers is None:
        yield None
        return
    reader = SlowReader(_find_workspace(call))
    connection.hold_output(_make_callbacks(instance, readers, reader))
    try:
        yield reader
    finally:
        connection.drop_output()
        decisions.release(readers, reader)
        _count_held(instance, readers)


def has_room_for_request(instance: Instance, call: Call, upstream: str) -> bool:
    """Report whether a request's body could be held for a replica now."""
    readers = instance.slow_readers
    if readers is None or not call.body:
        return True
    reader = SlowReader(_find_workspace(call), upstream)
    return decisions.has_room(readers, reader, len(call.body))


@asynccontextmanager
async def hold_request(
    instance: Instance, call: Call, upstream: str, exchange: Exchange
) -> AsyncIterator[bool]:
    """Hold a request's body until its replica has taken it; yield False without room.

    The bytes that are held of a request and of answers of its replica count together.
    """
    readers = instance.slow_readers
    if readers is None or not call.body:
        yield True
        return
    reader = SlowReader(_find_workspace(call), upstream)
    callbacks = _make_callbacks(instance, readers, reader)
    # A silent replica may go on: its attempt is moved as others are, by the retry budget.
    callbacks = replace(callbacks, find_close_reason=lambda waited_s, now: None)
    exchange.reader_callbacks = callbacks
    try:
        yield callbacks.try_hold(len(call.body))
    finally:
        exchange.reader_callbacks = None
        decisions.release(readers, reader)
        _count_held(instance, readers)


def _find_workspace(call: Call) -> str:
    return call.workspace.name if call.workspace else ""


def _make_callbacks(
    instance: Instance, readers: SlowReaders, reader: SlowReader
) -> ReaderCallbacks:
    """Return what decides on a reader."""

    def find_close_reason(source_waited_s: float, now: float) -> str | None:
        reason = decisions.find_close_reason(reader, source_waited_s, now)
        if reason is not None:
            instance.metrics.slow_readers_closed.inc({"reason": reason})
            logger.warning(
                "slow reader closed",
                extra={
                    "reason": reason,
                    "workspace": reader.workspace,
                    "upstream": reader.upstream,
                    "held_bytes": reader.held_bytes,
                    "all_held_bytes": readers.held_bytes,
                },
            )
        return reason

    def try_hold(size_bytes: int) -> bool:
        is_held = decisions.try_hold(readers, reader, size_bytes)
        _count_held(instance, readers)
        return is_held

    def drop(size_bytes: int) -> None:
        decisions.drop(readers, reader, size_bytes)
        _count_held(instance, readers)

    return ReaderCallbacks(
        try_hold=try_hold,
        drop=drop,
        record_taken=lambda size, now: decisions.record_taken(reader, size, now),
        record_nothing_waits=lambda: decisions.record_nothing_waits(reader),
        find_close_reason=find_close_reason,
    )


def _count_held(instance: Instance, readers: SlowReaders) -> None:
    instance.metrics.slow_reader_bytes.set({}, readers.held_bytes)


def read_from(instance: Instance, reader: SlowReader | None, upstream: str) -> None:
    """Count what a caller has not taken to the replica that answers it now."""
    if reader is not None and instance.slow_readers is not None:
        decisions.change_upstream(instance.slow_readers, reader, upstream)

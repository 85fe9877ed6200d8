"""Decide what an instance holds for peers that read slowly, and whom it gives up.

The load: many callers of one workspace, or all who read the answers of one replica, take
less than arrives.  What they have not taken must not use up the instance's memory, and a
replica whose answer waits for a caller cuts it off after some seconds.

A workspace or a replica may hold as much as is free, so that one of them leaves half to
the others, and n leave one part of n + 1 (as in http/held_bytes.py).  A reader is slow while
it takes bytes; one that takes none for STOPPED_AFTER_S has stopped.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

# Four losses in a row of one segment silence a reader for this long at most.
STOPPED_AFTER_S = 3.0
# Replicas cut off an answer that is not read for some seconds.
MAX_SOURCE_WAIT_S = 2.0


@dataclass(slots=True)
class SlowReaders:
    """Count the bytes that are held for slow readers: all, by workspace, by replica."""

    max_bytes: int
    held_bytes: int = 0
    held_by_workspace: Counter[str] = field(default_factory=Counter)
    held_by_upstream: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class SlowReader:
    """Track one reader; `taken_bytes` is what it has taken of what was sent to it.

    `upstream` is the replica whose answer is held, or to which a request is sent.
    `last_taken_at` is in seconds, None while nothing waits for the reader.
    """

    workspace: str
    upstream: str = ""
    held_bytes: int = 0
    taken_bytes: int = 0
    last_taken_at: float | None = None


def has_room(readers: SlowReaders, reader: SlowReader, size_bytes: int) -> bool:
    """Report whether the shares of a reader's workspace and replica allow more bytes."""
    free_bytes = readers.max_bytes - readers.held_bytes - size_bytes
    of_workspace = readers.held_by_workspace[reader.workspace] + size_bytes
    of_upstream = readers.held_by_upstream[reader.upstream] + size_bytes
    return max(of_workspace, of_upstream) <= free_bytes


def try_hold(readers: SlowReaders, reader: SlowReader, size_bytes: int) -> bool:
    """Hold more bytes for a reader if its shares allow it."""
    if not has_room(readers, reader, size_bytes):
        return False
    _change(readers, reader, size_bytes)
    return True


def drop(readers: SlowReaders, reader: SlowReader, size_bytes: int) -> None:
    """Hold fewer bytes for a reader, which were sent."""
    _change(readers, reader, -min(size_bytes, reader.held_bytes))


def release(readers: SlowReaders, reader: SlowReader) -> None:
    """Hold nothing for a reader any more."""
    _change(readers, reader, -reader.held_bytes)


def change_upstream(readers: SlowReaders, reader: SlowReader, upstream: str) -> None:
    """Count what is held for a reader to the replica that continues its answer."""
    held_bytes = reader.held_bytes
    _change(readers, reader, -held_bytes)
    reader.upstream = upstream
    _change(readers, reader, held_bytes)


def _change(readers: SlowReaders, reader: SlowReader, size_bytes: int) -> None:
    if not size_bytes:
        return
    reader.held_bytes += size_bytes
    readers.held_bytes += size_bytes
    for counter, name in (
        (readers.held_by_workspace, reader.workspace),
        (readers.held_by_upstream, reader.upstream),
    ):
        counter[name] += size_bytes
        if not counter[name]:
            del counter[name]


def record_taken(reader: SlowReader, taken_bytes: int, now: float) -> None:
    """Record how much a reader has taken so far, while bytes wait for it.

    `taken_bytes` starts below 0 if the reader has yet to take bytes sent before.
    """
    if reader.last_taken_at is None or taken_bytes > reader.taken_bytes:
        reader.last_taken_at = now
        reader.taken_bytes = taken_bytes


def record_nothing_waits(reader: SlowReader) -> None:
    """Record that all bytes for a reader were sent."""
    reader.last_taken_at = None


def find_close_reason(
    reader: SlowReader, source_waited_s: float, now: float
) -> str | None:
    """Return why a reader is given up, None if it is not.

    `source_waited_s` is for how long the next bytes found no room, while their source
    is not read.
    """
    last_taken_at = reader.last_taken_at
    if last_taken_at is not None and now - last_taken_at >= STOPPED_AFTER_S:
        return "the reader has stopped"
    if source_waited_s >= MAX_SOURCE_WAIT_S:
        return "the reader is slow and there is no room to hold more for it"
    return None

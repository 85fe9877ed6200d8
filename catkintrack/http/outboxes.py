"""Hold what a peer that reads slowly has not taken, so that its source need not wait."""

from __future__ import annotations

import fcntl
import struct
import termios
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from curio import socket
from curio.traps import _write_wait

from catkintrack.timeouts import ignore_after

from .errors import ReaderTooSlow

# Interval at which a reader that takes nothing is judged again.
CHECK_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class ReaderCallbacks:
    """Hold the callbacks that decide on a slow reader; times in seconds.

    `try_hold` reserves room for bytes, `drop` gives it back once they were sent.
    `record_taken` gets the bytes that the reader has acknowledged while others wait, where
    the system counts them; `record_nothing_waits` is called when none wait.  `find_close_reason` gets the time for
    which the next bytes have found no room.
    """

    try_hold: Callable[[int], bool]
    drop: Callable[[int], None]
    record_taken: Callable[[int, float], None]
    record_nothing_waits: Callable[[], None]
    find_close_reason: Callable[[float, float], str | None]


@dataclass(slots=True)
class Outbox:
    """Hold the bytes that wait for a reader, and count those that were sent to it.

    `has_source` is set while their source waits if they find no room.
    """

    sock: socket.socket
    callbacks: ReaderCallbacks
    data: bytearray = field(default_factory=bytearray)
    sent_bytes: int = 0
    has_source: bool = True


async def send_or_hold(outbox: Outbox, data: bytes) -> None:
    """Send what the system takes and hold the rest; wait only while it finds no room.

    Raise ReaderTooSlow if the reader is given up, OSError if the connection fails.
    """
    started_at: float | None = None
    while True:
        send_held(outbox)
        if not outbox.data:
            data = data[_send(outbox, data) :]
        if not data:
            return
        now = time.monotonic()
        started_at = now if started_at is None else started_at
        _judge(outbox, now - started_at if outbox.has_source else 0.0, now)
        if outbox.callbacks.try_hold(len(data)):
            outbox.data += data
            return
        await ignore_after(CHECK_INTERVAL_S, _write_wait, outbox.sock._fileno)


async def send_all_held(outbox: Outbox) -> None:
    """Wait until nothing is held; raise ReaderTooSlow or OSError."""
    while True:
        send_held(outbox)
        if not outbox.data:
            return
        _judge(outbox, 0.0, time.monotonic())
        await ignore_after(CHECK_INTERVAL_S, _write_wait, outbox.sock._fileno)


def send_held(outbox: Outbox) -> None:
    """Send what the system takes of the bytes that are held; raise OSError."""
    if not outbox.data:
        return
    sent = _send(outbox, outbox.data)
    del outbox.data[:sent]
    outbox.callbacks.drop(sent)


def _send(outbox: Outbox, data: bytes | bytearray) -> int:
    """Return how many bytes the system takes at once."""
    try:
        sent = outbox.sock._socket.send(data)
    except BlockingIOError:
        return 0
    outbox.sent_bytes += sent
    if sent == len(data):
        outbox.callbacks.record_nothing_waits()
    return sent


def _judge(outbox: Outbox, source_waited_s: float, now: float) -> None:
    """Raise ReaderTooSlow if the reader is given up."""
    unacknowledged_bytes = _count_unacknowledged(outbox.sock)
    if unacknowledged_bytes is not None:
        outbox.callbacks.record_taken(outbox.sent_bytes - unacknowledged_bytes, now)
    reason = outbox.callbacks.find_close_reason(source_waited_s, now)
    if reason is not None:
        raise ReaderTooSlow(reason)


def _count_unacknowledged(sock: socket.socket) -> int | None:
    """Return the bytes that the peer has not acknowledged, None if that is unknown.

    The buffer takes more only once a third of it is free, so a slow peer that takes
    bytes would look stopped without this.
    """
    try:
        answer = fcntl.ioctl(sock._socket.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        # Not every system counts them for sockets; a slow reader is not taken for one
        # that has stopped.
        return None
    return struct.unpack("i", answer)[0]

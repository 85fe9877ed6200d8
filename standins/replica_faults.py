"""Hold the injected faults of a simulated replica, and send what they make of answers."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

import curio

from catkintrack.http import Connection, Headers

# Bounds how fast bytes without end are sent, so that they leave others the processor.
ENDLESS_PAUSE_S = 0.001
ENDLESS_BYTES = 16_384
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
ENDLESS_PLACES = (
    "status",
    "informational",
    "header",
    "extension",
    "body",
    "event",
    "trailer",
    "unframed",
)
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


@dataclass(slots=True)
class Faults:
    """Hold the injected faults; a count is the number of requests still affected."""

    is_silent: bool = False
    reject: int = 0
    fail: int = 0
    break_after_events: int = -1
    break_streams: int = 0
    lose_answers: int = 0
    unsigned: int = 0
    # The duration of a run, and the number of responses followed by a spurious one.
    run_s: float = 0.0
    extra_answers: int = 0
    # The process ends when it begins to answer a prompt that has this part.
    crash_part: str = ""
    # The process ends this long after it has begun to run a request with this in its
    # body; without a prompt it does not answer before.
    crash_body: str = ""
    crash_after_s: float = 0.0
    # Answers that end with their connection, and answers that a reset cuts: streams
    # after `break_after_events` events, whole ones after some bytes.
    close_delimited: int = 0
    reset_answers: int = 0
    is_leaving: bool = False
    # The time that the replica asks for from the next request on, 0 for none, and
    # whether the requests that meet it may have run.
    rest_s: float = 0.0
    rest_may_have_run: bool = False
    # The requests a second that the replica takes from all instances, if it names any.
    limit_per_s: float | None = None
    # The rejections a second that the replica bears, if it is brittle, and the requests
    # that it lets wait then.
    max_rejected: int | None = None
    brittle_queue: int = 0
    # The pause between events, 0 for the usual one.
    event_s: float = 0.0
    # Until this time of the monotonic clock the replica reads and works, but sends
    # nothing; then it goes on with what it holds.
    silent_until_s: float = 0.0
    # The next answers, and the place in them from which bytes come without end.
    endless_answers: int = 0
    endless_place: str = "body"
    # The software version that each event of a stream names, if any.
    software: str = ""
    # The start of the replica's present life, in Unix milliseconds.
    born: int = 1000
    # Until this time of the monotonic clock the replica resets new connections; it goes
    # on with those that are open.
    closed_until_s: float = 0.0


class SilentConnection:
    """Wrap a connection and send nothing while the replica is to be silent."""

    def __init__(self, connection: Connection, faults: Faults) -> None:
        self.connection = connection
        self.faults = faults

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped connection."""
        return getattr(self.connection, name)

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        await wait_while_silent(self.faults)
        await self.connection.start_response(status, headers)

    async def send_body(self, data: bytes) -> None:
        """Send one part of the body."""
        await wait_while_silent(self.faults)
        await self.connection.send_body(data)

    async def finish_response(self) -> None:
        """Send the end of the body."""
        await wait_while_silent(self.faults)
        await self.connection.finish_response()

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        await wait_while_silent(self.faults)
        await self.connection.respond(status, headers, body)


async def wait_while_silent(faults: Faults) -> None:
    """Wait until the replica's silence is over."""
    while (left_s := faults.silent_until_s - time.monotonic()) > 0:
        await curio.sleep(left_s)


def make_endless_parts(place: str, head: bytes) -> tuple[bytes, bytes]:
    """Return how an answer begins, and what follows without end at a place of it."""
    filler = b"x" * ENDLESS_BYTES
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (ENDLESS_BYTES, filler)
    chunked = STATUS_LINE + head + CHUNKED
    parts_by_place = {
        "status": (b"HTTP/1.1 200 ", filler),
        "informational": (b"", interim * 100),
        "header": (STATUS_LINE + head + b"x-more: ", filler),
        "extension": (chunked + b"5;", filler),
        "body": (chunked, chunk),
        "event": (chunked + b"12\r\nid: 1\ndata: xxxxxx\r\n", chunk),
        "trailer": (chunked + b"0\r\nx-more: ", filler),
        "unframed": (b"", filler),
    }
    return parts_by_place[place]


async def send_endless(connection: Connection, place: str, headers: Headers) -> None:
    """Send bytes without end at a place of an answer until the caller closes."""
    head = b"".join(b"%s: %s\r\n" % header for header in headers)
    first, part = make_endless_parts(place, head)
    await connection.sock.sendall(first)
    while True:
        await connection.sock.sendall(part)
        await curio.sleep(ENDLESS_PAUSE_S)

"""Add what a replica says of itself to its responses.

It may leave, rest, name a limit for the requests that it gets, or be brittle.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from catkintrack.http import Connection, Headers

LEAVING_HEADER = (b"server-leaving", b"1")
LIMIT_HEADER = b"server-limit"
BRITTLE_HEADER = b"server-brittle"
# Span in which a brittle replica counts its rejections, and how long it is away.
REJECTION_SPAN_S = 1.0
FALL_S = 3.0
# From this long after the answer that asks for rest, no request may arrive.
REST_NOTICE_S = 0.5


@dataclass(slots=True)
class RestState:
    """Hold a rest that the replica has asked for; times in seconds.

    `late_arrivals` counts the requests between REST_NOTICE_S after the first answer
    and the end of the rest, `rejected` all that met it.
    """

    begun_at: float | None = None
    until: float = 0.0
    rejected: int = 0
    late_arrivals: int = 0


def is_resting(state: RestState, rest_s: float) -> bool:
    """Count an arrival and report whether it meets the rest; the first one begins it."""
    now = time.monotonic()
    if state.begun_at is None:
        state.begun_at, state.until = now, now + rest_s
    if now >= state.until:
        return False
    state.rejected += 1
    state.late_arrivals += now > state.begun_at + REST_NOTICE_S
    return True


def make_rest_headers(state: RestState, is_not_run: bool) -> Headers:
    """Return the headers of an answer that asks for the remaining rest."""
    left_s = max(0.0, state.until - time.monotonic())
    headers = ((b"retry-after", b"%.3f" % left_s),)
    return (*headers, (b"x-not-executed", b"1")) if is_not_run else headers


@dataclass(slots=True)
class LimitState:
    """Hold when a replica first named its limit, and its later arrivals, in seconds."""

    begun_at: float | None = None
    arrived_at: list[float] = field(default_factory=list)


def make_limit_headers(state: LimitState, limit_per_s: float) -> Headers:
    """Return the headers of an answer that names the limit."""
    if state.begun_at is None:
        state.begun_at = time.monotonic()
    return ((LIMIT_HEADER, b"%g" % limit_per_s),)


def record_arrival(state: LimitState) -> None:
    """Record a request that arrives after the limit was first named."""
    if state.begun_at is not None:
        state.arrived_at.append(time.monotonic() - state.begun_at)


@dataclass(slots=True)
class BrittleState:
    """Hold the rejections of a brittle replica, its ends and until when it is away.

    Times are in seconds of the monotonic clock; `rejected` counts all rejections.
    """

    rejected_at: list[float] = field(default_factory=list)
    rejected: int = 0
    falls: int = 0
    away_until: float = 0.0


def make_brittle_headers(max_rejected: int) -> Headers:
    """Return the headers of an answer of a brittle replica."""
    return ((BRITTLE_HEADER, b"%d" % max_rejected),)


def record_rejection(state: BrittleState, max_rejected: int) -> None:
    """Record a rejection for want of room; too many in a second end the replica."""
    now = time.monotonic()
    recent = [at for at in state.rejected_at if now - at <= REJECTION_SPAN_S]
    state.rejected_at = [*recent, now]
    state.rejected += 1
    if len(state.rejected_at) > max_rejected:
        state.rejected_at = []
        state.falls += 1
        state.away_until = now + FALL_S


def is_away(state: BrittleState) -> bool:
    """Report whether the replica has ended and is not back yet."""
    return time.monotonic() < state.away_until


class SignallingConnection:
    """Wrap a connection and add headers to each response."""

    def __init__(self, connection: Connection, headers: Headers) -> None:
        self.connection = connection
        self.headers = headers

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped connection."""
        return getattr(self.connection, name)

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        await self.connection.start_response(status, (*headers, *self.headers))

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        await self.connection.respond(status, (*headers, *self.headers), body)

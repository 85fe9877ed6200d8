"""Send a call to one replica and pass its answer on."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from catkintrack.fleet import Call, Upstream
from catkintrack.http import (
    Connection,
    Exchange,
    ResponseHead,
    UpstreamBroken,
    UpstreamTimeout,
    open_exchange,
)
from catkintrack.platform import (
    AnswerFields,
    Dispatch,
    make_answer_headers,
    make_upstream_request,
    read_answer,
)

from .state import Instance
from .stream_events import EventSplitter

# A replica stops a little before the caller's time is over.
DEADLINE_MARGIN_S = 0.02
# How often an attempt that hears nothing is looked at.
ABANDON_CHECK_INTERVAL_S = 0.2
REFUSAL_BODY_TIMEOUT_S = 0.2

T = TypeVar("T")


class ReplicaRejected(Exception):
    """Report that a replica refused a call without running it."""

    def __init__(self, status: int, fields: AnswerFields) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.fields = fields


class ReplicaErrorResponse(Exception):
    """Hold a replica's own failure, so that it can be passed on in the end."""

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        super().__init__(f"status {head.status}")
        self.head = head
        self.body = body


@dataclass(slots=True)
class CallProgress:
    """Hold what has come of a call; times in seconds."""

    arrived_at: float
    first_byte_at: float | None = None
    waited_s: float = 0.0
    may_have_run: bool = False
    executions: int = 0
    connected_attempts: int = 0
    last_event_id: int | None = None
    cached_tokens: int = 0
    attempts: list[dict[str, Any]] = field(default_factory=list)
    reason: str = ""

    def record_attempt(self, upstream: str, **inputs: Any) -> None:
        """Remember an attempt and what decided it, for the log."""
        at_s = round(time.monotonic() - self.arrived_at, 4)
        self.attempts.append({"upstream": upstream, "at_s": at_s} | inputs)

    def record_outcome(self, outcome: str) -> None:
        """Remember what came of the last attempt."""
        self.reason = outcome
        if self.attempts:
            self.attempts[-1]["outcome"] = outcome


ResponseHeadCallback = Callable[[AnswerFields], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class AttemptCallbacks:
    """Hold what is told of an attempt, and who says when to give it up.

    `on_bytes` is told of each arrival; `is_given_up` is asked while nothing arrives.
    """

    on_response_head: ResponseHeadCallback
    on_data: Callable[[], None] = lambda: None
    should_abandon: Callable[[], bool] = lambda: False


async def run_attempt(
    instance: Instance,
    call: Call,
    progress: CallProgress,
    upstream: Upstream,
    dispatch: Dispatch,
    connection: Connection,
    watch: AttemptCallbacks,
    raises_server_errors: bool,
) -> None:
    """Run a call at one replica and pass the answer on.

    Raise NotRun, FailedAnswer (with `keeps_failures`), UpstreamUnreachable or
    UpstreamBroken.
    """
    is_fresh = not call.route.may_repeat
    async with open_exchange(instance.pool, upstream.address, is_fresh) as exchange:
        was_run = progress.may_have_run
        progress.may_have_run = True
        progress.connected_attempts += 1
        await exchange.send(make_upstream_request(call, dispatch))
        head = await _read_patiently(call, watch, exchange.read_head)
        fields = read_answer(head)
        await watch.on_response_head(fields)
        if fields.is_not_run:
            progress.may_have_run = was_run
            await exchange.read_body(REFUSAL_BODY_TIMEOUT_S)
            raise ReplicaRejected(head.status, fields)
        _check_answer(call, fields)
        if head.status == 200 and call.route.is_stream:
            await _relay_stream(call, progress, exchange, head, connection, watch)
            return
        if connection.has_started:
            raise UpstreamBroken(f"status {head.status} instead of the stream's rest")
        body = await exchange.read_body(_left_s(call))
    if head.status >= 500 and raises_server_errors:
        raise ReplicaErrorResponse(head, body)
    await forward_response(progress, head, body, connection)


def _left_s(call: Call) -> float:
    return max(0.05, call.deadline_at - time.monotonic())


async def _read_patiently(
    call: Call, watch: AttemptCallbacks, read: Callable[[float], Awaitable[T]]
) -> T:
    """Read until something arrives, the attempt is given up or its time is over."""
    while True:
        left_s = _left_s(call)
        try:
            result = await read(min(ABANDON_CHECK_INTERVAL_S, left_s))
        except UpstreamTimeout:
            if left_s <= ABANDON_CHECK_INTERVAL_S or watch.should_abandon():
                raise
            continue
        watch.on_data()
        return result


def _check_answer(call: Call, fields: AnswerFields) -> None:
    """Refuse bytes that aren't the replica's answer to this call."""
    if fields.request_id != call.id:
        raise UpstreamBroken("the answer is not to this request")
    if fields.is_encoded:
        raise UpstreamBroken("the answer is encoded, which nobody asked for")
    if fields.status < 300 and not fields.is_signed:
        raise UpstreamBroken("the answer is not signed")


async def forward_response(
    progress: CallProgress, head: ResponseHead, body: bytes, connection: Connection
) -> None:
    """Pass a whole answer on."""
    progress.first_byte_at = time.monotonic()
    await connection.respond(head.status, make_answer_headers(head), body)


async def _relay_stream(
    call: Call,
    progress: CallProgress,
    exchange: Exchange,
    head: ResponseHead,
    connection: Connection,
    watch: AttemptCallbacks,
) -> None:
    """Pass events on as they come; raise UpstreamBroken unless the stream is whole."""
    splitter = EventSplitter(progress.last_event_id)
    while True:
        data = await _read_patiently(call, watch, exchange.read_body_part)
        if data is None:
            break
        events = splitter.feed(data)
        if events:
            if progress.first_byte_at is None:
                progress.first_byte_at = time.monotonic()
                await connection.start_response(200, make_answer_headers(head))
            progress.last_event_id = splitter.last_event_id
            await connection.send_body(events)
    if splitter.has_partial_event:
        raise UpstreamBroken("the stream ended inside an event")
    if progress.first_byte_at is None:
        raise UpstreamBroken("the stream held no event")
    await connection.finish_response()

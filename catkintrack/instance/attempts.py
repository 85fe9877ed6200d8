"""Send a call to one replica and forward its response to the caller."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from catkintrack.decisions.slow_readers import SlowReader
from catkintrack.fleet import Call, Upstream
from catkintrack.http import (
    Connection,
    Exchange,
    HeldBytes,
    Request,
    ResponseHead,
    StreamBounds,
    UpstreamDisconnected,
    UpstreamExchangeError,
    UpstreamTimeout,
    add_part,
    collect_body,
    find_remaining_s,
    is_near_stall,
    move_held,
    open_exchange,
    record_event,
    record_received,
)
from catkintrack.platform import (
    Dispatch,
    ResponseFields,
    make_response_headers,
    make_upstream_request,
    parse_response_headers,
)

from .brittle_replicas import watch_given_up
from .late_calls import (
    bound_dispatch,
    check_caller_waits,
    check_time_left,
    find_connect_timeout_s,
)
from .lives import confirm_life
from .partitions import follow_request, record_contact
from .replica_signals import admit, apply_signals, may_send
from .slow_readers import has_room_for_request, hold_request, read_from
from .state import Instance
from .stream_events import EventSplitter, open_splitter
from .version_answers import Answer, count_answer
from .version_choice import admit_version

# Interval at which an attempt that receives no data is checked for abandonment.
ABANDON_CHECK_INTERVAL_S = 0.2
REJECTION_BODY_TIMEOUT_S = 0.2
NO_ROOM = "what is held for slow readers leaves no room for the request"
# A response that is ready is still read for this long after the deadline.
DEADLINE_GRACE_S = 0.05
# Callers abandon a stream after the longest of these pauses (in seconds, in targets to
# the first event and in targets for a pause); a stalled one is resumed before.
CALLER_PATIENCE_S = 2.0
CALLER_PATIENCE_TARGETS = 4
CALLER_PATIENCE_GAPS = 8
MAX_PAUSE_SHARE = 0.75
# How long before a stream counts as stalled a move is prepared.
MOVE_LEAD_S = 0.4
# Bounds of a stream's size, far above what an event's text and framing take.
STREAM_BASE_BYTES = 64 << 10
STREAM_BYTES_PER_TOKEN = 1 << 10

MAX_LOGGED_ATTEMPTS = 32

T = TypeVar("T")


class ReplicaRejected(Exception):
    """Report that a replica rejected a call without running it."""

    def __init__(self, status: int, fields: ResponseFields) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.fields = fields


class ReplicaUnavailable(Exception):
    """Report that nothing was sent to a replica, since it accepts nothing new."""


class ReplicaErrorResponse(Exception):
    """Hold a replica's 5xx response, to be forwarded if no other attempt succeeds."""

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        super().__init__(f"status {head.status}")
        self.head = head
        self.body = body


@dataclass(slots=True)
class CallProgress:
    """Track a call's attempts and outcome; times in seconds.

    `connected_attempts` counts the attempts that reached a replica, `executions` those
    that a replica ran or may have run, `unreachable_attempts` those without a
    connection.  `expected_wait_s` is the wait for which admission refused the call.
    `has_retry` is set if a retry was taken from the budget for the next
    attempt.  `skipped` holds the replicas that only the next attempt skips, since another
    one is to take a silent stream.  `has_unnumbered_event` is set if the caller has an event
    without an ID, which a replica would repeat, `lacks_line_feed` if it has only the CR of
    an event's last CRLF.
    `software_version` is the one that the stream must go on at, None if any;
    `is_version_confirmed` is set if the replica itself reported its incarnation.  `held`
    counts the bodies that are kept after their exchange, until the call ends.
    `read_after_s` is how long the call waited to be read.  `reader` tracks what is held
    for a caller that reads slowly, None where that is not switched on.
    """

    arrived_at: float
    first_byte_at: float | None = None
    waited_s: float = 0.0
    expected_wait_s: float | None = None
    may_have_run: bool = False
    executions: int = 0
    connected_attempts: int = 0
    unreachable_attempts: int = 0
    has_retry: bool = False
    skipped: frozenset[str] = frozenset()
    last_event_id: int | None = None
    has_unnumbered_event: bool = False
    software_version: str | None = None
    is_version_confirmed: bool = True
    cached_tokens: int = 0
    lacks_line_feed: bool = False
    attempts: list[dict[str, Any]] = field(default_factory=list)
    reason: str = ""
    held: HeldBytes = field(default_factory=HeldBytes)
    read_after_s: float = 0.0
    reader: SlowReader | None = None

    def complete_line_end(self, data: bytes) -> bytes:
        """Return a stream's next bytes, with the LF of a CRLF that the caller lacks."""
        if self.lacks_line_feed and not data.startswith(b"\n"):
            data = b"\n" + data
        self.lacks_line_feed = data.endswith(b"\r\n\r")
        return data

    def record_attempt(self, upstream: str, **inputs: Any) -> None:
        """Record an attempt and the inputs of its placement, for the log."""
        at_s = round(time.monotonic() - self.arrived_at, 4)
        if len(self.attempts) >= MAX_LOGGED_ATTEMPTS:
            # The first and the last ones tell the most.
            del self.attempts[MAX_LOGGED_ATTEMPTS // 2]
        self.attempts.append({"upstream": upstream, "at_s": at_s} | inputs)

    def record_break(self, has_begun: bool, has_event: bool, parts: list[str]) -> None:
        """Record how far a broken attempt's response got, and its prompt's parts."""
        if self.attempts:
            state = {"has_begun": has_begun, "has_event": has_event, "parts": parts}
            self.attempts[-1].update(state)

    def record_outcome(self, outcome: str) -> None:
        """Record the outcome of the last attempt."""
        self.reason = outcome
        if self.attempts:
            self.attempts[-1]["outcome"] = outcome


ResponseHeadCallback = Callable[[ResponseFields], Awaitable[None]]


async def do_nothing() -> None:
    """Do nothing, as a callback that is not needed."""


@dataclass(frozen=True, slots=True)
class AttemptCallbacks:
    """Hold the callbacks of an attempt.

    `on_data` is called after each response head and complete event, `on_answered` when
    the first event or a whole response has shown that the replica can answer,
    `on_completed` when a response is certainly complete; `should_abandon` is polled while
    no data arrives, each `check_interval_s`.  An attempt that is still open is given up
    only if `try_reserve_move` has taken what another one needs: a silent replica may go on.
    `prepare_move` is called from shortly before that on.
    """

    on_response_head: ResponseHeadCallback
    on_data: Callable[[], None] = lambda: None
    on_answered: Callable[[], Awaitable[None]] = do_nothing
    on_completed: Callable[[], Awaitable[None]] = do_nothing
    should_abandon: Callable[[], bool] = lambda: False
    try_reserve_move: Callable[[], bool] = lambda: True
    prepare_move: Callable[[], Awaitable[None]] = do_nothing
    check_interval_s: float = ABANDON_CHECK_INTERVAL_S


async def run_attempt(
    instance: Instance,
    call: Call,
    progress: CallProgress,
    upstream: Upstream,
    dispatch: Dispatch,
    connection: Connection,
    callbacks: AttemptCallbacks,
    raises_server_errors: bool,
) -> None:
    """Run a call on one replica and forward the response.

    Raise ReplicaUnavailable, ReplicaRejected, UpstreamUnreachable,
    UpstreamExchangeError or, if `raises_server_errors`, ReplicaErrorResponse.  Nothing is
    sent if the caller has closed or the deadline has passed: raise CallerDisconnected,
    Expired or TimedOut.
    """
    tokens = call.prompt.prompt_tokens - progress.cached_tokens if call.prompt else 0
    with (
        count_answer(instance, call, upstream, tokens) as answer,
        watch_given_up(instance, upstream),
    ):
        await _relay_attempt(
            instance,
            call,
            progress,
            upstream,
            dispatch,
            connection,
            callbacks,
            raises_server_errors,
            answer,
        )


async def _relay_attempt(
    instance: Instance,
    call: Call,
    progress: CallProgress,
    upstream: Upstream,
    dispatch: Dispatch,
    connection: Connection,
    callbacks: AttemptCallbacks,
    raises_server_errors: bool,
    answer: Answer,
) -> None:
    """Run a call on one replica, forward the response and note what it shows."""

    def handle_data() -> None:
        record_contact(instance, upstream, is_reached=True)
        callbacks.on_data()

    if not may_send(instance, upstream, time.monotonic()):
        raise ReplicaUnavailable("the replica accepts nothing new")
    # No connection is opened for a request that finds no room.
    if not has_room_for_request(instance, call, upstream.id):
        raise ReplicaUnavailable(NO_ROOM)
    force_new = not call.route.is_retryable
    connect_timeout_s = find_connect_timeout_s(call, time.monotonic())
    async with (
        open_exchange(
            instance.pool, upstream.address, force_new, connect_timeout_s
        ) as exchange,
        hold_request(instance, call, upstream.id, exchange) as has_room,
    ):
        if not has_room:
            raise ReplicaUnavailable(NO_ROOM)
        # To go on with a stream elsewhere, the version that begins it must be known.
        if call.route.is_stream and call.route.is_resumable:
            is_resumption = find_last_event_id(call, progress) is not None
            if not await confirm_life(
                instance, upstream, exchange, is_resumption, call.id
            ):
                raise ReplicaUnavailable("the replica may have started again")
            progress.is_version_confirmed = exchange.peer_incarnation is not None
        check_caller_waits(connection)
        check_time_left(call, progress.may_have_run, time.monotonic())
        # Another answer may have arrived while the connection was opened.
        if not admit(instance, upstream, time.monotonic()):
            raise ReplicaUnavailable("the replica accepts nothing new")
        sent_at = time.monotonic()
        is_pinned = progress.software_version is not None
        is_first = progress.connected_attempts == 0
        if not admit_version(
            instance, call.service, upstream, is_pinned, sent_at, is_first
        ):
            raise ReplicaUnavailable("the replica's version gets no such call now")
        might_have_run = progress.may_have_run
        progress.may_have_run = True
        progress.connected_attempts += 1
        progress.has_retry = False
        dispatch = bound_dispatch(dispatch, call, sent_at)
        read_from(instance, progress.reader, upstream.id)
        answer.sent_at = sent_at
        request = make_upstream_request(call, dispatch)
        bounds = make_stream_bounds(call, exchange.max_body_bytes)
        head = await _ask(instance, upstream, exchange, request, bounds, callbacks)
        callbacks.on_data()
        record_contact(instance, upstream, is_reached=True)
        fields = parse_response_headers(head)
        now = time.monotonic()
        apply_signals(instance, upstream, call.id, fields, sent_at, now)
        await callbacks.on_response_head(fields)
        if fields.is_not_run:
            answer.sent_at = None
            progress.may_have_run = might_have_run
            # The head decides; a whole body lets the connection be used again.
            with contextlib.suppress(UpstreamExchangeError):
                await exchange.discard_body(REJECTION_BODY_TIMEOUT_S)
            raise ReplicaRejected(head.status, fields)
        answer.is_failed = head.status >= 500
        check_response(call, fields)
        has_events = call.route.is_stream and call.method != b"HEAD"
        if head.status == 200 and has_events:
            last_event_id = find_last_event_id(call, progress)
            with open_splitter(last_event_id, exchange.held) as splitter:
                stream_callbacks = replace(callbacks, on_data=handle_data)
                await _relay_stream(
                    bounds,
                    progress,
                    exchange,
                    head,
                    connection,
                    stream_callbacks,
                    splitter,
                )
            return
        if connection.has_response_started:
            raise UpstreamExchangeError(
                f"status {head.status} instead of the stream's rest"
            )
        body = await _read_body(bounds, exchange, callbacks)
        move_held(exchange.held, progress.held, len(body))
        # A close alone does not say that the response is whole.
        if head.status == 200 and not head.is_close_delimited:
            await callbacks.on_answered()
        # A server error may mean that the call did not begin to run.
        if head.status < 500 and not head.is_close_delimited:
            await callbacks.on_completed()
    if head.status >= 500 and raises_server_errors:
        raise ReplicaErrorResponse(head, body)
    await forward_response(progress, head, body, connection)


async def _ask(
    instance: Instance,
    upstream: Upstream,
    exchange: Exchange,
    request: Request,
    bounds: StreamBounds,
    callbacks: AttemptCallbacks,
) -> ResponseHead:
    """Send a request and return the head of its response."""
    try:
        with follow_request(instance, upstream):
            await exchange.send(request)
            return await _read_unless_abandoned(bounds, callbacks, exchange.read_head)
    except UpstreamDisconnected:
        record_contact(instance, upstream, is_reached=False)
        raise


def find_last_event_id(call: Call, progress: CallProgress) -> int | None:
    """Return the last event that the caller has, None if it has none."""
    if progress.last_event_id is not None:
        return progress.last_event_id
    return call.last_event_id


def make_stream_bounds(call: Call, max_body_bytes: int) -> StreamBounds:
    """Return the bounds of a call's stream; `max_body_bytes` applies without a prompt."""
    route = call.route
    patience_s = max(
        CALLER_PATIENCE_S,
        CALLER_PATIENCE_TARGETS * route.target_s,
        CALLER_PATIENCE_GAPS * route.max_event_gap_s,
    )
    max_bytes = max_body_bytes
    if call.prompt is not None:
        tokens = call.prompt.max_output_tokens
        max_bytes = STREAM_BASE_BYTES + STREAM_BYTES_PER_TOKEN * tokens
    return StreamBounds(
        # A stream that can't be resumed goes on for as long as its caller waits.
        max_pause_s=patience_s * (MAX_PAUSE_SHARE if route.is_resumable else 1.0),
        max_bytes=max_bytes,
        deadline_at=call.deadline_at + DEADLINE_GRACE_S,
    )


async def _read_unless_abandoned(
    bounds: StreamBounds,
    callbacks: AttemptCallbacks,
    read: Callable[[float], Awaitable[T]],
) -> T:
    """Read until data arrives; raise UpstreamTimeout if abandoned or out of time."""
    while True:
        now = time.monotonic()
        if is_near_stall(bounds, now, MOVE_LEAD_S) or callbacks.should_abandon():
            await callbacks.prepare_move()
        remaining_s = find_remaining_s(bounds, now, callbacks.try_reserve_move)
        try:
            return await read(min(callbacks.check_interval_s, remaining_s))
        except UpstreamTimeout:
            if callbacks.should_abandon() and callbacks.try_reserve_move():
                raise


async def _read_body(
    bounds: StreamBounds, exchange: Exchange, callbacks: AttemptCallbacks
) -> bytes:
    """Return a whole body.

    Raise UpstreamTimeout if abandoned or out of time, or UpstreamResponseTooLarge.
    """
    with collect_body(exchange.held, exchange.max_body_bytes) as body:
        while True:
            part = await _read_unless_abandoned(
                bounds, callbacks, exchange.read_body_part
            )
            if part is None:
                return bytes(body.data)
            add_part(body, part)


def check_response(call: Call, fields: ResponseFields) -> None:
    """Raise UpstreamExchangeError on a response to another call, encoded or unsigned."""
    if fields.request_id != call.id:
        raise UpstreamExchangeError("the answer is not to this request")
    if fields.is_encoded:
        raise UpstreamExchangeError("the answer is encoded, which nobody asked for")
    if fields.status < 300 and not fields.is_signed:
        raise UpstreamExchangeError("the answer is not signed")


async def forward_response(
    progress: CallProgress, head: ResponseHead, body: bytes, connection: Connection
) -> None:
    """Forward a complete response to the caller."""
    progress.first_byte_at = time.monotonic()
    await connection.respond(head.status, make_response_headers(head), body)


async def _relay_stream(
    bounds: StreamBounds,
    progress: CallProgress,
    exchange: Exchange,
    head: ResponseHead,
    connection: Connection,
    callbacks: AttemptCallbacks,
    splitter: EventSplitter,
) -> None:
    """Forward events as they arrive.

    Raise UpstreamExchangeError if the stream is incomplete or invalid.
    """
    has_event = False

    async def read_part(timeout_s: float) -> bytes | None:
        # A replica that pauses does not delay what a slow reader has room for by now.
        if progress.reader is not None:
            connection.send_held()
        return await exchange.read_body_part(timeout_s)

    while True:
        data = await _read_unless_abandoned(bounds, callbacks, read_part)
        if data is None:
            break
        record_received(bounds, len(data))
        events = splitter.feed(data)
        if events:
            record_event(bounds, time.monotonic())
            callbacks.on_data()
            if not has_event:
                has_event = True
                await callbacks.on_answered()
            if progress.first_byte_at is None:
                progress.first_byte_at = time.monotonic()
                await connection.start_response(200, make_response_headers(head))
            events = progress.complete_line_end(events)
            progress.last_event_id = splitter.last_event_id
            progress.has_unnumbered_event |= splitter.has_unnumbered_event
            await connection.send_body(events)
            if progress.reader is not None:
                # The replica was not read while there was no room for its events.
                record_event(bounds, time.monotonic())
    if splitter.has_partial_event:
        raise UpstreamDisconnected("the stream ended inside an event")
    # A resumed stream may have nothing left, but a close alone does not say so.
    is_end_certain = has_event or not head.is_close_delimited
    if progress.first_byte_at is None or not is_end_certain:
        raise UpstreamDisconnected("the stream held no event")
    if not head.is_close_delimited:
        await callbacks.on_completed()
    line_ends = splitter.line_ends
    if not has_event:
        # The replica that broke off may have sent a part of its last line end only.
        line_ends = progress.complete_line_end(line_ends)
    if line_ends:
        await connection.send_body(line_ends)
    await connection.finish_response()

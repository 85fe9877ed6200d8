"""Serve calls to services without models.

A call that is not repeatable runs at most once.  With an idempotency key, that holds
over all requests with the same key.
"""

from __future__ import annotations

import logging
import math
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from catkintrack.claims import (
    ClaimVerdict,
    fingerprint_call,
    make_claim_name,
)
from catkintrack.config import Key, Route, Upstream
from catkintrack.decisions import ejection
from catkintrack.decisions.services import choose_replica, ensure_service_row
from catkintrack.http import (
    Connection,
    EventBuffer,
    Exchange,
    Headers,
    HeldBytes,
    Pool,
    Request,
    ResponseHead,
    StreamBounds,
    UpstreamExchangeError,
    UpstreamUnreachable,
    drop_searched,
    find_header,
    find_remaining_s,
    hold_bytes,
    move_held,
    open_exchange,
    record_event,
    split_events,
    strip_hop_by_hop_headers,
)

from .agent_links import request_claim, send_claim_outcome
from .authentication import strip_keys
from .refusals import (
    BadCall,
    ClaimConflict,
    ClaimUnavailable,
    NoCapacity,
    OutcomeUnknown,
)
from .state import Router

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 3
IDEMPOTENT_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"TRACE"})
IDEMPOTENCY_HEADER = b"idempotency-key"
MAX_IDEMPOTENCY_KEY_BYTES = 255
CLAIM_RETRY_AFTER_S = 2.0
EVENT_STREAM_TYPE = b"text/event-stream"

T = TypeVar("T")


class KeptResponse(msgspec.Struct, frozen=True):
    """Represent a response that is stored to replay it for the same idempotency key."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(slots=True)
class ServiceCall:
    """Hold one call to a service without models.

    `may_have_run` is set once a request may have been sent to a replica.  `held` counts
    a body that is kept after its exchange, until the call ends.
    """

    id: str
    request: Request
    route: Route
    is_repeatable: bool
    may_have_run: bool = False
    held: HeldBytes = field(default_factory=HeldBytes)


async def serve_service_call(
    router: Router,
    call_id: str,
    request: Request,
    route: Route,
    key: Key | None,
    connection: Connection,
) -> None:
    """Serve one call on a route to a service without models."""
    is_repeatable = route.is_repeatable or request.method in IDEMPOTENT_METHODS
    with hold_bytes(router.pool.budget) as held:
        call = ServiceCall(call_id, request, route, is_repeatable, held=held)
        await _serve_call(router, call, key, connection)


async def _serve_call(
    router: Router, call: ServiceCall, key: Key | None, connection: Connection
) -> None:
    """Serve a call, at most once if it has an idempotency key and is not repeatable."""
    idempotency_key = find_header(call.request.headers, IDEMPOTENCY_HEADER)
    if call.is_repeatable or idempotency_key is None:
        await _forward_call(router, call, connection)
        return
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_BYTES or not idempotency_key:
        raise BadCall("invalid_idempotency_key", "the idempotency key is malformed")
    scope = key.workspace.name if key else ""
    name = make_claim_name(scope, call.route.name, idempotency_key.decode("latin-1"))
    await _run_claimed_call(router, call, name, connection)


async def _run_claimed_call(
    router: Router, call: ServiceCall, name: str, connection: Connection
) -> None:
    """Run a call if its claim is granted, or replay the stored response."""
    request = call.request
    fingerprint = fingerprint_call(request.method, request.target, request.body)
    verdict, response = await request_claim(router, name, call.id, fingerprint)
    if verdict is ClaimVerdict.RUN:
        await _run_and_finish_claim(router, call, name, connection)
        return
    if verdict is ClaimVerdict.REPLAY and response:
        stored = msgspec.msgpack.decode(response, type=KeptResponse)
        headers = (*stored.headers, (b"idempotency-replayed", b"true"))
        await connection.respond(
            stored.status, _with_request_id(headers, call.id), stored.body
        )
        return
    raise _make_claim_error(verdict)


def _make_claim_error(verdict: ClaimVerdict) -> ClaimConflict | ClaimUnavailable:
    message_by_verdict = {
        ClaimVerdict.REPLAY: "the call has run; its answer was too large to keep",
        ClaimVerdict.CONFLICT: "the call runs, or ended without a known outcome",
        ClaimVerdict.MISMATCH: "the idempotency key was used for another call",
    }
    message = message_by_verdict.get(verdict)
    if message is None:
        return ClaimUnavailable("the platform can't tell now", CLAIM_RETRY_AFTER_S)
    return ClaimConflict(message)


async def _run_and_finish_claim(
    router: Router, call: ServiceCall, name: str, connection: Connection
) -> None:
    """Run a claimed call and record its end.

    The claim is released if no replica can have run the call.  If the outcome is
    unknown, it is kept, so that no other request runs the call.
    """
    try:
        response = await _fetch_response(router, call)
    except (NoCapacity, OutcomeUnknown):
        if not call.may_have_run:
            await send_claim_outcome(router, name, call.id, False, b"")
        raise
    encoded = msgspec.msgpack.encode(response)
    # Recorded before the response is sent, so that a caller who repeats the request
    # afterwards finds the stored response.
    await send_claim_outcome(router, name, call.id, True, encoded)
    await connection.respond(
        response.status, _with_request_id(response.headers, call.id), response.body
    )


async def _fetch_response(router: Router, call: ServiceCall) -> KeptResponse:
    """Return the response to a call, read completely."""
    timeout_s = call.route.timeout_s

    async def read_response(exchange: Exchange) -> KeptResponse:
        deadline_at = time.monotonic() + timeout_s
        head = await exchange.read_head(timeout_s)
        body = await exchange.read_body(deadline_at - time.monotonic())
        if _is_event_stream(head) and head.is_close_delimited:
            buffer = EventBuffer()
            has_event = bool(split_events(buffer, body))
            _check_stream_end(buffer, has_event)
        move_held(exchange.held, call.held, len(body))
        return KeptResponse(head.status, _filter_response_headers(head), body)

    return await _try_replicas(router, call, read_response, lambda: False)


async def _forward_call(
    router: Router, call: ServiceCall, connection: Connection
) -> None:
    """Relay a call to a replica and its response to the caller."""
    timeout_s = call.route.timeout_s

    async def relay_response(exchange: Exchange) -> None:
        bounds = StreamBounds(timeout_s, sys.maxsize, time.monotonic() + timeout_s)
        head = await exchange.read_head(timeout_s)
        is_event_stream = _is_event_stream(head)
        if is_event_stream:
            # Lasts for as long as its events come; other responses for the timeout.
            bounds.deadline_at = math.inf
            record_event(bounds, time.monotonic())
        headers = _with_request_id(_filter_response_headers(head), call.id)
        content_length = find_header(head.headers, b"content-length")
        is_chunked = find_header(head.headers, b"transfer-encoding") is not None
        # Chunks override a length (RFC 9112, section 6.3).
        if content_length is not None and not is_chunked:
            headers = (*headers, (b"content-length", content_length))
        await connection.start_response(head.status, headers)
        buffer = EventBuffer()
        has_event = False
        while True:
            remaining_s = find_remaining_s(bounds, time.monotonic())
            part = await exchange.read_body_part(remaining_s)
            if part is None:
                break
            await connection.send_body(part)
            if is_event_stream:
                if split_events(buffer, part):
                    has_event = True
                    record_event(bounds, time.monotonic())
                drop_searched(buffer)
        if is_event_stream and head.is_close_delimited:
            _check_stream_end(buffer, has_event)
        await connection.finish_response()

    await _try_replicas(
        router, call, relay_response, lambda: connection.has_response_started
    )


def _check_stream_end(buffer: EventBuffer, has_event: bool) -> None:
    """Raise UpstreamExchangeError if a close alone does not complete a stream."""
    if buffer.has_partial_event:
        raise UpstreamExchangeError("the stream ended inside an event")
    if not has_event:
        raise UpstreamExchangeError("the stream held no event")


def _is_event_stream(head: ResponseHead) -> bool:
    content_type = find_header(head.headers, b"content-type") or b""
    return content_type.lower().startswith(EVENT_STREAM_TYPE)


async def _try_replicas(
    router: Router,
    call: ServiceCall,
    handle_exchange: Callable[[Exchange], Awaitable[T]],
    has_response_started: Callable[[], bool],
) -> T:
    """Send the call to a replica, and retry at others only if that is safe.

    A retry is safe after a failure to connect, and for a repeatable call as long as no
    response has started.  Raise OutcomeUnknown or NoCapacity.
    """
    excluded: frozenset[str] = frozenset()
    for _ in range(MAX_ATTEMPTS):
        replica = _select_replica(router, call, excluded)
        row = ensure_service_row(router.services, replica.name)
        row.in_flight += 1
        sent_at = time.monotonic()
        ejection.begin_trial(row, sent_at)
        try:
            result = await _send_to_replica(router, call, replica, handle_exchange)
            ejection.record_success(row, time.monotonic())
            return result
        except UpstreamUnreachable as error:
            _record_replica_failure(router, call, replica, error, sent_at)
        except UpstreamExchangeError as error:
            _record_replica_failure(router, call, replica, error, sent_at)
            if has_response_started():
                # The connection closes before the response's end, which marks it as
                # incomplete.
                raise OutcomeUnknown("the response was cut") from error
            if not call.is_repeatable:
                raise OutcomeUnknown("the call may have run") from error
        finally:
            row.in_flight -= 1
            ejection.end_trial(row, sent_at)
        excluded |= {replica.name}
    if call.may_have_run:
        raise OutcomeUnknown("every replica that was tried failed")
    raise NoCapacity("no replica of the service answers", 1.0)


async def _send_to_replica(
    router: Router,
    call: ServiceCall,
    replica: Upstream,
    handle_exchange: Callable[[Exchange], Awaitable[T]],
) -> T:
    async with open_exchange(_select_pool(router, call), replica.address) as exchange:
        call.may_have_run = True
        await exchange.send(_make_request(call, str(replica.address)))
        return await handle_exchange(exchange)


def _select_replica(
    router: Router, call: ServiceCall, excluded: frozenset[str]
) -> Upstream:
    """Choose a replica.

    An excluded one is chosen only if no other is left and the call is repeatable.
    """
    names = [
        upstream.name
        for upstream in router.tables.upstream_by_name.values()
        if upstream.service == call.route.service
        and not upstream.is_leaving
        and upstream.instance not in router.leaving_instances
        and upstream.name not in excluded
    ]
    name = choose_replica(router.services, names, time.monotonic(), router.rng)
    if name is not None:
        return router.tables.upstream_by_name[name]
    if excluded and call.is_repeatable:
        return _select_replica(router, call, frozenset())
    if call.may_have_run:
        raise OutcomeUnknown("every replica that was tried failed")
    raise NoCapacity("no replica of the service can take the call", 1.0)


def _record_replica_failure(
    router: Router,
    call: ServiceCall,
    replica: Upstream,
    error: Exception,
    sent_at: float,
) -> None:
    row = ensure_service_row(router.services, replica.name)
    is_unreachable = isinstance(error, UpstreamUnreachable)
    ejection.record_failure(row, sent_at, time.monotonic(), is_unreachable)
    logger.warning(
        "service replica failed",
        extra={
            "request_id": call.id,
            "upstream": replica.name,
            "reason": str(error),
        },
    )


def _select_pool(router: Router, call: ServiceCall) -> Pool:
    """Return the shared pool, or one that opens a new connection for this call.

    A call that is not repeatable gets a new connection, because a pooled one that the
    service is about to close could make the call's outcome unknown.
    """
    if call.is_repeatable:
        return router.pool
    return Pool(router.pool.limits, 0, budget=router.pool.budget)


def _make_request(call: ServiceCall, host: str) -> Request:
    forwarded = strip_keys(strip_hop_by_hop_headers(call.request.headers), call.route)
    dropped = {b"host", b"content-length", b"expect", b"x-request-id"}
    headers = tuple((name, value) for name, value in forwarded if name not in dropped)
    body = call.request.body
    if body or call.request.method not in IDEMPOTENT_METHODS:
        headers = (*headers, (b"content-length", str(len(body)).encode()))
    router_headers = ((b"host", host.encode()), (b"x-request-id", call.id.encode()))
    return Request(
        call.request.method, call.request.target, (*router_headers, *headers), body
    )


def _filter_response_headers(head: ResponseHead) -> Headers:
    dropped = {b"content-length", b"x-request-id"}
    return tuple(
        (name, value)
        for name, value in strip_hop_by_hop_headers(head.headers)
        if name not in dropped
    )


def _with_request_id(headers: Headers, call_id: str) -> Headers:
    return (*headers, (b"x-request-id", call_id.encode()))

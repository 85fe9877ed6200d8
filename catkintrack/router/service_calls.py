"""Serve calls to plain services, those that may not repeat at most once."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
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
    Exchange,
    Headers,
    Pool,
    Request,
    ResponseHead,
    UpstreamExchangeError,
    UpstreamUnreachable,
    find_header,
    open_exchange,
    strip_hop_by_hop_headers,
)

from .agent_links import ask_claim, finish_claim
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
CLAIM_RETRY_S = 2.0

T = TypeVar("T")


class KeptResponse(msgspec.Struct, frozen=True):
    """Hold a response as it is kept for a second asker."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(slots=True)
class ServiceCall:
    """Hold one call to a plain service."""

    id: str
    request: Request
    route: Route
    is_repeatable: bool
    may_have_run: bool = False


async def serve_service_call(
    router: Router,
    call_id: str,
    request: Request,
    route: Route,
    key: Key | None,
    connection: Connection,
) -> None:
    """Serve one call under a route to a plain service."""
    is_repeatable = route.is_repeatable or request.method in IDEMPOTENT_METHODS
    call = ServiceCall(call_id, request, route, is_repeatable)
    idempotency_key = find_header(request.headers, IDEMPOTENCY_HEADER)
    if is_repeatable or idempotency_key is None:
        await _forward(router, call, connection)
        return
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_BYTES or not idempotency_key:
        raise BadCall("invalid_idempotency_key", "the idempotency key is malformed")
    scope = key.workspace.name if key else ""
    name = make_claim_name(scope, route.name, idempotency_key.decode("latin-1"))
    await _run_claimed(router, call, name, connection)


async def _run_claimed(
    router: Router, call: ServiceCall, name: str, connection: Connection
) -> None:
    """Run a call that the platform lets only one request run."""
    request = call.request
    fingerprint = fingerprint_call(request.method, request.target, request.body)
    verdict, response = await ask_claim(router, name, call.id, fingerprint)
    if verdict is ClaimVerdict.RUN:
        await _run_and_finish(router, call, name, connection)
        return
    if verdict is ClaimVerdict.REPLAY and response:
        kept = msgspec.msgpack.decode(response, type=KeptResponse)
        headers = (*kept.headers, (b"idempotency-replayed", b"true"))
        await connection.respond(kept.status, _with_id(headers, call.id), kept.body)
        return
    raise _as_error(verdict)


def _as_error(verdict: ClaimVerdict) -> ClaimConflict | ClaimUnavailable:
    message_by_verdict = {
        ClaimVerdict.REPLAY: "the call has run; its answer was too large to keep",
        ClaimVerdict.CONFLICT: "the call runs, or ended without a known outcome",
        ClaimVerdict.MISMATCH: "the idempotency key was used for another call",
    }
    message = message_by_verdict.get(verdict)
    if message is None:
        return ClaimUnavailable("the platform can't tell now", CLAIM_RETRY_S)
    return ClaimConflict(message)


async def _run_and_finish(
    router: Router, call: ServiceCall, name: str, connection: Connection
) -> None:
    """Run a claimed call and record its end; an unknown end stays claimed."""
    try:
        kept = await _fetch(router, call)
    except (NoCapacity, OutcomeUnknown):
        if not call.may_have_run:
            await finish_claim(router, name, call.id, False, b"")
        raise
    encoded = msgspec.msgpack.encode(kept)
    # The end is recorded before the caller learns it: whoever asks again after
    # this answer finds it.
    await finish_claim(router, name, call.id, True, encoded)
    await connection.respond(kept.status, _with_id(kept.headers, call.id), kept.body)


async def _fetch(router: Router, call: ServiceCall) -> KeptResponse:
    """Return the whole response of a call."""
    timeout_s = call.route.timeout_s

    async def read_response(exchange: Exchange) -> KeptResponse:
        head = await exchange.read_head(timeout_s)
        body = await exchange.read_body(timeout_s)
        return KeptResponse(head.status, _response_headers(head), body)

    return await _try_replicas(router, call, read_response, lambda: False)


async def _forward(router: Router, call: ServiceCall, connection: Connection) -> None:
    """Pass a call and its response through."""
    timeout_s = call.route.timeout_s

    async def pass_response(exchange: Exchange) -> None:
        head = await exchange.read_head(timeout_s)
        headers = _with_id(_response_headers(head), call.id)
        length = find_header(head.headers, b"content-length")
        if length is not None:
            headers = (*headers, (b"content-length", length))
        await connection.start_response(head.status, headers)
        while (part := await exchange.read_body_part(timeout_s)) is not None:
            await connection.send_body(part)
        await connection.finish_response()

    await _try_replicas(
        router, call, pass_response, lambda: connection.has_response_started
    )


async def _try_replicas(
    router: Router,
    call: ServiceCall,
    use: Callable[[Exchange], Awaitable[T]],
    has_response_started: Callable[[], bool],
) -> T:
    """Send the call to a replica, and to others only where that is safe."""
    excluded: frozenset[str] = frozenset()
    for _ in range(MAX_ATTEMPTS):
        replica = _choose(router, call, excluded)
        row = ensure_service_row(router.services, replica.name)
        row.in_flight += 1
        try:
            result = await _send_to(router, call, replica, use)
            ejection.record_success(row, time.monotonic())
            return result
        except UpstreamUnreachable as error:
            _note_failure(router, call, replica, error, True)
        except UpstreamExchangeError as error:
            _note_failure(router, call, replica, error, False)
            if has_response_started():
                # Closing without the response's end says that it is cut.
                raise OutcomeUnknown("the response was cut") from error
            if not call.is_repeatable:
                raise OutcomeUnknown("the call may have run") from error
        finally:
            row.in_flight -= 1
        excluded |= {replica.name}
    if call.may_have_run:
        raise OutcomeUnknown("every replica that was tried failed")
    raise NoCapacity("no replica of the service answers", 1.0)


async def _send_to(
    router: Router,
    call: ServiceCall,
    replica: Upstream,
    use: Callable[[Exchange], Awaitable[T]],
) -> T:
    async with open_exchange(_pool_for(router, call), replica.address) as exchange:
        call.may_have_run = True
        await exchange.send(_make_request(call, str(replica.address)))
        return await use(exchange)


def _choose(router: Router, call: ServiceCall, excluded: frozenset[str]) -> Upstream:
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
        return _choose(router, call, frozenset())
    if call.may_have_run:
        raise OutcomeUnknown("every replica that was tried failed")
    raise NoCapacity("no replica of the service can take the call", 1.0)


def _note_failure(
    router: Router,
    call: ServiceCall,
    replica: Upstream,
    error: Exception,
    is_unreachable: bool,
) -> None:
    row = ensure_service_row(router.services, replica.name)
    ejection.record_failure(row, time.monotonic(), is_unreachable)
    logger.warning(
        "service replica failed",
        extra={
            "request_id": call.id,
            "upstream": replica.name,
            "reason": str(error),
        },
    )


def _pool_for(router: Router, call: ServiceCall) -> Pool:
    """Return a pool without kept connections for a call that must not repeat.

    A kept connection that the service is just closing would make its outcome
    unknown for no reason.
    """
    if call.is_repeatable:
        return router.pool
    return Pool(router.pool.limits, 0)


def _make_request(call: ServiceCall, host: str) -> Request:
    kept = strip_keys(strip_hop_by_hop_headers(call.request.headers), call.route)
    dropped = {b"host", b"content-length", b"expect", b"x-request-id"}
    headers = tuple((name, value) for name, value in kept if name not in dropped)
    body = call.request.body
    if body or call.request.method not in IDEMPOTENT_METHODS:
        headers = (*headers, (b"content-length", str(len(body)).encode()))
    own = ((b"host", host.encode()), (b"x-request-id", call.id.encode()))
    return Request(call.request.method, call.request.target, (*own, *headers), body)


def _response_headers(head: ResponseHead) -> Headers:
    dropped = {b"content-length", b"x-request-id"}
    return tuple(
        (name, value)
        for name, value in strip_hop_by_hop_headers(head.headers)
        if name not in dropped
    )


def _with_id(headers: Headers, call_id: str) -> Headers:
    return (*headers, (b"x-request-id", call_id.encode()))

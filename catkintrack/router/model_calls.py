"""Serve model calls: reserve tokens, relay the response, resume broken streams."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import msgspec

from catkintrack.calls import run_tick, wait_for_decision
from catkintrack.config import Key, Route, Workspace
from catkintrack.decisions import (
    Dispatch,
    ModelRequest,
    Refusal,
    record_answer,
    record_end,
    record_failure,
    record_first_token,
)
from catkintrack.decisions.prefills import ANNOUNCED_MIN_TOKENS
from catkintrack.http import (
    Connection,
    Exchange,
    Headers,
    Request,
    ResponseHead,
    StreamBounds,
    UpstreamExchangeError,
    UpstreamUnreachable,
    find_header,
    find_remaining_s,
    open_exchange,
    record_event,
    record_received,
    strip_hop_by_hop_headers,
)
from catkintrack.links import PrefillEnd, PrefillNews

from .agent_links import announce_prefill, reserve_tokens, settle_tokens
from .events import EventReader, StreamProgress, Usage
from .model_body import (
    COMPLETION_PATHS,
    MODELS_PATH,
    ModelCallBody,
    encode_upstream_body,
    hash_prompt_blocks,
    read_model_body,
)
from .refusals import (
    CallError,
    NoCapacity,
    OverBurst,
    OverLimit,
    UnknownRoute,
    UpstreamFailed,
    encode_error,
    make_capacity_refusal,
)
from .state import Router

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
# Upstreams answer with these statuses without having run the request.
NOT_RUN_STATUSES = frozenset({409, 429, 503})
REJECTION_BODY_TIMEOUT_S = 1.0
# Bounds of a stream's size, far above what an event's JSON takes.
STREAM_BASE_BYTES = 256 << 10
STREAM_BYTES_PER_TOKEN = 4 << 10
SSE_HEADERS = ((b"content-type", b"text/event-stream"), (b"cache-control", b"no-cache"))
JSON_HEADERS = ((b"content-type", b"application/json"),)


@dataclass(slots=True)
class ModelCall:
    """Hold one model call and its progress.

    Times are in seconds on the monotonic clock.  `may_have_run` is set once an upstream may
    have run the call.
    """

    id: str
    route: Route
    workspace: Workspace
    body: ModelCallBody
    request: ModelRequest
    path: str
    progress: StreamProgress = field(default_factory=StreamProgress)
    arrived_at: float = 0.0
    first_token_at: float | None = None
    cached_tokens: int = 0
    may_have_run: bool = False
    upstreams: list[str] = field(default_factory=list)


async def serve_model_call(
    router: Router,
    call_id: str,
    request: Request,
    route: Route,
    key: Key,
    connection: Connection,
) -> None:
    """Serve one call on a route to the models."""
    if request.path == MODELS_PATH:
        await _answer_models(router, call_id, connection)
        return
    if request.path not in COMPLETION_PATHS:
        raise UnknownRoute("no such path")
    body = read_model_body(router, request.path, request.body)
    workspace = key.workspace
    await _reserve_call_tokens(router, workspace, body)
    call = _make_call(call_id, request.path, route, workspace, body)
    try:
        if body.is_stream:
            await _run_stream(router, call, connection)
        else:
            await _try_upstreams(router, call, connection)
    finally:
        await _settle_call_tokens(router, call)
        _record_call_metrics(router, call)
        logger.info("model call ended", extra=describe_call(call))


async def _answer_models(router: Router, call_id: str, connection: Connection) -> None:
    entries = [
        {"id": name, "object": "model", "created": 0, "owned_by": "catkintrack"}
        for name in sorted(router.tables.model_by_name)
    ]
    body = msgspec.json.encode({"object": "list", "data": entries})
    await connection.respond(200, _with_request_id(JSON_HEADERS, call_id), body)


async def _reserve_call_tokens(
    router: Router, workspace: Workspace, body: ModelCallBody
) -> None:
    tokens = body.reserved_tokens
    if tokens > workspace.burst_tokens:
        raise OverBurst("the call is larger than the workspace's burst")
    retry_after_s = await reserve_tokens(router, workspace.name, tokens)
    if retry_after_s is not None:
        raise OverLimit("the workspace's rate is used up", retry_after_s)


def _make_call(
    call_id: str, path: str, route: Route, workspace: Workspace, body: ModelCallBody
) -> ModelCall:
    now = time.monotonic()
    tier = workspace.tier
    request = ModelRequest(
        id=call_id,
        workspace=workspace.name,
        model=body.model.name,
        blocks=hash_prompt_blocks(workspace.name, body),
        prompt_tokens=body.prompt_tokens,
        max_tokens=body.max_tokens,
        priority=tier.priority if route.priority is None else route.priority,
        arrived_at=now,
        deadline=now + tier.queue_timeout_s,
    )
    return ModelCall(call_id, route, workspace, body, request, path, arrived_at=now)


async def _settle_call_tokens(router: Router, call: ModelCall) -> None:
    """Return the reserved tokens that the call did not use.

    Without a usage report, a stream is charged its prompt and relayed tokens, and
    another call that may have run is charged its whole reservation.
    """
    body = call.body
    usage_report = call.progress.usage
    used_tokens = 0
    if usage_report is not None:
        used_tokens = usage_report.prompt_tokens + max(
            usage_report.completion_tokens, call.progress.next_index
        )
    elif call.may_have_run:
        used_tokens = body.prompt_tokens + call.progress.next_index
        if not body.is_stream:
            used_tokens = body.reserved_tokens
    await settle_tokens(router, call.workspace.name, body.reserved_tokens - used_tokens)


def _record_call_metrics(router: Router, call: ModelCall) -> None:
    if call.first_token_at is None:
        return
    metrics = router.metrics
    labels = {"workspace": call.workspace.name, "tier": call.workspace.tier.name}
    elapsed_s = call.first_token_at - call.arrived_at
    metrics.first_token_seconds.observe(labels, elapsed_s)
    metrics.prompt_tokens.add(labels, call.body.prompt_tokens)
    metrics.hit_tokens.add(labels, call.cached_tokens)


async def _run_stream(router: Router, call: ModelCall, connection: Connection) -> None:
    """Stream the response; end a started stream that fails with an error event."""
    try:
        await _try_upstreams(router, call, connection)
    except CallError as error:
        if not call.progress.is_started:
            raise
        await end_stream_with_error(connection, error)
        raise


async def end_stream_with_error(connection: Connection, error: CallError) -> None:
    """Send an error event on a started stream, which stays incomplete."""
    await connection.send_body(b"data: " + encode_error(error) + b"\n\n")
    # The response is not finished: the connection closes without the last chunk, so
    # the caller does not take the stream for a complete one.


async def _try_upstreams(
    router: Router, call: ModelCall, connection: Connection
) -> None:
    """Try upstreams in turn until the response is complete.

    Raise UpstreamFailed if the call may have run, and NoCapacity otherwise.
    """
    for attempt in range(MAX_ATTEMPTS):
        decision = await wait_for_decision(
            router.call_queue, call.request, connection.has_caller_disconnected
        )
        if isinstance(decision, Refusal):
            raise _make_placement_error(call, decision)
        is_announced = decision.uncached_tokens >= ANNOUNCED_MIN_TOKENS
        try:
            if is_announced:
                await _announce_prefill_start(router, call, decision)
            await _run_on_upstream(router, call, decision, connection)
            return
        except UpstreamUnreachable as error:
            reason = str(error)
            record_failure(router.decisions, call.id, time.monotonic(), True)
        except UpstreamExchangeError as error:
            reason = str(error)
            record_failure(router.decisions, call.id, time.monotonic(), False)
        except UpstreamRefused as error:
            reason = str(error)
        finally:
            record_end(router.decisions, call.id, time.monotonic())
            if is_announced and call.first_token_at is None:
                await announce_prefill(router, PrefillEnd(call.id, ""))
            await run_tick(router.call_queue)
        if call.progress.is_done:
            # The final event was relayed; only the end of the body is missing.
            await connection.finish_response()
            return
        logger.warning(
            "attempt at an upstream failed",
            extra={
                "request_id": call.id,
                "upstream": decision.upstream,
                "reason": reason,
                "attempt": attempt + 1,
            },
        )
        router.metrics.retries.inc({"upstream": decision.upstream})
        if call.progress.is_started:
            router.metrics.resumed_streams.inc({})
        call.request = replace(
            call.request,
            excluded=call.request.excluded | {decision.upstream},
            is_retry=True,
            # A retry can be queued for at least 1 s.
            deadline=max(call.request.deadline, time.monotonic() + 1.0),
        )
    if call.may_have_run:
        raise UpstreamFailed("every upstream that was tried failed")
    raise NoCapacity("no upstream took the request", 1.0)


async def _announce_prefill_start(
    router: Router, call: ModelCall, decision: Dispatch
) -> None:
    blocks = call.request.blocks
    message = PrefillNews(
        call.id,
        decision.upstream,
        blocks,
        decision.uncached_tokens,
        call.request.priority,
    )
    await announce_prefill(router, message)


def _make_placement_error(call: ModelCall, refusal: Refusal) -> CallError:
    if call.may_have_run:
        return UpstreamFailed("the upstream failed and no other can continue", 1.0)
    return make_capacity_refusal(refusal)


class UpstreamRefused(Exception):
    """Report that an upstream rejected a request without running it."""


async def _run_on_upstream(
    router: Router, call: ModelCall, decision: Dispatch, connection: Connection
) -> None:
    upstream = router.tables.upstream_by_name.get(decision.upstream)
    if upstream is None:
        raise UpstreamUnreachable("the upstream is no longer configured")
    call.upstreams.append(upstream.name)
    limits = router.settings.router.upstreams
    async with open_exchange(router.pool, upstream.address) as exchange:
        may_have_run_before = call.may_have_run
        call.may_have_run = True
        await exchange.send(_make_request(call, str(upstream.address)))
        timeout_s = min(call.route.timeout_s, limits.head_timeout_s)
        deadline_at = time.monotonic() + timeout_s
        head = await exchange.read_head(timeout_s)
        if head.status in NOT_RUN_STATUSES:
            call.may_have_run = may_have_run_before
            await exchange.discard_body(REJECTION_BODY_TIMEOUT_S)
            raise UpstreamRefused(f"upstream answered status {head.status}")
        if head.status >= 500:
            raise UpstreamExchangeError(f"upstream answered status {head.status}")
        if head.status != 200 and call.progress.is_started:
            raise UpstreamExchangeError(
                f"status {head.status} instead of the stream's rest"
            )
        await _record_first_token(router, call, decision, head)
        await run_tick(router.call_queue)

        def handle_answer() -> None:
            record_answer(router.decisions, call.id, time.monotonic())

        if head.status == 200 and call.body.is_stream:
            await _relay_stream(
                call, exchange, connection, limits.read_timeout_s, handle_answer
            )
            return
        if head.status != 200:
            await _relay_error_response(
                call, exchange, head, connection, limits.read_timeout_s
            )
        else:
            remaining_s = max(0.0, deadline_at - time.monotonic())
            await _relay_complete_response(
                call, exchange, head, connection, remaining_s
            )
        handle_answer()


def _make_request(call: ModelCall, host: str) -> Request:
    body = encode_upstream_body(call.body, call.progress.delivered)
    headers = (
        (b"host", host.encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"x-request-id", call.id.encode()),
        (b"x-priority", str(call.request.priority).encode()),
        (b"x-cache-salt", call.workspace.name.encode()),
        (b"x-weights-version", call.body.model.weights_version.encode()),
    )
    return Request(b"POST", call.path.encode(), headers, body)


async def _record_first_token(
    router: Router, call: ModelCall, decision: Dispatch, head: ResponseHead
) -> None:
    """Record the first token; an engine sends the response head together with it."""
    now = time.monotonic()
    header = find_header(head.headers, b"x-engine-incarnation") or b""
    incarnation = header.decode("latin-1")
    record_first_token(router.decisions, call.id, incarnation, now)
    if decision.uncached_tokens >= ANNOUNCED_MIN_TOKENS:
        await announce_prefill(router, PrefillEnd(call.id, incarnation))
    if call.first_token_at is not None:
        return
    call.first_token_at = now
    cached = find_header(head.headers, b"x-cached-tokens") or b"0"
    call.cached_tokens = int(cached) if cached.isdigit() else 0
    expected_cached_tokens = call.body.prompt_tokens - decision.uncached_tokens
    if decision.best_cached_tokens > expected_cached_tokens:
        labels = {"workspace": call.workspace.name}
        recomputed_tokens = decision.best_cached_tokens - expected_cached_tokens
        router.metrics.recomputed_tokens.add(labels, recomputed_tokens)


async def _relay_stream(
    call: ModelCall,
    exchange: Exchange,
    connection: Connection,
    timeout_s: float,
    on_event: Callable[[], None] = lambda: None,
) -> None:
    """Relay events as they arrive, and call `on_event` at the first.

    Raise UpstreamExchangeError if the stream is incomplete.
    """
    progress = call.progress
    reader = EventReader(progress, call.body.wants_usage, exchange.held)
    max_bytes = STREAM_BASE_BYTES + STREAM_BYTES_PER_TOKEN * call.body.max_tokens
    bounds = StreamBounds(timeout_s, max_bytes, last_event_at=time.monotonic())
    has_event = False
    while True:
        remaining_s = find_remaining_s(bounds, time.monotonic())
        data = await exchange.read_body_part(remaining_s)
        if data is None:
            break
        record_received(bounds, len(data))
        relayed = reader.read(data)
        if relayed:
            record_event(bounds, time.monotonic())
            if not has_event:
                has_event = True
                on_event()
            await _start_stream(call, connection)
            await connection.send_body(relayed)
    if not progress.is_done:
        raise UpstreamExchangeError("the stream ended without the [DONE] event")
    await connection.finish_response()


async def _start_stream(call: ModelCall, connection: Connection) -> None:
    if not call.progress.is_started:
        call.progress.is_started = True
        await connection.start_response(200, _with_request_id(SSE_HEADERS, call.id))


async def _relay_complete_response(
    call: ModelCall,
    exchange: Exchange,
    head: ResponseHead,
    connection: Connection,
    timeout_s: float,
) -> None:
    """Relay a non-streamed response once it has been received completely."""
    body = await exchange.read_body(timeout_s)
    try:
        call.progress.usage = msgspec.json.decode(body, type=_CompletionResponse).usage
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UpstreamExchangeError(f"the response body is invalid: {error}") from error
    call.progress.is_started = True
    call.progress.is_done = True
    await connection.respond(200, _with_request_id(JSON_HEADERS, call.id), body)


async def _relay_error_response(
    call: ModelCall,
    exchange: Exchange,
    head: ResponseHead,
    connection: Connection,
    timeout_s: float,
) -> None:
    """Relay an engine's error response to a bad call unchanged."""
    body = await exchange.read_body(timeout_s)
    call.progress.is_done = True
    headers = tuple(
        (name, value)
        for name, value in strip_hop_by_hop_headers(head.headers)
        if name == b"content-type"
    )
    await connection.respond(head.status, _with_request_id(headers, call.id), body)


class _CompletionResponse(msgspec.Struct):
    """Represent the field of a non-streamed response that the router reads."""

    usage: Usage | None = None


def _with_request_id(headers: Headers, call_id: str) -> Headers:
    return (*headers, (b"x-request-id", call_id.encode()))


def describe_call(call: ModelCall) -> dict[str, object]:
    """Return the log fields of a call."""
    first_token_s = None
    if call.first_token_at is not None:
        first_token_s = round(call.first_token_at - call.arrived_at, 4)
    return {
        "request_id": call.id,
        "workspace": call.workspace.name,
        "upstreams": call.upstreams,
        "prompt_tokens": call.body.prompt_tokens,
        "cached_tokens": call.cached_tokens,
        "first_token_s": first_token_s,
        "tokens": call.progress.next_index,
        "is_whole": call.progress.is_done,
    }

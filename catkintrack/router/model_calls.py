"""Serve calls to models: reserve, place, relay, and continue broken streams."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, field, replace

import msgspec

from catkintrack.calls import run_tick, wait_for_decision
from catkintrack.config import Key, Route, Workspace
from catkintrack.decisions import (
    Dispatch,
    ModelRequest,
    Refusal,
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
    UpstreamExchangeError,
    UpstreamUnreachable,
    find_header,
    open_exchange,
    strip_hop_by_hop_headers,
)
from catkintrack.links import PrefillEnd, PrefillNews

from .agent_links import reserve_tokens, settle_tokens, tell_prefill
from .events import EventReader, StreamProgress, Usage
from .model_body import (
    COMPLETION_PATHS,
    MODELS_PATH,
    ModelBody,
    encode_upstream_body,
    hash_body,
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
NOT_RUN_STATUSES = frozenset({409, 429, 503})
SSE_HEADERS = ((b"content-type", b"text/event-stream"), (b"cache-control", b"no-cache"))
JSON_HEADERS = ((b"content-type", b"application/json"),)


@dataclass(slots=True)
class ModelCall:
    """Hold one model call and what has come of it; times in seconds."""

    id: str
    route: Route
    workspace: Workspace
    body: ModelBody
    request: ModelRequest
    path: str
    progress: StreamProgress = field(default_factory=StreamProgress)
    arrived_at: float = 0.0
    first_token_at: float | None = None
    cached_tokens: int = 0
    has_run: bool = False
    upstreams: list[str] = field(default_factory=list)


async def serve_model_call(
    router: Router,
    call_id: str,
    request: Request,
    route: Route,
    key: Key,
    connection: Connection,
) -> None:
    """Serve one call under a route to the models."""
    if request.path == MODELS_PATH:
        await _answer_models(router, call_id, connection)
        return
    if request.path not in COMPLETION_PATHS:
        raise UnknownRoute("no such path")
    body = read_model_body(router, request.path, request.body)
    workspace = key.workspace
    await _reserve(router, workspace, body)
    call = _make_call(call_id, request.path, route, workspace, body)
    try:
        if body.is_stream:
            await _run_stream(router, call, connection)
        else:
            await _try_upstreams(router, call, connection)
    finally:
        await _settle(router, call)
        _observe(router, call)
        logger.info("model call ended", extra=describe_call(call))


async def _answer_models(router: Router, call_id: str, connection: Connection) -> None:
    rows = [
        {"id": name, "object": "model", "created": 0, "owned_by": "catkintrack"}
        for name in sorted(router.tables.model_by_name)
    ]
    body = msgspec.json.encode({"object": "list", "data": rows})
    await connection.respond(200, _with_id(JSON_HEADERS, call_id), body)


async def _reserve(router: Router, workspace: Workspace, body: ModelBody) -> None:
    tokens = body.reserved_tokens
    if tokens > workspace.burst_tokens:
        raise OverBurst("the call is larger than the workspace's burst")
    retry_after_s = await reserve_tokens(router, workspace.name, tokens)
    if retry_after_s is not None:
        raise OverLimit("the workspace's rate is used up", retry_after_s)


def _make_call(
    call_id: str, path: str, route: Route, workspace: Workspace, body: ModelBody
) -> ModelCall:
    now = time.monotonic()
    tier = workspace.tier
    request = ModelRequest(
        id=call_id,
        workspace=workspace.name,
        model=body.model.name,
        blocks=hash_body(workspace.name, body),
        prompt_tokens=body.prompt_tokens,
        max_tokens=body.max_tokens,
        priority=tier.priority if route.priority is None else route.priority,
        arrived_at=now,
        deadline=now + tier.queue_timeout_s,
    )
    return ModelCall(call_id, route, workspace, body, request, path, arrived_at=now)


async def _settle(router: Router, call: ModelCall) -> None:
    """Give back what was reserved and not used."""
    body = call.body
    usage = call.progress.usage
    used = 0
    if usage is not None:
        used = usage.prompt_tokens + max(
            usage.completion_tokens, call.progress.next_index
        )
    elif call.has_run:
        used = body.prompt_tokens + call.progress.next_index
        if not body.is_stream:
            used = body.reserved_tokens
    await settle_tokens(router, call.workspace.name, body.reserved_tokens - used)


def _observe(router: Router, call: ModelCall) -> None:
    if call.first_token_at is None:
        return
    metrics = router.metrics
    labels = {"workspace": call.workspace.name, "tier": call.workspace.tier.name}
    elapsed_s = call.first_token_at - call.arrived_at
    metrics.first_token_seconds.observe(labels, elapsed_s)
    metrics.prompt_tokens.add(labels, call.body.prompt_tokens)
    metrics.hit_tokens.add(labels, call.cached_tokens)


async def _run_stream(router: Router, call: ModelCall, connection: Connection) -> None:
    """Stream the answer, continuing elsewhere what breaks."""
    try:
        await _try_upstreams(router, call, connection)
    except CallError as error:
        if not call.progress.is_started:
            raise
        await end_stream_with_error(connection, error)
        raise


async def end_stream_with_error(connection: Connection, error: CallError) -> None:
    """Tell the caller of a started stream that it is cut."""
    await connection.send_body(b"data: " + encode_error(error) + b"\n\n")
    # The connection closes without the body's proper end: it never looks whole.


async def _try_upstreams(
    router: Router, call: ModelCall, connection: Connection
) -> None:
    """Try upstreams in turn until one has given the whole answer."""
    for number in range(MAX_ATTEMPTS):
        decision = await wait_for_decision(
            router.room, call.request, connection.has_caller_disconnected
        )
        if isinstance(decision, Refusal):
            raise _as_error(call, decision)
        is_long = decision.uncached_tokens >= ANNOUNCED_MIN_TOKENS
        if is_long:
            await _tell_begun(router, call, decision)
        try:
            await _run_at(router, call, decision, connection)
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
            if is_long and call.first_token_at is None:
                await tell_prefill(router, PrefillEnd(call.id, ""))
            await run_tick(router.room)
        if call.progress.is_done:
            # Only the end of the upstream's body is missing, not of the answer.
            await connection.finish_response()
            return
        logger.warning(
            "upstream failed; trying another",
            extra={
                "request_id": call.id,
                "upstream": decision.upstream,
                "reason": reason,
                "attempt": number + 1,
            },
        )
        router.metrics.retries.inc({"upstream": decision.upstream})
        if call.progress.is_started:
            router.metrics.resumed_streams.inc({})
        call.request = replace(
            call.request,
            excluded=call.request.excluded | {decision.upstream},
            is_retry=True,
            deadline=max(call.request.deadline, time.monotonic() + 1.0),
        )
    if call.has_run:
        raise UpstreamFailed("every upstream that was tried failed")
    raise NoCapacity("no upstream took the request", 1.0)


async def _tell_begun(router: Router, call: ModelCall, decision: Dispatch) -> None:
    blocks = call.request.blocks
    news = PrefillNews(
        call.id,
        decision.upstream,
        blocks,
        decision.uncached_tokens,
        call.request.priority,
    )
    await tell_prefill(router, news)


def _as_error(call: ModelCall, refusal: Refusal) -> CallError:
    if call.has_run:
        return UpstreamFailed("the upstream failed and no other can continue", 1.0)
    return make_capacity_refusal(refusal)


class UpstreamRefused(Exception):
    """Report that an upstream refused a request without running it."""


async def _run_at(
    router: Router, call: ModelCall, decision: Dispatch, connection: Connection
) -> None:
    upstream = router.tables.upstream_by_name.get(decision.upstream)
    if upstream is None:
        raise UpstreamUnreachable("the upstream was removed")
    call.upstreams.append(upstream.name)
    limits = router.settings.router.upstreams
    async with open_exchange(router.pool, upstream.address) as exchange:
        was_running = call.has_run
        call.has_run = True
        await exchange.send(_make_request(call, str(upstream.address)))
        timeout_s = min(call.route.timeout_s, limits.head_timeout_s)
        head = await exchange.read_head(timeout_s)
        if head.status in NOT_RUN_STATUSES:
            call.has_run = was_running
            await exchange.read_body(timeout_s)
            raise UpstreamRefused(f"status {head.status}")
        if head.status >= 500:
            raise UpstreamExchangeError(f"status {head.status}")
        await _note_first_token(router, call, decision, head)
        await run_tick(router.room)
        if head.status != 200:
            await _pass_error(call, exchange, head, connection, limits.read_timeout_s)
        elif call.body.is_stream:
            await _relay(call, exchange, connection, limits.read_timeout_s)
        else:
            await _pass_whole(call, exchange, head, connection, timeout_s)


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


async def _note_first_token(
    router: Router, call: ModelCall, decision: Dispatch, head: ResponseHead
) -> None:
    now = time.monotonic()
    incarnation = find_header(head.headers, b"x-engine-incarnation") or b""
    life = incarnation.decode("latin-1")
    record_first_token(router.decisions, call.id, life, now)
    if decision.uncached_tokens >= ANNOUNCED_MIN_TOKENS:
        await tell_prefill(router, PrefillEnd(call.id, life))
    if call.first_token_at is not None:
        return
    call.first_token_at = now
    cached = find_header(head.headers, b"x-cached-tokens") or b"0"
    call.cached_tokens = int(cached) if cached.isdigit() else 0
    expected = call.body.prompt_tokens - decision.uncached_tokens
    if decision.best_cached_tokens > expected:
        labels = {"workspace": call.workspace.name}
        wasted = decision.best_cached_tokens - expected
        router.metrics.recomputed_tokens.add(labels, wasted)


async def _relay(
    call: ModelCall, exchange: Exchange, connection: Connection, timeout_s: float
) -> None:
    """Pass events on as they come; raise UpstreamBroken unless the stream is whole."""
    progress = call.progress
    reader = EventReader(progress, call.body.wants_usage)
    while (data := await exchange.read_body_part(timeout_s)) is not None:
        passed = reader.read(data)
        if passed:
            await _start_stream(call, connection)
            await connection.send_body(passed)
    if not progress.is_done:
        raise UpstreamExchangeError("the stream ended without its last event")
    await connection.finish_response()


async def _start_stream(call: ModelCall, connection: Connection) -> None:
    if not call.progress.is_started:
        call.progress.is_started = True
        await connection.start_response(200, _with_id(SSE_HEADERS, call.id))


async def _pass_whole(
    call: ModelCall,
    exchange: Exchange,
    head: ResponseHead,
    connection: Connection,
    timeout_s: float,
) -> None:
    """Pass a whole answer on once all of it is here."""
    body = await exchange.read_body(timeout_s)
    try:
        call.progress.usage = msgspec.json.decode(body, type=_Whole).usage
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UpstreamExchangeError(f"the answer is malformed: {error}") from error
    call.progress.is_started = True
    call.progress.is_done = True
    await connection.respond(200, _with_id(JSON_HEADERS, call.id), body)


async def _pass_error(
    call: ModelCall,
    exchange: Exchange,
    head: ResponseHead,
    connection: Connection,
    timeout_s: float,
) -> None:
    """Pass an engine's refusal of a bad call on as it is."""
    body = await exchange.read_body(timeout_s)
    call.progress.is_done = True
    headers = tuple(
        (name, value)
        for name, value in strip_hop_by_hop_headers(head.headers)
        if name == b"content-type"
    )
    await connection.respond(head.status, _with_id(headers, call.id), body)


class _Whole(msgspec.Struct):
    """Hold the part of a whole answer that the router reads."""

    usage: Usage | None = None


def _with_id(headers: Headers, call_id: str) -> Headers:
    return (*headers, (b"x-request-id", call_id.encode()))


def describe_call(call: ModelCall) -> dict[str, object]:
    """Return what is logged of a call."""
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

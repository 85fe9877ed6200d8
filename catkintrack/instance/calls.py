"""Route, authenticate, rate limit and serve a caller's request."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio
from returns.result import Failure, Success

from catkintrack.decisions.engine_priority import estimate_first_attempt_at
from catkintrack.fleet import Call, Configuration, Route, Workspace, choose_service
from catkintrack.http import (
    CallerDisconnected,
    CallerTooSlow,
    Connection,
    Request,
    hold_bytes,
)
from catkintrack.platform import RequestFields, parse_request_headers
from catkintrack.pooling import refund, take
from catkintrack.timeouts import timeout_after

from .attempts import CallProgress
from .clocks import read_boot_clock
from .ending_calls import register_call
from .gossip import is_store_heard
from .late_calls import check_caller_waits, check_time_left
from .model_calls import serve_model_call
from .pauses import limit_after_own_pause
from .peers import list_live_peers
from .quarantining import find_content
from .refusals import (
    RETRY_AFTER_JITTER,
    CallError,
    MalformedRequest,
    NotServed,
    OverLimit,
    TimedOut,
    UnknownKey,
    UnknownRoute,
    respond_with_error,
)
from .relaying import is_out_of_reach, may_relay, relay_call
from .retry_budgets import take_next_attempt
from .service_calls import serve_service_call
from .slow_readers import hold_for_caller
from .state import Instance

logger = logging.getLogger(__name__)

# A newly started instance usually has its configuration within this time.
CONFIG_RETRY_AFTER_S = 0.3
# Part of a call's deadline reserved for sending the end of the response.
ANSWER_MARGIN_S = 0.01

# Begins the outcome of a call whose answer ended early.
CUT_PREFIX = "cut:"

CallHandler = Callable[[Instance, Call, CallProgress, Connection], Awaitable[None]]


async def handle_call(
    instance: Instance, request: Request, connection: Connection
) -> None:
    """Serve a request and log its outcome."""
    read_at = time.monotonic()
    arrived_at = read_at if request.arrived_at is None else request.arrived_at
    instance.metrics.read_delay_seconds.observe({}, read_at - arrived_at)
    with hold_bytes(instance.pool.budget) as held:
        progress = CallProgress(arrived_at, held=held)
        progress.read_after_s = read_at - arrived_at
        await _handle_call(instance, request, progress, connection)


async def _handle_call(
    instance: Instance,
    request: Request,
    progress: CallProgress,
    connection: Connection,
) -> None:
    call: Call | None = None
    request_id = b""
    outcome = "served"
    try:
        fields = _parse_request(request)
        request_id = fields.id
        check_caller_waits(connection)
        call = make_call(instance, request, fields, time.monotonic())
        check_time_left(call, progress.may_have_run, time.monotonic())
        async with register_call(instance, call, progress, connection):
            with hold_for_caller(instance, call, connection) as progress.reader:
                await _serve_before_deadline(instance, call, progress, connection)
    except CallError as error:
        outcome = error.code
        if not connection.has_response_started:
            await respond_with_error(connection, error, request_id)
        else:
            # Once the response has started, only closing the connection tells the
            # caller that it is incomplete.
            outcome = f"{CUT_PREFIX}{error.code}"
            await connection.close()
        progress.reason = error.message
    except CallerTooSlow as error:
        outcome = "caller_too_slow"
        progress.reason = str(error)
        raise
    except (CallerDisconnected, curio.CancelledError):
        outcome = "caller_gone"
        raise
    except Exception:
        outcome = "internal_error"
        logger.exception("call failed", extra={"request_id": request_id.decode()})
        raise
    finally:
        _record_call_end(instance, call, progress, request_id, outcome)


def _parse_request(request: Request) -> RequestFields:
    match parse_request_headers(request):
        case Success(fields):
            return fields
        case Failure(error):
            raise MalformedRequest(error.reason)


def make_call(
    instance: Instance, request: Request, fields: RequestFields, now: float
) -> Call:
    """Return the request as a `Call`; raise CallError if it is rejected.

    Its time runs from its arrival, which may be before `now`.
    """
    config = instance.config
    if config is None:
        raise NotServed("no configuration is known yet", CONFIG_RETRY_AFTER_S)
    route = _find_route(instance, config, fields, request.path, now)
    workspace = _authenticate(instance, config, route, fields, now)
    arrived_at = now if request.arrived_at is None else request.arrived_at
    timeout_s = route.timeout_s
    if fields.deadline_s is not None:
        timeout_s = min(timeout_s, fields.deadline_s)
    return Call(
        id=fields.id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        route=route,
        workspace=workspace,
        arrived_at=arrived_at,
        deadline_at=min(arrived_at + timeout_s, instance.calls_end_at),
        prompt=fields.prompt,
        last_event_id=fields.last_event_id,
        resumed_id=fields.resumed_id,
        service=choose_service(route, instance.rng),
        asked_at=_estimate_asked_at(instance, route, fields, arrived_at),
    )


def _estimate_asked_at(
    instance: Instance, route: Route, fields: RequestFields, now: float
) -> float:
    """Return the estimated time of a caller's first attempt.

    A resumed stream counts as a new one: its caller waits for the next event.
    """
    if fields.last_event_id is not None:
        return now
    return estimate_first_attempt_at(
        instance.max_timeouts, route.name, fields.deadline_s, now
    )


def _find_route(
    instance: Instance,
    config: Configuration,
    fields: RequestFields,
    path: str,
    now: float,
) -> Route:
    route = config.find_route(fields.host, path)
    if route is not None:
        return route
    if not _is_config_current(instance, now):
        raise NotServed(
            "the route may be newer than what is known",
            CONFIG_RETRY_AFTER_S,
        )
    raise UnknownRoute("no route serves this host and path")


def _authenticate(
    instance: Instance,
    config: Configuration,
    route: Route,
    fields: RequestFields,
    now: float,
) -> Workspace | None:
    workspace = config.workspace_by_key.get(fields.key or "")
    if route.is_public or workspace is not None:
        return workspace
    if not _is_config_current(instance, now):
        raise NotServed(
            "the key may be newer than what is known",
            CONFIG_RETRY_AFTER_S,
        )
    raise UnknownKey("the key is not in force")


def _is_config_current(instance: Instance, now: float) -> bool:
    """Report whether configuration changes arrive from the store or through a peer."""
    if is_store_heard(instance, now):
        return True
    return any(peer.is_store_heard for peer in list_live_peers(instance, now))


async def _serve_before_deadline(
    instance: Instance, call: Call, progress: CallProgress, connection: Connection
) -> None:
    """Serve a call, through a peer if this instance reaches no replica."""
    relay = _relay_if_allowed
    is_lost = is_out_of_reach(instance, call, time.monotonic())
    if is_lost and await relay(instance, call, progress, connection):
        return
    try:
        await _serve_by_replica(instance, call, progress, connection)
    except NotServed:
        if not await relay(instance, call, progress, connection):
            raise


async def _relay_if_allowed(
    instance: Instance, call: Call, progress: CallProgress, connection: Connection
) -> bool:
    if not may_relay(instance, call, progress):
        return False
    # A replica may have rejected the call before another one was unreachable.
    if not take_next_attempt(instance, call, progress):
        return False
    return await relay_call(instance, call, progress, connection)


async def _serve_by_replica(
    instance: Instance, call: Call, progress: CallProgress, connection: Connection
) -> None:
    """Serve a call within its deadline and its workspace's rate limit."""
    cost = _charge_limit(instance, call)
    config = instance.config
    service = config.service_by_name.get(call.service) if config else None
    is_model = service is not None and service.engine is not None
    serve: CallHandler = serve_service_call
    if is_model and call.prompt is not None:
        serve = serve_model_call
    remaining_s = call.deadline_at - time.monotonic() - ANSWER_MARGIN_S
    try:
        async with timeout_after(max(0.0, remaining_s)):
            await serve(instance, call, progress, connection)
    except curio.TaskTimeout:
        if progress.may_have_run:
            raise TimedOut("the time for the request is over") from None
        raise NotServed("no replica took the request in its time", 1.0) from None
    finally:
        if cost and call.workspace is not None and not progress.may_have_run:
            refund(instance.limits, call.workspace.name, cost)


def _charge_limit(instance: Instance, call: Call) -> float:
    """Charge a call to its workspace's rate limit and return its cost."""
    workspace = call.workspace
    if workspace is None or workspace.limit is None:
        return 0.0
    limit = workspace.limit
    cost = limit.cost_without_prompt
    if limit.counts_tokens and call.prompt is not None:
        cost = float(call.prompt.total_tokens)
    now = time.monotonic()
    limit_after_own_pause(instance, read_boot_clock(), now)
    wait_s = take(instance.limits, workspace.name, limit, cost, now)
    if wait_s is not None:
        jitter = 1.0 + RETRY_AFTER_JITTER * instance.rng.random()
        raise OverLimit("the workspace's limit is used up", wait_s * jitter)
    return cost


def _find_resumed_id(call: Call | None) -> str | None:
    if call is None or call.resumed_id is None:
        return None
    return call.resumed_id.decode("latin-1")


def _record_call_end(
    instance: Instance,
    call: Call | None,
    progress: CallProgress,
    request_id: bytes,
    outcome: str,
) -> None:
    now = time.monotonic()
    route = call.route.name if call else "-"
    instance.metrics.requests.inc({"route": route, "outcome": outcome})
    first_byte_s = None
    if progress.first_byte_at is not None:
        first_byte_s = progress.first_byte_at - progress.arrived_at
        instance.metrics.first_byte_seconds.observe({"route": route}, first_byte_s)
    # A caller that got a part of its answer has only this to tell why.
    level = logging.WARNING if outcome.startswith(CUT_PREFIX) else logging.INFO
    logger.log(
        level,
        "call ended",
        extra={
            "request_id": request_id.decode("latin-1"),
            "route": route,
            "workspace": call.workspace.name if call and call.workspace else None,
            "outcome": outcome,
            "reason": progress.reason,
            "content": f"{find_content(call):016x}" if call else None,
            "resumed_id": _find_resumed_id(call),
            "attempts": progress.attempts,
            "config": instance.config.revision if instance.config else None,
            "first_byte_s": first_byte_s and round(first_byte_s, 4),
            "waited_s": round(progress.waited_s, 4),
            "expected_wait_s": progress.expected_wait_s
            and round(progress.expected_wait_s, 3),
            "priority": call and call.priority,
            "asked_before_s": call and round(call.arrived_at - call.asked_at, 3),
            "allowed_s": call and round(call.deadline_at - call.arrived_at, 3),
            "cached": progress.cached_tokens,
            "prompt": call.prompt.prompt_tokens if call and call.prompt else None,
            "may_have_run": progress.may_have_run,
            "read_after_s": round(progress.read_after_s, 4),
            "duration_s": round(now - progress.arrived_at, 4),
        },
    )

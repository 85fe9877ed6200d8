"""Serve a caller's request: route and authenticate it, and answer its errors."""

from __future__ import annotations

import logging
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from uuid import uuid4

import curio

from catkintrack.config import Key, Route
from catkintrack.http import CallerDisconnected, Connection, Request

from .agent_links import has_current_keys
from .authentication import authenticate, reject_misplaced_keys
from .key_withdrawal import is_key_still_valid
from .model_calls import end_stream_with_error, serve_model_call
from .refusals import (
    CallError,
    KeysUnknown,
    KeyWithdrawn,
    UnknownRoute,
    answer_error,
)
from .service_calls import serve_service_call
from .state import OpenCall, Router

logger = logging.getLogger(__name__)

KEYS_RETRY_AFTER_S = 2.0


async def handle_call(router: Router, request: Request, connection: Connection) -> None:
    """Serve one request, then count and log its outcome."""
    call_id = uuid4().hex
    started_at = time.monotonic()
    route_name = "-"
    status = "ok"
    try:
        route = _find_route(router, request)
        route_name = route.name
        await _authenticate_and_serve(router, call_id, request, route, connection)
    except CallError as error:
        status = error.code
        _count_refusal(router, error)
        if connection.has_response_started:
            # Once the response has started, only closing the connection marks it as
            # incomplete.
            await connection.close()
        else:
            await answer_error(connection, error, call_id)
    except CallerDisconnected:
        status = "caller_gone"
        raise
    finally:
        router.metrics.requests.inc({"route": route_name, "status": status})
        logger.info(
            "call ended",
            extra={
                "request_id": call_id,
                "route": route_name,
                "outcome": status,
                "duration_s": round(time.monotonic() - started_at, 4),
            },
        )


def _find_route(router: Router, request: Request) -> Route:
    route = router.tables.find_route(request.path)
    if route is None:
        raise UnknownRoute("no route serves this path")
    return route


def _count_refusal(router: Router, error: CallError) -> None:
    kind = "refused" if error.is_not_run else "failed"
    router.metrics.refusals.inc({"code": error.code, "kind": kind})


async def _authenticate_and_serve(
    router: Router,
    call_id: str,
    request: Request,
    route: Route,
    connection: Connection,
) -> None:
    reject_misplaced_keys(request)
    if not route.is_open and not has_current_keys(router, time.monotonic()):
        raise KeysUnknown("withdrawn keys can't be known here now", KEYS_RETRY_AFTER_S)
    key = authenticate(router, request, route)
    async with _register_call(router, call_id, key, connection) as call:
        try:
            if route.service is None:
                if key is None:
                    raise UnknownRoute("models need a route with keys")
                await serve_model_call(router, call_id, request, route, key, connection)
            else:
                await serve_service_call(
                    router, call_id, request, route, key, connection
                )
        except curio.CancelledError:
            if not call.is_cancelled:
                raise
            await _fail_withdrawn_call(route, connection)


@asynccontextmanager
async def _register_call(
    router: Router, call_id: str, key: Key | None, connection: Connection
) -> AsyncIterator[OpenCall]:
    """Register a call while it runs, so that withdrawing its key cancels it."""
    task = await curio.current_task()
    workspace = key.workspace.name if key else None
    call = OpenCall(call_id, key.id if key else None, workspace, connection, task)
    router.open_calls.add(call)
    router.metrics.open_calls.set({}, len(router.open_calls))
    try:
        # The key may have been withdrawn between authentication and registration.
        if not is_key_still_valid(router, call):
            raise KeyWithdrawn("the API key was withdrawn")
        yield call
    finally:
        router.open_calls.discard(call)
        router.metrics.open_calls.set({}, len(router.open_calls))


async def _fail_withdrawn_call(route: Route, connection: Connection) -> None:
    """Raise KeyWithdrawn, after an error event if a model's stream has started.

    A service's response is only cut: an event would become a part of its body.
    """
    error = KeyWithdrawn("the API key was withdrawn")
    is_model_stream = route.service is None and connection.has_response_started
    if is_model_stream and not connection.has_partial_send:
        await end_stream_with_error(connection, error)
    raise error

"""Take a caller's request: find its route and key, serve it, answer its errors."""

from __future__ import annotations

import logging
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from uuid import uuid4

import curio

from catkintrack.config import Key, Route
from catkintrack.http import CallerDisconnected, Connection, Request

from .agent_links import are_keys_known
from .authentication import authenticate, refuse_misplaced_keys
from .cutting import is_still_valid
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

KEYS_RETRY_S = 2.0


async def handle_call(router: Router, request: Request, connection: Connection) -> None:
    """Serve one request and log its outcome."""
    call_id = uuid4().hex
    started_at = time.monotonic()
    route_name = "-"
    status = "ok"
    try:
        route = _find_route(router, request)
        route_name = route.name
        await _serve(router, call_id, request, route, connection)
    except CallError as error:
        status = error.code
        _count_refusal(router, error)
        if connection.has_response_started:
            # A cut answer must not look whole: only closing says so.
            await connection.sock.close()
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


async def _serve(
    router: Router,
    call_id: str,
    request: Request,
    route: Route,
    connection: Connection,
) -> None:
    refuse_misplaced_keys(request)
    if not route.is_open and not are_keys_known(router, time.monotonic()):
        raise KeysUnknown("withdrawn keys can't be known here now", KEYS_RETRY_S)
    key = authenticate(router, request, route)
    async with _open_call(router, call_id, key, connection) as call:
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
            if not call.is_cut:
                raise
            await _tell_withdrawn(connection)


@asynccontextmanager
async def _open_call(
    router: Router, call_id: str, key: Key | None, connection: Connection
) -> AsyncIterator[OpenCall]:
    """Keep a call where a withdrawn key finds it."""
    task = await curio.current_task()
    workspace = key.workspace.name if key else None
    call = OpenCall(call_id, key.id if key else None, workspace, connection, task)
    router.open_calls.add(call)
    router.metrics.open_calls.set({}, len(router.open_calls))
    try:
        # The key may have been withdrawn between its check and this line.
        if not is_still_valid(router, call):
            raise KeyWithdrawn("the API key was withdrawn")
        yield call
    finally:
        router.open_calls.discard(call)
        router.metrics.open_calls.set({}, len(router.open_calls))


async def _tell_withdrawn(connection: Connection) -> None:
    error = KeyWithdrawn("the API key was withdrawn")
    if connection.has_response_started:
        await end_stream_with_error(connection, error)
    raise error

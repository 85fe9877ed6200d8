"""Serve health, readiness, metrics and a state dump over HTTP to operators."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec
from aioprometheus import Registry, render

from catkintrack.http import Connection, Request, Server, open_server

JSON_HEADERS = ((b"content-type", b"application/json"),)

PageHandler = Callable[[Connection], Awaitable[None]]


@asynccontextmanager
async def open_ops_server(
    host: str,
    port: int,
    registry: Registry,
    is_ready: Callable[[], bool],
    dump_state: Callable[[], Any],
) -> AsyncIterator[Server]:
    """Serve /health, /ready, /metrics and /dump until the block ends."""

    async def answer_health(connection: Connection) -> None:
        await connection.respond(200, JSON_HEADERS, b'{"status":"ok"}')

    async def answer_ready(connection: Connection) -> None:
        status = 200 if is_ready() else 503
        body = msgspec.json.encode({"is_ready": is_ready()})
        await connection.respond(status, JSON_HEADERS, body)

    async def answer_metrics(connection: Connection) -> None:
        body, headers = render(registry, ["text/plain"])
        rows = tuple((k.lower().encode(), v.encode()) for k, v in headers.items())
        await connection.respond(200, rows, body)

    async def answer_dump(connection: Connection) -> None:
        body = msgspec.json.encode(dump_state())
        await connection.respond(200, JSON_HEADERS, body)

    handler_by_path: dict[str, PageHandler] = {
        "/health": answer_health,
        "/ready": answer_ready,
        "/metrics": answer_metrics,
        "/dump": answer_dump,
    }

    async def handle(request: Request, connection: Connection) -> None:
        handler = handler_by_path.get(request.path)
        if handler is None or request.method != b"GET":
            await connection.respond(404, JSON_HEADERS, b"{}")
            return
        await handler(connection)

    async with open_server(host, port, handle) as server:
        yield server

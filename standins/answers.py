"""Read and write JSON over HTTP, and serve a simulated system until SIGTERM."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import curio
import msgspec

from catkintrack.http import (
    RESET_ON_CLOSE,
    Connection,
    Handler,
    Headers,
    Request,
    ServerLimits,
    drain_server,
    open_server,
)
from catkintrack.processes import catch_signals, wait_for_stop_signal

JSON_HEADERS = ((b"content-type", b"application/json"),)

JsonHandler = Callable[[Request, Connection], Awaitable[None]]


async def respond_json(
    connection: Connection, status: int, value: Any, headers: Headers = ()
) -> None:
    """Send a response with `value` as its JSON body."""
    await connection.respond(
        status, (*JSON_HEADERS, *headers), msgspec.json.encode(value)
    )


def read_json(request: Request) -> Any:
    """Decode the request's JSON body; an empty body gives an empty mapping."""
    return msgspec.json.decode(request.body) if request.body else {}


def read_query(request: Request) -> dict[str, str]:
    """Return the query parameters of the request target."""
    return dict(parse_qsl(urlsplit(request.target.decode()).query))


async def drop_connection(connection: Connection) -> None:
    """Close the client's connection without a response, or in the middle of one."""
    await connection.sock.close()
    raise ConnectionResetError


async def reset_connection(connection: Connection) -> None:
    """Reset the client's connection, possibly in the middle of a response."""
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await drop_connection(connection)


def end_with_connection(connection: Connection) -> None:
    """Let the next response end with its connection, as for a client of HTTP/1.0."""
    connection.h11.their_http_version = b"1.0"


def serve_until_stopped(
    host: str,
    port: int,
    handler: Handler,
    *tasks: Any,
    drops_on_disconnect: bool = False,
) -> None:
    """Serve `handler` and run `tasks` in the background until SIGTERM."""
    curio.run(_serve, host, port, handler, tasks, drops_on_disconnect)


async def _serve(
    host: str, port: int, handler: Handler, tasks: Any, drops_on_disconnect: bool
) -> None:
    limits = ServerLimits(max_connections=10000, idle_timeout_s=600.0)
    with catch_signals() as signals:
        async with open_server(
            host,
            port,
            handler,
            limits,
            echoes_request_id=True,
            cancels_on_disconnect=drops_on_disconnect,
        ) as server:
            running = [await curio.spawn(task, daemon=True) for task in tasks]
            await wait_for_stop_signal(signals)
            await curio.ignore_after(1.0, drain_server, server)
            for task in running:
                await task.cancel(blocking=False)

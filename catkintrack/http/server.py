"""Serve HTTP/1.1 with h11 on curio sockets."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import curio
import h11
from curio import socket
from curio.io import Socket
from curio.traps import _read_wait

from catkintrack.timeouts import ignore_after

from .connections import Connection, Server, ServerLimits
from .errors import BadRequest, CallerDisconnected
from .held_bytes import ByteBudget, hold_bytes
from .messages import Request, find_header
from .request_reading import DRAIN_READ_S, READ_SIZE_BYTES, read_request
from .turns import Turn, take_step

LISTEN_BACKLOG = 512
DRAIN_POLL_INTERVAL_S = 0.02
# While early data keeps the connection readable, its end does not wake a task.
DISCONNECT_POLL_INTERVAL_S = 0.25
# Other servers accept requests meanwhile, so callers may retry almost at once.
STOPPING_RETRY_AFTER_S = 0.05
# How long the rest of a rejected request is read.
LINGER_S = 1.0

Handler = Callable[[Request, Connection], Awaitable[None]]
BadRequestHandler = Callable[[BadRequest, Connection], Awaitable[None]]


async def send_bad_request_response(error: BadRequest, connection: Connection) -> None:
    """Respond to a malformed request with its status and a plain text message."""
    headers = ((b"content-type", b"text/plain"), (b"connection", b"close"))
    await connection.respond(error.status, headers, error.message.encode())


@asynccontextmanager
async def open_server(
    host: str,
    port: int,
    handler: Handler,
    limits: ServerLimits | None = None,
    on_bad_request: BadRequestHandler = send_bad_request_response,
    echoes_request_id: bool = False,
    cancels_on_disconnect: bool = False,
    budget: ByteBudget | None = None,
) -> AsyncIterator[Server]:
    """Serve requests at `host` and `port` until the block ends.

    Port 0 selects a free port. With `echoes_request_id` responses return the request
    ID. With `cancels_on_disconnect` a handler is cancelled once its caller disconnects.
    `budget` bounds the bodies of all requests together.
    """
    server = Server(
        limits or ServerLimits(),
        echoes_request_id,
        cancels_on_disconnect,
        budget=budget or ByteBudget(),
    )
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    server.port = sock.getsockname()[1]
    accept = _accept_connections(server, sock, handler, on_bad_request)
    server.accept_task = await curio.spawn(accept, daemon=True)
    try:
        yield server
    finally:
        await server.accept_task.cancel()
        for connection in list(server.connections):
            if connection.task is not None:
                await connection.task.cancel(blocking=False)


def disable_keep_alive(server: Server) -> None:
    """Close each connection after its next response; new ones are still accepted."""
    server.is_keep_alive_disabled = True


async def drain_server(server: Server) -> None:
    """Stop accepting, serve the requests that have been sent and close all connections.

    Connections that wait to be accepted are accepted before the socket closes: closing
    it resets them.  Requests that are complete after `accepts_until` are refused.
    """
    server.is_draining = True
    if server.accept_task is not None:
        await server.accept_task.cancel()
    await curio.sleep(DRAIN_READ_S)
    while server.connections:
        await _close_idle_connections(server)
        await curio.sleep(DRAIN_POLL_INTERVAL_S)


async def _close_idle_connections(server: Server) -> None:
    for connection in list(server.connections):
        if connection.is_idle and not connection.has_unread_data and connection.task:
            await connection.task.cancel(blocking=False)


async def _accept_connections(
    server: Server,
    sock: socket.socket,
    handler: Handler,
    on_bad_request: BadRequestHandler,
) -> None:
    async with sock:
        while True:
            try:
                caller_sock, _ = await sock.accept()
            except curio.CancelledError:
                async with curio.disable_cancellation():
                    await _accept_waiting(server, sock, handler, on_bad_request)
                raise
            except OSError:
                # Out of file descriptors; retry after other connections have closed.
                await curio.sleep(0.05)
                continue
            await _start_connection(server, caller_sock, handler, on_bad_request)


async def _accept_waiting(
    server: Server,
    sock: socket.socket,
    handler: Handler,
    on_bad_request: BadRequestHandler,
) -> None:
    """Accept the connections that wait in the listening socket's queue."""
    while True:
        try:
            accepted, _ = sock._socket.accept()
        except OSError:
            return
        caller_sock = Socket(accepted)
        await _start_connection(server, caller_sock, handler, on_bad_request)


async def _start_connection(
    server: Server,
    caller_sock: socket.socket,
    handler: Handler,
    on_bad_request: BadRequestHandler,
) -> None:
    """Serve a new connection in a task of its own, or close it if there are too many."""
    if len(server.connections) >= server.limits.max_connections:
        await caller_sock.close()
        return
    caller_sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    send_buffer_bytes = server.limits.send_buffer_bytes
    if send_buffer_bytes is not None:
        caller_sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    connection = Connection(server, caller_sock)
    server.connections.add(connection)
    serve = _serve_connection(connection, handler, on_bad_request)
    connection.task = await curio.spawn(serve, daemon=True)


async def _serve_connection(
    connection: Connection, handler: Handler, on_bad_request: BadRequestHandler
) -> None:
    server = connection.server
    try:
        is_kept = True
        while is_kept:
            with hold_bytes(server.budget) as connection.held:
                is_kept = await _serve_request(connection, handler, on_bad_request)
    except (CallerDisconnected, OSError, curio.TaskTimeout, h11.ProtocolError):
        pass
    finally:
        server.connections.discard(connection)
        await connection.close()


def _make_late_error() -> BadRequest:
    return BadRequest(503, "stopping", "the server is stopping", STOPPING_RETRY_AFTER_S)


async def _serve_request(
    connection: Connection, handler: Handler, on_bad_request: BadRequestHandler
) -> bool:
    """Serve the next request; report whether another one may follow."""
    server = connection.server
    is_rejected = False
    try:
        request = await read_request(connection)
    except BadRequest as error:
        connection.is_busy = is_rejected = True
        await on_bad_request(error, connection)
    if is_rejected:
        await ignore_after(LINGER_S, _discard_input, connection)
        return False
    if request is None:
        return False
    connection.is_busy = True
    connection.is_receiving = False
    connection.request_id = find_header(request.headers, b"x-request-id")
    if time.monotonic() > server.accepts_until:
        await on_bad_request(_make_late_error(), connection)
        return False
    server.active_requests += 1
    try:
        if server.cancels_on_disconnect:
            await _handle_until_disconnect(request, connection, handler)
        else:
            await handler(request, connection)
    finally:
        server.active_requests -= 1
    # A response that began before the drain promised to keep the connection.
    is_closing = server.is_draining and not connection.has_unread_data
    if connection.h11.our_state is not h11.DONE or is_closing:
        return False
    connection.start_next_request()
    return True


async def _discard_input(connection: Connection) -> None:
    """End the response, and read until the caller closes (RFC 9112, section 9.6).

    Closing while a body arrives would reset the connection and lose the response.
    """
    await connection.sock.shutdown(socket.SHUT_WR)
    turn = Turn()
    while await connection.sock.recv(READ_SIZE_BYTES):
        await take_step(turn)


async def _handle_until_disconnect(
    request: Request, connection: Connection, handler: Handler
) -> None:
    """Run the handler until it ends or the caller disconnects."""
    task = await curio.current_task()
    watcher = await curio.spawn(_cancel_on_disconnect, connection, task, daemon=True)
    try:
        await handler(request, connection)
    finally:
        await watcher.cancel()


async def _cancel_on_disconnect(connection: Connection, task: curio.Task) -> None:
    await _read_wait(connection.sock._fileno)
    # Data that arrives early belongs to the next request and is read later.
    while not connection.has_caller_disconnected():
        await curio.sleep(DISCONNECT_POLL_INTERVAL_S)
    await task.cancel(blocking=False)

"""Serve HTTP/1.1 with h11 on curio sockets."""

from __future__ import annotations

import socket as std_socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
import h11
from curio import socket
from curio.traps import _read_wait

from .errors import BadRequest, CallerDisconnected
from .messages import Headers, Request, find_header

READ_SIZE_BYTES = 65536
LISTEN_BACKLOG = 512


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bound what one caller can make the server hold."""

    max_head_bytes: int = 32768
    max_body_bytes: int = 8 * 1024 * 1024
    max_connections: int = 2000
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 30.0


@dataclass(slots=True)
class Server:
    """Hold the open connections of one listening socket."""

    limits: ServerLimits
    echoes_request_id: bool = False
    cancels_on_disconnect: bool = False
    port: int = 0
    is_draining: bool = False
    is_keep_alive_disabled: bool = False
    active_requests: int = 0
    connections: set[Connection] = field(default_factory=set)
    accept_task: curio.Task | None = None


class Connection:
    """Hold one caller's connection and write its responses."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.max_head_bytes
        )
        self.is_busy = False
        self.has_response_started = False
        self.request_id: bytes | None = None
        self.task: curio.Task | None = None

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        kept = list(headers)
        if self.server.echoes_request_id and self.request_id is not None:
            kept.append((b"x-request-id", self.request_id))
        if self.server.is_draining or self.server.is_keep_alive_disabled:
            kept = [(k, v) for k, v in kept if k != b"connection"]
            kept.append((b"connection", b"close"))
        self.has_response_started = True
        await self._send(h11.Response(status_code=status, headers=kept))

    async def send_body(self, data: bytes) -> None:
        """Send one part of the body."""
        await self._send(h11.Data(data=data))

    async def finish_response(self) -> None:
        """Send the end of the body."""
        await self._send(h11.EndOfMessage())

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response with its length."""
        length = (b"content-length", str(len(body)).encode())
        await self.start_response(status, (*headers, length))
        if body:
            await self.send_body(body)
        await self.finish_response()

    def has_caller_disconnected(self) -> bool:
        """Report whether the caller has closed its side."""
        flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
        try:
            return self.sock._socket.recv(1, flags) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def _send(self, event: h11.Event) -> None:
        try:
            data = self.h11.send(event)
        except h11.LocalProtocolError as error:
            raise CallerDisconnected(str(error)) from error
        if not data:
            return
        try:
            # A send that fits the socket buffer needs no timer.
            sent = self.sock._socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise CallerDisconnected(str(error)) from error
        if sent < len(data):
            await self._send_rest(data[sent:])

    async def _send_rest(self, data: bytes) -> None:
        timeout_s = self.server.limits.write_timeout_s
        try:
            await curio.timeout_after(timeout_s, self.sock.sendall, data)
        except (OSError, curio.TaskTimeout) as error:
            raise CallerDisconnected(str(error)) from error


Handler = Callable[[Request, Connection], Awaitable[None]]
BadRequestHandler = Callable[[BadRequest, Connection], Awaitable[None]]


async def send_bad_request_response(error: BadRequest, connection: Connection) -> None:
    """Answer a malformed request with its status and a plain message."""
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
) -> AsyncIterator[Server]:
    """Listen at `host` and `port` until the block ends; port 0 picks a free one.

    With `watches_callers` a handler is cancelled as soon as its caller has left.
    """
    server = Server(limits or ServerLimits(), echoes_request_id, cancels_on_disconnect)
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
    """Close each connection after its next answer; new ones are still served."""
    server.is_keep_alive_disabled = True


async def drain_server(server: Server) -> None:
    """Stop accepting, close idle connections and wait until requests have ended."""
    server.is_draining = True
    if server.accept_task is not None:
        await server.accept_task.cancel()
    for connection in list(server.connections):
        if not connection.is_busy and connection.task is not None:
            await connection.task.cancel(blocking=False)
    while server.active_requests:
        await curio.sleep(0.02)


async def _accept_connections(
    server: Server,
    sock: socket.socket,
    handler: Handler,
    on_bad_request: BadRequestHandler,
) -> None:
    async with sock:
        while True:
            try:
                caller, _ = await sock.accept()
            except OSError:
                # The process is out of file descriptors; open ones will close.
                await curio.sleep(0.05)
                continue
            if len(server.connections) >= server.limits.max_connections:
                await caller.close()
                continue
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(server, caller)
            server.connections.add(connection)
            serve = _serve_connection(connection, handler, on_bad_request)
            connection.task = await curio.spawn(serve, daemon=True)


async def _serve_connection(
    connection: Connection, handler: Handler, on_bad_request: BadRequestHandler
) -> None:
    server = connection.server
    try:
        while not server.is_draining:
            try:
                request = await _read_request(connection)
            except BadRequest as error:
                connection.is_busy = True
                await on_bad_request(error, connection)
                return
            if request is None:
                return
            connection.is_busy = True
            connection.request_id = find_header(request.headers, b"x-request-id")
            server.active_requests += 1
            try:
                if server.cancels_on_disconnect:
                    await _handle_watched(request, connection, handler)
                else:
                    await handler(request, connection)
            finally:
                server.active_requests -= 1
            if connection.h11.our_state is not h11.DONE:
                return
            connection.is_busy = False
            connection.has_response_started = False
            connection.h11.start_next_cycle()
    except (CallerDisconnected, OSError, curio.TaskTimeout, h11.ProtocolError):
        pass
    finally:
        server.connections.discard(connection)
        await connection.sock.close()


async def _handle_watched(
    request: Request, connection: Connection, handler: Handler
) -> None:
    """Run the handler until it ends or the caller has left."""
    task = await curio.current_task()
    watcher = await curio.spawn(_watch_caller, connection, task, daemon=True)
    try:
        await handler(request, connection)
    finally:
        await watcher.cancel()


async def _watch_caller(connection: Connection, task: curio.Task) -> None:
    await _read_wait(connection.sock._fileno)
    # Bytes that arrive early belong to the next request and are read then.
    if connection.has_caller_disconnected():
        await task.cancel(blocking=False)


async def _read_request(connection: Connection) -> Request | None:
    """Return the next request, or None when the caller is done."""
    limits = connection.server.limits
    head = await _read_head(connection)
    if head is None:
        return None
    headers = tuple((key.lower(), value) for key, value in head.headers)
    _check_head_size(head, limits)
    _check_framing(headers, limits)
    try:
        async with curio.timeout_after(limits.body_timeout_s):
            body = await _read_body(connection, limits)
    except curio.TaskTimeout as error:
        raise BadRequest(408, "slow_body", "request body took too long") from error
    return Request(head.method, head.target, headers, body)


async def _read_head(connection: Connection) -> h11.Request | None:
    limits = connection.server.limits
    # The time limit counts from the first byte on, however the rest drips in.
    deadline: float | None = None
    while True:
        try:
            event = connection.h11.next_event()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise BadRequest(status, "malformed_request", str(error)) from error
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        timeout_s = limits.idle_timeout_s
        if deadline is not None:
            timeout_s = max(0.0, deadline - time.monotonic())
        try:
            data = await curio.timeout_after(
                timeout_s, connection.sock.recv, READ_SIZE_BYTES
            )
        except curio.TaskTimeout as error:
            if deadline is None:
                return None
            raise BadRequest(408, "slow_head", "headers took too long") from error
        if data and deadline is None:
            deadline = time.monotonic() + limits.head_timeout_s
        connection.h11.receive_data(data)


def _check_head_size(head: h11.Request, limits: ServerLimits) -> None:
    """Refuse a head that is too large, also when it came in one piece."""
    size = len(head.target) + sum(len(k) + len(v) for k, v in head.headers)
    if size > limits.max_head_bytes:
        raise BadRequest(431, "malformed_request", "headers are too large")


def _check_framing(headers: Headers, limits: ServerLimits) -> None:
    """Refuse ambiguous body lengths (RFC 9112, section 6.3)."""
    lengths = [value for key, value in headers if key == b"content-length"]
    is_chunked = any(key == b"transfer-encoding" for key, _ in headers)
    if is_chunked and lengths or len(lengths) > 1:
        raise BadRequest(400, "conflicting_lengths", "conflicting body lengths")
    if lengths and int(lengths[0]) > limits.max_body_bytes:
        raise BadRequest(413, "body_too_large", "request body is too large")


async def _read_body(connection: Connection, limits: ServerLimits) -> bytes:
    if connection.h11.they_are_waiting_for_100_continue:
        go_ahead = h11.InformationalResponse(status_code=100, headers=[])
        await connection._send(go_ahead)
    parts: list[bytes] = []
    size = 0
    while True:
        try:
            event = connection.h11.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequest(400, "malformed_body", str(error)) from error
        if event is h11.NEED_DATA:
            connection.h11.receive_data(await connection.sock.recv(READ_SIZE_BYTES))
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise BadRequest(413, "body_too_large", "request body is too large")
            parts.append(bytes(event.data))
        else:
            return b"".join(parts)

"""Serve HTTP/1.1 with h11 on curio sockets."""

from __future__ import annotations

import socket as std_socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
import h11
from curio import socket
from curio.io import Socket
from curio.traps import _read_wait

from catkintrack.timeouts import call_within, timeout_after

from .errors import BadRequest, CallerDisconnected
from .messages import Headers, Request, find_header
from .turns import Turn, take_step

READ_SIZE_BYTES = 65536
LISTEN_BACKLOG = 512
# A drained server closes connections on which no request arrives within this time.  A
# request may be on its way when the drain begins.
DRAIN_READ_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.02
# Value of SO_LINGER that makes a close reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

STATUSES_WITHOUT_BODY = (204, 304)
# States of a connection whose last response has started and not ended.
CUT_STATES = (h11.SEND_BODY, h11.ERROR)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bound the resources that callers can hold: request sizes, connections and time."""

    max_head_bytes: int = 32768
    max_body_bytes: int = 8 * 1024 * 1024
    max_connections: int = 2000
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 30.0


@dataclass(slots=True)
class Server:
    """Hold the state and open connections of one listening socket."""

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
    """Represent a caller's connection and send its responses."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.max_head_bytes
        )
        self.is_busy = False
        self.is_receiving = False
        self.has_response_started = False
        # Set while a part is being sent, and for good if that was interrupted.
        self.has_partial_send = False
        self.is_head_request = False
        self.request_id: bytes | None = None
        self.task: curio.Task | None = None

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        response_headers = list(headers)
        if self.server.echoes_request_id and self.request_id is not None:
            response_headers.append((b"x-request-id", self.request_id))
        if self.server.is_draining or self.server.is_keep_alive_disabled:
            response_headers = [
                (k, v) for k, v in response_headers if k != b"connection"
            ]
            response_headers.append((b"connection", b"close"))
        self.has_response_started = True
        await self._send(h11.Response(status_code=status, headers=response_headers))

    async def send_body(self, data: bytes) -> None:
        """Send one part of the body."""
        await self._send(h11.Data(data=data))

    async def finish_response(self) -> None:
        """Send the end of the body."""
        await self._send(h11.EndOfMessage())

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its content length.

        To HEAD, and with a status that allows no body, `body` gives only the length.
        """
        has_no_body = self.is_head_request or status in STATUSES_WITHOUT_BODY
        if body or not has_no_body:
            headers = (*headers, (b"content-length", str(len(body)).encode()))
        await self.start_response(status, headers)
        if body and not has_no_body:
            await self.send_body(body)
        await self.finish_response()

    async def close(self) -> None:
        """Close the connection; reset it if a plain close would complete a response."""
        if self.sock._socket is None:
            return
        is_cut = self.has_response_started and self.h11.our_state in CUT_STATES
        # HTTP/1.0 callers know no chunks: without a length, the close is the end.
        if is_cut and self.h11.their_http_version == b"1.0":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.sock.close()

    @property
    def is_idle(self) -> bool:
        """Report whether no byte of a request has been read since the last response."""
        return not self.is_busy and not self.is_receiving

    def has_caller_disconnected(self) -> bool:
        """Report whether the caller has closed its side of the connection."""
        flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
        try:
            return self.sock._socket.recv(1, flags) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def _send(self, event: h11.Event) -> None:
        if self.has_partial_send:
            # Any further byte would count as the rest of that part.
            raise CallerDisconnected("an earlier part was not sent completely")
        try:
            data = self.h11.send(event)
        except h11.LocalProtocolError as error:
            raise CallerDisconnected(str(error)) from error
        if not data:
            return
        try:
            # Data that fits the socket buffer is sent without the cost of a timer.
            sent = self.sock._socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise CallerDisconnected(str(error)) from error
        if sent < len(data):
            await self._send_remaining(data[sent:])

    async def _send_remaining(self, data: bytes) -> None:
        timeout_s = self.server.limits.write_timeout_s
        self.has_partial_send = True
        try:
            await call_within(timeout_s, self.sock.sendall, data)
        except (OSError, curio.TaskTimeout) as error:
            raise CallerDisconnected(str(error)) from error
        self.has_partial_send = False


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
) -> AsyncIterator[Server]:
    """Serve requests at `host` and `port` until the block ends.

    Port 0 selects a free port. With `echoes_request_id` responses return the request
    ID. With `cancels_on_disconnect` a handler is cancelled once its caller disconnects.
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
    """Close each connection after its next response; new ones are still accepted."""
    server.is_keep_alive_disabled = True


async def drain_server(server: Server) -> None:
    """Stop accepting, serve the requests that have been sent and close all connections.

    Connections that wait to be accepted are accepted before the socket closes: closing
    it resets them.
    """
    server.is_draining = True
    if server.accept_task is not None:
        await server.accept_task.cancel()
    await curio.sleep(DRAIN_READ_S)
    for connection in list(server.connections):
        if connection.is_idle and connection.task is not None:
            await connection.task.cancel(blocking=False)
    while any(not connection.is_idle for connection in server.connections):
        await curio.sleep(DRAIN_POLL_INTERVAL_S)


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
    connection = Connection(server, caller_sock)
    server.connections.add(connection)
    serve = _serve_connection(connection, handler, on_bad_request)
    connection.task = await curio.spawn(serve, daemon=True)


async def _serve_connection(
    connection: Connection, handler: Handler, on_bad_request: BadRequestHandler
) -> None:
    server = connection.server
    try:
        while True:
            try:
                request = await _read_request(connection)
            except BadRequest as error:
                connection.is_busy = True
                await on_bad_request(error, connection)
                return
            if request is None:
                return
            connection.is_busy = True
            connection.is_receiving = False
            connection.request_id = find_header(request.headers, b"x-request-id")
            server.active_requests += 1
            try:
                if server.cancels_on_disconnect:
                    await _handle_until_disconnect(request, connection, handler)
                else:
                    await handler(request, connection)
            finally:
                server.active_requests -= 1
            # A response that began before the drain promised to keep the connection.
            if connection.h11.our_state is not h11.DONE or server.is_draining:
                return
            connection.is_busy = False
            connection.has_response_started = False
            connection.is_head_request = False
            connection.h11.start_next_cycle()
    except (CallerDisconnected, OSError, curio.TaskTimeout, h11.ProtocolError):
        pass
    finally:
        server.connections.discard(connection)
        await connection.close()


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
    if connection.has_caller_disconnected():
        await task.cancel(blocking=False)


async def _read_request(connection: Connection) -> Request | None:
    """Return the next request, or None if the caller is idle too long or has closed."""
    limits = connection.server.limits
    head = await _read_head(connection)
    if head is None:
        return None
    connection.is_head_request = head.method == b"HEAD"
    headers = tuple((key.lower(), value) for key, value in head.headers)
    _check_head_size(head, limits)
    _check_framing(headers, limits)
    try:
        async with timeout_after(limits.body_timeout_s):
            body = await _read_body(connection, limits)
    except curio.TaskTimeout as error:
        raise BadRequest(408, "slow_body", "request body took too long") from error
    return Request(head.method, head.target, headers, body)


async def _read_head(connection: Connection) -> h11.Request | None:
    limits = connection.server.limits
    # The time limit runs from the first byte, however slowly the rest arrives.
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
        if connection.server.is_draining:
            timeout_s = DRAIN_READ_S
        if deadline is not None:
            timeout_s = max(0.0, deadline - time.monotonic())
        try:
            data = await call_within(timeout_s, connection.sock.recv, READ_SIZE_BYTES)
        except curio.TaskTimeout as error:
            if deadline is None:
                return None
            raise BadRequest(408, "slow_head", "headers took too long") from error
        if data and deadline is None:
            connection.is_receiving = True
            deadline = time.monotonic() + limits.head_timeout_s
        connection.h11.receive_data(data)


def _check_head_size(head: h11.Request, limits: ServerLimits) -> None:
    """Reject a head that is too large, also if it arrived in a single read."""
    size = len(head.target) + sum(len(k) + len(v) for k, v in head.headers)
    if size > limits.max_head_bytes:
        raise BadRequest(431, "malformed_request", "headers are too large")


def _check_framing(headers: Headers, limits: ServerLimits) -> None:
    """Reject ambiguous or excessive body lengths (RFC 9112, section 6.3)."""
    lengths = [value for key, value in headers if key == b"content-length"]
    is_chunked = any(key == b"transfer-encoding" for key, _ in headers)
    if is_chunked and lengths or len(lengths) > 1:
        raise BadRequest(400, "conflicting_lengths", "conflicting body lengths")
    if lengths and int(lengths[0]) > limits.max_body_bytes:
        raise BadRequest(413, "body_too_large", "request body is too large")


async def _read_body(connection: Connection, limits: ServerLimits) -> bytes:
    if connection.h11.they_are_waiting_for_100_continue:
        continue_response = h11.InformationalResponse(status_code=100, headers=[])
        await connection._send(continue_response)
    parts: list[bytes] = []
    size = 0
    turn = Turn()
    while True:
        await take_step(turn)
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

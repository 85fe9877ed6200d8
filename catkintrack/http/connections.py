"""Hold the connections of callers and send responses over them."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import curio
import h11
from curio import socket

from catkintrack.timeouts import call_within

from .errors import (
    CallerDisconnected,
    CallerTooSlow,
    ReaderTooSlow,
    describe_error,
)
from .held_bytes import ByteBudget, HeldBytes
from .messages import STATUSES_WITHOUT_BODY, Headers
from .outboxes import (
    Outbox,
    ReaderCallbacks,
    send_all_held,
    send_held,
    send_or_hold,
)
from .peeking import has_ended, peek

# Value of SO_LINGER that makes a close reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
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
    # What the system holds of responses, None for its own choice.
    send_buffer_bytes: int | None = None


@dataclass(slots=True)
class Server:
    """Hold the state and open connections of one listening socket.

    Requests that are complete later than `accepts_until`, in seconds of the monotonic
    clock, are refused and not handled.  `budget` bounds the bodies of all requests
    together.
    """

    limits: ServerLimits
    echoes_request_id: bool = False
    cancels_on_disconnect: bool = False
    port: int = 0
    is_draining: bool = False
    accepts_until: float = math.inf
    is_keep_alive_disabled: bool = False
    active_requests: int = 0
    connections: set[Connection] = field(default_factory=set)
    accept_task: curio.Task | None = None
    budget: ByteBudget = field(default_factory=ByteBudget)


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
        self.is_sending_head = False
        self.is_head_request = False
        self.request_id: bytes | None = None
        self.task: curio.Task | None = None
        self.held = HeldBytes(server.budget)
        # Holds the response's bytes that the caller has not taken; None to wait for it.
        self.outbox: Outbox | None = None
        self.has_dropped_output = False

    def hold_output(self, callbacks: ReaderCallbacks) -> None:
        """Hold the current response's bytes for a slow caller as `callbacks` decide."""
        self.outbox = Outbox(self.sock, callbacks)

    def drop_output(self) -> None:
        """Hold nothing any more; a response that is not sent completely is cut."""
        if self.outbox is not None and (self.outbox.data or self.has_partial_send):
            self.has_partial_send = self.has_dropped_output = True
        self.outbox = None

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
        self.has_response_started = self.is_sending_head = True
        await self.send_event(
            h11.Response(status_code=status, headers=response_headers)
        )
        self.is_sending_head = False

    async def send_body(self, data: bytes) -> None:
        """Send one part of the body."""
        await self.send_event(h11.Data(data=data))

    async def finish_response(self) -> None:
        """Send the end of the body."""
        await self.send_event(h11.EndOfMessage())
        if self.outbox is not None:
            await self._send_held(self.outbox)

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its content length.

        To HEAD, and with a status that allows no body, `body` gives only the length.
        """
        has_no_body = self.is_head_request or status in STATUSES_WITHOUT_BODY
        if body or not has_no_body:
            headers = (*headers, (b"content-length", str(len(body)).encode()))
        if self.outbox is not None:
            # The body has been read whole, so no replica waits for the caller.
            self.outbox.has_source = False
        await self.start_response(status, headers)
        if body and not has_no_body:
            await self.send_body(body)
        await self.finish_response()

    def start_next_request(self) -> None:
        """Forget the last request and response, which are complete."""
        self.is_busy = False
        self.has_response_started = False
        self.is_head_request = False
        self.request_id = None
        self.h11.start_next_cycle()

    async def close(self) -> None:
        """Close the connection; reset it if a plain close would complete a response."""
        if self.sock._socket is None:
            return
        is_cut = self.has_response_started and self.h11.our_state in CUT_STATES
        # HTTP/1.0 callers know no chunks: without a length, the close is the end.
        is_misread = is_cut and self.h11.their_http_version == b"1.0"
        # Some callers take the close for the end of the head, and the body for empty.
        is_misread = is_misread or self.is_sending_head and self.has_partial_send
        # The system would hold what it has not sent for a caller that does not read.
        if is_misread or self.has_dropped_output:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.sock.close()

    @property
    def is_idle(self) -> bool:
        """Report whether no byte of a request has been read since the last response."""
        return not self.is_busy and not self.is_receiving

    @property
    def has_unread_data(self) -> bool:
        """Report whether bytes of another request have arrived."""
        return bool(self.h11.trailing_data[0] or peek(self.sock))

    def has_caller_disconnected(self) -> bool:
        """Report whether the caller has closed its side of the connection."""
        return has_ended(self.sock)

    def is_abandoned(self) -> bool:
        """Report whether the caller has closed, where that ends its request."""
        return self.server.cancels_on_disconnect and self.has_caller_disconnected()

    async def send_event(self, event: h11.Event) -> None:
        """Send a part of a response; raise CallerDisconnected if that fails."""
        if self.has_partial_send:
            # Any further byte would count as the rest of that part.
            raise CallerDisconnected("an earlier part was not sent completely")
        try:
            data = self.h11.send(event)
        except h11.LocalProtocolError as error:
            raise CallerDisconnected(str(error)) from error
        if not data:
            return
        if self.outbox is not None:
            await self._send_or_hold(self.outbox, data)
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

    def send_held(self) -> None:
        """Send what the caller takes now of the bytes that are held for it.

        Raise CallerDisconnected if that fails.
        """
        if self.outbox is not None:
            with self._send_through_outbox():
                send_held(self.outbox)

    async def _send_or_hold(self, outbox: Outbox, data: bytes) -> None:
        with self._send_through_outbox():
            await send_or_hold(outbox, data)

    async def _send_held(self, outbox: Outbox) -> None:
        with self._send_through_outbox():
            await send_all_held(outbox)

    @contextmanager
    def _send_through_outbox(self) -> Iterator[None]:
        """Mark a send as partial unless it ends; raise CallerDisconnected if it fails."""
        self.has_partial_send = True
        try:
            yield
        except ReaderTooSlow as error:
            raise CallerTooSlow(str(error)) from error
        except OSError as error:
            raise CallerDisconnected(describe_error(error)) from error
        self.has_partial_send = False

    async def _send_remaining(self, data: bytes) -> None:
        timeout_s = self.server.limits.write_timeout_s
        self.has_partial_send = True
        try:
            await call_within(timeout_s, self.sock.sendall, data)
        except (OSError, curio.TaskTimeout) as error:
            raise CallerDisconnected(describe_error(error)) from error
        self.has_partial_send = False

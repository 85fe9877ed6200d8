"""Send a request to an upstream over one connection and read its response."""

from __future__ import annotations

import contextlib
import socket as std_socket
import time
from dataclasses import dataclass

import curio
import h11
from curio import socket

from catkintrack.timeouts import call_within

from .errors import (
    ReaderTooSlow,
    UpstreamDisconnected,
    UpstreamExchangeError,
    UpstreamResponseTooLarge,
    UpstreamTimeout,
    describe_error,
)
from .held_bytes import (
    HeldBytes,
    add_held,
    add_part,
    collect_body,
    release_held,
    resize_held,
)
from .messages import Headers, Request, ResponseHead, find_header, measure_headers
from .outboxes import Outbox, ReaderCallbacks, send_all_held
from .peeking import peek
from .turns import Turn, take_step

# Bounds what h11 decodes in one step: a head or trailers of many fields take the event
# loop while they are decoded.
READ_SIZE_BYTES = 16384
MAX_HEAD_BYTES = 32768
# Reading more takes longer than a new connection.
MAX_DISCARDED_BYTES = 65536
# What the receive buffer may hold of a response that came in time.
MAX_LATE_BYTES = 65536
DEFAULT_MAX_BODY_BYTES = 8 << 20
# Idle connections are dropped this long before the peer's keep-alive timeout, so that
# no request is sent while the peer closes the connection.
KEEP_ALIVE_MARGIN_S = 0.5
REQUEST_ID_HEADER = b"x-request-id"


@dataclass(frozen=True, slots=True)
class Address:
    """Identify a TCP endpoint by IPv4 address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Exchange:
    """Represent an upstream connection and its current request and response."""

    def __init__(
        self,
        address: Address,
        sock: socket.socket,
        requires_request_id_echo: bool = True,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        self.address = address
        self.sock = sock
        self.max_body_bytes = max_body_bytes
        # The bytes of the current response, released by open_exchange.
        self.held = HeldBytes()
        self.input_bytes = 0
        self.late_bytes = 0
        self.head_bytes = 0
        self.turn = Turn()
        self.h11 = h11.Connection(h11.CLIENT)
        self.requires_request_id_echo = requires_request_id_echo
        self.is_reused = False
        self.request_id: bytes | None = None
        self.is_head_request = False
        self.has_request_id_echo = False
        self.has_sent_request = False
        self.idle_since = 0.0
        # The incarnation of the peer that this connection leads to, None if unknown.
        self.peer_incarnation: int | None = None
        self.keep_alive_s: float | None = None
        self.is_closed_by_peer = False
        self.send_task: curio.Task | None = None
        self.send_error: OSError | ReaderTooSlow | None = None
        # Bounds what is held of the request for a peer that reads slowly, if set.
        self.reader_callbacks: ReaderCallbacks | None = None

    async def send(self, request: Request) -> None:
        """Send a request; raise UpstreamExchangeError if the connection fails.

        Data that exceeds the socket buffer is sent by a background task, since a peer
        may respond before it has read the whole body.
        """
        headers = list(request.headers)
        self.request_id = find_header(request.headers, REQUEST_ID_HEADER)
        self.is_head_request = request.method == b"HEAD"
        self.has_request_id_echo = False
        self.late_bytes = 0
        self.head_bytes = 0
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self.h11.send(head)
        if request.body:
            data += self.h11.send(h11.Data(data=request.body))
        data += self.h11.send(h11.EndOfMessage())
        self.has_sent_request = True
        try:
            sent = self.sock._socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise UpstreamExchangeError(str(error)) from error
        self._drop_sent(len(request.body) - (len(data) - sent))
        if sent < len(data):
            send = self._send_remaining(data[sent:])
            self.send_task = await curio.spawn(send, daemon=True)

    def _drop_sent(self, size_bytes: int) -> None:
        if self.reader_callbacks is not None:
            self.reader_callbacks.drop(max(0, size_bytes))

    async def _send_remaining(self, data: bytes) -> None:
        try:
            if self.reader_callbacks is None:
                await self.sock.sendall(data)
            else:
                outbox = Outbox(self.sock, self.reader_callbacks, bytearray(data))
                await send_all_held(outbox)
            self.send_task = None
        except BrokenPipeError:
            # The peer had ended its response before it reset the connection.
            pass
        except OSError as error:
            self.send_error = error
        except ReaderTooSlow as error:
            self.send_error = error
            # Ends the read of the response, which would not come.
            with contextlib.suppress(OSError):
                self.sock._socket.shutdown(std_socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the connection, cancelling a request that is still being sent."""
        if self.send_task is not None:
            await self.send_task.cancel(blocking=False)
        await self.sock.close()

    async def read_head(
        self, timeout_s: float, may_lack_echo: bool = False
    ) -> ResponseHead:
        """Return the response's head, complete within `timeout_s`.

        `may_lack_echo` is for responses that hold on this connection whichever request
        they are to.  Raise UpstreamExchangeError or UpstreamTimeout.
        """
        deadline_at = time.monotonic() + timeout_s
        while True:
            event = await self._next_event(deadline_at)
            if isinstance(event, h11.Response):
                headers = tuple((k.lower(), v) for k, v in event.headers)
                self._check_request_id_echo(headers, may_lack_echo)
                self._record_keep_alive(headers)
                self._hold_head(headers)
                return ResponseHead(event.status_code, headers, self.is_head_request)
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamDisconnected("connection closed before the response")
            self._hold_head(tuple(event.headers))
            if time.monotonic() > deadline_at:
                raise UpstreamTimeout("only informational responses in time")

    def _hold_head(self, headers: Headers) -> None:
        """Hold a head until the exchange ends; raise UpstreamResponseTooLarge.

        Informational responses before it count too: decoding their fields takes time.
        """
        size_bytes = measure_headers(headers)
        self.head_bytes += size_bytes
        if self.head_bytes > MAX_HEAD_BYTES:
            raise UpstreamResponseTooLarge("the head exceeds the size limit")
        add_held(self.held, size_bytes)

    def _check_request_id_echo(self, headers: Headers, may_lack_echo: bool) -> None:
        """Raise UpstreamExchangeError if a response is not certainly to this request.

        It names another one, or none on a reused connection that requires the echo.
        """
        echo = find_header(headers, REQUEST_ID_HEADER)
        self.has_request_id_echo = echo is not None and echo == self.request_id
        names_other = echo is not None and self.request_id is not None
        if (
            self.requires_request_id_echo
            and ((self.is_reused and not may_lack_echo) or names_other)
            and not self.has_request_id_echo
        ):
            raise UpstreamExchangeError("the answer is not to this request")

    def _record_keep_alive(self, headers: Headers) -> None:
        """Record how long the peer keeps an idle connection open."""
        for part in (find_header(headers, b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                self.keep_alive_s = float(value)

    async def read_body_part(self, timeout_s: float) -> bytes | None:
        """Return the next part of the body, or None after its complete end."""
        event = await self._next_event(time.monotonic() + timeout_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamDisconnected("connection closed inside the body")

    async def read_body(self, timeout_s: float) -> bytes:
        """Return the rest of the body, complete within `timeout_s`.

        It is held until the exchange ends.  Raise UpstreamExchangeError,
        UpstreamTimeout or UpstreamResponseTooLarge.
        """
        deadline_at = time.monotonic() + timeout_s
        with collect_body(self.held, self.max_body_bytes) as body:
            while True:
                remaining_s = max(0.0, deadline_at - time.monotonic())
                part = await self.read_body_part(remaining_s)
                if part is None:
                    return bytes(body.data)
                add_part(body, part)

    async def discard_body(self, timeout_s: float) -> None:
        """Read the rest of a short body, so that the connection can be used again.

        Raise UpstreamExchangeError, UpstreamTimeout or UpstreamResponseTooLarge.
        """
        deadline_at = time.monotonic() + timeout_s
        discarded_bytes = 0
        while discarded_bytes <= MAX_DISCARDED_BYTES:
            remaining_s = max(0.0, deadline_at - time.monotonic())
            part = await self.read_body_part(remaining_s)
            if part is None:
                return
            discarded_bytes += len(part)
        raise UpstreamResponseTooLarge("the body is too large to be discarded")

    async def _next_event(self, deadline_at: float) -> h11.Event:
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                if self.is_closed_by_peer:
                    raise UpstreamDisconnected(describe_error(error)) from error
                raise UpstreamExchangeError(describe_error(error)) from error
            if event is not h11.NEED_DATA:
                await take_step(self.turn)
                return event
            # What is left is an incomplete event, which h11 bounds.
            self._hold_input(len(self.h11.trailing_data[0]))
            data = await self._receive(deadline_at)
            self._hold_input(self.input_bytes + len(data))
            self.is_closed_by_peer = not data
            # The system reports a reset to one call only; if that was a send, the next
            # read looks like a regular close, which may be the end of a response.
            if not data and self.send_error is not None:
                raise UpstreamDisconnected(str(self.send_error))
            self.h11.receive_data(data)

    def _hold_input(self, size_bytes: int) -> None:
        """Hold the input that is not decoded; raise ResponseMemoryExhausted."""
        resize_held(self.held, self.input_bytes, size_bytes)
        self.input_bytes = size_bytes

    async def _receive(self, deadline_at: float) -> bytes:
        """Return received data; raise UpstreamTimeout after `deadline_at`.

        Data that arrived before is returned also then, but not a second time.
        """
        try:
            # Data that has already arrived is read without the cost of a timer.
            data = self.sock._socket.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            pass
        except OSError as error:
            raise UpstreamDisconnected(str(error)) from error
        else:
            self._count_late(len(data), deadline_at)
            await take_step(self.turn)
            return data
        self.turn.steps = 0
        timeout_s = deadline_at - time.monotonic()
        if timeout_s <= 0:
            raise UpstreamTimeout("no data within the time limit")
        try:
            return await call_within(timeout_s, self.sock.recv, READ_SIZE_BYTES)
        except curio.TaskTimeout as error:
            raise UpstreamTimeout("no data within the time limit") from error
        except OSError as error:
            raise UpstreamDisconnected(str(error)) from error

    def _count_late(self, size_bytes: int, deadline_at: float) -> None:
        """Raise UpstreamTimeout if more arrives late than can have come before."""
        if time.monotonic() <= deadline_at:
            return
        self.late_bytes += size_bytes
        if self.late_bytes > MAX_LATE_BYTES:
            raise UpstreamTimeout("no end within the time limit")

    def is_reusable(self) -> bool:
        """Report whether the next response can be safely matched to its request.

        HTTP/1.1 responses don't identify their request.  A connection is reused only
        if it has no unfinished exchange or surplus data, and the upstream echoes the
        request ID where the pool requires it.
        """
        if self.requires_request_id_echo and not self.has_request_id_echo:
            return False
        return self.is_complete()

    def is_complete(self) -> bool:
        """Report whether request and response are complete and nothing follows them."""
        if self.send_task is not None:
            return False
        if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            return False
        data, is_closed = self.h11.trailing_data
        return not data and not is_closed

    def reuse(self) -> None:
        """Prepare for the next request after a complete response."""
        self.h11.start_next_cycle()
        release_held(self.held)
        self.input_bytes = 0
        self.is_reused = True
        self.has_sent_request = False

    def is_stale(self, now: float, max_idle_s: float) -> bool:
        """Report whether the peer may soon close the idle connection."""
        if self.keep_alive_s is not None:
            max_idle_s = min(max_idle_s, self.keep_alive_s - KEEP_ALIVE_MARGIN_S)
        return now - self.idle_since > max_idle_s

    def has_unread_data(self) -> bool:
        """Report whether bytes arrived on the idle connection, which answer nothing."""
        return bool(peek(self.sock))

    def has_unread_input(self) -> bool:
        """Report whether data, a close or an error arrived on the idle connection."""
        return peek(self.sock) is not None

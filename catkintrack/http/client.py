"""Send HTTP/1.1 requests to upstreams over pooled connections."""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
import h11
from curio import socket

from .errors import UpstreamExchangeError, UpstreamTimeout, UpstreamUnreachable
from .messages import Headers, Request, ResponseHead, find_header

READ_SIZE_BYTES = 65536
# A request on its way must not cross the peer's close of an idle connection.
KEEP_ALIVE_MARGIN_S = 0.5
# A peer that is gone without a word is noticed after about three seconds.
KEEP_ALIVE_PROBE_S = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 3000
REQUEST_ID_HEADER = b"x-request-id"


@dataclass(frozen=True, slots=True)
class Address:
    """Name a TCP endpoint by its IP number and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bound the time, in seconds, that an upstream may take."""

    connect_timeout_s: float = 1.0
    head_timeout_s: float = 120.0
    read_timeout_s: float = 60.0


@dataclass(slots=True)
class Pool:
    """Hold idle connections, keyed by address.

    Without `needs_echo` the peer is trusted to answer in order on a connection.
    `max_idle_s` bounds how long a connection may have been idle to be used again.
    """

    limits: ClientLimits = field(default_factory=ClientLimits)
    max_idle_per_address: int = 64
    requires_request_id_echo: bool = True
    max_idle_s: float = 60.0
    connections_opened: int = 0
    idle_by_address: dict[Address, list[Exchange]] = field(default_factory=dict)


class Exchange:
    """Hold one connection to an upstream and the exchange running on it."""

    def __init__(
        self,
        address: Address,
        sock: socket.socket,
        requires_request_id_echo: bool = True,
    ) -> None:
        self.address = address
        self.sock = sock
        self.h11 = h11.Connection(h11.CLIENT)
        self.requires_request_id_echo = requires_request_id_echo
        self.is_reused = False
        self.request_id: bytes | None = None
        self.has_request_id_echo = False
        self.has_sent_request = False
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.send_task: curio.Task | None = None

    async def send(self, request: Request) -> None:
        """Send a request; raise UpstreamBroken when the connection fails.

        What does not fit the socket's buffer is sent beside the reading of the
        response, since a peer may answer before it has read a long body.
        """
        headers = list(request.headers)
        self.request_id = find_header(request.headers, REQUEST_ID_HEADER)
        self.has_request_id_echo = False
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
        if sent < len(data):
            rest = self._send_rest(data[sent:])
            self.send_task = await curio.spawn(rest, daemon=True)

    async def _send_rest(self, data: bytes) -> None:
        # A failure shows to the reader of the response as well.
        with contextlib.suppress(OSError):
            await self.sock.sendall(data)
            self.send_task = None

    async def close(self) -> None:
        """Close the connection, also while a request is being sent."""
        if self.send_task is not None:
            await self.send_task.cancel(blocking=False)
        await self.sock.close()

    async def read_head(self, timeout_s: float) -> ResponseHead:
        """Return the response's head; raise UpstreamBroken or UpstreamTimeout."""
        while True:
            event = await self._next_event(timeout_s)
            if isinstance(event, h11.Response):
                headers = tuple((k.lower(), v) for k, v in event.headers)
                self._check_request_id_echo(headers)
                self._note_keep_alive(headers)
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamExchangeError("connection closed before the response")

    def _check_request_id_echo(self, headers: Headers) -> None:
        """Refuse an answer to another request on a connection used before."""
        echo = find_header(headers, REQUEST_ID_HEADER)
        self.has_request_id_echo = echo is not None and echo == self.request_id
        if (
            self.requires_request_id_echo
            and self.is_reused
            and not self.has_request_id_echo
        ):
            raise UpstreamExchangeError("the answer is not to this request")

    def _note_keep_alive(self, headers: Headers) -> None:
        """Remember how long the peer keeps an idle connection open."""
        for part in (find_header(headers, b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name == b"timeout" and value.isdigit():
                self.keep_alive_s = float(value)

    async def read_body_part(self, timeout_s: float) -> bytes | None:
        """Return the next part of the body, or None at its proper end."""
        event = await self._next_event(timeout_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamExchangeError("connection closed inside the body")

    async def read_body(self, timeout_s: float) -> bytes:
        """Return the rest of the body, whole."""
        parts = []
        while (part := await self.read_body_part(timeout_s)) is not None:
            parts.append(part)
        return b"".join(parts)

    async def _next_event(self, timeout_s: float) -> h11.Event:
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as error:
                raise UpstreamExchangeError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self.h11.receive_data(await self._receive(timeout_s))

    async def _receive(self, timeout_s: float) -> bytes:
        try:
            # Data that has already arrived needs no timer.
            return self.sock._socket.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            pass
        except OSError as error:
            raise UpstreamExchangeError(str(error)) from error
        try:
            return await curio.timeout_after(timeout_s, self.sock.recv, READ_SIZE_BYTES)
        except curio.TaskTimeout as error:
            raise UpstreamTimeout("no data within the time limit") from error
        except OSError as error:
            raise UpstreamExchangeError(str(error)) from error

    def is_reusable(self) -> bool:
        """Report whether the next answer on this connection can be told for its own.

        HTTP/1.1 answers carry no name of their request.  A connection is used again
        only with an upstream that echoes the request's id in its answers.
        """
        if (
            self.requires_request_id_echo
            and not self.has_request_id_echo
            or self.send_task is not None
        ):
            return False
        if self.h11.our_state is not h11.DONE:
            return False
        if self.h11.their_state is not h11.DONE:
            return False
        data, is_closed = self.h11.trailing_data
        return not data and not is_closed

    def is_stale(self, now: float, max_idle_s: float) -> bool:
        """Report whether the peer may be about to close the idle connection."""
        if self.keep_alive_s is not None:
            max_idle_s = min(max_idle_s, self.keep_alive_s - KEEP_ALIVE_MARGIN_S)
        return now - self.idle_since > max_idle_s

    def has_unread_input(self) -> bool:
        """Report bytes, or an end, that came while no request was running."""
        try:
            self.sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


@asynccontextmanager
async def open_exchange(
    pool: Pool, address: Address, force_new: bool = False
) -> AsyncIterator[Exchange]:
    """Lend a connection and take it back only when its exchange ended cleanly.

    `is_fresh` asks for a new one. Raise UpstreamUnreachable when none can be made.
    """
    exchange = None if force_new else await _take_idle(pool, address)
    if exchange is None:
        exchange = await _connect(pool, address)
    try:
        yield exchange
    finally:
        await _give_back(pool, exchange)


async def fetch(
    pool: Pool,
    address: Address,
    request: Request,
    timeout_s: float,
    force_new: bool = False,
) -> tuple[ResponseHead, bytes]:
    """Send a request and return its whole answer; head and body get `timeout_s` each.

    Raise UpstreamUnreachable or UpstreamBroken.
    """
    async with open_exchange(pool, address, force_new) as exchange:
        await exchange.send(request)
        head = await exchange.read_head(timeout_s)
        return head, await exchange.read_body(timeout_s)


async def _give_back(pool: Pool, exchange: Exchange) -> None:
    idle = pool.idle_by_address.setdefault(exchange.address, [])
    if not exchange.is_reusable() or len(idle) >= pool.max_idle_per_address:
        await exchange.close()
        return
    exchange.h11.start_next_cycle()
    exchange.is_reused = True
    exchange.has_sent_request = False
    exchange.idle_since = time.monotonic()
    idle.append(exchange)


async def close_pool(pool: Pool) -> None:
    """Close the idle connections."""
    for idle in pool.idle_by_address.values():
        for exchange in idle:
            await exchange.close()
    pool.idle_by_address.clear()


async def _take_idle(pool: Pool, address: Address) -> Exchange | None:
    idle = pool.idle_by_address.get(address, [])
    now = time.monotonic()
    while idle:
        exchange = idle.pop()
        # Input that nobody asked for would be taken for the next answer.
        is_usable = not exchange.is_stale(now, pool.max_idle_s)
        if is_usable and not exchange.has_unread_input():
            return exchange
        await exchange.close()
    return None


async def _connect(pool: Pool, address: Address) -> Exchange:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    pool.connections_opened += 1
    _set_options(sock)
    try:
        await curio.timeout_after(
            pool.limits.connect_timeout_s, sock.connect, (address.host, address.port)
        )
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise UpstreamUnreachable(str(error) or "connect timed out") from error
    except BaseException:
        await sock.close()
        raise
    return Exchange(address, sock, pool.requires_request_id_echo)


def _set_options(sock: socket.socket) -> None:
    """Send at once, and notice a peer that has gone without closing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

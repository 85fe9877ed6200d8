"""Send HTTP/1.1 requests to upstreams over pooled connections."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
import h11
from curio import socket

from .errors import UpstreamBroken, UpstreamTimeout, UpstreamUnreachable
from .messages import Headers, Request, ResponseHead, find_header

READ_SIZE_BYTES = 65536
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
    """Hold idle connections, keyed by address."""

    limits: ClientLimits = field(default_factory=ClientLimits)
    max_idle_per_address: int = 64
    idle_by_address: dict[Address, list[Exchange]] = field(default_factory=dict)


class Exchange:
    """Hold one connection to an upstream and the exchange running on it."""

    def __init__(self, address: Address, sock: socket.socket) -> None:
        self.address = address
        self.sock = sock
        self.h11 = h11.Connection(h11.CLIENT)
        self.is_reused = False
        self.request_id: bytes | None = None
        self.has_echo = False

    async def send(self, request: Request) -> None:
        """Send a whole request; raise UpstreamBroken when the connection fails."""
        headers = list(request.headers)
        self.request_id = find_header(request.headers, REQUEST_ID_HEADER)
        self.has_echo = False
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self.h11.send(head)
        if request.body:
            data += self.h11.send(h11.Data(data=request.body))
        data += self.h11.send(h11.EndOfMessage())
        try:
            await self.sock.sendall(data)
        except OSError as error:
            raise UpstreamBroken(str(error)) from error

    async def read_head(self, timeout_s: float) -> ResponseHead:
        """Return the response's head; raise UpstreamBroken or UpstreamTimeout."""
        while True:
            event = await self._next_event(timeout_s)
            if isinstance(event, h11.Response):
                headers = tuple((k.lower(), v) for k, v in event.headers)
                self._check_echo(headers)
                return ResponseHead(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamBroken("connection closed before the response")

    def _check_echo(self, headers: Headers) -> None:
        """Refuse an answer to another request on a connection used before."""
        echo = find_header(headers, REQUEST_ID_HEADER)
        self.has_echo = echo is not None and echo == self.request_id
        if self.is_reused and not self.has_echo:
            raise UpstreamBroken("the answer is not to this request")

    async def read_body_part(self, timeout_s: float) -> bytes | None:
        """Return the next part of the body, or None at its proper end."""
        event = await self._next_event(timeout_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamBroken("connection closed inside the body")

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
                raise UpstreamBroken(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self.h11.receive_data(await self._receive(timeout_s))

    async def _receive(self, timeout_s: float) -> bytes:
        try:
            return await curio.timeout_after(timeout_s, self.sock.recv, READ_SIZE_BYTES)
        except curio.TaskTimeout as error:
            raise UpstreamTimeout("no data within the time limit") from error
        except OSError as error:
            raise UpstreamBroken(str(error)) from error

    def is_reusable(self) -> bool:
        """Report whether the next answer on this connection can be told for its own.

        HTTP/1.1 answers carry no name of their request.  A connection is used again
        only with an upstream that echoes the request's id in its answers.
        """
        if not self.has_echo:
            return False
        if self.h11.our_state is not h11.DONE:
            return False
        if self.h11.their_state is not h11.DONE:
            return False
        data, is_closed = self.h11.trailing_data
        return not data and not is_closed

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
async def open_exchange(pool: Pool, address: Address) -> AsyncIterator[Exchange]:
    """Lend a connection and take it back only when its exchange ended cleanly.

    Raise UpstreamUnreachable when no connection can be made.
    """
    exchange = await _take_idle(pool, address)
    if exchange is None:
        exchange = await _connect(pool, address)
    try:
        yield exchange
    finally:
        if exchange.is_reusable():
            exchange.h11.start_next_cycle()
            exchange.is_reused = True
            idle = pool.idle_by_address.setdefault(address, [])
            if len(idle) < pool.max_idle_per_address:
                idle.append(exchange)
            else:
                await exchange.sock.close()
        else:
            await exchange.sock.close()


async def close_pool(pool: Pool) -> None:
    """Close the idle connections."""
    for idle in pool.idle_by_address.values():
        for exchange in idle:
            await exchange.sock.close()
    pool.idle_by_address.clear()


async def _take_idle(pool: Pool, address: Address) -> Exchange | None:
    idle = pool.idle_by_address.get(address, [])
    while idle:
        exchange = idle.pop()
        # Input that nobody asked for would be taken for the next answer.
        if not exchange.has_unread_input():
            return exchange
        await exchange.sock.close()
    return None


async def _connect(pool: Pool, address: Address) -> Exchange:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await curio.timeout_after(
            pool.limits.connect_timeout_s, sock.connect, (address.host, address.port)
        )
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise UpstreamUnreachable(str(error) or "connect timed out") from error
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Exchange(address, sock)

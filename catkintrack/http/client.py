"""Send HTTP/1.1 requests to upstreams over pooled connections."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
from curio import socket

from catkintrack.timeouts import call_within

from .errors import (
    SendForbidden,
    UpstreamDisconnected,
    UpstreamUnreachable,
    describe_error,
)
from .exchange import DEFAULT_MAX_BODY_BYTES, Address, Exchange
from .held_bytes import ByteBudget, hold_bytes
from .messages import Request, ResponseHead

# Far more than the replicas and stores of a fleet.
MAX_LOST_ADDRESSES = 16384
# A peer that disappears without closing the connection is detected in about 3 s.
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 3000
# Received bytes that the system keeps for a connection; Linux keeps up to twice as many.
# Without a bound the buffer grows with the speed at which it is read.
DEFAULT_RECEIVE_BUFFER_BYTES = 32768


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Hold the timeouts, in seconds, and the size limits of upstreams' responses.

    `max_body_bytes` bounds a body that is read as a whole, `receive_buffer_bytes` what
    the system keeps for a connection.
    """

    connect_timeout_s: float = 1.0
    head_timeout_s: float = 120.0
    read_timeout_s: float = 60.0
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    receive_buffer_bytes: int = DEFAULT_RECEIVE_BUFFER_BYTES


@dataclass(slots=True)
class Pool:
    """Hold idle connections, keyed by address.

    With `requires_request_id_echo` a connection is reused only if the peer returns the
    request ID in its responses; without, the peer is trusted to respond in order.
    Connections that were idle for more than `max_idle_s` are not reused.
    `lost_at_by_address` is when a connection to an address last failed or ended early,
    in seconds: the peer may have ended, and another one may answer since.
    `budget` bounds the bytes of all responses together.
    """

    limits: ClientLimits = field(default_factory=ClientLimits)
    max_idle_per_address: int = 64
    requires_request_id_echo: bool = True
    max_idle_s: float = 60.0
    connections_opened: int = 0
    idle_by_address: dict[Address, list[Exchange]] = field(default_factory=dict)
    lost_at_by_address: dict[Address, float] = field(default_factory=dict)
    budget: ByteBudget = field(default_factory=ByteBudget)


@asynccontextmanager
async def open_exchange(
    pool: Pool,
    address: Address,
    force_new: bool = False,
    connect_timeout_s: float | None = None,
) -> AsyncIterator[Exchange]:
    """Yield a pooled or new connection; return it to the pool if it is reusable.

    `force_new` skips the pool. Raise UpstreamUnreachable if no connection can be made
    within the pool's limit, or within `connect_timeout_s` if that is shorter.
    """
    exchange = None if force_new else await _pop_idle(pool, address)
    if exchange is None:
        exchange = await _connect(pool, address, connect_timeout_s)
    with hold_bytes(pool.budget) as exchange.held:
        try:
            yield exchange
        except UpstreamDisconnected:
            record_lost(pool, address)
            raise
        finally:
            await _release(pool, exchange)


async def fetch(
    pool: Pool,
    address: Address,
    request: Request,
    timeout_s: float,
    force_new: bool = False,
    body_timeout_s: float | None = None,
    may_send: Callable[[], bool] = lambda: True,
) -> tuple[ResponseHead, bytes]:
    """Send a request and return the complete response.

    The head is due within `timeout_s`, the body within `body_timeout_s` after it, by
    default also `timeout_s`. `may_send` is asked once the connection is open, since
    connecting takes time. Raise UpstreamUnreachable or UpstreamExchangeError.
    """
    async with open_exchange(pool, address, force_new) as exchange:
        if not may_send():
            raise SendForbidden("the permission to send has run out")
        await exchange.send(request)
        head = await exchange.read_head(timeout_s)
        return head, await exchange.read_body(body_timeout_s or timeout_s)


def record_lost(pool: Pool, address: Address) -> None:
    """Record that the peer at an address may have ended."""
    if len(pool.lost_at_by_address) >= MAX_LOST_ADDRESSES:
        pool.lost_at_by_address.clear()
    pool.lost_at_by_address[address] = time.monotonic()


async def _release(pool: Pool, exchange: Exchange) -> None:
    idle = pool.idle_by_address.setdefault(exchange.address, [])
    if not exchange.is_reusable() or len(idle) >= pool.max_idle_per_address:
        await exchange.close()
        return
    exchange.reuse()
    exchange.idle_since = time.monotonic()
    idle.append(exchange)


async def close_pool(pool: Pool) -> None:
    """Close the idle connections of a pool."""
    for idle in pool.idle_by_address.values():
        for exchange in idle:
            await exchange.close()
    pool.idle_by_address.clear()


async def close_unsolicited(pool: Pool) -> None:
    """Close the idle connections on which bytes arrived, which the system keeps."""
    unsolicited: list[Exchange] = []
    for idle in pool.idle_by_address.values():
        found = [exchange for exchange in idle if exchange.has_unread_data()]
        unsolicited += found
        # They leave the pool before the first one is closed, since closing gives way.
        for exchange in found:
            idle.remove(exchange)
    for exchange in unsolicited:
        record_lost(pool, exchange.address)
        await exchange.close()


async def _pop_idle(pool: Pool, address: Address) -> Exchange | None:
    idle = pool.idle_by_address.get(address, [])
    now = time.monotonic()
    while idle:
        exchange = idle.pop()
        # Unsolicited data would be taken for the next response.
        is_usable = not exchange.is_stale(now, pool.max_idle_s)
        is_ended = exchange.has_unread_input()
        if is_usable and not is_ended:
            return exchange
        if is_usable:
            record_lost(pool, address)
        await exchange.close()
    return None


async def _connect(
    pool: Pool, address: Address, timeout_s: float | None = None
) -> Exchange:
    limit_s = pool.limits.connect_timeout_s
    timeout_s = limit_s if timeout_s is None else min(limit_s, timeout_s)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    pool.connections_opened += 1
    _set_socket_options(sock, pool.limits.receive_buffer_bytes)
    try:
        await call_within(timeout_s, sock.connect, (address.host, address.port))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        record_lost(pool, address)
        raise UpstreamUnreachable(f"connect: {describe_error(error)}") from error
    except BaseException:
        await sock.close()
        raise
    return Exchange(
        address, sock, pool.requires_request_id_echo, pool.limits.max_body_bytes
    )


def _set_socket_options(sock: socket.socket, receive_buffer_bytes: int) -> None:
    """Bound the receive buffer, disable Nagle's algorithm and detect vanished peers."""
    # Before connecting, since the window is negotiated then.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

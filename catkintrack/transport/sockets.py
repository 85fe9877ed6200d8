"""Open ZeroMQ sockets with CURVE encryption and read them under curio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import zmq
import zmq.utils.z85 as z85
from curio.traps import _read_wait

MAX_QUEUED_MESSAGES = 1000
MAX_MESSAGE_BYTES = 4 << 20
RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 500
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
ZAP_ENDPOINT = "inproc://zeromq.zap.01"


@dataclass(frozen=True, slots=True)
class LinkKeys:
    """Hold the CURVE keys of a process and the public keys it accepts, Z85 encoded."""

    public: bytes
    secret: bytes
    accepted: frozenset[bytes]

    def __repr__(self) -> str:
        return f"LinkKeys(public={self.public!r})"


MessageHandler = Callable[[bytes, bytes], Awaitable[None]]


class Link:
    """Hold a ZeroMQ socket and pass received messages to a handler."""

    def __init__(self, socket: zmq.Socket, on_message: MessageHandler) -> None:
        self.socket = socket
        self.on_message = on_message
        self.is_receiving = False
        self.dropped_messages = 0

    async def send(self, data: bytes, identity: bytes | None = None) -> bool:
        """Queue `data`; return False if the queue is full or the peer is not connected."""
        frames = [data] if identity is None else [identity, data]
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped_messages += 1
            return False
        # ZMQ_FD is edge-triggered, and a send can consume the edge that signals input
        # (zmq_getsockopt), so check for input after each send.
        if not self.is_receiving and self.socket.EVENTS & zmq.POLLIN:
            await self.receive_all()
        return True

    async def receive_all(self) -> None:
        """Handle all messages received so far."""
        if self.is_receiving:
            return
        self.is_receiving = True
        try:
            while True:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
                identity = frames[0] if len(frames) > 1 else b""
                await self.on_message(identity, frames[-1])
        except zmq.Again:
            pass
        finally:
            self.is_receiving = False

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            await self.receive_all()
            await _read_wait(self.socket.FD)


@contextmanager
def open_context() -> Iterator[zmq.Context]:
    """Yield a ZeroMQ context; discard unsent messages at the end of the block."""
    context = zmq.Context()
    try:
        yield context
    finally:
        context.destroy(linger=0)


def bind_link(
    context: zmq.Context,
    keys: LinkKeys | None,
    host: str,
    port: int,
    on_message: MessageHandler,
) -> Link:
    """Bind a ROUTER socket that accepts only peers with a key in `keys.accepted`.

    Without keys it accepts all peers, unencrypted.
    """
    socket = context.socket(zmq.ROUTER)
    _set_socket_options(socket)
    socket.ROUTER_HANDOVER = 1
    socket.ROUTER_MANDATORY = 1
    if keys is not None:
        socket.CURVE_SERVER = 1
        socket.CURVE_PUBLICKEY = keys.public
        socket.CURVE_SECRETKEY = keys.secret
    socket.bind(f"tcp://{host}:{port}")
    return Link(socket, on_message)


def connect_link(
    context: zmq.Context,
    keys: LinkKeys | None,
    server_key: bytes,
    host: str,
    port: int,
    on_message: MessageHandler,
    identity: bytes = b"",
) -> Link:
    """Connect a DEALER socket to a server, which `server_key` authenticates."""
    socket = context.socket(zmq.DEALER)
    _set_socket_options(socket)
    if identity:
        socket.IDENTITY = identity
    # Messages to a disconnected peer are dropped, not queued until it restarts.
    socket.IMMEDIATE = 1
    if keys is not None:
        socket.CURVE_SERVERKEY = server_key
        socket.CURVE_PUBLICKEY = keys.public
        socket.CURVE_SECRETKEY = keys.secret
    socket.connect(f"tcp://{host}:{port}")
    return Link(socket, on_message)


def _set_socket_options(socket: zmq.Socket) -> None:
    socket.LINGER = 0
    socket.SNDHWM = MAX_QUEUED_MESSAGES
    socket.RCVHWM = MAX_QUEUED_MESSAGES
    socket.MAXMSGSIZE = MAX_MESSAGE_BYTES
    socket.RECONNECT_IVL = RECONNECT_INTERVAL_MS
    socket.RECONNECT_IVL_MAX = MAX_RECONNECT_INTERVAL_MS
    socket.HEARTBEAT_IVL = HEARTBEAT_INTERVAL_MS
    socket.HEARTBEAT_TIMEOUT = HEARTBEAT_TIMEOUT_MS


def bind_authenticator(context: zmq.Context) -> zmq.Socket:
    """Bind the socket for ZAP authentication requests.

    Links that are bound before it accept peers with any key.
    """
    socket = context.socket(zmq.REP)
    socket.bind(ZAP_ENDPOINT)
    return socket


async def run_authenticator(socket: zmq.Socket, keys: LinkKeys) -> None:
    """Answer ZeroMQ's authentication requests (RFC 27/ZAP) until cancelled."""
    accepted = {z85.decode(key) for key in keys.accepted}
    while True:
        try:
            frames = socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            await _read_wait(socket.FD)
            continue
        socket.send_multipart(_make_zap_reply(frames, accepted))


def _make_zap_reply(frames: list[bytes], accepted: set[bytes]) -> list[bytes]:
    version, request_id, _, _, _, mechanism, *credentials = frames
    is_accepted = mechanism == b"CURVE" and credentials[0] in accepted
    status = b"200" if is_accepted else b"400"
    return [version, request_id, status, b"", b"peer", b""]

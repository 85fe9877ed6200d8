"""Play replicas from scripts, and read what a caller's socket gets."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, closing
from dataclasses import dataclass, field

import h11
from curio.io import Socket

from catkintrack.http import (
    Address,
    Connection,
    Exchange,
    Pool,
    Request,
    Server,
    ServerLimits,
    find_header,
)
from catkintrack.http.server import _serve_connection, send_bad_request_response

from .raw_upstreams import make_chunk

HOST = "127.0.0.1"
# The start of each replica as its entry names it (`make_entry_spec`).
BORN = 1000
EVENTS = 5
PRINTABLE_ERROR = b'{"error": "overloaded"}'
REQUEST_ID = b"x-request-id: r1\r\n"
Answer = Callable[[Request], bytes]
Handler = Callable[[Request, Connection], Awaitable[None]]


class ScriptedExchange(Exchange):
    """Answer each request with the bytes of a script, and close the connection."""

    def __init__(self, address: Address, answer: Answer) -> None:
        own, peer = socket.socketpair()
        super().__init__(address, Socket(own))
        self.peer_incarnation = BORN
        self._answer = answer
        self._peer = peer

    async def send(self, request: Request) -> None:
        """Send a request and let the replica answer it at once."""
        await super().send(request)
        self._peer.sendall(self._answer(request))
        self._peer.shutdown(socket.SHUT_WR)

    async def close(self) -> None:
        """Close both ends of the connection."""
        await super().close()
        self._peer.close()


@dataclass
class ScriptedReplicas:
    """Hold the answers that replicas give in turn, whichever of them are chosen."""

    answers: list[Answer]
    requests: list[Request] = field(default_factory=list)

    @asynccontextmanager
    async def open_exchange(
        self,
        pool: Pool,
        address: Address,
        force_new: bool = False,
        connect_timeout_s: float | None = None,
    ) -> AsyncIterator[Exchange]:
        """Yield a connection to the next replica; a missing one closes at once."""
        position = len(self.requests)
        is_known = position < len(self.answers)
        script = self.answers[position] if is_known else lambda _request: b""

        def answer(request: Request) -> bytes:
            self.requests.append(request)
            return script(request)

        exchange = ScriptedExchange(address, answer)
        try:
            yield exchange
        finally:
            await exchange.close()


@dataclass(frozen=True)
class Received:
    """Hold what a caller got; `has_end` says that it looks complete."""

    raw: bytes
    statuses: tuple[int, ...]
    body: bytes
    has_end: bool


async def receive_response(handler: Handler, request: bytes) -> Received:
    """Serve one request on a socket by `handler`; return what its caller receives."""
    with (
        socket.create_server((HOST, 0)) as listener,
        closing(socket.create_connection(listener.getsockname())) as caller,
    ):
        accepted, _ = listener.accept()
        caller.settimeout(5.0)
        caller.sendall(request)
        caller.shutdown(socket.SHUT_WR)
        connection = Connection(Server(ServerLimits()), Socket(accepted))
        await _serve_connection(connection, handler, send_bad_request_response)
        return _read_response(caller, b" HTTP/1.0\r\n" in request)


def _read_response(caller: socket.socket, is_http_1_0: bool) -> Received:
    raw = b""
    is_reset = False
    try:
        while data := caller.recv(65536):
            raw += data
    except ConnectionResetError:
        is_reset = True
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    client.send(h11.EndOfMessage())
    client.receive_data(raw)
    if not is_reset:
        client.receive_data(b"")
    statuses: list[int] = []
    body = b""
    has_end = False
    while True:
        try:
            event = client.next_event()
        except h11.RemoteProtocolError:
            break
        if isinstance(event, h11.Response):
            statuses.append(event.status_code)
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            has_end = True
            break
        else:
            break
    if client.trailing_data[0]:
        body += b"<bytes after the end>" + client.trailing_data[0]
    return Received(raw, tuple(statuses), body, has_end)


def find_first_number(request: Request) -> int:
    """Return the number of the first event that a request asks for, from 1."""
    return int(find_header(request.headers, b"last-event-id") or b"0") + 1


def make_stream_request(version: bytes = b"1.1", has_prompt: bool = True) -> bytes:
    """Return a caller's request for a stream, on the route `long` of `make_config_spec`."""
    prompt = (
        b"x-model: m1\r\nx-token-usage: 300,50\r\nx-prompt-prefix: aa:200,bb:100\r\n"
    )
    return (
        b"POST /long/1 HTTP/%s\r\nhost: h1.example\r\n%sx-credential: key-1\r\n%s"
        b"x-deadline-ms: 5000\r\ncontent-length: 2\r\n\r\n{}"
    ) % (version, REQUEST_ID, prompt if has_prompt else b"")


def make_events(first: int = 1, last: int = EVENTS) -> bytes:
    """Return the events of a stream from `first` to `last`."""
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in numbers)


def make_head(
    status: int = 200, headers: bytes = REQUEST_ID, is_signed: bool = True
) -> bytes:
    """Return the head of a replica's answer, without its framing and its end."""
    signature = b"x-response-signature: s\r\n" if is_signed else b""
    return b"HTTP/1.1 %d -\r\n%s%s" % (status, headers, signature)


def frame(head: bytes, body: bytes, framing: str) -> bytes:
    """Return an answer whose body ends as `framing` says: length, chunks or close."""
    if framing == "length":
        return head + b"content-length: %d\r\n\r\n" % len(body) + body
    if framing == "chunks":
        chunk = make_chunk(body) if body else b""
        return head + b"transfer-encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    return head + b"\r\n" + body

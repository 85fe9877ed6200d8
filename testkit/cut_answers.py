"""Build answers that are cut short, and play upstreams that send them."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from typing import TypeVar

from curio.io import Socket

from catkintrack.http import (
    RESET_ON_CLOSE,
    Address,
    Exchange,
    Pool,
    Request,
    ResponseHead,
    open_exchange,
)

from .raw_upstreams import HOST, make_chunk

# Longer than a test waits for an answer.
HALF_CLOSE_S = 2.0
# Lets the sent bytes arrive before the connection is reset.
RESET_DELAY_S = 0.01

T = TypeVar("T")
End = Callable[[socket.socket], None]


def close(sock: socket.socket) -> None:
    """End a connection by a regular close."""
    sock.close()


def reset(sock: socket.socket) -> None:
    """Reset a connection."""
    time.sleep(RESET_DELAY_S)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def half_close(sock: socket.socket) -> None:
    """Close the sending side only, and read on."""
    sock.shutdown(socket.SHUT_WR)
    sock.settimeout(HALF_CLOSE_S)
    while sock.recv(65536):
        pass
    sock.close()


ENDS: dict[str, End] = {"close": close, "reset": reset, "half-close": half_close}


@contextlib.contextmanager
def open_ending_upstream(
    answers: list[bytes], end: End = close, last_part: bytes = b"", pause_s: float = 0.0
) -> Iterator[Address]:
    """Yield the address of a server whose every connection gives `answers` in turn.

    After the last one it sends `last_part`, `pause_s` later, and ends the connection.
    Requests are read by their heads, since they have no bodies.
    """
    listener = socket.create_server((HOST, 0))

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=serve, args=(sock,), daemon=True).start()

    def serve(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            received = b""
            for answer in answers:
                while b"\r\n\r\n" not in received:
                    data = sock.recv(65536)
                    if not data:
                        sock.close()
                        return
                    received += data
                received = received.partition(b"\r\n\r\n")[2]
                sock.sendall(answer)
            if pause_s:
                time.sleep(pause_s)
                sock.sendall(last_part)
            end(sock)

    acceptor = threading.Thread(target=accept, daemon=True)
    acceptor.start()
    try:
        yield Address(HOST, listener.getsockname()[1])
    finally:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        acceptor.join()
        listener.close()


def make_cut_heads(fields: bytes = b"") -> dict[str, bytes]:
    """Return, by the place of the cut, parts of the head of a success.

    `fields` are those that the head has beside its framing.
    """
    line = b"HTTP/1.1 200 OK\r\n"
    start = line + fields
    chunked = b"transfer-encoding: chunked"
    continued = b"HTTP/1.1 100 Continue\r\n\r\n"
    return {
        "nothing": b"",
        "inside the protocol's name": b"HTT",
        "inside the status": b"HTTP/1.1 20",
        "after the status": b"HTTP/1.1 200",
        "inside the reason": b"HTTP/1.1 200 O",
        "after the status line's CR": line[:-1],
        "after the status line": line,
        "after the status line's LF": b"HTTP/1.1 200 OK\n",
        "inside a field's name": start + b"content-le",
        "after a field's name": start + b"content-length",
        "after a field's colon": start + b"content-length:",
        "before a field's value": start + b"content-length: ",
        "inside a length": start + b"content-length: 1",
        "inside a length, after a CR": start + b"content-length: 1\r",
        "inside a length, after a line end": start + b"content-length: 1\r\n",
        "inside a length, after a bare LF": start + b"content-length: 1\n",
        "after a length of none": start + b"content-length: 0\r\n",
        "before the framing": start,
        "before the framing, with a CR": start + b"\r",
        "inside the framing's name": start + b"transfer-enc",
        "inside the framing's value": start + b"transfer-encoding: chun",
        "after the framing": start + chunked + b"\r\n",
        "after the framing, with a CR": start + chunked + b"\r\n\r",
        "inside a folded value": start + b"x-more: a\r\n ",
        "after a folded value": start + b"x-more: a\r\n b\r\n",
        "after a folded line of spaces": start + b"x-more: a\r\n  \r\n",
        "with bare LFs": start.replace(b"\r\n", b"\n"),
        "with bare LFs, after a length": b"HTTP/1.1 200 OK\ncontent-length: 0\n",
        "with bare LFs and a CR": start.replace(b"\r\n", b"\n") + b"\r",
        "by HTTP/1.0": start.replace(b"1.1", b"1.0", 1),
        "by HTTP/1.0, kept": start.replace(b"1.1", b"1.0", 1)
        + b"connection: keep-alive\r\n",
        "after a 1xx": continued,
        "after several 1xx": continued + b"HTTP/1.1 102 -\r\nx: y\r\n\r\n" * 3,
        "inside a 1xx": b"HTTP/1.1 103 -\r\nlink: <a>\r\n",
        "inside a second 1xx": continued + b"HTTP/1.1 103 -\r\nlink: <a>\r\n\r",
        "after a 1xx with a length": b"HTTP/1.1 103 -\r\ncontent-length: 3\r\n\r\n",
        "after a 1xx with a body": continued + b"abc",
        "after a 1xx with chunks": b"HTTP/1.1 103 -\r\n%s\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        % chunked,
        "after a 1xx, inside the head": continued + start,
        "after a 1xx, inside a length": continued + start + b"content-length: 1",
        "after a switch of protocols": b"HTTP/1.1 101 -\r\nupgrade: x\r\n\r\n",
    }


def make_cut_bodies(fields: bytes = b"") -> dict[str, bytes]:
    """Return, by the place of the cut, successes whose head is whole and body is not."""
    start = b"HTTP/1.1 200 OK\r\n" + fields
    chunked = start + b"transfer-encoding: chunked\r\n\r\n"
    chunk = make_chunk(b"x" * 26)
    return {
        "before a body with a length": start + b"content-length: 3\r\n\r\n",
        "inside a body with a length": start + b"content-length: 3\r\n\r\nab",
        "inside a body by HTTP/1.0": start.replace(b"1.1", b"1.0", 1)
        + b"content-length: 3\r\n\r\nab",
        "before the first chunk": chunked,
        "inside a chunk's size": chunked + b"1",
        "inside a chunk's size, after a CR": chunked + b"1a\r",
        "after a chunk's size": chunked + b"1a\r\n",
        "inside a chunk's extension": chunked + b"1a;x=",
        "inside a chunk": chunked + chunk[:10],
        "before a chunk's end": chunked + chunk[:-2],
        "inside a chunk's end": chunked + chunk[:-1],
        "after a chunk": chunked + chunk,
        "inside the last chunk": chunked + chunk + b"0",
        "inside the last chunk, after a CR": chunked + chunk + b"0\r",
        "after the last chunk's size": chunked + chunk + b"0\r\n",
        "inside the last chunk's end": chunked + chunk + b"0\r\n\r",
        "inside a trailer": chunked + chunk + b"0\r\nx-check: 1",
        "after a trailer": chunked + chunk + b"0\r\nx-check: 1\r\n",
        "inside the trailers' end": chunked + chunk + b"0\r\nx-check: 1\r\n\r",
        "with chunks by HTTP/1.0": chunked.replace(b"1.1", b"1.0", 1) + chunk,
        "with chunks and a length": start
        + b"content-length: 26\r\ntransfer-encoding: chunked\r\n\r\n"
        + chunk,
    }


def make_conflicting_answers(fields: bytes = b"") -> dict[str, bytes]:
    """Return answers whose fields name two ends, or none that is known."""
    start = b"HTTP/1.1 200 OK\r\n" + fields
    ends = {
        "two lengths": b"content-length: 3\r\ncontent-length: 1\r\n",
        "two lengths in a list": b"content-length: 3, 1\r\n",
        "a length that is no number": b"content-length: 3x\r\n",
        "a negative length": b"content-length: -3\r\n",
        "an empty length": b"content-length:\r\n",
        "a folded length": b"content-length: 1\r\n 2\r\n",
        "another coding": b"transfer-encoding: gzip\r\n",
        "two codings": b"transfer-encoding: gzip, chunked\r\n",
        "chunks twice": b"transfer-encoding: chunked\r\n" * 2,
    }
    return {name: start + end + b"\r\nabc" for name, end in ends.items()}


async def fetch_on_connection(
    pool: Pool, address: Address, requests: list[Request], timeout_s: float
) -> list[tuple[ResponseHead, bytes]]:
    """Send requests in turn over pooled connections; return the complete responses."""
    found = []
    for request in requests:
        async with open_exchange(pool, address) as exchange:
            await exchange.send(request)
            head = await exchange.read_head(timeout_s)
            found.append((head, await exchange.read_body(timeout_s)))
    return found


@asynccontextmanager
async def open_answered_exchange(answer: bytes) -> AsyncIterator[Exchange]:
    """Yield a connection on which an answer and a regular close have arrived."""
    own, peer = socket.socketpair()
    exchange = Exchange(Address(HOST, 1), Socket(own), requires_request_id_echo=False)
    try:
        peer.sendall(answer)
        peer.shutdown(socket.SHUT_WR)
        yield exchange
    finally:
        await exchange.close()
        peer.close()


async def read_answer(
    request: Request, answer: bytes, read: Callable[[Exchange], Awaitable[T]]
) -> T:
    """Return what `read` makes of an answer that ends with its connection's close."""
    async with open_answered_exchange(answer) as exchange:
        await exchange.send(request)
        return await read(exchange)


def make_service_request(method: bytes, path: bytes, version: bytes = b"1.1") -> bytes:
    """Return a caller's request, `r1`, on a route of `make_config_spec` to a service."""
    length = b"content-length: 2\r\n" if method == b"POST" else b""
    body = b"{}" if method == b"POST" else b""
    return (
        b"%s %s HTTP/%s\r\nhost: h2.example\r\nx-request-id: r1\r\n"
        b"x-credential: key-1\r\nx-deadline-ms: 900\r\n%s\r\n%s"
    ) % (method, path, version, length, body)

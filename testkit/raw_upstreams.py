"""Serve scripted bytes on a socket, as an upstream that misbehaves does."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator

from catkintrack.http import RESET_ON_CLOSE, Address

HOST = "127.0.0.1"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"

Send = Callable[[bytes], None]
Script = Callable[[Send], None]


class ResetConnection(Exception):
    """Ask the server, from a script, to reset the connection."""


def make_chunk(data: bytes) -> bytes:
    """Return `data` as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@contextlib.contextmanager
def open_raw_upstream(
    script: Script, has_ended: bool = False, ends_after_s: float | None = None
) -> Iterator[Address]:
    """Yield the address of a server that runs `script` after each request's head.

    With `has_ended` it accepts no further connection, as a process that crashes, with
    `ends_after_s` from that long after the connection was closed.  Then those that waited
    to be accepted are reset.
    """
    listener = socket.create_server((HOST, 0))
    sockets: list[socket.socket] = []

    def close_listener() -> None:
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        # A thread that is about to accept would do so at whichever listener gets the
        # number of this one's descriptor next.
        acceptor.join()
        listener.close()

    def accept() -> None:
        while ends_after_s is None or not sockets:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sockets.append(sock)
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    def serve(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            received = b""
            while b"\r\n\r\n" not in received:
                data = sock.recv(65536)
                if not data:
                    # The caller closed the connection without a request.
                    sock.close()
                    return
                received += data
            if has_ended:
                close_listener()
            try:
                script(sock.sendall)
                # Unread data of the request would turn the close into a reset.
                sock.shutdown(socket.SHUT_WR)
            except ResetConnection:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()
        if ends_after_s is not None:
            time.sleep(ends_after_s)
            close_listener()

    address = Address(HOST, listener.getsockname()[1])
    acceptor = threading.Thread(target=accept, daemon=True)
    acceptor.start()
    try:
        yield address
    finally:
        close_listener()
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def send_endless(first: bytes, part: bytes) -> Script:
    """Return a script that sends `part` after `first` until the caller closes."""

    def script(send: Send) -> None:
        send(first)
        while True:
            send(part)

    return script


def send_once(data: bytes) -> Script:
    """Return a script that sends `data` and closes the connection."""
    return lambda send: send(data)


def send_and_wait(data: bytes, wait_s: float) -> Script:
    """Return a script that sends `data` and closes the connection `wait_s` later."""

    def script(send: Send) -> None:
        send(data)
        time.sleep(wait_s)

    return script


def send_and_reset(data: bytes, delay_s: float = 0.0) -> Script:
    """Return a script that resets the connection `delay_s` after sending `data`."""

    def script(send: Send) -> None:
        send(data)
        time.sleep(delay_s)
        raise ResetConnection

    return script


def send_slowly(first: bytes, parts: list[bytes], pause_s: float) -> Script:
    """Return a script that sends `parts` after `first`, with a pause before each."""

    def script(send: Send) -> None:
        send(first)
        for part in parts:
            time.sleep(pause_s)
            send(part)

    return script

"""Look at a connection's input without taking it."""

from __future__ import annotations

import socket as std_socket

from curio import socket


def peek(sock: socket.socket) -> bytes | None:
    """Return a byte that has arrived, b"" after the end, None if there is neither."""
    flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
    try:
        return sock._socket.recv(1, flags)
    except BlockingIOError:
        return None
    except OSError:
        return b""

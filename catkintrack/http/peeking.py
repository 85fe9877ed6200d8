"""Look at a connection without taking its input."""

from __future__ import annotations

import socket as std_socket
import sys

from curio import socket

from .arrivals import TCP_INFO_BYTES, has_peer_closed


def peek(sock: socket.socket) -> bytes | None:
    """Return a byte that has arrived, b"" after the end, None if there is neither."""
    flags = std_socket.MSG_PEEK | std_socket.MSG_DONTWAIT
    try:
        return sock._socket.recv(1, flags)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def has_ended(sock: socket.socket) -> bool:
    """Report whether the peer has closed its side, also behind data not yet read."""
    seen = peek(sock)
    return seen == b"" or seen is not None and has_peer_closed(read_tcp_info(sock))


def read_tcp_info(sock: socket.socket) -> bytes:
    """Return what the kernel records of a connection, empty if it records nothing."""
    # Other systems lack the record or lay it out in another way.
    if sys.platform != "linux":
        return b""
    try:
        return sock._socket.getsockopt(
            std_socket.IPPROTO_TCP, std_socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return b""

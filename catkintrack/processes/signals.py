"""Wait for stop signals in curio tasks."""

from __future__ import annotations

import signal
import socket as std_socket
from collections.abc import Iterator
from contextlib import contextmanager

from curio.io import Socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def catch_stop_signals() -> Iterator[Socket]:
    """Yield a socket that becomes readable when SIGTERM or SIGINT arrives."""
    # curio has no signal queue, so the standard library's wakeup descriptor is used.
    stop_socket, writer = std_socket.socketpair()
    writer.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous_handlers = {
        stop_signal: signal.signal(stop_signal, lambda *_: None)
        for stop_signal in STOP_SIGNALS
    }
    try:
        yield Socket(stop_socket)
    finally:
        signal.set_wakeup_fd(previous_fd)
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
        stop_socket.close()
        writer.close()


async def wait_for_stop_signal(stop_socket: Socket) -> None:
    """Return once a stop signal has arrived at the socket."""
    await stop_socket.recv(1)

"""Wait for stop signals under curio."""

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
    # curio has no signal queue; the wake-up descriptor is the standard library's.
    reader, writer = std_socket.socketpair()
    writer.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno())
    previous = {s: signal.signal(s, lambda *_: None) for s in STOP_SIGNALS}
    try:
        yield Socket(reader)
    finally:
        signal.set_wakeup_fd(previous_fd)
        for number, handler in previous.items():
            signal.signal(number, handler)
        reader.close()
        writer.close()


async def wait_for_stop_signal(reader: Socket) -> None:
    """Return once a stop signal has arrived."""
    await reader.recv(1)

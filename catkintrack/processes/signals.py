"""Handle a service manager's signals in curio tasks."""

from __future__ import annotations

import signal
import socket as std_socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from curio.io import Socket

from catkintrack.startup_signals import IGNORED_SIGNALS, RELOAD_SIGNAL

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
CAUGHT_SIGNALS = (*STOP_SIGNALS, RELOAD_SIGNAL, *IGNORED_SIGNALS)
READ_SIZE_BYTES = 64


@contextmanager
def catch_signals() -> Iterator[Socket]:
    """Yield a socket that receives the number of each caught signal as one byte."""
    # curio has no signal queue, so the standard library's wakeup descriptor is used.
    signal_socket, writer = std_socket.socketpair()
    writer.setblocking(False)
    previous_fd = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    previous_handlers = {
        number: signal.signal(number, lambda *_: None) for number in CAUGHT_SIGNALS
    }
    try:
        yield Socket(signal_socket)
    finally:
        signal.set_wakeup_fd(previous_fd)
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
        signal_socket.close()
        writer.close()


async def wait_for_stop_signal(
    signal_socket: Socket, reload: Callable[[], None] = lambda: None
) -> None:
    """Call `reload` at each reload signal, and return once a stop signal has arrived."""
    while True:
        numbers = await signal_socket.recv(READ_SIZE_BYTES)
        if any(number in STOP_SIGNALS for number in numbers):
            return
        if RELOAD_SIGNAL in numbers:
            reload()

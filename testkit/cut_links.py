"""Forward connections to replicas on loopback, and cut all of them in several ways."""

from __future__ import annotations

import contextlib
import socket as std_socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import StrEnum

import curio
from curio import socket

from catkintrack.http import RESET_ON_CLOSE, Address

# Not the address from which connections are made: its ports are never taken meanwhile.
LINK_HOST = "127.0.0.2"
BACKLOG = 128
READ_SIZE_BYTES = 65536
# Connections that fill the queue of a listener with the shortest backlog.
FILLERS = 3


class Cut(StrEnum):
    """Name how connections fail."""

    REFUSED = "open ones are reset, new ones are refused"
    RESET = "open ones and new ones are reset"
    HUNG = "neither open nor new ones get an answer"
    KEPT = "open ones live on, new ones are refused"
    KEPT_HUNG = "open ones live on, new ones get no answer"
    SILENT = "open and new ones are accepted, and no data passes"
    RESET_BY_DATA = "open and new ones are reset once they carry data"


@dataclass(eq=False, slots=True)
class Link:
    """Hold a forwarder's listener, its task and its open connections."""

    target: Address
    port: int = 0
    cut: Cut | None = None
    listener: socket.socket | None = None
    accept_task: curio.Task | None = None
    fillers: list[std_socket.socket] = field(default_factory=list)
    forward_tasks: set[curio.Task] = field(default_factory=set)
    is_flowing: curio.Event = field(default_factory=curio.Event)

    @property
    def address(self) -> Address:
        """Return the address at which the target is reached through this link."""
        return Address(LINK_HOST, self.port)


@contextlib.asynccontextmanager
async def open_link(target: Address) -> AsyncIterator[Link]:
    """Yield a link that forwards to `target` until the end of the context."""
    link = Link(target)
    await link.is_flowing.set()
    await _listen(link)
    try:
        yield link
    finally:
        await _stop_listening(link)
        await _reset_open(link)


async def cut_link(link: Link, cut: Cut) -> None:
    """Let the link's connections fail."""
    link.cut = cut
    if cut in (Cut.HUNG, Cut.KEPT_HUNG):
        assert link.accept_task is not None and link.listener is not None
        await link.accept_task.cancel()
        link.listener._socket.listen(0)
        _fill_queue(link)
    elif cut in (Cut.REFUSED, Cut.KEPT):
        await _stop_listening(link)
    if cut in (Cut.HUNG, Cut.SILENT):
        link.is_flowing.clear()
    elif cut in (Cut.REFUSED, Cut.RESET):
        await _reset_open(link)


async def mend_link(link: Link) -> None:
    """Let new connections through again; those that hung go on."""
    link.cut = None
    await _stop_listening(link)
    await _listen(link)
    await link.is_flowing.set()


async def _listen(link: Link) -> None:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LINK_HOST, link.port))
    sock.listen(BACKLOG)
    link.listener = sock
    link.port = sock.getsockname()[1]
    link.accept_task = await curio.spawn(_accept, link, sock, daemon=True)


async def _stop_listening(link: Link) -> None:
    if link.accept_task is not None:
        await link.accept_task.cancel()
        link.accept_task = None
    if link.listener is not None:
        await link.listener.close()
        link.listener = None
    for filler in link.fillers:
        filler.close()
    link.fillers.clear()


def _fill_queue(link: Link) -> None:
    """Fill the listener's queue, so that the system drops further attempts."""
    for _ in range(FILLERS):
        filler = std_socket.socket()
        filler.setblocking(False)
        filler.connect_ex((LINK_HOST, link.port))
        link.fillers.append(filler)


async def _reset_open(link: Link) -> None:
    for task in list(link.forward_tasks):
        await task.cancel()


async def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await sock.close()


async def _accept(link: Link, listener: socket.socket) -> None:
    while True:
        sock, _ = await listener.accept()
        if link.cut is Cut.RESET:
            await _reset(sock)
            continue
        await curio.spawn(_forward, link, sock, daemon=True)


async def _forward(link: Link, near: socket.socket) -> None:
    """Forward a connection until one side ends it; reset it if cancelled."""
    far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    task = await curio.current_task()
    link.forward_tasks.add(task)
    try:
        await far.connect((link.target.host, link.target.port))
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_pump, link, near, far)
            await group.spawn(_pump, link, far, near)
        await near.close()
    except (OSError, curio.CancelledError):
        await _reset(near)
    finally:
        link.forward_tasks.discard(task)
        await far.close()


async def _pump(link: Link, source: socket.socket, sink: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := await source.recv(READ_SIZE_BYTES):
            if link.cut is Cut.RESET_BY_DATA:
                raise curio.TaskCancelled
            await link.is_flowing.wait()
            await sink.sendall(data)
    await link.is_flowing.wait()

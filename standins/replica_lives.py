"""Let a simulated replica reset new connections for a time, or start again in place."""

from __future__ import annotations

import socket
import time
import weakref

from catkintrack.http import RESET_ON_CLOSE, Connection

from .answers import reset_connection
from .replica_faults import Faults

# Connections that the replica has accepted in its present life.
ACCEPTED: weakref.WeakSet[Connection] = weakref.WeakSet()


async def accept_connection(faults: Faults, connection: Connection) -> None:
    """Reset a new connection if the replica takes none now."""
    if connection in ACCEPTED or time.monotonic() >= faults.closed_until_s:
        ACCEPTED.add(connection)
        return
    await reset_connection(connection)


async def end_life(connection: Connection) -> list[str]:
    """Reset all other connections; return the IDs of the requests that they carried."""
    ACCEPTED.clear()
    ids = []
    for other in connection.server.connections - {connection}:
        if other.is_busy and other.request_id is not None:
            ids.append(other.request_id.decode())
        other.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if other.task is not None:
            await other.task.cancel(blocking=False)
    return ids

"""Add what a replica says of itself to its responses: that it leaves, that it rests."""

from __future__ import annotations

from typing import Any

from catkintrack.http import Connection, Headers

LEAVING_HEADER = (b"server-leaving", b"1")


class LeavingConnection:
    """Wrap a connection and add the header of a leaving replica to each response."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped connection."""
        return getattr(self.connection, name)

    async def start_response(self, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        await self.connection.start_response(status, (*headers, LEAVING_HEADER))

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        await self.connection.respond(status, (*headers, LEAVING_HEADER), body)

"""Cut the paths between one instance and the replicas."""

from __future__ import annotations

import asyncio
import contextlib

HOST = "127.0.0.1"


class Proxy:
    """Forward connections to one port; while cut, reset them and refuse new ones."""

    def __init__(self, port: int, target_port: int) -> None:
        self.port = port
        self.target_port = target_port
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to forward."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            there, back = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, back}
        try:
            await asyncio.gather(_copy(reader, back), _copy(there, writer))
        finally:
            self.writers -= {writer, back}
            writer.close()
            back.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.transport.close()
    if not writer.is_closing():
        writer.transport.abort()

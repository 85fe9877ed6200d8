"""Record what callers receive, in place of their connections."""

from __future__ import annotations

import curio

from catkintrack.http import Headers


class RecordingConnection:
    """Record what a caller would receive."""

    def __init__(self) -> None:
        self.has_response_started = False
        self.is_finished = False
        self.received = b""

    def is_abandoned(self) -> bool:
        """Report that the caller waits."""
        return False

    async def start_response(self, status: int, headers: Headers) -> None:
        """Record that the response has started."""
        self.has_response_started = True

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Record a complete response."""
        await self.start_response(status, headers)
        await self.send_body(body)
        await self.finish_response()

    async def send_body(self, data: bytes) -> None:
        """Record a part of the body."""
        self.received += data

    async def finish_response(self) -> None:
        """Record that the response is complete."""
        self.is_finished = True


class StalledConnection(RecordingConnection):
    """Stand for a caller that reads nothing of its response."""

    async def send_body(self, data: bytes) -> None:
        """Wait until cancelled."""
        await curio.Event().wait()

"""Record what callers receive, in place of their connections."""

from __future__ import annotations

import time

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


class TimedConnection(RecordingConnection):
    """Record also when each part of the body was sent, in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.sent_at: list[float] = []

    async def send_body(self, data: bytes) -> None:
        """Record a part of the body and its time."""
        self.sent_at.append(time.monotonic())
        await super().send_body(data)

    def find_longest_pause_s(self) -> float:
        """Return the longest pause between two parts."""
        pairs = zip(self.sent_at, self.sent_at[1:], strict=False)
        return max((after - before for before, after in pairs), default=0.0)


class StalledConnection(RecordingConnection):
    """Stand for a caller that reads nothing of its response."""

    async def send_body(self, data: bytes) -> None:
        """Wait until cancelled."""
        await curio.Event().wait()

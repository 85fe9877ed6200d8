"""Split a replica's server-sent events and check their order."""

from __future__ import annotations

from catkintrack.http import UpstreamBroken

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Hold the bytes of an event that has not ended yet.

    `last_id` is the id of the last whole event, or None before the first.
    """

    def __init__(self, last_event_id: int | None = None) -> None:
        self.last_event_id = last_event_id
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Report whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that end in `data`; raise UpstreamBroken."""
        buffer = self._rest + data
        end = buffer.rfind(SEPARATOR)
        if end < 0:
            self._rest = buffer
            if len(buffer) > MAX_EVENT_BYTES:
                raise UpstreamBroken("an event is too large")
            return b""
        whole = buffer[: end + len(SEPARATOR)]
        self._rest = buffer[end + len(SEPARATOR) :]
        for event in whole.split(SEPARATOR):
            if event:
                self._check(event)
        return whole

    def _check(self, event: bytes) -> None:
        """Require ids that go up by one."""
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            if name != b"id":
                continue
            if not value.strip().isdigit():
                raise UpstreamBroken("an event's id is not a number")
            number = int(value)
            if self.last_event_id is not None and number != self.last_event_id + 1:
                raise UpstreamBroken(f"event {number} follows {self.last_event_id}")
            self.last_event_id = number

"""Split a stream of server-sent events and check that their IDs are consecutive."""

from __future__ import annotations

from catkintrack.http import UpstreamExchangeError

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Split received bytes into complete events and buffer an incomplete one.

    `last_event_id` is the ID of the last complete event, or None before the first.
    """

    def __init__(self, last_event_id: int | None = None) -> None:
        self.last_event_id = last_event_id
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Report whether an incomplete event is buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes.

        Raise UpstreamExchangeError if an event is too large or its ID is invalid.
        """
        buffer = self._partial + data
        end = buffer.rfind(SEPARATOR)
        if end < 0:
            self._partial = buffer
            if len(buffer) > MAX_EVENT_BYTES:
                raise UpstreamExchangeError("an event is too large")
            return b""
        complete = buffer[: end + len(SEPARATOR)]
        self._partial = buffer[end + len(SEPARATOR) :]
        for event in complete.split(SEPARATOR):
            if event:
                self._check_id(event)
        return complete

    def _check_id(self, event: bytes) -> None:
        """Require that event IDs increase by one."""
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            if name != b"id":
                continue
            if not value.strip().isdigit():
                raise UpstreamExchangeError("an event's id is not a number")
            number = int(value)
            if self.last_event_id is not None and number != self.last_event_id + 1:
                raise UpstreamExchangeError(
                    f"event {number} follows {self.last_event_id}"
                )
            self.last_event_id = number

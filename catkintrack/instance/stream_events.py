"""Split a stream of server-sent events and check that their IDs are consecutive."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from catkintrack.http import (
    EventBuffer,
    HeldBytes,
    UpstreamExchangeError,
    resize_held,
    split_events,
)

MAX_EVENT_BYTES = 1 << 20
# Longer numbers exceed 64 bits.
MAX_ID_DIGITS = 18
# Fields that carry nothing of the stream: comments and the reconnection time.
FIELDS_WITHOUT_CONTENT = (b"", b"retry")


@contextmanager
def open_splitter(
    last_event_id: int | None, held: HeldBytes
) -> Iterator[EventSplitter]:
    """Yield a splitter; empty it at the end, since a failure's traceback keeps it."""
    splitter = EventSplitter(last_event_id, held)
    try:
        yield splitter
    finally:
        splitter.drop_partial_event()


class EventSplitter:
    """Split received bytes into complete events and buffer an incomplete one.

    `last_event_id` is the ID of the last complete event, or None before the first;
    `has_unnumbered_event` is set once an event had content and no ID.  A stream that is
    gone on with, after an event that the caller has, needs IDs throughout: without one,
    nothing shows that an event belongs to it.  `held` counts the buffered bytes.
    """

    def __init__(
        self, last_event_id: int | None = None, held: HeldBytes | None = None
    ) -> None:
        self.last_event_id = last_event_id
        self._held = held or HeldBytes()
        self.has_unnumbered_event = False
        self._needs_ids = last_event_id is not None
        self._buffer = EventBuffer()

    @property
    def has_partial_event(self) -> bool:
        """Report whether an incomplete event is buffered."""
        return self._buffer.has_partial_event

    @property
    def line_ends(self) -> bytes:
        """Return the buffered line ends that no event has followed yet."""
        return b"" if self.has_partial_event else bytes(self._buffer.data)

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes.

        Raise UpstreamExchangeError if an event is too large or its ID is invalid.
        """
        buffered_bytes = len(self._buffer.data)
        events = split_events(self._buffer, data)
        resize_held(self._held, buffered_bytes, len(self._buffer.data))
        if not events and len(self._buffer.data) > MAX_EVENT_BYTES:
            raise UpstreamExchangeError("an event is too large")
        for event in events:
            self._check_id(event)
        return b"".join(events)

    def drop_partial_event(self) -> None:
        """Empty the buffer."""
        self._buffer.data.clear()

    def _check_id(self, event: bytes) -> None:
        """Require that event IDs increase by one."""
        has_id = False
        has_content = False
        for line in filter(None, event.splitlines()):
            name, _, value = line.partition(b":")
            has_content |= name not in FIELDS_WITHOUT_CONTENT
            if name != b"id":
                continue
            has_id = True
            value = value.strip()
            if not value.isdigit() or len(value) > MAX_ID_DIGITS:
                raise UpstreamExchangeError("an event's id is not a number")
            number = int(value)
            if self.last_event_id is not None and number != self.last_event_id + 1:
                raise UpstreamExchangeError(
                    f"event {number} follows {self.last_event_id}"
                )
            self.last_event_id = number
        if has_id or not has_content:
            return
        self.has_unnumbered_event = True
        if self._needs_ids:
            raise UpstreamExchangeError("an event of the stream's rest has no id")

"""Parse an engine's server-sent events and check that no token is missing."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec

from catkintrack.http import (
    EventBuffer,
    HeldBytes,
    UpstreamExchangeError,
    resize_held,
    split_events,
)

EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]"
MAX_EVENT_BYTES = 1 << 20
# Fields that carry nothing of the stream: comments and the reconnection time.
FIELDS_WITHOUT_CONTENT = (b"", b"retry")


class Delta(msgspec.Struct):
    """Represent the new text of a chat completion choice."""

    content: str | None = None


class Choice(msgspec.Struct):
    """Represent the new text of a chat (`delta`) or text completion (`text`) choice."""

    delta: Delta | None = None
    text: str | None = None


class Usage(msgspec.Struct):
    """Represent the token counts of a call."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Chunk(msgspec.Struct):
    """Represent the fields of a completion chunk that the router reads.

    An error in place of a chunk has `error`, or neither choices nor usage.
    """

    choices: list[Choice] | None = None
    usage: Usage | None = None
    error: Any = None


_CHUNK_DECODER = msgspec.json.Decoder(Chunk)


@dataclass(slots=True)
class StreamProgress:
    """Track how much of a stream the caller has received, over all attempts.

    `next_index` is the index of the next token to relay; each token has one event.
    """

    next_index: int = 0
    texts: list[str] = field(default_factory=list)
    usage: Usage | None = None
    is_started: bool = False
    is_done: bool = False

    @property
    def delivered(self) -> str:
        """Return the text that the caller has received."""
        return "".join(self.texts)


@dataclass(slots=True)
class EventReader:
    """Filter the event stream of one attempt.

    Events of tokens that the caller already has are dropped, so that a resumed stream
    continues without duplicates.  `held` counts the buffered bytes.
    """

    progress: StreamProgress
    wants_usage: bool
    held: HeldBytes = field(default_factory=HeldBytes)
    buffer: EventBuffer = field(default_factory=EventBuffer)

    def read(self, data: bytes) -> bytes:
        """Return the events to relay that `data` completes.

        Raise UpstreamExchangeError if a token is missing or an event is invalid; then no
        event of `data` counts as relayed.
        """
        buffered_bytes = len(self.buffer.data)
        events = split_events(self.buffer, data)
        resize_held(self.held, buffered_bytes, len(self.buffer.data))
        if len(self.buffer.data) > MAX_EVENT_BYTES:
            raise UpstreamExchangeError("a server-sent event exceeds the size limit")
        texts = (b"\n".join(event.strip(b"\r\n").splitlines()) for event in events)
        with _undo_on_error(self.progress):
            relayed = [body for text in texts if (body := self._read_event(text))]
        if not relayed:
            return b""
        return EVENT_SEPARATOR.join(relayed) + EVENT_SEPARATOR

    def _read_event(self, event: bytes) -> bytes:
        """Return the event to relay without its ID, or b"" to drop it."""
        progress = self.progress
        if progress.is_done:
            return b""
        if event == DONE_EVENT:
            progress.is_done = True
            return event
        index = -1
        if event.startswith(b"id: "):
            line, _, event = event.partition(b"\n")
            index = _parse_index(line[4:])
        if not event.startswith(b"data: "):
            _require_no_content(event)
            return b""
        if index >= 0 and index < progress.next_index:
            return b""
        if index > progress.next_index:
            raise UpstreamExchangeError(
                f"token {progress.next_index} is missing from the stream"
            )
        return self._read_chunk(event, is_token=index >= 0)

    def _read_chunk(self, event: bytes, is_token: bool) -> bytes:
        """Record a chunk's usage and text; return it, or b"" for unrequested usage."""
        progress = self.progress
        try:
            chunk = _CHUNK_DECODER.decode(event[6:])
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise UpstreamExchangeError(
                f"a server-sent event has an invalid chunk: {error}"
            ) from error
        is_chunk = chunk.choices is not None or chunk.usage is not None
        if chunk.error is not None or not is_chunk:
            raise UpstreamExchangeError("the engine reports an error in its stream")
        if chunk.usage is not None:
            progress.usage = chunk.usage
            if not chunk.choices and not self.wants_usage:
                return b""
        if is_token:
            progress.next_index += 1
        for choice in chunk.choices or ():
            text = choice.delta.content if choice.delta else choice.text
            if text:
                progress.texts.append(text)
        return event


@contextmanager
def _undo_on_error(progress: StreamProgress) -> Iterator[None]:
    """Set the progress back if the events that it counts are not relayed."""
    next_index, usage = progress.next_index, progress.usage
    text_count, is_done = len(progress.texts), progress.is_done
    try:
        yield
    except UpstreamExchangeError:
        progress.next_index, progress.usage = next_index, usage
        progress.is_done = is_done
        del progress.texts[text_count:]
        raise


def _require_no_content(event: bytes) -> None:
    """Raise UpstreamExchangeError if an event that is not passed on has content."""
    for line in event.splitlines():
        if line.partition(b":")[0] not in FIELDS_WITHOUT_CONTENT:
            raise UpstreamExchangeError("a server-sent event is no chunk")


def _parse_index(text: bytes) -> int:
    if not text.isdigit():
        raise UpstreamExchangeError("a server-sent event has a non-numeric ID")
    return int(text)

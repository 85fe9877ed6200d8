"""Read an engine's server-sent events and check that the stream is whole."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from catkintrack.http import UpstreamExchangeError

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"
MAX_EVENT_BYTES = 1 << 20


class Delta(msgspec.Struct):
    """Hold the new text of a chat choice."""

    content: str | None = None


class Choice(msgspec.Struct):
    """Hold the new text of one choice, in either shape."""

    delta: Delta | None = None
    text: str | None = None


class Usage(msgspec.Struct):
    """Hold the tokens that a call used."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Chunk(msgspec.Struct):
    """Hold the parts of a chunk that the router reads."""

    choices: list[Choice] = []
    usage: Usage | None = None


_CHUNK_DECODER = msgspec.json.Decoder(Chunk)


@dataclass(slots=True)
class StreamProgress:
    """Hold what a caller has received of a stream, over all attempts."""

    next_index: int = 0
    texts: list[str] = field(default_factory=list)
    usage: Usage | None = None
    is_started: bool = False
    is_done: bool = False

    @property
    def delivered(self) -> str:
        """Return the text that the caller holds."""
        return "".join(self.texts)


@dataclass(slots=True)
class EventReader:
    """Hold the unfinished end of what one attempt has sent."""

    progress: StreamProgress
    wants_usage: bool
    rest: bytes = b""

    def read(self, data: bytes) -> bytes:
        """Return the part of `data` to pass on; raise UpstreamBroken on a gap."""
        *events, self.rest = (self.rest + data).split(SEPARATOR)
        if len(self.rest) > MAX_EVENT_BYTES:
            raise UpstreamExchangeError("an event is too large")
        kept = [body for event in events if (body := self._read_event(event))]
        if not kept:
            return b""
        return SEPARATOR.join(kept) + SEPARATOR

    def _read_event(self, event: bytes) -> bytes:
        progress = self.progress
        if progress.is_done:
            return b""
        if event == DONE:
            progress.is_done = True
            return event
        index = -1
        if event.startswith(b"id: "):
            line, _, event = event.partition(b"\n")
            index = _parse_index(line[4:])
        if not event.startswith(b"data: "):
            return b""
        if index >= 0 and index < progress.next_index:
            return b""
        if index > progress.next_index:
            raise UpstreamExchangeError(f"token {progress.next_index} is missing")
        return self._read_chunk(event, is_token=index >= 0)

    def _read_chunk(self, event: bytes, is_token: bool) -> bytes:
        progress = self.progress
        try:
            chunk = _CHUNK_DECODER.decode(event[6:])
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise UpstreamExchangeError(f"an event is malformed: {error}") from error
        if chunk.usage is not None:
            progress.usage = chunk.usage
            if not chunk.choices and not self.wants_usage:
                return b""
        if is_token:
            progress.next_index += 1
        for choice in chunk.choices:
            text = choice.delta.content if choice.delta else choice.text
            if text:
                progress.texts.append(text)
        return event


def _parse_index(text: bytes) -> int:
    if not text.isdigit():
        raise UpstreamExchangeError("an event's id is malformed")
    return int(text)

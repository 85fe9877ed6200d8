"""Read and write HTTP/1.1 messages on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """Hold a request or a response: its first line, fields and body."""

    first_line: str
    fields: list[tuple[str, str]]
    body: bytes = b""
    is_whole: bool = True
    events: list[tuple[float, int]] = field(default_factory=list)

    def find(self, name: str) -> str | None:
        """Return the first value of a field, None if it is missing."""
        name = name.lower()
        return next((v for k, v in self.fields if k.lower() == name), None)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body, None if the peer closed before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return Message(lines[0], fields)


async def read_parts(reader: asyncio.StreamReader, message: Message):
    """Yield the parts of a body; raise IncompleteReadError if it is cut."""
    if "chunked" in (message.find("transfer-encoding") or ""):
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return
            yield await reader.readexactly(size)
            await reader.readexactly(2)
    elif message.find("content-length") is not None:
        size = int(message.find("content-length") or 0)
        if size:
            yield await reader.readexactly(size)
    elif message.first_line.startswith("HTTP/"):
        while data := await reader.read(65536):
            yield data


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message; one that is cut is marked as not whole."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        async for part in read_parts(reader, message):
            message.body += part
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_whole = False
    return message


def encode(first_line: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with its length."""
    fields = fields | {"Content-Length": str(len(body))}
    head = first_line + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return head.encode("latin-1") + b"\r\n" + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    fields: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Send a request over a new connection; return the answer, None without one."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                first_line = f"{method} {target} HTTP/1.1"
                writer.write(encode(first_line, fields, body))
                while True:
                    message = await read_message(reader)
                    if message is None or message.status >= 200:
                        return message
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return None

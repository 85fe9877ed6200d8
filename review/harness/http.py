"""Read and write HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 503: "Service Unavailable"}


@dataclass
class Request:
    """Hold a request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass
class Answer:
    """Hold an answer as its client saw it; `status` is 0 without a head.

    `sent_at`, `head_at` and `ended_at` are in seconds of the monotonic clock.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""
    node: str = ""
    sent_at: float = 0.0
    head_at: float = 0.0
    ended_at: float = 0.0


def parse_headers(lines: list[bytes]) -> dict[str, str]:
    """Return the headers by lower-case name."""
    headers = {}
    for line in lines:
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split(b"\r\n")
    method, target, _ = first.decode("latin-1").split(" ")
    headers = parse_headers(lines)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Return a response head."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a complete response with its length."""
    return encode_head(status, headers | {"Content-Length": str(len(body))}) + body


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer into `answer`; `is_complete` tells whether it ended whole."""
    loop = asyncio.get_running_loop()
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    answer.head_at = loop.time()
    answer.status = int(first.split(b" ")[1])
    answer.headers = parse_headers(lines)
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            answer.body += data[:-2]
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.is_complete = True


async def send_call(
    host: str, port: int, request: Request, timeout_s: float, connect_s: float = 1.0
) -> Answer:
    """Send a request on a new connection; wait for the answer for `timeout_s`."""
    loop = asyncio.get_running_loop()
    answer = Answer(sent_at=loop.time())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            async with asyncio.timeout(connect_s):
                reader, writer = await asyncio.open_connection(host, port)
            answer.sent_at = loop.time()
            writer.write(encode_request(request))
            await writer.drain()
            await read_answer(reader, answer)
    except TimeoutError:
        answer.error = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = loop.time()
    return answer


def encode_request(request: Request) -> bytes:
    """Return a request with its length."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    if request.body or request.method != "GET":
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + request.body

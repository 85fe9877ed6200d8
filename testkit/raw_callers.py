"""Send requests to an instance over plain sockets, a part at a time."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from .fleet import HOST
from .site import KEY, PROMPT_HEADERS

RECEIVE_SIZE_BYTES = 65536
TIMEOUT_S = 30.0


@dataclass
class RawAnswer:
    """Hold all that a caller received, and when its connection ended.

    `ended_at` is in seconds of the monotonic clock.
    """

    received: bytes = b""
    ended_at: float = 0.0

    @property
    def status(self) -> int:
        """Return the status of the last answer, 0 if the connection ended without."""
        last = self.received.rfind(b"HTTP/1.1 ")
        return int(self.received[last + 9 : last + 12]) if last >= 0 else 0

    @property
    def is_complete(self) -> bool:
        """Report whether the last answer has a length and is whole."""
        last = self.received.rfind(b"HTTP/1.1 ")
        head, separator, body = self.received[max(0, last) :].partition(b"\r\n\r\n")
        return bool(separator) and self.find_header(b"content-length") == b"%d" % len(
            body
        )

    def find_header(self, name: bytes) -> bytes | None:
        """Return a header of the last answer, None if it is missing."""
        last = self.received.rfind(b"HTTP/1.1 ")
        head = self.received[max(0, last) :].partition(b"\r\n\r\n")[0]
        for line in head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.lower() == name:
                return value.strip()
        return None


@dataclass
class RawCaller:
    """Hold a caller's connection and what it has received."""

    sock: socket.socket
    answer: RawAnswer = field(default_factory=RawAnswer)
    thread: threading.Thread | None = None

    def send(self, data: bytes) -> None:
        """Send bytes; nothing happens if the connection has ended."""
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def send_later(self, data: bytes, at: float) -> None:
        """Send bytes at a time of the monotonic clock."""
        delay_s = max(0.0, at - time.monotonic())
        timer = threading.Timer(delay_s, self.send, (data,))
        timer.daemon = True
        timer.start()

    def read(self) -> None:
        """Receive what arrives at first."""
        self.answer.received += self.sock.recv(RECEIVE_SIZE_BYTES)

    def read_in_background(self) -> None:
        """Receive in a thread until the connection ends."""
        self.thread = threading.Thread(target=self._read_all, daemon=True)
        self.thread.start()

    def _read_all(self) -> None:
        with contextlib.suppress(OSError):
            while data := self.sock.recv(RECEIVE_SIZE_BYTES):
                self.answer.received += data
        self.answer.ended_at = time.monotonic()

    def join(self) -> RawAnswer:
        """Wait until the connection has ended and return what was received."""
        if self.thread is not None:
            self.thread.join(TIMEOUT_S)
        return self.answer


@contextlib.contextmanager
def open_callers() -> Iterator[list[RawCaller]]:
    """Yield a list whose callers are closed afterwards."""
    callers: list[RawCaller] = []
    try:
        yield callers
    finally:
        for caller in callers:
            caller.sock.close()


def connect(port: int) -> RawCaller:
    """Return a caller that is connected to a port."""
    return RawCaller(socket.create_connection((HOST, port), timeout=TIMEOUT_S))


def make_order(id: str, body: bytes = b"{}", deadline_ms: int = 20000) -> bytes:
    """Return a request that may not be repeated."""
    head = (
        f"POST /order/1 HTTP/1.1\r\nHost: h2.example\r\nX-Request-Id: {id}\r\n"
        f"X-Credential: {KEY}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def make_stream(id: str, deadline_ms: int = 20000) -> bytes:
    """Return a request for a stream; its prompt has a part of its own."""
    fields = PROMPT_HEADERS | {"X-Prompt-Prefix": f"aa:800,{id}:300,cc:100"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head = (
        f"POST /long/1 HTTP/1.1\r\nHost: h1.example\r\nX-Request-Id: {id}\r\n"
        f"X-Credential: {KEY}\r\nX-Deadline-Ms: {deadline_ms}\r\n{lines}"
        f"Content-Length: 2\r\n\r\n"
    )
    return head.encode() + b"{}"

"""Define HTTP requests, response heads and functions on headers."""

from __future__ import annotations

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Statuses whose responses end with their head (RFC 9112, section 6.3).
STATUSES_WITHOUT_BODY = (204, 304)
# What a field takes beside its name and value (RFC 9113, section 6.5.2).
FIELD_OVERHEAD_BYTES = 32


@dataclass(frozen=True, slots=True)
class Request:
    """Represent a request with its complete body.

    `arrived_at` is when a caller's request had arrived at this process, in seconds of the
    monotonic clock, which may be long before it was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived_at: float | None = None

    @property
    def path(self) -> str:
        """Return the request target without its query string."""
        return self.target.split(b"?", 1)[0].decode("ascii", "replace")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Hold the status and headers of a response; `is_to_head` if HEAD asked for it."""

    status: int
    headers: Headers
    is_to_head: bool = False

    @property
    def is_close_delimited(self) -> bool:
        """Report whether a body ends with its connection (RFC 9112, section 6.3)."""
        if self.is_to_head or self.status in STATUSES_WITHOUT_BODY:
            return False
        names = {name for name, _ in self.headers}
        return names.isdisjoint((b"content-length", b"transfer-encoding"))


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; `name` is in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def measure_headers(headers: Headers) -> int:
    """Return what a list of fields takes in memory, in bytes."""
    return sum(len(k) + len(v) + FIELD_OVERHEAD_BYTES for k, v in headers)


def strip_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return `headers` without hop-by-hop headers (RFC 9110, section 7.6.1)."""
    dropped = set(HOP_BY_HOP_HEADERS)
    for key, value in headers:
        if key == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    return tuple((key, value) for key, value in headers if key not in dropped)

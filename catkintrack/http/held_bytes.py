"""Bound the bytes that all responses of upstreams, or all requests, hold together.

Each may hold a share of the bytes that are free, so that n responses without
end leave four parts of n + 4 to the others, and a short one among them is not refused
(A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for shared-memory
packet switches", IEEE/ACM Transactions on Networking 6, 1998).
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .errors import ResponseMemoryExhausted, UpstreamResponseTooLarge

DEFAULT_MAX_HELD_BYTES = 64 << 20
# Bodies of the largest size for which there is room at once.
MIN_LARGEST_BODIES = 5
# A response may hold one byte for this many free ones, so a fifth of all at most.
FREE_BYTES_PER_HELD_BYTE = 4


@dataclass(slots=True)
class ByteBudget:
    """Bound the bytes that are held for all responses, or all requests, of a process."""

    max_bytes: int = DEFAULT_MAX_HELD_BYTES
    held_bytes: int = 0


@dataclass(slots=True)
class HeldBytes:
    """Count the bytes that are held for one response, request or call."""

    budget: ByteBudget = field(default_factory=ByteBudget)
    size_bytes: int = 0


def find_max_held_bytes(max_body_bytes: int) -> int:
    """Return a bound for a process without a memory limit, in bytes."""
    return max(DEFAULT_MAX_HELD_BYTES, MIN_LARGEST_BODIES * max_body_bytes)


@contextmanager
def hold_bytes(budget: ByteBudget) -> Iterator[HeldBytes]:
    """Yield a count of held bytes; release them when the block ends."""
    held = HeldBytes(budget)
    try:
        yield held
    finally:
        release_held(held)


def may_hold(held: HeldBytes, size_bytes: int) -> bool:
    """Report whether more bytes are within the share of what is free."""
    budget = held.budget
    free_bytes = budget.max_bytes - budget.held_bytes - size_bytes
    return (held.size_bytes + size_bytes) * FREE_BYTES_PER_HELD_BYTE <= free_bytes


def add_held(held: HeldBytes, size_bytes: int) -> None:
    """Hold more bytes; raise ResponseMemoryExhausted beyond the share of what is free."""
    if not may_hold(held, size_bytes):
        raise ResponseMemoryExhausted(
            f"the response needs {held.size_bytes + size_bytes} bytes, while all "
            f"responses hold {held.budget.held_bytes} of {held.budget.max_bytes}"
        )
    _change(held, size_bytes)


def drop_held(held: HeldBytes, size_bytes: int) -> None:
    """Hold fewer bytes."""
    _change(held, -min(size_bytes, held.size_bytes))


def resize_held(held: HeldBytes, size_bytes: int, new_size_bytes: int) -> None:
    """Hold more or fewer bytes for one buffer; raise ResponseMemoryExhausted."""
    if new_size_bytes > size_bytes:
        add_held(held, new_size_bytes - size_bytes)
    else:
        drop_held(held, size_bytes - new_size_bytes)


def release_held(held: HeldBytes) -> None:
    """Hold no bytes any more."""
    _change(held, -held.size_bytes)


def move_held(source: HeldBytes, target: HeldBytes, size_bytes: int) -> None:
    """Hold bytes for another response or call, which outlasts the first."""
    drop_held(source, size_bytes)
    _change(target, size_bytes)


def _change(held: HeldBytes, size_bytes: int) -> None:
    held.size_bytes += size_bytes
    held.budget.held_bytes += size_bytes


@dataclass(slots=True)
class BodyBuffer:
    """Hold the parts of a body that have arrived."""

    held: HeldBytes
    max_bytes: int
    data: bytearray = field(default_factory=bytearray)


@contextmanager
def collect_body(held: HeldBytes, max_bytes: int) -> Iterator[BodyBuffer]:
    """Yield a buffer for a body; its bytes stay held if the block succeeds.

    A failure's traceback would keep the parts, so the buffer is emptied in each case.
    """
    buffer = BodyBuffer(held, max_bytes)
    try:
        yield buffer
    except BaseException:
        drop_held(held, len(buffer.data))
        raise
    finally:
        buffer.data.clear()


def add_part(buffer: BodyBuffer, part: bytes) -> None:
    """Add a part of the body; raise UpstreamResponseTooLarge beyond a bound."""
    if len(buffer.data) + len(part) > buffer.max_bytes:
        raise UpstreamResponseTooLarge("the body exceeds the size limit")
    add_held(buffer.held, len(part))
    buffer.data += part

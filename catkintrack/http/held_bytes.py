"""Bound the bytes that the responses of all upstreams hold together.

Each response may hold a share of the bytes that are free, so that n responses without
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
# A response may hold one byte for this many free ones, so a fifth of all at most.
FREE_BYTES_PER_HELD_BYTE = 4


@dataclass(slots=True)
class ByteBudget:
    """Bound the bytes that are held for all responses of a process."""

    max_bytes: int = DEFAULT_MAX_HELD_BYTES
    held_bytes: int = 0


@dataclass(slots=True)
class HeldBytes:
    """Count the bytes that are held for one response or call."""

    budget: ByteBudget = field(default_factory=ByteBudget)
    size_bytes: int = 0


@contextmanager
def hold_bytes(budget: ByteBudget) -> Iterator[HeldBytes]:
    """Yield a count of held bytes; release them when the block ends."""
    held = HeldBytes(budget)
    try:
        yield held
    finally:
        release_held(held)


def add_held(held: HeldBytes, size_bytes: int) -> None:
    """Hold more bytes; raise ResponseMemoryExhausted if that is more than the share."""
    budget = held.budget
    needed_bytes = held.size_bytes + size_bytes
    free_bytes = budget.max_bytes - budget.held_bytes - size_bytes
    if needed_bytes * FREE_BYTES_PER_HELD_BYTE > free_bytes:
        raise ResponseMemoryExhausted(
            f"the response needs {needed_bytes} bytes, while all responses "
            f"hold {budget.held_bytes} of {budget.max_bytes}"
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

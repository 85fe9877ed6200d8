"""Remember which upstreams are believed to hold which blocks."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

MAX_BLOCKS = 100_000


@dataclass(slots=True)
class Residency:
    """Hold a bit mask of upstream slots for each block, in order of last use."""

    max_blocks: int = MAX_BLOCKS
    holders_by_block: OrderedDict[int, int] = field(default_factory=OrderedDict)


def add_cached_blocks(
    residency: Residency, bit_index: int, blocks: Iterable[int]
) -> None:
    """Note that the upstream in `slot` holds `blocks`."""
    holders = residency.holders_by_block
    bit = 1 << bit_index
    for block in blocks:
        holders[block] = holders.get(block, 0) | bit
        holders.move_to_end(block)
    while len(holders) > residency.max_blocks:
        holders.popitem(last=False)


def remove_cached_blocks(
    residency: Residency, bit_index: int, blocks: Iterable[int]
) -> None:
    """Note that the upstream in `slot` no longer holds `blocks`."""
    holders = residency.holders_by_block
    kept = ~(1 << bit_index)
    for block in blocks:
        mask = holders.get(block)
        if mask is None:
            continue
        if mask & kept:
            holders[block] = mask & kept
        else:
            del holders[block]


def clear_cached_blocks(residency: Residency, bit_index: int) -> None:
    """Forget everything that the upstream in `slot` was believed to hold."""
    bit = 1 << bit_index
    held = [b for b, mask in residency.holders_by_block.items() if mask & bit]
    remove_cached_blocks(residency, bit_index, held)


def find_cached_depths(residency: Residency, blocks: Sequence[int]) -> dict[int, int]:
    """Return how many leading blocks each holding slot has, keyed by slot."""
    holders = residency.holders_by_block
    depth_by_bit_index: dict[int, int] = {}
    found = 0
    for depth in range(len(blocks), 0, -1):
        fresh = holders.get(blocks[depth - 1], 0) & ~found
        found |= fresh
        while fresh:
            low = fresh & -fresh
            depth_by_bit_index[low.bit_length() - 1] = depth
            fresh ^= low
    return depth_by_bit_index

"""Track which upstreams are believed to cache which KV blocks."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

MAX_BLOCKS = 100_000


@dataclass(slots=True)
class Residency:
    """Hold a bit mask of upstreams per block, in order of last use."""

    max_blocks: int = MAX_BLOCKS
    holders_by_block: OrderedDict[int, int] = field(default_factory=OrderedDict)


def add_cached_blocks(
    residency: Residency, bit_index: int, blocks: Iterable[int]
) -> None:
    """Record that the upstream at `bit_index` caches `blocks`."""
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
    """Record that the upstream at `bit_index` no longer caches `blocks`."""
    holders = residency.holders_by_block
    others = ~(1 << bit_index)
    for block in blocks:
        mask = holders.get(block)
        if mask is None:
            continue
        if mask & others:
            holders[block] = mask & others
        else:
            del holders[block]


def clear_cached_blocks(residency: Residency, bit_index: int) -> None:
    """Remove the upstream at `bit_index` from all blocks."""
    bit = 1 << bit_index
    cached = [b for b, mask in residency.holders_by_block.items() if mask & bit]
    remove_cached_blocks(residency, bit_index, cached)


def find_cached_depths(residency: Residency, blocks: Sequence[int]) -> dict[int, int]:
    """Return the depth of the deepest block that each upstream caches, by bit index."""
    holders = residency.holders_by_block
    depth_by_bit_index: dict[int, int] = {}
    seen = 0
    for depth in range(len(blocks), 0, -1):
        fresh = holders.get(blocks[depth - 1], 0) & ~seen
        seen |= fresh
        while fresh:
            low = fresh & -fresh
            depth_by_bit_index[low.bit_length() - 1] = depth
            fresh ^= low
    return depth_by_bit_index

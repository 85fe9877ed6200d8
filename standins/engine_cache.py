"""Simulate the prefix cache of a model engine, with LRU eviction of blocks."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

BLOCK_BYTES = 1024
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
MAX_RETAINED_EVENTS = 4096


def count_tokens(text: bytes) -> int:
    """Return the token count of `text`, at `BYTES_PER_TOKEN` bytes a token."""
    return -(-len(text) // BYTES_PER_TOKEN)


def hash_blocks(salt: str, model: str, weights: str, text: bytes) -> list[str]:
    """Return the chained hash of each full block of `text`."""
    parent = hashlib.blake2b(
        f"{salt}\0{model}\0{weights}".encode(), digest_size=8
    ).digest()
    block_hashes = []
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        parent = hashlib.blake2b(parent + block, digest_size=8).digest()
        block_hashes.append(parent.hex())
    return block_hashes


@dataclass(slots=True)
class PrefixCache:
    """Hold the cached blocks in order of last use, and the cache's recent events."""

    capacity_blocks: int
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[tuple[int, str, str]] = field(
        default_factory=lambda: deque(maxlen=MAX_RETAINED_EVENTS)
    )
    sequence: int = 0
    events_to_drop: int = 0

    def count_hits(self, block_hashes: list[str]) -> int:
        """Count the leading blocks that are cached, and mark them as used."""
        hits = 0
        for block in block_hashes:
            if block not in self.blocks:
                break
            hits += 1
        # Touches parents last, so that a block is never evicted before its children.
        for block in reversed(block_hashes[:hits]):
            self.blocks.move_to_end(block)
        return hits

    def store(self, block_hashes: list[str]) -> None:
        """Add blocks to the cache, evicting the least recently used ones."""
        for block in reversed(block_hashes):
            if block not in self.blocks:
                self.record_event("stored", block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            self.record_event("evicted", evicted)

    def clear(self) -> None:
        """Remove all blocks."""
        self.blocks.clear()
        self.record_event("cleared", "")

    def record_event(self, kind: str, block: str) -> None:
        """Record an event; a dropped event leaves a gap in the sequence."""
        self.sequence += 1
        if self.events_to_drop > 0:
            self.events_to_drop -= 1
            return
        self.events.append((self.sequence, kind, block))

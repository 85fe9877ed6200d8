"""Keep prompt prefixes in limited memory, as a model engine does."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

BLOCK_BYTES = 1024
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
MAX_RETAINED_EVENTS = 4096


def count_tokens(text: bytes) -> int:
    """Return how many tokens `text` has."""
    return -(-len(text) // BYTES_PER_TOKEN)


def hash_blocks(salt: str, model: str, weights: str, text: bytes) -> list[str]:
    """Return the chained hash of each whole block of `text`."""
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
    """Hold blocks in order of their last use, and the events about them."""

    capacity_blocks: int
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[tuple[int, str, str]] = field(
        default_factory=lambda: deque(maxlen=MAX_RETAINED_EVENTS)
    )
    sequence: int = 0
    events_to_drop: int = 0

    def count_hits(self, block_hashes: list[str]) -> int:
        """Return how many leading blocks are cached, and mark them used."""
        hits = 0
        for block in block_hashes:
            if block not in self.blocks:
                break
            hits += 1
        # Parents must outlive their children, so they are touched last.
        for block in reversed(block_hashes[:hits]):
            self.blocks.move_to_end(block)
        return hits

    def store(self, block_hashes: list[str]) -> None:
        """Keep blocks, evicting those used longest ago."""
        for block in reversed(block_hashes):
            if block not in self.blocks:
                self.record_event("stored", block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            self.record_event("evicted", evicted)

    def clear(self) -> None:
        """Forget every block."""
        self.blocks.clear()
        self.record_event("cleared", "")

    def record_event(self, kind: str, block: str) -> None:
        """Record an event, or lose it when a fault says so."""
        self.sequence += 1
        if self.events_to_drop > 0:
            self.events_to_drop -= 1
            return
        self.events.append((self.sequence, kind, block))

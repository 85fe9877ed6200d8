"""Keep prompt prefixes in limited memory, as a model engine does."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

BLOCK_BYTES = 1024
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
KEPT_EVENTS = 4096


def count_tokens(text: bytes) -> int:
    """Return how many tokens `text` has."""
    return -(-len(text) // BYTES_PER_TOKEN)


def hash_blocks(salt: str, model: str, weights: str, text: bytes) -> list[str]:
    """Return the chained hash of each whole block of `text`."""
    parent = hashlib.blake2b(
        f"{salt}\0{model}\0{weights}".encode(), digest_size=8
    ).digest()
    hashes = []
    for start in range(0, len(text) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        parent = hashlib.blake2b(parent + block, digest_size=8).digest()
        hashes.append(parent.hex())
    return hashes


@dataclass(slots=True)
class PrefixCache:
    """Hold blocks in order of their last use, and the events about them."""

    capacity_blocks: int
    blocks: OrderedDict[str, None] = field(default_factory=OrderedDict)
    events: deque[tuple[int, str, str]] = field(
        default_factory=lambda: deque(maxlen=KEPT_EVENTS)
    )
    sequence: int = 0
    dropped_events: int = 0

    def count_hits(self, hashes: list[str]) -> int:
        """Return how many leading blocks are cached, and mark them used."""
        hits = 0
        for block in hashes:
            if block not in self.blocks:
                break
            hits += 1
        # Parents must outlive their children, so they are touched last.
        for block in reversed(hashes[:hits]):
            self.blocks.move_to_end(block)
        return hits

    def store(self, hashes: list[str]) -> None:
        """Keep blocks, evicting those used longest ago."""
        for block in reversed(hashes):
            if block not in self.blocks:
                self.emit("stored", block)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            self.emit("evicted", evicted)

    def clear(self) -> None:
        """Forget every block."""
        self.blocks.clear()
        self.emit("cleared", "")

    def emit(self, kind: str, block: str) -> None:
        """Record an event, or lose it when a fault says so."""
        self.sequence += 1
        if self.dropped_events > 0:
            self.dropped_events -= 1
            return
        self.events.append((self.sequence, kind, block))

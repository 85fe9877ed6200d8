"""Split a prompt into blocks of equal size and identify them by chained hashes."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

BLOCK_BYTES = 1024
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class CacheScope:
    """Hold what a cached block depends on besides the prompt text."""

    workspace: str
    model: str
    weights_version: str


def estimate_tokens(size_bytes: int) -> int:
    """Return the estimated number of tokens in a prompt of `size_bytes`."""
    return -(-size_bytes // BYTES_PER_TOKEN)


def hash_prefix(scope: CacheScope, prompt: bytes) -> tuple[int, ...]:
    """Return the chained hash of each complete block of `prompt`.

    Each hash covers the scope and all text up to the block's end, so that equal
    hashes mean equal prefixes in the same workspace, model and weights.
    """
    root = f"{scope.workspace}\0{scope.model}\0{scope.weights_version}"
    parent = hashlib.blake2b(root.encode(), digest_size=HASH_BYTES).digest()
    hashes = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        parent = hashlib.blake2b(parent + block, digest_size=HASH_BYTES).digest()
        hashes.append(int.from_bytes(parent, "big"))
    return tuple(hashes)


def find_affinity_depth(block_count: int) -> int:
    """Return the depth of the block whose hash determines where a prompt is placed.

    It depends only on the two leading bits of the count.  Prompts that share a long
    prefix and differ in a short tail therefore mostly get the same depth, on every
    instance and without any knowledge of other prompts.
    """
    if block_count < 2:
        return block_count
    count = block_count - 1
    shift = max(0, count.bit_length() - 2)
    return (count >> shift) << shift

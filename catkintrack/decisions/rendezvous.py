"""Rank upstreams and cache stores for a prompt alike on all instances.

Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache

from .prefix import find_affinity_depth
from .tables import ModelRequest


def compute_affinity_key(request: ModelRequest) -> int:
    """Return the block hash by which all instances rank alike."""
    if request.block_ends:
        # The last part is private to the request, the one before is shared.
        return request.blocks[max(0, len(request.blocks) - 2)]
    depth = find_affinity_depth(len(request.blocks))
    return request.blocks[depth - 1] if depth else 0


# A queued request is placed again and again: some keys with the names of a fleet.
SCORES_KEPT = 8192


@lru_cache(maxsize=SCORES_KEPT)
def score_rendezvous(key: int, name: str) -> int:
    """Return the score of `name` for `key` in rendezvous hashing."""
    data = key.to_bytes(8, "big") + name.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")

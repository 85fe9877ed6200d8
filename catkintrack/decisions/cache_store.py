"""Track the blocks in the KV cache stores and decide which prefixes to save where.

Under load a replica evicts its whole cache within seconds, sooner than long shared
prompts recur.  A prefix that no replica caches any more is then fetched from the store
instead of being recomputed.

With several stores each shared prompt has one of them, the same for all instances: so
their capacity and their links add up.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .rendezvous import compute_affinity_key, score_rendezvous
from .tables import ModelRequest, Tables

# A replica also sends the private part of a prompt, so storing short shared prefixes
# would evict long ones.
MIN_STORED_TOKENS = 1024
MAX_STORED_BLOCKS = 50_000


@dataclass(slots=True)
class CacheStoreIndex:
    """Hold the blocks that the store is known to hold, the last recorded at the end.

    `version_blocks` has keys (weights version, block); `token_s` is the fetch time per
    token.  Nothing is fetched or saved while `is_leaving`, as the store says itself, or
    while `is_absent`, since another server answers at its address.  `incarnation` is the
    one whose events were read last, None if none is known.
    """

    name: str
    zone: str
    token_s: float
    version_blocks: OrderedDict[tuple[int, int], None] = field(
        default_factory=OrderedDict
    )
    is_leaving: bool = False
    is_absent: bool = False
    incarnation: int | None = None


def choose_store(tables: Tables, request: ModelRequest) -> CacheStoreIndex | None:
    """Return the store that keeps the prompt's shared prefix, if any is in use."""
    usable = [s for s in tables.cache_stores if not (s.is_leaving or s.is_absent)]
    if len(usable) < 2 or not request.blocks:
        return usable[0] if usable else None
    key = compute_affinity_key(request)
    return max(usable, key=lambda store: score_rendezvous(key, store.name))


def find_store(tables: Tables, name: str) -> CacheStoreIndex | None:
    """Return the store of that name; without a name the only one, if there is one.

    Messages of older builds have no name, so among several their store is unknown.
    """
    if not name:
        return tables.cache_store if len(tables.cache_stores) == 1 else None
    return next((s for s in tables.cache_stores if s.name == name), None)


def add_stored_blocks(
    store: CacheStoreIndex, version: int, blocks: Iterable[int]
) -> None:
    """Record blocks that the store holds; drop the oldest beyond MAX_STORED_BLOCKS."""
    for block in blocks:
        store.version_blocks[(version, block)] = None
        store.version_blocks.move_to_end((version, block))
    while len(store.version_blocks) > MAX_STORED_BLOCKS:
        store.version_blocks.popitem(last=False)


def remove_stored_blocks(
    store: CacheStoreIndex, version: int, blocks: Iterable[int]
) -> None:
    """Remove blocks that the store no longer holds."""
    for block in blocks:
        store.version_blocks.pop((version, block), None)


def clear_stored_blocks(store: CacheStoreIndex) -> None:
    """Remove all blocks, as after a restart of the store."""
    store.version_blocks.clear()
    store.is_leaving = False


def count_stored_prefix(
    store: CacheStoreIndex, version: int, blocks: Sequence[int]
) -> int:
    """Return the number of leading blocks that can be fetched from the store."""
    if store.is_leaving or store.is_absent:
        return 0
    depth = 0
    for block in blocks:
        if (version, block) not in store.version_blocks:
            break
        depth += 1
    return depth


def should_store_prefix(
    store: CacheStoreIndex, version: int, request: ModelRequest
) -> bool:
    """Report whether enough of the request's shared prefix is missing in the store."""
    shared = len(request.blocks) - 1
    if shared <= 0 or store.is_leaving or store.is_absent:
        return False
    depth = count_stored_prefix(store, version, request.blocks[:shared])
    missing = request.count_tokens(shared) - request.count_tokens(depth)
    return missing >= MIN_STORED_TOKENS

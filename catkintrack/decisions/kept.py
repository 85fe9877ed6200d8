"""Know what the store of kept KV cache holds, and decide what is sent there.

Answers long shared prompts that come back more slowly than a replica's cache turns
over: under load everything there is evicted within seconds, and a prefix that no
replica holds any more is fetched from the store instead of computed again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .tables import ModelRequest

# Shorter shared prefixes would displace long ones with the private rest that the
# replica sends along.
MIN_STORED_TOKENS = 1024
MAX_STORED_BLOCKS = 50_000


@dataclass(slots=True)
class KvStoreIndex:
    """Hold the blocks that the store is believed to have, in order of last use.

    Blocks are kept by the version of the weights that computed them.
    """

    name: str
    zone: str
    token_s: float
    version_blocks: OrderedDict[tuple[int, int], None] = field(
        default_factory=OrderedDict
    )


def add_stored_blocks(store: KvStoreIndex, version: int, blocks: Iterable[int]) -> None:
    """Note blocks that were sent to the store, or fetched from it."""
    for block in blocks:
        store.version_blocks[(version, block)] = None
        store.version_blocks.move_to_end((version, block))
    while len(store.version_blocks) > MAX_STORED_BLOCKS:
        store.version_blocks.popitem(last=False)


def remove_stored_blocks(
    store: KvStoreIndex, version: int, blocks: Iterable[int]
) -> None:
    """Note blocks that the store no longer has."""
    for block in blocks:
        store.version_blocks.pop((version, block), None)


def clear_stored_blocks(store: KvStoreIndex) -> None:
    """Forget everything: the store has restarted empty."""
    store.version_blocks.clear()


def count_stored_prefix(
    store: KvStoreIndex, version: int, blocks: Sequence[int]
) -> int:
    """Return how many leading blocks the store has."""
    depth = 0
    for block in blocks:
        if (version, block) not in store.version_blocks:
            break
        depth += 1
    return depth


def should_store_prefix(
    store: KvStoreIndex, version: int, request: ModelRequest
) -> bool:
    """Report whether the request's shared prefix should be sent to the store."""
    shared = len(request.blocks) - 1
    if shared <= 0:
        return False
    depth = count_stored_prefix(store, version, request.blocks[:shared])
    missing = request.count_tokens(shared) - request.count_tokens(depth)
    return missing >= MIN_STORED_TOKENS

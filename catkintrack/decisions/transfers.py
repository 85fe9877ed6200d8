"""Choose where a replica fetches the cached prefix of a prompt from.

Copying a prefix costs a fraction of computing it, so that a request whose prefix is
cached on an overloaded replica can run on one with spare capacity.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .cache_store import CacheStoreIndex, count_stored_prefix
from .tables import ModelRequest, Tables, UpstreamRow

# Fetching fewer tokens is not worth the round trip and the risk of a miss.
MIN_FETCH_TOKENS = 32
# Factor on the time of a fetch from another availability zone.
OTHER_ZONE_FACTOR = 2.0
# A fetch between zones is priced at up to three times its usual price and takes twice as
# long, which its seconds contain.
OTHER_ZONE_PRICE_FACTOR = 1.5
# Users weigh recomputed shared tokens far above the prefill time they take.
RECOMPUTE_WEIGHT = 8.0
# A fetched prefix evicts as much as a computed one, but occupies no prefill time.
FETCH_EVICTION_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class TransferRates:
    """Hold the time to copy cached tokens between replicas, per fetch and per token."""

    setup_s: float
    token_s: float


@dataclass(frozen=True, slots=True)
class FetchSource:
    """Describe a fetch of cached tokens from an upstream or the cache store.

    `tokens` is 0 if the target is believed to cache all that the store holds.
    """

    name: str
    tokens: int
    seconds: float


def find_fetch_source(
    tables: Tables,
    request: ModelRequest,
    target: UpstreamRow,
    cached_tokens: int,
    holders: Sequence[UpstreamRow],
    depth_by_bit_index: Mapping[int, int],
    store: CacheStoreIndex | None = None,
) -> FetchSource | None:
    """Return the source with the longest prefix beyond `cached_tokens`, if any.

    A usable prefix was computed with the target's weights version.  Where the tables hold
    the state of zones, the source with the greatest saving is returned instead.
    """
    rates = tables.transfer_rates
    if rates is None:
        return None
    best: FetchSource | None = None
    best_key: tuple[float, float] = (0.0, 0.0)
    for row in holders:
        if row is target or row.weights_version != target.weights_version:
            continue
        tokens = request.count_tokens(depth_by_bit_index[row.bit_index]) - cached_tokens
        if tokens < MIN_FETCH_TOKENS:
            continue
        seconds = rates.setup_s + tokens * rates.token_s
        if row.zone != target.zone:
            seconds *= OTHER_ZONE_FACTOR
        saving: float = tokens
        if tables.zones is not None:
            saving = estimate_saving_s(target, row.zone, tokens, seconds)
        key = (-saving, seconds)
        if best is None or key < best_key:
            best, best_key = FetchSource(row.name, tokens, seconds), key
    return _prefer_store(store, request, target, cached_tokens, best)


def estimate_saving_s(
    target: UpstreamRow, source_zone: str, tokens: int, seconds: float
) -> float:
    """Return the cost of computing tokens again less that of their fetch, in seconds."""
    recompute_s = (1 + RECOMPUTE_WEIGHT) * tokens / target.prefill_tokens_per_s
    price = 1.0 if source_zone == target.zone else OTHER_ZONE_PRICE_FACTOR
    return recompute_s - seconds * price


def _prefer_store(
    store: CacheStoreIndex | None,
    request: ModelRequest,
    target: UpstreamRow,
    cached_tokens: int,
    best: FetchSource | None,
) -> FetchSource | None:
    """Return the prompt's cache store if it holds at least as much as the best replica.

    Return it also when the target is believed to cache the prefix: the prefix may have
    been evicted, and a replica fetches only the blocks that it lacks.
    """
    if store is None:
        return best
    depth = count_stored_prefix(store, target.weights_version, request.blocks)
    tokens = request.count_tokens(depth) - cached_tokens
    if not depth or tokens < (best.tokens if best else 0):
        return best
    seconds = max(0, tokens) * store.token_s
    if store.zone != target.zone:
        seconds *= OTHER_ZONE_FACTOR
    return FetchSource(store.name, max(0, tokens), seconds)

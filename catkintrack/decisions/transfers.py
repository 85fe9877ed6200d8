"""Decide from which upstream a replica fetches the cached part of a prompt.

Answers a shared prefix that is cached at a replica with much to do: copying it costs a
fraction of computing it again, so that the request can run where there is room.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .kept import count_stored_prefix
from .tables import ModelRequest, Tables, UpstreamRow

# A shorter gain is not worth the way and the risk of a miss.
MIN_FETCH_TOKENS = 32
OTHER_ZONE_FACTOR = 2.0
# A fetched prefix evicts as much as a computed one, but nobody has to wait for it.
FETCH_EVICTION_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class TransferRates:
    """Hold what copying cached tokens between replicas takes, in seconds."""

    setup_s: float
    token_s: float


@dataclass(frozen=True, slots=True)
class FetchSource:
    """Name an upstream, or the store, to fetch from, and the tokens that are missing.

    `tokens` is 0 where the target is believed to hold all that the store has.
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
) -> FetchSource | None:
    """Return the upstream that holds the most beyond `cached_tokens`, if any.

    Only one with the same weights can hold what the target may use.
    """
    rates = tables.transfer_rates
    if rates is None:
        return None
    best: FetchSource | None = None
    for row in holders:
        if row is target or row.weights_version != target.weights_version:
            continue
        tokens = request.count_tokens(depth_by_bit_index[row.bit_index]) - cached_tokens
        if tokens < MIN_FETCH_TOKENS:
            continue
        seconds = rates.setup_s + tokens * rates.token_s
        if row.zone != target.zone:
            seconds *= OTHER_ZONE_FACTOR
        if best is None or (-tokens, seconds) < (-best.tokens, best.seconds):
            best = FetchSource(row.name, tokens, seconds)
    return _prefer_store(tables, request, target, cached_tokens, best)


def _prefer_store(
    tables: Tables,
    request: ModelRequest,
    target: UpstreamRow,
    cached_tokens: int,
    best: FetchSource | None,
) -> FetchSource | None:
    """Return the store where it has at least as much as the best replica.

    It is named also where the target is believed to hold the prefix: that may have
    been evicted, and a replica fetches only what it lacks.
    """
    store = tables.kv_store
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

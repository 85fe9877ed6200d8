"""Choose the upstream with the least expected cost for a request."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from catkintrack.weights import find_replaced_at

from .ejection import is_ejected
from .failure_detection import is_suspect
from .kept import count_stored_prefix
from .load import estimate_running, estimate_wait_s
from .prefills import find_pending
from .prefix import find_affinity_depth
from .residency import find_cached_depths
from .tables import ModelRequest, Tables, UpstreamRow
from .transfers import FETCH_EVICTION_WEIGHT, FetchSource, find_fetch_source

# Prefilling a prefix on one more replica also evicts as much elsewhere.
DUPLICATION_WEIGHT = 1.0
# The chance that a peer has already sent a prefix to its first choice.
FIRST_CHOICE_CREDIT = 0.1
RANK_COST_S = 0.001
# Bytes between zones cost the operators more than a little wait costs callers.
OTHER_ZONE_COST_S = 0.03
# Shorter prefixes are computed again sooner than waited for.
AWAITED_PREFILL_MIN_TOKENS = 64
# A small part of the shortest target for a first token.
AWAITED_PREFILL_MAX_S = 0.15
# Users count a shared part that is computed again far above the time it takes.
RECOMPUTE_WEIGHT = 8.0
# A second before the users' bound of 6 s, for the request's way and the wait there.
STALE_WEIGHTS_MAX_S = 5.0
FULL_SCAN_MAX_UPSTREAMS = 32
RANKED_CANDIDATES = 8
RANDOM_CANDIDATES = 4


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold a chosen upstream, its expected cost and the tokens it must prefill.

    `best_cached_tokens` are those that some eligible upstream is believed to hold.
    `is_awaiting` says that a prefill in progress there is worth waiting for.
    `first_token_s` is how long the first token is expected to take.
    """

    upstream: UpstreamRow
    cost_s: float
    uncached_tokens: int
    best_cached_tokens: int = 0
    is_awaiting: bool = False
    source: FetchSource | None = None
    first_token_s: float = 0.0


Policy = Callable[[Tables, ModelRequest, float, Random], Placement | None]


def is_eligible(
    tables: Tables, row: UpstreamRow, request: ModelRequest, now: float
) -> bool:
    """Report whether the upstream may get the request at all."""
    if row.is_leaving or row.is_loading or row.name in request.excluded:
        return False
    if request.model not in row.models or now < row.loading_until:
        return False
    return not has_stale_weights(tables, row, request.model, now) and not is_ejected(
        row, now
    )


def has_stale_weights(tables: Tables, row: UpstreamRow, model: str, now: float) -> bool:
    """Report whether the replica's weights were replaced too long ago to be used."""
    named = tables.target_by_model.get(model)
    if named is None or row.weights_version >= named.version:
        return False
    replaced_at = find_replaced_at(named, row.weights_version)
    return replaced_at is not None and now - replaced_at >= STALE_WEIGHTS_MAX_S


def list_eligible(
    tables: Tables, request: ModelRequest, now: float
) -> list[UpstreamRow]:
    """Return the upstreams that may get the request, in order of name."""
    rows = tables.upstream_by_name.values()
    eligible = [row for row in rows if is_eligible(tables, row, request, now)]
    heard = [row for row in eligible if not is_suspect(row, now)]
    return sorted(heard or eligible, key=lambda row: row.name)


def compute_affinity_key(request: ModelRequest) -> int:
    """Return the hash that places the request without any shared knowledge."""
    if request.block_ends:
        # Named parts: the last one is the request's own, the one before is shared.
        return request.blocks[max(0, len(request.blocks) - 2)]
    depth = find_affinity_depth(len(request.blocks))
    return request.blocks[depth - 1] if depth else 0


def score_rendezvous(key: int, name: str) -> int:
    """Return the weight of an upstream for `key` (highest random weight hashing).

    Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
    """
    data = key.to_bytes(8, "big") + name.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def place_by_cost(
    tables: Tables, request: ModelRequest, now: float, rng: Random
) -> Placement | None:
    """Return the upstream where waiting and prefilling cost the least."""
    eligible = list_eligible(tables, request, now)
    if not eligible:
        return None
    depth_by_bit_index = find_cached_depths(tables.residency, request.blocks)
    if request.blocks:
        key = compute_affinity_key(request)
        eligible.sort(key=lambda row: score_rendezvous(key, row.name), reverse=True)
    else:
        rng.shuffle(eligible)
    held = [depth_by_bit_index.get(row.bit_index, 0) for row in eligible]
    best_cached = request.count_tokens(max(held))
    pending = find_pending(tables.prefills, request.blocks)
    holders = [row for row in eligible if row.bit_index in depth_by_bit_index]
    known = max(
        [request.count_tokens(d) for d in depth_by_bit_index.values()], default=0
    )
    if tables.kv_store is not None:
        version = max(row.weights_version for row in eligible)
        kept = count_stored_prefix(tables.kv_store, version, request.blocks)
        known = max(known, request.count_tokens(kept))
    if pending is not None:
        known = max(known, request.count_tokens(pending[1]))
    best: Placement | None = None
    for rank, row in _pick_candidates(eligible, depth_by_bit_index, rng):
        depth = depth_by_bit_index.get(row.bit_index, 0)
        is_awaiting = False
        if pending is not None and pending[0] == row.name:
            ahead = request.count_tokens(pending[1]) - request.count_tokens(depth)
            is_awaiting = ahead >= AWAITED_PREFILL_MIN_TOKENS and _may_wait_for_prefill(
                request, now
            )
            depth = max(depth, pending[1])
        cached = request.count_tokens(depth)
        source = find_fetch_source(
            tables, request, row, cached, holders, depth_by_bit_index
        )
        if source is not None and source.tokens:
            is_awaiting = False
        found = cached + (source.tokens if source else 0)
        cost_s = estimate_cost_s(tables, request, row, rank, found, known, now)
        cost_s += estimate_fetch_s(row, source)
        if best is None or cost_s < best.cost_s:
            uncached = request.prompt_tokens - found
            best = Placement(row, cost_s, uncached, best_cached, is_awaiting, source)
    if best is None:
        return None
    return replace(
        best, first_token_s=estimate_first_token_s(tables, request, best, now)
    )


def estimate_first_token_s(
    tables: Tables, request: ModelRequest, placement: Placement, now: float
) -> float:
    """Return the seconds until the first token of a request that is sent now."""
    row = placement.upstream
    fetch_s = placement.source.seconds if placement.source else 0.0
    prefill_s = placement.uncached_tokens / row.prefill_tokens_per_s
    return estimate_wait_s(tables, row, now, request.priority) + fetch_s + prefill_s


def _may_wait_for_prefill(request: ModelRequest, now: float) -> bool:
    """Report whether the request has time left to wait for another's prefill."""
    return now - request.arrived_at < AWAITED_PREFILL_MAX_S


def estimate_fetch_s(row: UpstreamRow, source: FetchSource | None) -> float:
    """Return the seconds that fetching from `source` costs, itself and others."""
    if source is None:
        return 0.0
    evicted_s = source.tokens / row.prefill_tokens_per_s
    return source.seconds + FETCH_EVICTION_WEIGHT * evicted_s


def estimate_cost_s(
    tables: Tables,
    request: ModelRequest,
    row: UpstreamRow,
    rank: int,
    found_tokens: int,
    known_tokens: int,
    now: float,
) -> float:
    """Return the seconds that the request costs there, itself and others.

    `found_tokens` need no computing there; `known_tokens` are cached, or about to be,
    somewhere, so that computing more than the rest is a waste.
    """
    uncached = request.prompt_tokens - found_tokens
    credit = FIRST_CHOICE_CREDIT * uncached if rank == 0 else 0.0
    prefill_s = (uncached - credit) / row.prefill_tokens_per_s
    again_s = max(0, known_tokens - found_tokens) / row.prefill_tokens_per_s
    return (
        estimate_wait_s(tables, row, now, request.priority)
        + prefill_s * (1 + DUPLICATION_WEIGHT)
        + again_s * RECOMPUTE_WEIGHT
        + (OTHER_ZONE_COST_S if tables.zone not in ("", row.zone) else 0.0)
        + rank * RANK_COST_S
    )


def _pick_candidates(
    ranked: list[UpstreamRow], depth_by_bit_index: dict[int, int], rng: Random
) -> list[tuple[int, UpstreamRow]]:
    """Return (rank, upstream) of those worth a look; all of a small fleet."""
    numbered = list(enumerate(ranked))
    if len(numbered) <= FULL_SCAN_MAX_UPSTREAMS:
        return numbered
    head = numbered[:RANKED_CANDIDATES]
    tail = numbered[RANKED_CANDIDATES:]
    holders = [pair for pair in tail if pair[1].bit_index in depth_by_bit_index]
    return head + holders[:RANKED_CANDIDATES] + rng.sample(tail, RANDOM_CANDIDATES)


def place_round_robin(
    tables: Tables, request: ModelRequest, now: float, rng: Random
) -> Placement | None:
    """Return the upstreams in turn."""
    eligible = list_eligible(tables, request, now)
    if not eligible:
        return None
    tables.round_robin_next += 1
    row = eligible[tables.round_robin_next % len(eligible)]
    return Placement(row, 0.0, request.prompt_tokens)


def place_least_loaded(
    tables: Tables, request: ModelRequest, now: float, rng: Random
) -> Placement | None:
    """Return the upstream with the fewest requests, ties at random."""
    eligible = list_eligible(tables, request, now)
    if not eligible:
        return None
    rng.shuffle(eligible)
    row = min(eligible, key=lambda row: estimate_running(row, now))
    return Placement(row, 0.0, request.prompt_tokens)


def place_prefix_hash(
    tables: Tables, request: ModelRequest, now: float, rng: Random
) -> Placement | None:
    """Return the first choice by the hash of the whole prefix."""
    eligible = list_eligible(tables, request, now)
    if not eligible:
        return None
    key = request.blocks[-1] if request.blocks else 0
    row = max(eligible, key=lambda row: score_rendezvous(key, row.name))
    return Placement(row, 0.0, request.prompt_tokens)


POLICY_BY_NAME: dict[str, Policy] = {
    "catkintrack": place_by_cost,
    "round_robin": place_round_robin,
    "least_loaded": place_least_loaded,
    "prefix_hash": place_prefix_hash,
}

# The baselines send at once, whatever the upstream already has.
WINDOWED_POLICIES = frozenset({"catkintrack"})

"""Place requests on the upstream with the lowest estimated cost."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from catkintrack.weights import find_replaced_at

from .cache_store import count_stored_prefix
from .ejection import is_ejected
from .failure_detection import is_suspect
from .load import estimate_running, estimate_wait_s
from .named_limits import has_token
from .prefills import find_pending
from .prefix import find_affinity_depth
from .residency import find_cached_depths
from .rest import is_held
from .tables import ModelRequest, Tables, UpstreamRow
from .transfers import FETCH_EVICTION_WEIGHT, FetchSource, find_fetch_source

# Caching a prefix on one more replica evicts as many tokens of other prefixes, which
# costs as much as the prefill itself.
DUPLICATION_WEIGHT = 1.0
# Probability that a peer has already sent the prefix to the upstream that ranks first.
FIRST_CHOICE_CREDIT = 0.1
# Prefers a better rendezvous rank at nearly equal cost.
RANK_COST_S = 0.001
# Traffic between zones costs operators more than a short wait costs callers.
OTHER_ZONE_COST_S = 0.03
# Recomputing fewer tokens is faster than waiting for another request's prefill.
AWAITED_PREFILL_MIN_TOKENS = 64
# A small part of the shortest target for the time to first token.
AWAITED_PREFILL_MAX_S = 0.15
# Users weigh recomputed shared tokens far above the prefill time they take.
RECOMPUTE_WEIGHT = 8.0
# 1 s below the users' bound of 6 s, to cover network delay and queueing upstream.
STALE_WEIGHTS_MAX_S = 5.0
FULL_SCAN_MAX_UPSTREAMS = 32
RANKED_CANDIDATES = 8
RANDOM_CANDIDATES = 4


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold a chosen upstream, its estimated cost and the tokens it must prefill.

    `best_cached_tokens` is the longest cached prefix on any eligible upstream.
    `is_awaiting` is set when a prefill in progress there is worth waiting for.
    `source` is where the upstream should fetch cached blocks from, if anywhere.
    `first_token_s` is the estimated time to first token.
    """

    upstream: UpstreamRow
    cost_s: float
    uncached_tokens: int
    best_cached_tokens: int = 0
    is_awaiting: bool = False
    source: FetchSource | None = None
    first_token_s: float = 0.0


Policy = Callable[[Tables, ModelRequest, float, Random], Placement | None]


def may_run(row: UpstreamRow, request: ModelRequest) -> bool:
    """Report whether the upstream has the request's model and an allowed version."""
    is_other = request.software_version not in (None, row.software_version)
    is_other = is_other or row.software_version in request.barred_versions
    return request.model in row.models and not is_other


def is_eligible(
    tables: Tables, row: UpstreamRow, request: ModelRequest, now: float
) -> bool:
    """Report whether the request may be sent to the upstream, whatever its load."""
    if row.is_leaving or row.has_announced_leaving or is_held(row.rest, now):
        return False
    if not has_token(row.limit, now):
        return False
    if row.is_loading or row.name in request.excluded:
        return False
    if not may_run(row, request) or now < row.loading_until:
        return False
    return not has_stale_weights(tables, row, request.model, now) and not is_ejected(
        row, now
    )


def has_stale_weights(tables: Tables, row: UpstreamRow, model: str, now: float) -> bool:
    """Report whether the replica's weights were replaced longer ago than allowed."""
    target = tables.target_by_model.get(model)
    if target is None or row.weights_version >= target.version:
        return False
    replaced_at = find_replaced_at(target, row.weights_version)
    return replaced_at is not None and now - replaced_at >= STALE_WEIGHTS_MAX_S


def list_eligible(
    tables: Tables, request: ModelRequest, now: float
) -> list[UpstreamRow]:
    """Return the eligible upstreams by name; suspect ones only if all are suspect."""
    rows = tables.upstream_by_name.values()
    eligible = [row for row in rows if is_eligible(tables, row, request, now)]
    unsuspected = [row for row in eligible if not is_suspect(row, now)]
    return sorted(unsuspected or eligible, key=lambda row: row.name)


def has_healthy_upstream(tables: Tables, request: ModelRequest, now: float) -> bool:
    """Report whether an upstream that is neither silent nor full may get the request."""
    return any(
        is_eligible(tables, row, request, now)
        and not is_suspect(row, now)
        and estimate_running(row, now) < row.max_running
        for row in tables.upstream_by_name.values()
    )


def compute_affinity_key(request: ModelRequest) -> int:
    """Return the block hash by which all instances rank the upstreams alike."""
    if request.block_ends:
        # The last part is private to the request, the one before is shared.
        return request.blocks[max(0, len(request.blocks) - 2)]
    depth = find_affinity_depth(len(request.blocks))
    return request.blocks[depth - 1] if depth else 0


def score_rendezvous(key: int, name: str) -> int:
    """Return the score of an upstream for `key` in rendezvous hashing.

    Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
    """
    data = key.to_bytes(8, "big") + name.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def place_by_cost(
    tables: Tables, request: ModelRequest, now: float, rng: Random
) -> Placement | None:
    """Place the request where queueing, fetching and prefill cost the least."""
    eligible = list_eligible(tables, request, now)
    if not eligible:
        return None
    depth_by_bit_index = find_cached_depths(tables.residency, request.blocks)
    if request.blocks:
        key = compute_affinity_key(request)
        eligible.sort(key=lambda row: score_rendezvous(key, row.name), reverse=True)
    else:
        rng.shuffle(eligible)
    cached_depths = [depth_by_bit_index.get(row.bit_index, 0) for row in eligible]
    best_cached = request.count_tokens(max(cached_depths))
    pending = find_pending(tables.prefills, request.blocks)
    holders = [row for row in eligible if row.bit_index in depth_by_bit_index]
    fleet_cached = max(
        [request.count_tokens(d) for d in depth_by_bit_index.values()], default=0
    )
    if tables.cache_store is not None:
        version = max(row.weights_version for row in eligible)
        stored_depth = count_stored_prefix(tables.cache_store, version, request.blocks)
        fleet_cached = max(fleet_cached, request.count_tokens(stored_depth))
    if pending is not None:
        fleet_cached = max(fleet_cached, request.count_tokens(pending[1]))
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
        reusable = cached + (source.tokens if source else 0)
        cost_s = estimate_cost_s(
            tables, request, row, rank, reusable, fleet_cached, now
        )
        cost_s += estimate_fetch_s(row, source)
        if best is None or cost_s < best.cost_s:
            uncached = request.prompt_tokens - reusable
            best = Placement(row, cost_s, uncached, best_cached, is_awaiting, source)
    if best is None:
        return None
    return replace(
        best, first_token_s=estimate_first_token_s(tables, request, best, now)
    )


def estimate_first_token_s(
    tables: Tables, request: ModelRequest, placement: Placement, now: float
) -> float:
    """Return the estimated time to first token of a request that is sent now."""
    row = placement.upstream
    fetch_s = placement.source.seconds if placement.source else 0.0
    prefill_s = placement.uncached_tokens / row.prefill_tokens_per_s
    return estimate_wait_s(tables, row, now, request.priority) + fetch_s + prefill_s


def _may_wait_for_prefill(request: ModelRequest, now: float) -> bool:
    """Report whether the request may still wait for another request's prefill."""
    return now - request.arrived_at < AWAITED_PREFILL_MAX_S


def estimate_fetch_s(row: UpstreamRow, source: FetchSource | None) -> float:
    """Return the cost of a fetch in seconds: its duration and a part for evictions."""
    if source is None:
        return 0.0
    evicted_s = source.tokens / row.prefill_tokens_per_s
    return source.seconds + FETCH_EVICTION_WEIGHT * evicted_s


def estimate_cost_s(
    tables: Tables,
    request: ModelRequest,
    row: UpstreamRow,
    rank: int,
    reusable_tokens: int,
    fleet_cached_tokens: int,
    now: float,
) -> float:
    """Return the cost in seconds of a placement, to this request and to others.

    `reusable_tokens` need no prefill at this upstream.  `fleet_cached_tokens` are
    cached, or being prefilled, anywhere in the fleet, so computing them again is waste.
    """
    uncached = request.prompt_tokens - reusable_tokens
    credit = FIRST_CHOICE_CREDIT * uncached if rank == 0 else 0.0
    prefill_s = (uncached - credit) / row.prefill_tokens_per_s
    recompute_s = (
        max(0, fleet_cached_tokens - reusable_tokens) / row.prefill_tokens_per_s
    )
    return (
        estimate_wait_s(tables, row, now, request.priority)
        + prefill_s * (1 + DUPLICATION_WEIGHT)
        + recompute_s * RECOMPUTE_WEIGHT
        + (OTHER_ZONE_COST_S if tables.zone not in ("", row.zone) else 0.0)
        + rank * RANK_COST_S
    )


def _pick_candidates(
    ranked: list[UpstreamRow], depth_by_bit_index: dict[int, int], rng: Random
) -> list[tuple[int, UpstreamRow]]:
    """Return (rank, upstream) of the upstreams to score; all of a small fleet."""
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
    """Place requests on the eligible upstreams in turn."""
    eligible = list_eligible(tables, request, now)
    if not eligible:
        return None
    tables.round_robin_next += 1
    row = eligible[tables.round_robin_next % len(eligible)]
    return Placement(row, 0.0, request.prompt_tokens)


def place_least_loaded(
    tables: Tables, request: ModelRequest, now: float, rng: Random
) -> Placement | None:
    """Place the request on the upstream with the fewest requests, ties at random."""
    eligible = list_eligible(tables, request, now)
    if not eligible:
        return None
    rng.shuffle(eligible)
    row = min(eligible, key=lambda row: estimate_running(row, now))
    return Placement(row, 0.0, request.prompt_tokens)


def place_prefix_hash(
    tables: Tables, request: ModelRequest, now: float, rng: Random
) -> Placement | None:
    """Place the request by rendezvous hashing of its last block's hash."""
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

# The baseline policies dispatch at once, whatever the upstream's load.
WINDOWED_POLICIES = frozenset({"catkintrack"})

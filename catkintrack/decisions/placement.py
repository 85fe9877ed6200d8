"""Place requests on the upstream with the lowest estimated cost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from catkintrack.weights import find_replaced_at

from .cache_store import choose_store, count_stored_prefix
from .ejection import is_ejected
from .failure_detection import is_suspect
from .load import estimate_running, estimate_wait_s, has_brittle_place
from .memory import estimate_memory_wait_s
from .named_limits import has_token
from .prefills import find_pending
from .rendezvous import compute_affinity_key, score_rendezvous
from .residency import find_cached_depths
from .rest import is_held
from .speeds import SpeedTable, find_prefill_rate, find_usual_rate
from .spreading import choose_cost, estimate_spread_s
from .tables import ModelRequest, Tables, UpstreamRow
from .transfers import (
    FETCH_EVICTION_WEIGHT,
    RECOMPUTE_WEIGHT,
    FetchSource,
    find_fetch_source,
)
from .zones import (
    compute_draw,
    estimate_moved_bytes,
    estimate_zone_cost_s,
    observe_model_waits,
)

# Caching a prefix on one more replica evicts as many tokens of other prefixes, which
# costs as much as the prefill itself.
DUPLICATION_WEIGHT = 1.0
# Probability that a peer has already sent the prefix to the upstream that ranks first.
FIRST_CHOICE_CREDIT = 0.1
# Prefers a better rendezvous rank at nearly equal cost.
RANK_COST_S = 0.001
# Traffic between zones costs operators more than a short wait costs callers.  Where the
# tables hold the state of zones, it replaces this.
OTHER_ZONE_COST_S = 0.03
# Recomputing fewer tokens is faster than waiting for another request's prefill.
AWAITED_PREFILL_MIN_TOKENS = 64
# A small part of the shortest target for the time to first token.
AWAITED_PREFILL_MAX_S = 0.15
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


# A row, its uncached tokens, whether it awaits a prefill there, and where it fetches from.
Choice = tuple[UpstreamRow, int, bool, FetchSource | None]
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
    # Asked for each row at each tick, and hardly ever set.
    record = row.brittleness
    if record is not None and not has_brittle_place(row, record, now):
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


def is_healthy(
    tables: Tables, row: UpstreamRow, request: ModelRequest, now: float
) -> bool:
    """Report whether the request may be sent to the upstream, which looks sound."""
    return (
        is_eligible(tables, row, request, now)
        and not is_suspect(row, now)
        and estimate_running(row, now) < row.max_running
    )


def has_healthy_upstream(tables: Tables, request: ModelRequest, now: float) -> bool:
    """Report whether an upstream that is neither silent nor full may get the request."""
    rows = tables.upstream_by_name.values()
    return any(is_healthy(tables, row, request, now) for row in rows)


def place_by_cost(
    tables: Tables, request: ModelRequest, now: float, rng: Random
) -> Placement | None:
    """Place the request where queueing, fetching and prefill cost the least."""
    eligible = list_eligible(tables, request, now)
    if not eligible:
        return None
    if tables.zones is not None:
        observe_model_waits(tables, tables.zones, request, eligible, now)
    leaving_s_by_zone = _estimate_leaving_s_by_zone(
        tables, request, {row.zone for row in eligible}, now
    )
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
    store = choose_store(tables, request)
    if store is not None:
        version = max(row.weights_version for row in eligible)
        stored_depth = count_stored_prefix(store, version, request.blocks)
        fleet_cached = max(fleet_cached, request.count_tokens(stored_depth))
    if pending is not None:
        fleet_cached = max(fleet_cached, request.count_tokens(pending[1]))
    costs_s: list[float] = []
    choices: list[Choice] = []
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
            tables, request, row, cached, holders, depth_by_bit_index, store
        )
        if source is not None and source.tokens:
            is_awaiting = False
        reusable = cached + (source.tokens if source else 0)
        rate = find_prefill_rate(tables, row, now)
        cost_s = leaving_s_by_zone[row.zone] + estimate_cost_s(
            tables, request, row, rank, reusable, fleet_cached, now, rate
        )
        cost_s += estimate_fetch_s(source, rate)
        costs_s.append(cost_s)
        choices.append((row, request.prompt_tokens - reusable, is_awaiting, source))
    index = costs_s.index(min(costs_s))
    if tables.speeds is not None:
        spread_s = _find_spread_s(tables.speeds, tables, eligible, now)
        index = _choose_index(tables, request, choices, costs_s, spread_s, now, rng)
    row, uncached, is_awaiting, source = choices[index]
    best = Placement(row, costs_s[index], uncached, best_cached, is_awaiting, source)
    return replace(
        best, first_token_s=estimate_first_token_s(tables, request, best, now)
    )


def _choose_index(
    tables: Tables,
    request: ModelRequest,
    choices: list[Choice],
    costs_s: list[float],
    spread_s: float,
    now: float,
    rng: Random,
) -> int:
    """Return the index of the least cost, or of a low one that wastes no more tokens.

    The wait for memory is added to the cost only of a replica that would be chosen.
    """
    weighed: set[int] = set()
    while True:
        best = costs_s.index(min(costs_s))
        uncached = choices[best][1]
        equals = [i for i, choice in enumerate(choices) if choice[1] <= uncached]
        index = equals[choose_cost([costs_s[i] for i in equals], spread_s, rng)]
        if index in weighed:
            return index
        wait_s = estimate_memory_wait_s(tables, choices[index][0], request, now)
        if not wait_s:
            return index
        weighed.add(index)
        costs_s[index] += wait_s


def _find_spread_s(
    speeds: SpeedTable, tables: Tables, rows: list[UpstreamRow], now: float
) -> float:
    """Return the scale on which costs count as almost equal."""
    capacity_per_s = sum([row.prefill_tokens_per_s for row in rows])
    return estimate_spread_s(speeds.sent, capacity_per_s, tables.router_count, now)


def estimate_first_token_s(
    tables: Tables, request: ModelRequest, placement: Placement, now: float
) -> float:
    """Return the estimated time to first token of a request that is sent now."""
    row = placement.upstream
    fetch_s = placement.source.seconds if placement.source else 0.0
    rate = find_prefill_rate(tables, row, now)
    prefill_s = placement.uncached_tokens / rate
    wait_s = estimate_wait_s(tables, row, now, request.priority, rate)
    wait_s += estimate_memory_wait_s(tables, row, request, now)
    return wait_s + fetch_s + prefill_s


def _may_wait_for_prefill(request: ModelRequest, now: float) -> bool:
    """Report whether the request may still wait for another request's prefill."""
    return now - request.arrived_at < AWAITED_PREFILL_MAX_S


def estimate_fetch_s(source: FetchSource | None, rate: float) -> float:
    """Return the cost of a fetch in seconds: its duration and a part for evictions.

    `rate` is the tokens/s that the fetching upstream prefills now.
    """
    if source is None:
        return 0.0
    evicted_s = source.tokens / rate
    return source.seconds + FETCH_EVICTION_WEIGHT * evicted_s


def estimate_cost_s(
    tables: Tables,
    request: ModelRequest,
    row: UpstreamRow,
    rank: int,
    reusable_tokens: int,
    fleet_cached_tokens: int,
    now: float,
    rate: float,
) -> float:
    """Return the cost in seconds of a placement, to this request and to others.

    What it costs to leave the zone is not included.
    `reusable_tokens` need no prefill at this upstream.  `fleet_cached_tokens` are
    cached, or being prefilled, anywhere in the fleet, so computing them again is waste.
    `rate` is the tokens/s that the upstream prefills now.
    """
    uncached = request.prompt_tokens - reusable_tokens
    credit = FIRST_CHOICE_CREDIT * uncached if rank == 0 else 0.0
    prefill_s = (uncached - credit) / rate
    wasted = max(0, fleet_cached_tokens - reusable_tokens)
    recompute_s = wasted / find_usual_rate(tables, row) if wasted else 0.0
    return (
        estimate_wait_s(tables, row, now, request.priority, rate)
        + prefill_s * (1 + DUPLICATION_WEIGHT)
        + recompute_s * RECOMPUTE_WEIGHT
        + rank * RANK_COST_S
    )


def _estimate_leaving_s_by_zone(
    tables: Tables, request: ModelRequest, zones: set[str], now: float
) -> dict[str, float]:
    """Return the cost in seconds of sending a request to each zone, 0 for the own one."""
    if tables.zones is None:
        return {
            zone: OTHER_ZONE_COST_S if tables.zone not in ("", zone) else 0.0
            for zone in zones
        }
    draw = compute_draw(request.id)
    moved_bytes = estimate_moved_bytes(request)
    return {
        zone: estimate_zone_cost_s(
            tables.zones, zone, now, request.model, moved_bytes, draw
        )
        for zone in zones
    }


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

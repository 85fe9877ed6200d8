"""Admit the model calls that the fleet can begin and finish in time; refuse others at once.

Load pattern: a storm of 2.5 times the load that the fleet finishes, with callers that
return.  Without admission calls wait in engines until their deadlines, and what was read
for them was read in vain.

A call's wait is estimated from the prefill work that all instances announce and from the
work that is queued here before it, so that the first call of a storm is judged like the
last.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from random import Random

from . import load
from .decode_pace import DecodePace, estimate_token_s
from .engine_priority import LATE_PRIORITY_OFFSET, compute_engine_priority
from .fleet_shares import (
    FleetShares,
    compute_mean_usage,
    read_weighted_usage,
    record_own_usage,
)
from .pacing import (
    MAX_PREFILL_SHARE,
    Pacing,
    estimate_own_share,
    estimate_rate,
    find_spare_s,
    is_within_pace,
)
from .placement import Placement, list_eligible
from .residency import find_cached_depths
from .served_floors import (
    ServedFloors,
    is_below_floor,
    record_asked,
    record_served,
)
from .speeds import find_prefill_rate
from .tables import ModelRequest, Tables, UpstreamRow, ensure_workspace
from .verdicts import Refusal, RefusalReason

# Longest time to return, as a share of what is left of the caller's time.
MAX_RETURN_SHARE = 1 / 3
# Least part of the time to return that callers are spread over.
RETURN_SPREAD = 0.5
MIN_RETURN_S = 0.05
# About one tick of the scheduler.
ROOM_MAX_AGE_S = 0.01

# Model, software version if one is required, and priority.
RequestKind = tuple[str, str | None, int]


@dataclass(frozen=True, slots=True)
class Room:
    """Hold the room of a model's replicas for this instance, in seconds of prefills.

    `begins_in_s` is the time until any replica takes a call, `spare_s` the work that they
    take at once then, and `rate` what they take per second after that.
    """

    begins_in_s: float
    spare_s: float
    rate: float


@dataclass(slots=True)
class AdmissionTable:
    """Hold what admission knows.

    `work_s_by_id` holds the estimated prefill work of each queued request, `late_ids`
    those that are expected to begin late, `room_by_kind` the rooms found at `rooms_at`.
    `returns_at` is when the fleet has room for the last caller that was refused.
    """

    pacing: Pacing = field(default_factory=Pacing)
    shares: FleetShares = field(default_factory=FleetShares)
    floors: ServedFloors = field(default_factory=ServedFloors)
    pace: DecodePace = field(default_factory=DecodePace)
    work_s_by_id: dict[str, float] = field(default_factory=dict)
    late_ids: set[str] = field(default_factory=set)
    room_by_kind: dict[RequestKind, Room | None] = field(default_factory=dict)
    rooms_at: float = -math.inf
    returns_at: float = 0.0


def order_requests(tables: Tables, now: float) -> list[ModelRequest]:
    """Return the queued requests with their ranks as priorities, the best first.

    Classes that are served too seldom come first.  Within a rank the workspaces within
    their shares come first, then sizes that differ by less than a factor of 2, then earlier
    targets, which earlier first attempts have.
    """
    table = tables.admission
    assert table is not None
    rows = [row for row in tables.workspace_by_name.values() if row.waiting]
    ranked = [
        replace(request, priority=_find_rank(table, request, now))
        for row in rows
        for request in row.waiting
    ]
    if len(ranked) <= 1:
        return ranked
    share = compute_mean_usage(tables, table.shares, now)
    is_over_by_name = {
        row.name: read_weighted_usage(table.shares, row, now) > share for row in rows
    }

    def make_key(request: ModelRequest) -> tuple[bool, int, bool, int, float]:
        return (
            not is_below_floor(table.floors, request, now),
            request.priority,
            is_over_by_name[request.workspace],
            request.prompt_tokens.bit_length(),
            request.target_at,
        )

    return sorted(ranked, key=make_key)


def _find_rank(table: AdmissionTable, request: ModelRequest, now: float) -> int:
    """Return the rank that engines would give the request; late ones come last."""
    work_s = table.work_s_by_id.get(request.id, 0.0)
    if request.id in table.late_ids:
        work_s = math.inf
    return compute_engine_priority(request.priority, request.target_at, work_s, now)


def list_candidates(tables: Tables, now: float, count: int) -> list[ModelRequest]:
    """Return the first `count` queued requests of each model.

    Those of a rank for which no replica had room a moment ago are left out.
    """
    table = tables.admission
    assert table is not None
    _update_work(tables, table, now)
    count_by_model: Counter[str] = Counter()
    candidates = []
    for request in order_requests(tables, now):
        room = _find_fresh_rooms(table, now).get(_find_kind(request))
        has_room = room is None or room.begins_in_s <= 0
        if has_room and count_by_model[request.model] < count:
            count_by_model[request.model] += 1
            candidates.append(request)
    return candidates


def refuse_unfinishable(tables: Tables, now: float, rng: Random) -> list[Refusal]:
    """Refuse the queued requests that the fleet can't begin and finish in time."""
    table = tables.admission
    if table is None or not any(r.waiting for r in tables.workspace_by_name.values()):
        return []
    _update_work(tables, table, now)
    table.late_ids.clear()
    ahead_s_by_model: dict[str, float] = defaultdict(float)
    refusals = []
    for request in order_requests(tables, now):
        work_s = table.work_s_by_id[request.id]
        ahead_s = ahead_s_by_model[request.model]
        room = _find_known_room(tables, request, now)
        wait_s = estimate_queue_s(room, ahead_s + work_s)
        is_on_time = request.priority < LATE_PRIORITY_OFFSET
        if is_on_time and now + wait_s + work_s > request.target_at:
            # It will wait as a late one does.
            table.late_ids.add(request.id)
            late = replace(request, priority=request.priority + LATE_PRIORITY_OFFSET)
            room = _find_known_room(tables, late, now)
            wait_s = estimate_queue_s(room, ahead_s + work_s)
        if room is None or may_finish(table, request, wait_s + work_s, now):
            ahead_s_by_model[request.model] += work_s
            continue
        queued = remove_queued(tables, request)
        refusals.append(refuse(tables, queued, wait_s, work_s / room.rate, now, rng))
    return refusals


def estimate_queue_s(room: Room | None, queued_s: float) -> float:
    """Return the time until a request begins; `queued_s` is its work and that before it.

    While the replicas are full, even the first one waits until it is this instance's turn.
    """
    if room is None:
        return 0.0
    return room.begins_in_s + max(0.0, queued_s - room.spare_s) / room.rate


def remove_queued(tables: Tables, request: ModelRequest) -> ModelRequest:
    """Remove a request from its queue and return it as it was queued."""
    waiting = ensure_workspace(tables, request.workspace).waiting
    queued = next(queued for queued in waiting if queued.id == request.id)
    waiting.remove(queued)
    return queued


def may_finish(
    table: AdmissionTable, request: ModelRequest, first_token_s: float, now: float
) -> bool:
    """Report whether a request can end in time if its first token takes `first_token_s`."""
    decode_s = request.max_tokens * estimate_token_s(table.pace, now)
    return now + first_token_s + decode_s <= request.deadline


def may_begin(
    tables: Tables, request: ModelRequest, placement: Placement, now: float
) -> bool:
    """Report whether the replica's pace leaves room for the request's own prefill.

    Requests of classes that are served too seldom need not fit.
    """
    table = tables.admission
    if table is None or is_below_floor(table.floors, request, now):
        return True
    row, rank = placement.upstream, request.priority
    work_s = placement.uncached_tokens / find_prefill_rate(tables, row, now)
    return is_within_pace(tables, row, work_s, now, rank)


def is_placement_refused(
    tables: Tables, request: ModelRequest, placement: Placement, now: float
) -> bool:
    """Report whether a request that is sent now as placed would end too late."""
    table = tables.admission
    return table is not None and not may_finish(
        table, request, placement.first_token_s, now
    )


def rank_as_placed(
    tables: Tables, request: ModelRequest, placement: Placement, now: float
) -> ModelRequest:
    """Return the request with a late one's rank if its placement misses the target."""
    is_late = now + placement.first_token_s > request.target_at
    is_ranked_late = request.priority >= LATE_PRIORITY_OFFSET
    if tables.admission is None or is_ranked_late or not is_late:
        return request
    return replace(request, priority=request.priority + LATE_PRIORITY_OFFSET)


def refuse(
    tables: Tables,
    request: ModelRequest,
    wait_s: float,
    interval_s: float,
    now: float,
    rng: Random,
) -> Refusal:
    """Return a refusal with the time at which the fleet should have room.

    Callers that are refused together return one after the other, at the `interval_s` in
    which the fleet takes one.
    """
    table = tables.admission
    assert table is not None
    table.returns_at = max(table.returns_at + interval_s, now + wait_s)
    latest_s = MAX_RETURN_SHARE * max(0.0, request.deadline - now)
    return_s = table.returns_at - now
    if return_s > latest_s:
        # The fleet has no room for further callers in the time that they have.
        return_s = latest_s
        table.returns_at = min(table.returns_at, now + wait_s + latest_s)
    return_s *= 1 - RETURN_SPREAD * rng.random()
    reason = RefusalReason.ADMISSION
    return Refusal(request, reason, max(MIN_RETURN_S, return_s), wait_s)


def record_admitted(tables: Tables, request: ModelRequest, now: float) -> None:
    """Record that a request is dispatched for the first time."""
    if tables.admission is not None:
        record_own_usage(tables.admission.shares, request, now)
        record_served(tables.admission.floors, request, now)


def record_completion(tables: Tables, request_id: str) -> None:
    """Record that a request's response is complete."""
    running = tables.running_by_id.get(request_id)
    if running is not None:
        running.is_complete = True


def find_room(tables: Tables, request: ModelRequest, now: float) -> Room | None:
    """Return the room that the request's replicas have, None without any."""
    rows = list_eligible(tables, request, now)
    if not rows:
        return None
    own_share = estimate_own_share(tables, now)
    spare_s = [find_spare_s(tables, row, now, request.priority) for row in rows]
    # The backlog drains while the replica's pace holds calls back.
    begins_in_s = min(
        max(-spare / MAX_PREFILL_SHARE, _estimate_excess_s(tables, row, request, now))
        for spare, row in zip(spare_s, rows, strict=True)
    )
    return Room(
        begins_in_s,
        own_share * sum(max(0.0, spare) for spare in spare_s),
        own_share * estimate_rate(tables, request.priority, len(rows), now),
    )


def _find_known_room(tables: Tables, request: ModelRequest, now: float) -> Room | None:
    """Return the room for a request, at most ROOM_MAX_AGE_S old."""
    assert tables.admission is not None
    room_by_kind = _find_fresh_rooms(tables.admission, now)
    kind = _find_kind(request)
    if kind not in room_by_kind:
        room_by_kind[kind] = find_room(tables, request, now)
    return room_by_kind[kind]


def _find_kind(request: ModelRequest) -> RequestKind:
    return request.model, request.software_version, request.priority


def _find_fresh_rooms(
    table: AdmissionTable, now: float
) -> dict[RequestKind, Room | None]:
    if now - table.rooms_at >= ROOM_MAX_AGE_S:
        table.room_by_kind = {}
        table.rooms_at = now
    return table.room_by_kind


def _estimate_excess_s(
    tables: Tables, row: UpstreamRow, request: ModelRequest, now: float
) -> float:
    """Return the seconds until the replica's backlog is within its bound."""
    tokens = load.estimate_prefill_tokens(tables, row, now, request.priority)
    rate = find_prefill_rate(tables, row, now)
    return max(0.0, tokens / rate - tables.max_prefill_wait_s)


def _update_work(tables: Tables, table: AdmissionTable, now: float) -> None:
    """Estimate the work of new requests, count them and forget those that are gone."""
    known = table.work_s_by_id
    table.work_s_by_id = {}
    for row in tables.workspace_by_name.values():
        for request in row.waiting:
            work_s = known.get(request.id)
            if work_s is None:
                work_s = _estimate_work_s(tables, request, now)
                record_asked(table.floors, request, now)
            table.work_s_by_id[request.id] = work_s


def _estimate_work_s(tables: Tables, request: ModelRequest, now: float) -> float:
    """Return the seconds of prefill at a replica with the longest cached prefix."""
    depths = find_cached_depths(tables.residency, request.blocks)
    cached = request.count_tokens(max(depths.values(), default=0))
    rates = [
        find_prefill_rate(tables, row, now)
        for row in tables.upstream_by_name.values()
        if request.model in row.models
    ]
    mean_rate = sum(rates) / len(rates) if rates else 1.0
    return (request.prompt_tokens - cached) / mean_rate

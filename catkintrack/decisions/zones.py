"""Decide which calls leave their availability zone, and how many.

Answers a zone at 2.5 times its load beside zones with room, a zone that has lost half of
its replicas, zones that are short at once, and a link between zones that is cut.  All
instances of a zone decide alike on figures some 100 ms old, so a rule that compares waits
alone would move the zone's whole load back and forth.  Instead a share of the calls may
leave: it follows the difference between the waits by bounded steps (integral control),
and each call compares its own draw with it, so that the number of calls that leave also
grows in proportion to the difference.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from .ejection import is_ejected
from .failure_detection import is_suspect
from .load import (
    REPORT_MAX_AGE_S,
    estimate_running,
    estimate_wait_s,
    has_capacity,
)
from .tables import ModelRequest, Tables, UpstreamRow

# Ten round trips between zones: less is within the error of the estimated waits.
PATH_COST_S = 0.02
# Wait at home that callers accept to save the operators a megabyte between zones.
PATH_COST_S_PER_MB = 0.25
# A call from elsewhere waits itself and delays a call of that zone by as much.
REMOTE_WAIT_WEIGHT = 2.0
# Wait from which on a zone is full: half of the backlog at which instances queue requests.
# Its own calls keep the first claim, so that it counts twice as much again, and while it
# grows the zone is left alone.
FULL_WAIT_S = 0.1
FULL_WAIT_WEIGHT = 4.0
# A zone's wait grows while it is above its average over this time.
TREND_S = 1.0
# Difference between the waits at which all calls may leave.  A shorter spread oscillates
# with older figures, a longer one lets calls wait longer before the share has grown.
SPREAD_S = 0.6
# Hysteresis: the share holds while the advantage of leaving is below this.
HOLD_BAND_S = 0.02
SHARE_GAIN_PER_S2 = 0.5
OBSERVE_INTERVAL_S = 0.1
# Bounds on the change of a share in each such interval.
MAX_CHANGE = 0.05
MIN_FALL = 0.02
# A service with few calls is observed at longer intervals.
MAX_ELAPSED_S = 1.0
# After a sign that a zone is full, until its replicas' load shows what was sent before.
HOLD_AFTER_SIGN_S = 0.5
# Twice as long after each hold that ends with another lost call, up to this.
HOLD_MAX_S = 4.0
SIGN_FACTOR = 0.5
# A lost call may show that the path is cut, and each further one harms its caller.
LOSS_FACTOR = 0.25
# Repeated factors end here: a call in fifty would only meet the same trouble.
MIN_SHARE = 0.02
# Counts prefills of all priorities.
LOWEST_PRIORITY = 1 << 30
BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_EVENT = 200


@dataclass(slots=True)
class ZoneShare:
    """Hold the share of calls that may go to a zone, and the estimated wait there.

    `mean_wait_s` is the moving average of the wait.  `signed_at` is when a sign last lowered
    the share; until `held_until` it does not rise.  `loss_hold_s` is for how long it
    is held after the next call that is lost.
    """

    share: float = 0.0
    wait_s: float = 0.0
    mean_wait_s: float = 0.0
    signed_at: float = -math.inf
    held_until: float = -math.inf
    loss_hold_s: float = HOLD_AFTER_SIGN_S


@dataclass(slots=True)
class ZoneTable:
    """Hold the shares by service or model and zone, and the waits in the own zone."""

    home: str
    share_by_zone_by_service: dict[str, dict[str, ZoneShare]] = field(
        default_factory=dict
    )
    home_wait_s_by_service: dict[str, float] = field(default_factory=dict)
    observed_at_by_service: dict[str, float] = field(default_factory=dict)


def find_share(zones: ZoneTable, service: str, zone: str) -> ZoneShare:
    """Return the state of a zone, creating it if it is missing."""
    shares = zones.share_by_zone_by_service.setdefault(service, {})
    return shares.setdefault(zone, ZoneShare())


def is_observation_due(zones: ZoneTable, service: str, now: float) -> bool:
    """Report whether the waits of a service should be observed again."""
    observed_at = zones.observed_at_by_service.get(service, -math.inf)
    return now - observed_at >= OBSERVE_INTERVAL_S


def observe_waits(
    zones: ZoneTable, service: str, wait_s_by_zone: Mapping[str, float], now: float
) -> None:
    """Move the shares of a service after its waits; zones left out have no replica."""
    observed_at = zones.observed_at_by_service.get(service, now - OBSERVE_INTERVAL_S)
    elapsed_s = min(now - observed_at, MAX_ELAPSED_S)
    is_outdated = now - observed_at > REPORT_MAX_AGE_S
    zones.observed_at_by_service[service] = now
    home_wait_s = wait_s_by_zone.get(zones.home, math.inf)
    zones.home_wait_s_by_service[service] = home_wait_s
    known = set(zones.share_by_zone_by_service.get(service, ()))
    for zone in sorted((known | set(wait_s_by_zone)) - {zones.home, ""}):
        state = find_share(zones, service, zone)
        if is_outdated:
            state.share = 0.0
        state.wait_s = wait_s_by_zone.get(zone, math.inf)
        if math.isinf(state.wait_s) or math.isinf(state.mean_wait_s):
            state.mean_wait_s = state.wait_s
        else:
            weight = min(1.0, elapsed_s / TREND_S)
            state.mean_wait_s += weight * (state.wait_s - state.mean_wait_s)
        _move_share(state, home_wait_s, now, elapsed_s)


def _move_share(
    state: ZoneShare, home_wait_s: float, now: float, elapsed_s: float
) -> None:
    advantage_s = _compute_advantage_s(state, home_wait_s)
    steps = elapsed_s / OBSERVE_INTERVAL_S
    wanted = SHARE_GAIN_PER_S2 * abs(advantage_s) * elapsed_s
    change = min(MAX_CHANGE * steps, wanted)
    if advantage_s < 0:
        state.share = max(0.0, state.share - max(MIN_FALL * steps, change))
    elif advantage_s > HOLD_BAND_S and not _is_closed(state, now):
        state.share = min(1.0, state.share + change)


def _compute_advantage_s(state: ZoneShare, home_wait_s: float) -> float:
    """Return how much less a call costs in the zone than at home, path included."""
    if math.isinf(state.wait_s):
        return -1.0
    return home_wait_s - _weigh_wait_s(state) - PATH_COST_S


def _weigh_wait_s(state: ZoneShare) -> float:
    """Return the wait in another zone as it counts beside the one at home."""
    is_full = state.wait_s >= FULL_WAIT_S
    return state.wait_s * (FULL_WAIT_WEIGHT if is_full else REMOTE_WAIT_WEIGHT)


def _is_filling(state: ZoneShare) -> bool:
    """Report whether a full zone fills further."""
    is_growing = state.wait_s > state.mean_wait_s + HOLD_BAND_S
    return state.wait_s >= FULL_WAIT_S and is_growing


def _is_closed(state: ZoneShare, now: float) -> bool:
    """Report whether a zone takes no calls beyond its share."""
    return _is_filling(state) or now < state.held_until


def record_sign(state: ZoneShare, now: float) -> None:
    """Halve a share, since replicas of the zone reject calls or let them wait.

    Signs within an interval answer the same calls and count once.
    """
    if now - state.signed_at >= OBSERVE_INTERVAL_S:
        _lower_share(state, SIGN_FACTOR, now)
        state.held_until = max(state.held_until, now + HOLD_AFTER_SIGN_S)


def record_lost_call(state: ZoneShare, now: float) -> None:
    """Quarter a share, since a call was lost at the zone; each one counts.

    Calls lost while the zone is held were sent before, as when one replica ends with all
    its calls, and do not hold it for longer.
    """
    _lower_share(state, LOSS_FACTOR, now)
    if now >= state.held_until:
        state.held_until = now + state.loss_hold_s
        state.loss_hold_s = min(HOLD_MAX_S, 2 * state.loss_hold_s)


def record_answered_call(state: ZoneShare) -> None:
    """Record that a call was answered at the zone, so that the path there is open."""
    state.loss_hold_s = HOLD_AFTER_SIGN_S


def _lower_share(state: ZoneShare, factor: float, now: float) -> None:
    state.signed_at = now
    state.share *= factor
    if state.share < MIN_SHARE:
        state.share = 0.0


def compute_draw(call_id: str) -> float:
    """Return the number in [0, 1) by which a call is compared with shares.

    It stays the same while the call waits, so that waiting is no further chance to leave.
    """
    digest = hashlib.blake2b(call_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def estimate_zone_cost_s(
    zones: ZoneTable,
    row_zone: str,
    now: float,
    service: str = "",
    moved_bytes: int = 0,
    draw: float = 0.0,
) -> float:
    """Return what a replica's zone adds to the cost of a call there, in seconds.

    To a call that may not leave, the zone's shorter wait is no advantage.  Other reasons,
    such as a cached prefix, still count: the cost is bounded by the waits.
    """
    if row_zone in ("", zones.home) or not zones.home:
        return 0.0
    path_s = PATH_COST_S + PATH_COST_S_PER_MB * moved_bytes / 1e6
    state = zones.share_by_zone_by_service.get(service, {}).get(row_zone)
    home_wait_s = zones.home_wait_s_by_service.get(service)
    if state is None or home_wait_s is None or math.isinf(state.wait_s):
        return path_s
    weighed_s = _weigh_wait_s(state)
    claim_s = weighed_s - state.wait_s
    if math.isinf(home_wait_s):
        return path_s + claim_s
    refusal_s = SPREAD_S * max(0.0, draw - state.share)
    gap_s = max(0.0, home_wait_s - weighed_s)
    if draw >= state.share and _is_closed(state, now):
        # The waits may have grown apart since they were observed.
        return path_s + claim_s + gap_s + refusal_s
    return path_s + claim_s + min(gap_s, refusal_s)


def describe_choice(zones: ZoneTable, service: str, row_zone: str) -> dict[str, Any]:
    """Return why a call stays at home or leaves, for the log.

    The share and wait of a call that stays are those of the zone that waits least.
    """
    shares = zones.share_by_zone_by_service.get(service, {})
    is_home = row_zone in ("", zones.home)
    state = None if is_home else shares.get(row_zone)
    if is_home and shares:
        state = min(shares.values(), key=lambda other: other.wait_s)
    return {
        "zone_choice": "home" if is_home else "other",
        "zone_share": None if state is None else round(state.share, 3),
        "home_wait_s": _round_wait(zones.home_wait_s_by_service.get(service)),
        "zone_wait_s": _round_wait(state.wait_s if state else None),
    }


def describe_table(zones: ZoneTable) -> dict[str, Any]:
    """Return all shares and waits, for the state dump."""
    return {
        service: {
            "home_wait_s": _round_wait(zones.home_wait_s_by_service.get(service)),
            "zones": {
                zone: {
                    "share": round(state.share, 3),
                    "wait_s": _round_wait(state.wait_s),
                }
                for zone, state in sorted(shares.items())
            },
        }
        for service, shares in sorted(zones.share_by_zone_by_service.items())
    }


def _round_wait(wait_s: float | None) -> float | None:
    if wait_s is None or math.isinf(wait_s):
        return None
    return round(wait_s, 4)


def observe_model_waits(
    tables: Tables,
    zones: ZoneTable,
    request: ModelRequest,
    eligible: Iterable[UpstreamRow],
    now: float,
) -> None:
    """Observe the waits for a model at its eligible replicas, if that is due.

    Requests queue in instances while replicas have no capacity.  All zones' instances do
    so, so that their queues count by the part of each zone's replicas that are full.
    """
    if request.excluded or request.software_version is not None:
        return
    if not is_observation_due(zones, request.model, now):
        return
    rows_by_zone: dict[str, list[UpstreamRow]] = {}
    for row in eligible:
        rows_by_zone.setdefault(row.zone, []).append(row)
    queueing_s = _estimate_queueing_s(tables, request.model, now)
    wait_s_by_zone: dict[str, float] = {}
    for zone, rows in rows_by_zone.items():
        waits = [estimate_wait_s(tables, row, now, LOWEST_PRIORITY) for row in rows]
        wait_s_by_zone[zone] = _find_usual_wait_s(waits)
        if queueing_s:
            full = [not has_capacity(tables, row, now, LOWEST_PRIORITY) for row in rows]
            wait_s_by_zone[zone] += queueing_s * sum(full) / len(rows)
    observe_waits(zones, request.model, wait_s_by_zone, now)


def _find_usual_wait_s(waits: list[float]) -> float:
    """Return the mean of the lower half, where a zone's next calls go."""
    lower = sorted(waits)[: (len(waits) + 1) // 2]
    return sum(lower) / len(lower)


def _estimate_queueing_s(tables: Tables, model: str, now: float) -> float:
    """Return how long requests wait in this process before they are sent."""
    ages = [
        now - request.arrived_at
        for row in tables.workspace_by_name.values()
        for request in row.waiting
        if request.model == model
    ]
    # A queue that is served in order holds requests of half the wait on average.
    return 2 * sum(ages) / len(ages) if ages else 0.0


def estimate_moved_bytes(request: ModelRequest) -> int:
    """Return about how many bytes a model call moves between zones if it leaves."""
    prompt_bytes = request.prompt_tokens * BYTES_PER_PROMPT_TOKEN
    return prompt_bytes + request.max_tokens * BYTES_PER_EVENT


def estimate_service_wait_s(running: int, slots: int, service_s: float) -> float:
    """Return the estimated seconds until a replica begins a plain call.

    The load is that of a queue with several servers: Sakasegawa, "An approximation
    formula L_q = alpha rho^beta / (1 - rho)", 1977.  Beyond capacity the calls are counted.
    """
    if not running:
        return 0.0
    fill = min(running / slots, (slots - 0.5) / slots)
    exponent = math.sqrt(2 * (slots + 1)) - 1
    wait_s = service_s / slots * fill**exponent / (1 - fill)
    return wait_s + max(0, running - slots) * service_s / slots


def observe_service_waits(
    zones: ZoneTable,
    service: str,
    rows: Iterable[UpstreamRow],
    service_s: float,
    now: float,
) -> None:
    """Observe the waits for a plain service at its replicas, if that is due."""
    if not is_observation_due(zones, service, now):
        return
    waits: dict[str, list[float]] = {}
    for row in rows:
        if not is_ejected(row, now) and not is_suspect(row, now):
            running, slots = estimate_running(row, now), max(1, row.max_running)
            wait_s = estimate_service_wait_s(running, slots, service_s)
            waits.setdefault(row.zone, []).append(wait_s)
    wait_s_by_zone = {
        zone: _find_usual_wait_s(values) for zone, values in waits.items()
    }
    observe_waits(zones, service, wait_s_by_zone, now)

"""Choose a replica for a call that is not a model call."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from .ejection import is_ejected
from .failure_detection import SUSPECT_AFTER_S, is_suspect
from .load import estimate_running
from .speeds import find_slowdown
from .spreading import choose_cost
from .tables import UpstreamRow
from .zones import (
    ZoneTable,
    estimate_service_wait_s,
    estimate_zone_cost_s,
    observe_service_waits,
)

# Running and waiting calls per slot up to which a replica of an ejected service is tried.
PANIC_FILL = 2.0
# Duration of plain calls to a service until one has ended.
DEFAULT_SERVICE_S = 0.05
SERVICE_TIME_SMOOTHING = 0.1
# Fill of a replica from which on its room is left to the calls of its own zone.
REMOTE_FULL_FILL = 0.75
# About a kilobyte each way, with the heads.
PLAIN_CALL_BYTES = 2000
# Calls of other instances between two reports: at most this part of a replica's slots,
# and of the mean load.
UNSEEN_FILL = 0.25
UNSEEN_SHARE = 0.5


@dataclass(slots=True)
class ServiceTables:
    """Hold the replicas' state that concerns such calls, keyed by name.

    `router_count` is the number of processes that share the replicas, this one included.
    `zones` is set where calls leave their zone by its load; `service_s_by_service` holds
    the moving average of a call's duration.
    """

    row_by_name: dict[str, UpstreamRow] = field(default_factory=dict)
    router_count: int = 1
    zones: ZoneTable | None = None
    service_s_by_service: dict[str, float] = field(default_factory=dict)


def choose_replica(
    tables: ServiceTables,
    names: Iterable[str],
    now: float,
    rng: Random,
    zone: str = "",
    silent_after_s: float = SUSPECT_AFTER_S,
    service: str = "",
) -> str | None:
    """Return the replica with the lowest load per capacity, ties at random.

    Replicas that were silent for `silent_after_s` come last, those in availability zone
    `zone` first while they are below capacity, or by the state of zones if there is any.
    If all are ejected, those that can be reached are tried.
    """
    eligible = _list_eligible(tables, list(names), now)
    if not eligible:
        return None
    rng.shuffle(eligible)
    rows = [ensure_service_row(tables, name) for name in eligible]
    has_speeds = any(row.speed is not None for row in rows)
    find_key = _make_sort_key(tables, service, zone, now, rng, has_speeds)
    keys = [(is_suspect(row, now, silent_after_s), *find_key(row)) for row in rows]
    best = min(keys)
    index = keys.index(best)
    if has_speeds:
        equals = [i for i, key in enumerate(keys) if key[:-1] == best[:-1]]
        index = equals[_draw_load([keys[i][-1] for i in equals], rng)]
    return rows[index].name


def _draw_load(loads: list[float], rng: Random) -> int:
    """Return the index of a low load, at random among almost equal ones.

    Instances that share what they know of the loads would all choose the same replica.
    """
    mean = sum(loads) / len(loads)
    return choose_cost(loads, min(UNSEEN_FILL, UNSEEN_SHARE * mean), rng)


SortKey = Callable[[UpstreamRow], tuple[float, ...]]


def _make_sort_key(
    tables: ServiceTables,
    service: str,
    zone: str,
    now: float,
    rng: Random,
    has_speeds: bool,
) -> SortKey:
    """Return the function that orders the replicas for one call."""
    zones = tables.zones
    if zones is None:
        return lambda row: _sort_key(row, zone, now, has_speeds)
    service_s = tables.service_s_by_service.get(service, DEFAULT_SERVICE_S)
    draw = rng.random()
    leaving_s_by_zone: dict[str, float] = {}

    def find_key(row: UpstreamRow) -> tuple[float, ...]:
        running = estimate_running(row, now)
        slots = max(1, row.max_running)
        fill = running / slots
        is_full = fill >= (1.0 if row.zone == zone else REMOTE_FULL_FILL)
        if row.zone not in leaving_s_by_zone:
            leaving_s_by_zone[row.zone] = estimate_zone_cost_s(
                zones, row.zone, now, service, PLAIN_CALL_BYTES, draw
            )
        wait_s = estimate_service_wait_s(running, slots, service_s)
        wait_s *= find_slowdown(row, now)
        cost_s = wait_s + leaving_s_by_zone[row.zone]
        return is_full, cost_s, _estimate_load(row, fill, now, has_speeds)

    return find_key


def observe_service(
    tables: ServiceTables, service: str, names: Iterable[str], now: float
) -> None:
    """Observe the waits at all replicas of a service, where zones are compared."""
    if tables.zones is None:
        return
    service_s = tables.service_s_by_service.get(service, DEFAULT_SERVICE_S)
    rows = [ensure_service_row(tables, name) for name in names]
    observe_service_waits(tables.zones, service, rows, service_s, now)


def find_service_s(tables: ServiceTables, service: str) -> float:
    """Return the moving average of the duration of a service's calls, in seconds."""
    return tables.service_s_by_service.get(service, DEFAULT_SERVICE_S)


def record_service_time(tables: ServiceTables, service: str, duration_s: float) -> None:
    """Update the moving average of the duration of a service's calls."""
    known_s = tables.service_s_by_service.get(service, duration_s)
    change = SERVICE_TIME_SMOOTHING * (duration_s - known_s)
    tables.service_s_by_service[service] = known_s + change


def _list_eligible(tables: ServiceTables, names: list[str], now: float) -> list[str]:
    """Return the replicas that may get a call.

    A service whose replicas are all ejected still gets calls, within its capacity (Envoy's
    panic threshold): an ejection only helps while other replicas serve.
    """
    rows = [ensure_service_row(tables, name) for name in names]
    eligible = [row.name for row in rows if not is_ejected(row, now)]
    if eligible:
        return eligible
    return [
        row.name
        for row in rows
        if not row.is_unreachable
        and estimate_running(row, now) < _find_panic_share(tables, row)
    ]


def _find_panic_share(tables: ServiceTables, row: UpstreamRow) -> float:
    """Return how many calls this process may send to an ejected replica at once."""
    calls = PANIC_FILL * max(1, row.max_running)
    return max(1.0, calls / max(1, tables.router_count))


def has_healthy_replica(
    tables: ServiceTables, names: Iterable[str], now: float, silent_after_s: float
) -> bool:
    """Report whether one is not ejected, nor full, nor was silent for `silent_after_s`."""
    rows = (ensure_service_row(tables, name) for name in names)
    return any(
        not is_ejected(row, now)
        and not is_suspect(row, now, silent_after_s)
        and estimate_running(row, now) < max(1, row.max_running)
        for row in rows
    )


def _sort_key(
    row: UpstreamRow, zone: str, now: float, has_speeds: bool
) -> tuple[bool, float]:
    """Return the sort key: same zone and below capacity first, then by load."""
    fill = estimate_running(row, now) / max(1, row.max_running)
    is_local = row.zone == zone and fill < 1.0
    return not is_local, _estimate_load(row, fill, now, has_speeds)


def _estimate_load(
    row: UpstreamRow, fill: float, now: float, has_speeds: bool
) -> float:
    """Return a replica's load; with one more call, relative to its speed now if known."""
    if not has_speeds:
        return fill
    return (fill + 1 / max(1, row.max_running)) * find_slowdown(row, now)


def ensure_service_row(tables: ServiceTables, name: str) -> UpstreamRow:
    """Return the row of a replica, creating it if it is missing."""
    row = tables.row_by_name.get(name)
    if row is None:
        row = UpstreamRow(name, 0, "", frozenset(), 1)
        tables.row_by_name[name] = row
    return row

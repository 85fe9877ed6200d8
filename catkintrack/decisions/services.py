"""Choose a replica for a call that is not a model call."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from .ejection import is_ejected
from .failure_detection import SUSPECT_AFTER_S, is_suspect
from .load import estimate_running
from .speeds import find_slowdown
from .spreading import choose_cost
from .tables import UpstreamRow

# Running and waiting calls per slot up to which a replica of an ejected service is tried.
PANIC_FILL = 2.0
# Calls of other instances between two reports: at most this part of a replica's slots,
# and of the mean load.
UNSEEN_FILL = 0.25
UNSEEN_SHARE = 0.5


@dataclass(slots=True)
class ServiceTables:
    """Hold the replicas' state that concerns such calls, keyed by name.

    `router_count` is the number of processes that share the replicas, this one included.
    """

    row_by_name: dict[str, UpstreamRow] = field(default_factory=dict)
    router_count: int = 1


def choose_replica(
    tables: ServiceTables,
    names: Iterable[str],
    now: float,
    rng: Random,
    zone: str = "",
    silent_after_s: float = SUSPECT_AFTER_S,
) -> str | None:
    """Return the replica with the lowest load per capacity, ties at random.

    Replicas that were silent for `silent_after_s` come last, those in availability zone
    `zone` first while they are below capacity.  If all are ejected, those that can be
    reached are tried.
    """
    eligible = _list_eligible(tables, list(names), now)
    if not eligible:
        return None
    rng.shuffle(eligible)
    rows = [ensure_service_row(tables, name) for name in eligible]
    has_speeds = any(row.speed is not None for row in rows)
    keys = [
        (
            is_suspect(row, now, silent_after_s),
            *_sort_key(row, zone, now, has_speeds),
        )
        for row in rows
    ]
    best = min(keys)
    index = keys.index(best)
    if has_speeds:
        equals = [i for i, key in enumerate(keys) if key[:2] == best[:2]]
        index = equals[_draw_load([keys[i][2] for i in equals], rng)]
    return rows[index].name


def _draw_load(loads: list[float], rng: Random) -> int:
    """Return the index of a low load, at random among almost equal ones.

    Instances that share what they know of the loads would all choose the same replica.
    """
    mean = sum(loads) / len(loads)
    return choose_cost(loads, min(UNSEEN_FILL, UNSEEN_SHARE * mean), rng)


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
    """Return the sort key: same zone and below capacity first, then by load.

    Where speeds are known, the load is that with one more call, relative to the speed now.
    """
    slots = max(1, row.max_running)
    fill = estimate_running(row, now) / slots
    is_local = row.zone == zone and fill < 1.0
    if has_speeds:
        return not is_local, (fill + 1 / slots) * find_slowdown(row, now)
    return not is_local, fill


def ensure_service_row(tables: ServiceTables, name: str) -> UpstreamRow:
    """Return the row of a replica, creating it if it is missing."""
    row = tables.row_by_name.get(name)
    if row is None:
        row = UpstreamRow(name, 0, "", frozenset(), 1)
        tables.row_by_name[name] = row
    return row

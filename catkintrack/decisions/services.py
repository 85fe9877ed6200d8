"""Choose a replica for a call that is not a model call."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from .ejection import is_ejected
from .failure_detection import SUSPECT_AFTER_S, is_suspect
from .load import estimate_running
from .speeds import find_slowdown
from .spreading import draw_noise
from .tables import UpstreamRow

# Running and waiting calls per slot up to which a replica of an ejected service is tried.
PANIC_FILL = 2.0
# Part of a replica's slots that calls of other instances fill between two reports.
UNSEEN_FILL = 0.25


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
    return min(
        eligible,
        key=lambda name: (
            is_suspect(ensure_service_row(tables, name), now, silent_after_s),
            *_sort_key(ensure_service_row(tables, name), zone, now, rng),
        ),
    )


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
    row: UpstreamRow, zone: str, now: float, rng: Random
) -> tuple[bool, float]:
    """Return the sort key: same zone and below capacity first, then by load."""
    fill = estimate_running(row, now) / max(1, row.max_running)
    is_local = row.zone == zone and fill < 1.0
    return not is_local, _estimate_load(row, fill, now, rng)


def _estimate_load(row: UpstreamRow, fill: float, now: float, rng: Random) -> float:
    """Return a replica's load with one more call, relative to its speed now if known.

    Instances that share what they know of the loads choose at random among almost equal
    ones, as in spreading.py.
    """
    if row.speed is None:
        return fill
    load = (fill + 1 / max(1, row.max_running)) * find_slowdown(row, now)
    return load - draw_noise(UNSEEN_FILL, rng)


def ensure_service_row(tables: ServiceTables, name: str) -> UpstreamRow:
    """Return the row of a replica, creating it if it is missing."""
    row = tables.row_by_name.get(name)
    if row is None:
        row = UpstreamRow(name, 0, "", frozenset(), 1)
        tables.row_by_name[name] = row
    return row

"""Choose a replica for a call that is not a model call."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from .ejection import is_ejected
from .failure_detection import is_suspect
from .load import estimate_running
from .tables import UpstreamRow


@dataclass(slots=True)
class ServiceTables:
    """Hold the replicas' state that concerns such calls, keyed by name."""

    row_by_name: dict[str, UpstreamRow] = field(default_factory=dict)


def choose_replica(
    tables: ServiceTables,
    names: Iterable[str],
    now: float,
    rng: Random,
    zone: str = "",
) -> str | None:
    """Return the replica with the lowest load per capacity, ties at random.

    Replicas in availability zone `zone` come first while they are below capacity.
    """
    eligible = [
        name for name in names if not is_ejected(ensure_service_row(tables, name), now)
    ]
    if not eligible:
        return None
    rng.shuffle(eligible)
    return min(
        eligible,
        key=lambda name: _sort_key(ensure_service_row(tables, name), zone, now),
    )


def has_unsuspected_replica(
    tables: ServiceTables, names: Iterable[str], now: float
) -> bool:
    """Report whether one of the replicas is neither ejected nor silent."""
    rows = (ensure_service_row(tables, name) for name in names)
    return any(not is_ejected(row, now) and not is_suspect(row, now) for row in rows)


def _sort_key(row: UpstreamRow, zone: str, now: float) -> tuple[bool, float]:
    """Return the sort key: same zone and below capacity first, then by load."""
    fill = estimate_running(row, now) / max(1, row.max_running)
    is_local = row.zone == zone and fill < 1.0
    return not is_local, fill


def ensure_service_row(tables: ServiceTables, name: str) -> UpstreamRow:
    """Return the row of a replica, creating it if it is missing."""
    row = tables.row_by_name.get(name)
    if row is None:
        row = UpstreamRow(name, 0, "", frozenset(), 1)
        tables.row_by_name[name] = row
    return row

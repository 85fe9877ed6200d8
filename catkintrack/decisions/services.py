"""Choose a replica of a plain service."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from catkintrack.config import Upstream

from .ejection import is_ejected
from .tables import UpstreamRow


@dataclass(slots=True)
class ServiceTables:
    """Hold the replicas of plain services, keyed by name."""

    row_by_name: dict[str, UpstreamRow] = field(default_factory=dict)


def choose_replica(
    tables: ServiceTables,
    replicas: Iterable[Upstream],
    leaving_instances: frozenset[str],
    excluded: frozenset[str],
    now: float,
    rng: Random,
) -> Upstream | None:
    """Return the replica with the fewest calls in flight, ties at random."""
    eligible = [
        replica
        for replica in replicas
        if not replica.is_leaving
        and replica.instance not in leaving_instances
        and replica.name not in excluded
        and not is_ejected(find_row(tables, replica.name), now)
    ]
    if not eligible:
        return None
    rng.shuffle(eligible)
    return min(eligible, key=lambda replica: find_row(tables, replica.name).in_flight)


def find_row(tables: ServiceTables, name: str) -> UpstreamRow:
    """Return the row of a replica, made when it is new."""
    row = tables.row_by_name.get(name)
    if row is None:
        row = UpstreamRow(name, 0, "", frozenset(), 1)
        tables.row_by_name[name] = row
    return row

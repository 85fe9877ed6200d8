"""Remember which replicas have said in an answer that they leave.

Discovery entries may be older than such an answer, so only a later life of the replica
ends it, never an entry of the same life.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from catkintrack.fleet import Upstream

# Far more than the replicas of a fleet that can be on their way out at once.
MAX_REMEMBERED = 4096


@dataclass(slots=True)
class LeavingTable:
    """Hold the latest incarnation of each replica that has announced its leaving."""

    incarnation_by_upstream: dict[str, int] = field(default_factory=dict)


def record_leaving(table: LeavingTable, upstream: Upstream) -> bool:
    """Record that this life of a replica leaves; report whether that is new."""
    if has_announced_leaving(table, upstream):
        return False
    incarnations = table.incarnation_by_upstream
    incarnations.pop(upstream.id, None)
    incarnations[upstream.id] = upstream.incarnation
    if len(incarnations) > MAX_REMEMBERED:
        del incarnations[next(iter(incarnations))]
    return True


def has_announced_leaving(table: LeavingTable, upstream: Upstream) -> bool:
    """Report whether this life of a replica, or a later one, has announced its leaving.

    An entry of an earlier life is out of date: the lives under one ID follow each other.
    """
    known = table.incarnation_by_upstream.get(upstream.id)
    return known is not None and upstream.incarnation <= known


def forget_unknown_life(table: LeavingTable, id: str) -> None:
    """Forget a replica that leaves discovery without ever having told its incarnation.

    Nothing else would tell its next life from this one.
    """
    if table.incarnation_by_upstream.get(id) == 0:
        del table.incarnation_by_upstream[id]

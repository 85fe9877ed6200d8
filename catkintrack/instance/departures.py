"""Remember replicas that left, in case the store comes back from an older copy.

The copy may still list them as ready, until they or the store have written again.
"""

from __future__ import annotations

from typing import Any

from catkintrack.fleet import Upstream

from .state import Departure, Feed, Instance

# Far more than the age of a copy that the store comes back from.
DEPARTURE_MEMORY_S = 120.0
# The store removes the entry of a silent replica after three heartbeats, less than half
# of this time.  One that is still listed belongs to a replica that has written.
HELD_ENTRY_S = 8.0


def record_departure(
    instance: Instance, feed: Feed, upstream: Upstream, now: float
) -> None:
    """Remember that this life of a replica, and those before, have left or will soon.

    `feed` is that of the entries.  A store without eras never goes back.
    """
    if feed.era == 0:
        return
    instance.departure_by_upstream[upstream.id] = Departure(
        upstream.incarnation, feed.era, feed.revision, now
    )


def record_return(instance: Instance, upstream: Upstream) -> None:
    """Record that a replica has written since it left; earlier lives stay departed."""
    departure = instance.departure_by_upstream.get(upstream.id)
    if departure is not None and departure.incarnation >= upstream.incarnation:
        del instance.departure_by_upstream[upstream.id]


def record_unlisted(instance: Instance, id: str) -> None:
    """Record that the store no longer lists a replica that left."""
    departure = instance.departure_by_upstream.get(id)
    if departure is not None:
        departure.listed_era, departure.listed_spec = -1, None


def list_held_entries(instance: Instance, era: int, now: float) -> dict[str, Any]:
    """Return the entries that an era has listed for so long that they are no copies."""
    return {
        id: departure.listed_spec
        for id, departure in instance.departure_by_upstream.items()
        if departure.listed_era == era and now - departure.listed_at > HELD_ENTRY_S
    }


def forget_old_departures(instance: Instance, now: float) -> None:
    """Forget the replicas that left so long ago that no copy lists them."""
    for id, departure in list(instance.departure_by_upstream.items()):
        if now - departure.at > DEPARTURE_MEMORY_S:
            del instance.departure_by_upstream[id]


def is_carried_over(
    instance: Instance,
    era: int,
    upstream: Upstream,
    spec: Any,
    revision: int | None,
    now: float,
) -> bool:
    """Report whether an entry that an era lists may come from an older copy.

    It may if the replica has left or started again meanwhile.  It certainly does not if
    that was in this era, or if the entry changed within this era or has a higher
    `revision` than the copy can have.
    """
    known = instance.upstream_by_id.get(upstream.id)
    if era and known is not None and known.incarnation > upstream.incarnation:
        return True
    departure = instance.departure_by_upstream.get(upstream.id)
    if departure is None or departure.era == era or upstream.is_draining:
        return False
    if upstream.incarnation > departure.incarnation:
        return False
    if revision is not None and revision > departure.revision:
        return False
    if departure.listed_era != era:
        departure.listed_era, departure.listed_at = era, now
        departure.listed_spec = spec
    return departure.listed_spec == spec

"""Remember replicas that left, in case the store comes back from an older copy.

The copy may still list them as ready, until they or the store have written again.
"""

from __future__ import annotations

from typing import Any

from catkintrack.fleet import Upstream

from .state import Departure, Instance

# Far more than the age of a copy that the store comes back from.
DEPARTURE_MEMORY_S = 120.0


def record_departure(
    instance: Instance, upstream: Upstream, revision: int, now: float
) -> None:
    """Remember that a replica has left, or reports that it is about to.

    A store without eras never goes back.
    """
    if instance.store.era == 0:
        return
    departure = Departure(upstream.incarnation, instance.store.era, revision, now)
    instance.departure_by_upstream[upstream.id] = departure


def forget_departure(instance: Instance, id: str) -> None:
    """Record that a replica has written a new entry since it left."""
    instance.departure_by_upstream.pop(id, None)


def forget_old_departures(instance: Instance, now: float) -> None:
    """Forget the replicas that left so long ago that no copy lists them."""
    for id, departure in list(instance.departure_by_upstream.items()):
        if now - departure.at > DEPARTURE_MEMORY_S:
            del instance.departure_by_upstream[id]


def is_carried_over(
    instance: Instance, upstream: Upstream, spec: Any, revision: int | None
) -> bool:
    """Report whether a listed entry of a replica that left may come from an older copy.

    It certainly does not if the replica left in this era or has started again, or if
    the entry changed within this era or has a higher `revision` than the copy can have.
    """
    departure = instance.departure_by_upstream.get(upstream.id)
    era = instance.store.era
    if departure is None or departure.era == era or upstream.is_draining:
        return False
    if upstream.incarnation > departure.incarnation:
        return False
    if revision is not None and revision > departure.revision:
        return False
    if departure.listed_era == era and departure.listed_spec != spec:
        return False
    departure.listed_era, departure.listed_spec = era, spec
    return True

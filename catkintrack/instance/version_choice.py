"""Choose the software version of a call, and hold to the share that is in force."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

from catkintrack.decisions.failure_detection import SUSPECT_AFTER_S
from catkintrack.decisions.placement import has_healthy_upstream
from catkintrack.decisions.services import has_healthy_replica
from catkintrack.decisions.tables import ModelRequest
from catkintrack.fleet import (
    RolloutState,
    Upstream,
)
from catkintrack.rollouts import (
    EXPOSURE_MARGIN,
    STOPPED_S,
    Phase,
    ServiceRollout,
    choose_first_replicas,
    find_current_share,
    is_bounded,
    list_joining,
    may_expose,
    record_sent,
    reserve,
    unreserve,
    wants_new_version,
)

from .replica_signals import may_choose
from .rollout_orders import is_new_version, split_replicas
from .state import Instance

OVER = (RolloutState.ROLLED_BACK, RolloutState.WITHDRAWN)


@dataclass(frozen=True, slots=True)
class VersionChoice:
    """Hold which replicas a call may go to: a version, all but some, all but `excluded`.

    `reserved` is the order whose exposure it counts against until it is released.
    """

    version: str | None = None
    barred: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    reserved: ServiceRollout | None = None


NO_CHOICE = VersionChoice()


def find_share_now(instance: Instance, rollout: ServiceRollout, now: float) -> float:
    """Return the share of new calls that may go to the new version from here now."""
    bounds = instance.site.bounds
    return find_current_share(rollout, bounds.exposure_share, bounds.rollback_s, now)


def choose_version(
    instance: Instance,
    service: str,
    pinned: str | None,
    request: ModelRequest | None = None,
    excluded: frozenset[str] = frozenset(),
) -> VersionChoice:
    """Choose the version for the next attempt of a call; the choice must be released.

    `pinned` is the version that began the call's stream.  Without `request` it is a call
    of a service without models.
    """
    tables = instance.rollouts
    rollout = tables.rollout_by_service.get(service)
    now = time.monotonic()
    barred = list_barred(instance, service, pinned is not None, now)
    if pinned is not None:
        return VersionChoice(pinned, barred)
    if rollout is None:
        return VersionChoice(None, barred) if barred else NO_CHOICE
    version = rollout.order.version
    others = VersionChoice(None, barred | {version})
    if rollout.plan.state is RolloutState.ROLLED_BACK and not rollout.is_completed:
        return others
    if rollout.is_completed and now - rollout.ended_at >= STOPPED_S:
        return VersionChoice(None, barred)
    new, old = split_replicas(instance, rollout)
    if rollout.is_completed:
        stopped = {u.software_version for u in old if new}
        return VersionChoice(None, barred | stopped)
    is_withdrawn = rollout.plan.state is RolloutState.WITHDRAWN
    if rollout.is_in_place or (is_withdrawn and not old):
        return VersionChoice(None, barred)
    share = find_share_now(instance, rollout, now)
    if share <= 0 or not new:
        return others
    if not is_bounded(rollout):
        if not wants_new_version(share, instance.rng):
            return others
        choice = VersionChoice(version, barred)
        is_usable = share >= 1.0 or _is_usable(instance, choice, new, request, excluded)
        return choice if is_usable else others
    if not may_expose(rollout.exposure, share):
        return others
    names = frozenset(u.id for u in new)
    rest = names
    while rest:
        first = choose_first_replicas(rest, len(old), share)
        choice = VersionChoice(version, barred, names - first, rollout)
        if _is_usable(instance, choice, new, request, excluded):
            return choice if reserve(rollout.exposure, share) else others
        # One that has crashed must not keep a good version from being proved.
        rest -= first
    return others


def list_barred(
    instance: Instance, service: str, is_pinned: bool, now: float
) -> frozenset[str]:
    """Return the versions that get no calls, also without an order.

    They are those of earlier orders and, but for begun streams, those that have joined so
    lately that this instance may not know of their order, as long as another one serves.
    """
    tables = instance.rollouts
    barred = frozenset(tables.barred_by_service.get(service, ()))
    joining = set() if is_pinned else list_joining(tables, service, now)
    rollout = tables.rollout_by_service.get(service)
    if rollout is not None:
        joining.discard(rollout.order.version)
    if not joining:
        return barred
    has_others = any(
        upstream.service == service
        and not upstream.is_draining
        and upstream.software_version not in barred | joining
        for upstream in instance.upstream_by_id.values()
    )
    return barred | joining if has_others else barred


def _is_usable(
    instance: Instance,
    choice: VersionChoice,
    new: list[Upstream],
    request: ModelRequest | None,
    excluded: frozenset[str],
) -> bool:
    """Report whether a replica of the chosen ones would run the call at once."""
    now = time.monotonic()
    if request is not None:
        placed = place_at(request, choice)
        return has_healthy_upstream(instance.decisions, placed, now)
    names = [
        u.id
        for u in new
        if u.id not in choice.excluded | excluded and may_choose(instance, u, now)
    ]
    return has_healthy_replica(instance.services, names, now, SUSPECT_AFTER_S)


def place_at(request: ModelRequest, choice: VersionChoice) -> ModelRequest:
    """Return the request with the replicas that it may go to."""
    return replace(
        request,
        software_version=choice.version,
        barred_versions=choice.barred,
        excluded=request.excluded | choice.excluded,
    )


def is_version_over(instance: Instance, service: str, version: str) -> bool:
    """Report whether nothing may go to a version any more, not even a begun stream."""
    tables = instance.rollouts
    rollout = tables.rollout_by_service.get(service)
    if rollout is None or version in tables.barred_by_service.get(service, ()):
        return rollout is not None
    if rollout.is_completed:
        # The old replicas stop at once, before their entries go.
        is_listed = time.monotonic() - rollout.ended_at < STOPPED_S
        return is_listed and version != rollout.order.version
    is_rolled_back = rollout.plan.state is RolloutState.ROLLED_BACK
    return is_rolled_back and version == rollout.order.version


def allows(choice: VersionChoice, upstream: Upstream) -> bool:
    """Report whether a call with this choice may go to a replica."""
    version = upstream.software_version
    if version in choice.barred or upstream.id in choice.excluded:
        return False
    return choice.version in (None, version)


def describe_version(
    instance: Instance, service: str, upstream: Upstream
) -> dict[str, str]:
    """Return the version of an attempt's replica for the log, if there was an order."""
    if service not in instance.rollouts.rollout_by_service:
        return {}
    return {"software": upstream.software_version}


def release(choice: VersionChoice) -> None:
    """Return what a choice has reserved, once its attempt is over or never began."""
    if choice.reserved is not None:
        unreserve(choice.reserved.exposure)


@contextmanager
def release_unplaced(choice: VersionChoice) -> Iterator[None]:
    """Release a choice if the call ends while it waits for a replica."""
    try:
        yield
    except BaseException:
        release(choice)
        raise


def admit_version(
    instance: Instance,
    service: str,
    upstream: Upstream,
    is_pinned: bool,
    now: float,
    is_first: bool = True,
) -> bool:
    """Report whether a call may be sent to a replica's version now, and count it if so.

    `is_first` says whether this call hasn't been sent to any replica before.  The grant, the verdict or the order may have changed since the version was chosen.
    """
    tables = instance.rollouts
    rollout = tables.rollout_by_service.get(service)
    barred = list_barred(instance, service, is_pinned, now)
    if barred and upstream.software_version in barred:
        return False
    if rollout is None:
        return True
    if rollout.is_completed or rollout.is_in_place:
        return True
    plan = rollout.plan
    is_new = is_new_version(upstream, rollout.order)
    if plan.state in OVER:
        if is_new and plan.state is RolloutState.WITHDRAWN:
            return not split_replicas(instance, rollout)[1]
        return not is_new
    share = find_share_now(instance, rollout, now)
    if is_new and share <= 0:
        return False
    if is_bounded(rollout):
        # New calls use up their share; begun streams have what is left of the bound.
        bound = share / EXPOSURE_MARGIN if is_pinned else share
        return record_sent(rollout.exposure, is_new, bound, is_first)
    if not is_new and plan.phase is Phase.DRAINING and share > 0 and not is_pinned:
        # Without a new replica the old ones serve on.
        return not split_replicas(instance, rollout)[0]
    return record_sent(rollout.exposure, is_new, 1.0, is_first)

"""Take over the orders for software versions that the store and peers show."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from typing import Any

from returns.result import Failure, Success

from catkintrack.decisions.stream_origins import name_unconfirmed_version
from catkintrack.fleet import (
    Feature,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Site,
    Upstream,
)
from catkintrack.platform import (
    ObjectList,
    StoredObject,
    decode_cold_s,
    decode_rollout,
    decode_rollout_status,
)
from catkintrack.rollouts import (
    Plan,
    ServiceRollout,
    Stamp,
    is_same_order,
    record_seen,
)

from .state import Instance

logger = logging.getLogger(__name__)

# Longer than any call that was sent to a replica while it was slow.
COLD_KEPT_S = 60.0


def has_rollouts(site: Site) -> bool:
    """Report whether the deployment's settings switch roll-outs on."""
    return Feature.VERSION_ROLLOUTS in site.features


def observe_cold_start(instance: Instance, id: str, spec: Any, now: float) -> None:
    """Record until when a replica is slow after its start, as its entry says."""
    if has_rollouts(instance.site):
        cold_until = instance.rollouts.cold_until_by_upstream
        cold_until.pop(id, None)
        cold_s = decode_cold_s(spec)
        if cold_s:
            for known in [
                k for k, until in cold_until.items() if until < now - COLD_KEPT_S
            ]:
                del cold_until[known]
            cold_until[id] = now + cold_s


def observe_version(instance: Instance, upstream: Upstream, now: float) -> None:
    """Record that an entry names a version, before the replica is put in the tables."""
    if not has_rollouts(instance.site):
        return
    service, version = upstream.service, upstream.software_version
    listed = list_versions(instance, service)
    record_seen(instance.rollouts, service, version, listed, now)


def list_versions(instance: Instance, service: str) -> set[str]:
    """Return the versions of a service's listed replicas."""
    return {
        upstream.software_version
        for upstream in instance.upstream_by_id.values()
        if upstream.service == service
    }


def apply_rollout(instance: Instance, row: StoredObject, now: float) -> None:
    """Apply an order as it is stored; an unreadable one takes back the order before it."""
    stamp = (row.era, row.revision)
    match decode_rollout(row.name, row.spec, row.created):
        case Success(order):
            status = decode_rollout_status(row.status)
            adopt_order(instance, order, stamp, now, status)
        case Failure(error):
            extra = {"object": row.name, "reason": error.reason}
            logger.warning("invalid order for a version skipped", extra=extra)
            withdraw_rollout(instance, row.name, stamp, now)


def apply_rollout_list(instance: Instance, listing: ObjectList, now: float) -> None:
    """Withdraw the orders that a list lacks.

    In a new era the operator may have to write them again first.
    """
    listed = {row.name for row in listing.objects}
    for service, rollout in instance.rollouts.rollout_by_service.items():
        if service in listed:
            continue
        if listing.era > rollout.stamp[0]:
            rollout.unlisted_at = rollout.unlisted_at or now
        else:
            withdraw_rollout(instance, service, (listing.era, listing.revision), now)


def withdraw_rollouts(
    instance: Instance, names: Iterable[str], stamp: Stamp, now: float
) -> None:
    """Withdraw the orders whose entries were deleted."""
    for name in names:
        withdraw_rollout(instance, name, stamp, now)


def withdraw_rollout(
    instance: Instance, service: str, stamp: Stamp, now: float
) -> None:
    """Withdraw a service's order unless its entry was written later."""
    rollout = instance.rollouts.rollout_by_service.get(service)
    if rollout is None or stamp < rollout.stamp:
        return
    rollout.stamp = stamp
    rollout.unlisted_at = None
    rollout.is_gone = True
    if rollout.plan.state is not RolloutState.RUNNING:
        return
    rollout.plan.state = RolloutState.WITHDRAWN
    rollout.ended_at = now
    log_rollout(rollout, "order for a version withdrawn")


def adopt_order(
    instance: Instance,
    order: RolloutOrder,
    stamp: Stamp,
    ordered_at: float,
    status: RolloutStatus | None,
) -> ServiceRollout | None:
    """Take over an order; return it as known then, None if a newer one is known."""
    tables = instance.rollouts
    known = tables.rollout_by_service.get(order.service)
    if known is not None and is_same_order(known, order, stamp):
        plan = known.plan
        plan.ordered_at = min(plan.ordered_at, ordered_at)
        if stamp > known.stamp:
            known.stamp = stamp
            known.unlisted_at = None
            known.is_gone = False
            plan.order = order
            if plan.state is RolloutState.WITHDRAWN:
                plan.state = RolloutState.RUNNING
        adopt_status(known, status, stamp[0], time.monotonic())
        return known
    if known is not None and stamp < known.stamp:
        return None
    barred = tables.barred_by_service.setdefault(order.service, set())
    if known is not None and not known.is_completed:
        barred.add(known.order.version)
    barred.discard(order.version)
    plan = Plan(order, ordered_at, phase_since=ordered_at)
    rollout = ServiceRollout(plan, stamp)
    # The entry still shows the status of the order that it replaces.
    rollout.stale = status if known is not None else None
    new, old = split_replicas(instance, rollout)
    rollout.is_in_place = bool(new) and not old
    tables.rollout_by_service[order.service] = rollout
    log_rollout(rollout, "order for a version seen", duration_s=order.duration_s)
    if rollout.stale is None:
        adopt_status(rollout, status, stamp[0], time.monotonic())
    return rollout


def adopt_status(
    rollout: ServiceRollout, status: RolloutStatus | None, era: int, now: float
) -> None:
    """Take over the stored status of an order; a completion stays."""
    if status is None or status.version != rollout.order.version:
        return
    if status == rollout.stale:
        return
    rollout.stale = None
    rollout.stored, rollout.stored_era = status, era
    plan = rollout.plan
    if status.state is RolloutState.RUNNING or rollout.is_completed:
        return
    rollout.is_completed = status.state is RolloutState.COMPLETED
    if plan.state is not status.state:
        plan.state = status.state
        rollout.ended_at = now
        log_rollout(rollout, "end of an order seen", state=status.state.value)


def log_rollout(rollout: ServiceRollout, message: str, **fields: Any) -> None:
    """Log a message about an order."""
    extra = {"service": rollout.order.service, "version": rollout.order.version}
    logger.info(message, extra=extra | fields)


def is_new_version(upstream: Upstream, order: RolloutOrder) -> bool:
    """Report whether a replica may run the new version.

    One that has started again runs an unknown version until its entry says which.
    """
    unconfirmed = name_unconfirmed_version(upstream.id, upstream.incarnation)
    return upstream.software_version in (order.version, unconfirmed)


def split_replicas(
    instance: Instance, rollout: ServiceRollout
) -> tuple[list[Upstream], list[Upstream]]:
    """Return the staying replicas of the new version, and the other ones."""
    order = rollout.order
    new, old = [], []
    for upstream in instance.upstream_by_id.values():
        if upstream.service == order.service and not upstream.is_draining:
            (new if is_new_version(upstream, order) else old).append(upstream)
    return new, old

"""Move a service to the software version that an operator orders.

The holder of the lease decides and writes the order's status.  The phase that is in force
passes in RolloutNews, with which each instance also reports what its calls have shown.
Without Feature.VERSION_ROLLOUTS, and without an order, nothing here acts.
"""

from __future__ import annotations

import time
from typing import Any

import curio
from returns.result import Failure, Success

from catkintrack.fleet import (
    RolloutState,
    RolloutStatus,
)
from catkintrack.platform import (
    ROLLOUT_KIND,
    ObjectMissing,
    decode_rollout_status,
    encode_rollout_status,
    get_object,
    replace_status,
)
from catkintrack.rollouts import (
    Fleet,
    Phase,
    Report,
    ServiceRollout,
    Step,
    Verdict,
    advance,
    review,
)

from .eras import ENTRY_RESTORE_S
from .lease_keeper import holds_lease
from .peers import PEER_TIMEOUT_S, list_limit_sharers
from .rollout_news import count_old_in_flight, send_rollout_news
from .rollout_orders import (
    adopt_status,
    apply_rollout,
    list_versions,
    log_rollout,
    split_replicas,
    withdraw_rollout,
)
from .state import Instance
from .version_choice import find_share_now

TICK_S = 0.25


async def run_rollouts(instance: Instance) -> None:
    """Judge the versions and, as holder, take the steps that are due, until cancelled."""
    while True:
        await curio.sleep(TICK_S)
        for service in list(instance.rollouts.rollout_by_service):
            await tick_rollout(instance, service, time.monotonic())


async def tick_rollout(instance: Instance, service: str, now: float) -> None:
    """Take the next step of a service's order, or only judge its version."""
    rollout = instance.rollouts.rollout_by_service[service]
    plan = rollout.plan
    if rollout.unlisted_at is not None and now - rollout.unlisted_at > ENTRY_RESTORE_S:
        stamp = max(rollout.stamp, (instance.store.era, 0))
        withdraw_rollout(instance, service, stamp, now)
    _forget_absent_bars(instance, service)
    # A later holder's grant shows that this instance's lease is over.
    is_latest = instance.lease.record.fencing >= rollout.fencing
    is_holder = is_latest and holds_lease(instance)
    suspicion = plan.suspicion
    if plan.state is RolloutState.RUNNING:
        rollout.is_in_place &= not split_replicas(instance, rollout)[1]
        if is_holder:
            await _take_step(instance, rollout, now)
        else:
            _judge(rollout, now)
    if plan.suspicion is not suspicion:
        message = (
            "version suspected" if plan.suspicion else "suspicion of a version ended"
        )
        log_rollout(rollout, message, reason=plan.reason)
    share = find_share_now(instance, rollout, now)
    instance.metrics.rollout_share.set({"service": service}, share)
    if is_holder and not rollout.is_writing and _is_write_due(instance, rollout):
        rollout.is_writing = True
        await curio.spawn(_write_status, instance, rollout, daemon=True)


def _judge(rollout: ServiceRollout, now: float) -> None:
    """Judge the version; a bad one gets nothing more from here, also without a holder."""
    was_bad = rollout.plan.verdict is Verdict.BAD
    verdict = review(rollout.plan, rollout.total_counts, now)
    if verdict is Verdict.BAD and not was_bad:
        log_rollout(rollout, "version found to be bad", reason=rollout.plan.reason)


async def _take_step(instance: Instance, rollout: ServiceRollout, now: float) -> None:
    plan = rollout.plan
    before = (plan.phase, plan.state)
    rollout.fencing = instance.lease.record.fencing
    rollout.granted_at = now
    if rollout.is_in_place:
        plan.state, step = RolloutState.COMPLETED, Step.ALL_MOVED
    else:
        fleet = _describe_fleet(instance, rollout, now)
        step = advance(plan, rollout.total_counts, fleet, now)
    if (plan.phase, plan.state) == before:
        return
    rollout.ended_at = now
    labels = {"phase": plan.phase.name.lower(), "state": plan.state.value}
    instance.metrics.rollout_steps.inc({"service": rollout.order.service} | labels)
    log_rollout(
        rollout,
        "roll-out step",
        phase=plan.phase.name.lower(),
        state=plan.state.value,
        why=step.value,
        verdict=plan.verdict.value,
        reason=plan.reason,
        age_s=round(now - plan.ordered_at, 3),
        fencing=rollout.fencing,
        counts=describe_counts(rollout),
    )
    await send_rollout_news(instance)


def _describe_fleet(instance: Instance, rollout: ServiceRollout, now: float) -> Fleet:
    new, old = split_replicas(instance, rollout)
    is_drained = count_old_in_flight(instance, rollout) == 0
    for peer in list_limit_sharers(instance, now):
        report = rollout.report_by_instance.get(peer.instance)
        is_drained = (
            is_drained
            and report is not None
            and _has_drained(report, peer.incarnation, now)
        )
    return Fleet(bool(new), bool(old), is_drained)


def _has_drained(report: Report, incarnation: int, now: float) -> bool:
    if report.incarnation != incarnation or now - report.at >= PEER_TIMEOUT_S:
        return False
    return report.phase is Phase.DRAINING and report.old_in_flight == 0


def _forget_absent_bars(instance: Instance, service: str) -> None:
    """Forget the versions of earlier orders that have no replica any more."""
    barred = instance.rollouts.barred_by_service.get(service)
    if barred:
        barred &= list_versions(instance, service)


def _is_write_due(instance: Instance, rollout: ServiceRollout) -> bool:
    state = rollout.plan.state
    if state is RolloutState.WITHDRAWN or rollout.is_gone:
        return False
    stored = rollout.stored
    if stored is None or stored.state is not state:
        return True
    if rollout.stored_era < instance.store.era:
        # The store may have come back from a copy that lacks the status.
        return True
    # A new holder's write voids the condition of one that an earlier holder has under way.
    is_running = state is RolloutState.RUNNING
    return is_running and rollout.written_fencing != instance.lease.record.fencing


async def _write_status(instance: Instance, rollout: ServiceRollout) -> None:
    """Write the state of an order, unless its entry has changed or the lease is lost."""
    try:
        await _try_to_write(instance, rollout)
    finally:
        rollout.is_writing = False


async def _try_to_write(instance: Instance, rollout: ServiceRollout) -> None:
    name = rollout.order.service
    match await get_object(instance.store, ROLLOUT_KIND, name):
        case Success(found):
            apply_rollout(instance, found, time.monotonic())
        case Failure(ObjectMissing(era=era)):
            if era == rollout.stamp[0]:
                withdraw_rollout(instance, name, rollout.stamp, time.monotonic())
            elif rollout.unlisted_at is None:
                rollout.unlisted_at = time.monotonic()
            return
        case Failure(error):
            log_rollout(rollout, "order not read", reason=repr(error))
            return
    is_known = instance.rollouts.rollout_by_service.get(name) is rollout
    is_withdrawn = rollout.plan.state is RolloutState.WITHDRAWN
    if not is_known or is_withdrawn or not holds_lease(instance):
        return
    is_current = decode_rollout_status(found.status) == rollout.stored
    if is_current and not _is_write_due(instance, rollout):
        return
    fencing = instance.lease.record.fencing
    status = RolloutStatus(rollout.plan.state, rollout.order.version)
    fields = encode_rollout_status(status)
    outcome = await replace_status(
        instance.store, ROLLOUT_KIND, name, fields, found.revision
    )
    match outcome:
        case Success(written):
            now = time.monotonic()
            rollout.stale = None
            rollout.written_fencing = fencing
            rollout.stamp = max(rollout.stamp, (written.era, written.revision))
            adopt_status(rollout, status, written.era, now)
            rollout.ended_at = now
            log_rollout(
                rollout,
                "order's status written",
                state=status.state.value,
                fencing=fencing,
            )
            await send_rollout_news(instance)
        case Failure(error):
            # The next read shows whether the write took effect.
            log_rollout(rollout, "order's status not written", reason=repr(error))


def describe_counts(rollout: ServiceRollout) -> dict[str, list[int]]:
    """Return the whole and failed answers of all instances, by route and version."""
    return {
        f"{route} {'new' if is_new else 'old'}": [row.whole, row.failed]
        for (route, is_new), row in rollout.total_counts.items()
    }


def describe_rollouts(instance: Instance, now: float) -> dict[str, Any]:
    """Return the orders, their shares, verdicts and counts for the state dump."""
    return {
        service: {
            "version": rollout.order.version,
            "state": rollout.plan.state.value,
            "stored": rollout.stored.state.value if rollout.stored else None,
            "phase": rollout.plan.phase.name.lower(),
            "share": find_share_now(instance, rollout, now),
            "age_s": round(now - rollout.plan.ordered_at, 3),
            "duration_s": rollout.order.duration_s,
            "verdict": rollout.plan.verdict.value,
            "reason": rollout.plan.reason,
            "answers": describe_counts(rollout),
            "sent": rollout.exposure.sent,
            "exposed": rollout.exposure.exposed,
            "barred": sorted(instance.rollouts.barred_by_service.get(service, ())),
        }
        for service, rollout in instance.rollouts.rollout_by_service.items()
    }

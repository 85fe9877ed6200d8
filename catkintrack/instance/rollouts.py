"""Move a service to the software version that an operator orders.

The holder of the lease decides and writes the order's status.  The phase that is in force
passes in RolloutNews, with which each instance also reports what its calls have shown.
Without Feature.VERSION_ROLLOUTS, and without an order, nothing here acts.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

import curio
from returns.result import Failure, Success

from catkintrack.decisions.placement import has_healthy_upstream
from catkintrack.decisions.services import has_healthy_replica
from catkintrack.decisions.stream_origins import name_unconfirmed_version
from catkintrack.decisions.tables import ModelRequest
from catkintrack.fleet import (
    Call,
    Feature,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    Site,
    Upstream,
)
from catkintrack.http import UpstreamExchangeError
from catkintrack.platform import (
    ROLLOUT_KIND,
    ObjectList,
    ObjectMissing,
    StoredObject,
    decode_cold_s,
    decode_rollout,
    decode_rollout_status,
    encode_rollout_status,
    get_object,
    replace_status,
)
from catkintrack.rollouts import (
    STOPPED_S,
    AnswerCounts,
    Fleet,
    Phase,
    Plan,
    Report,
    ServiceRollout,
    Stamp,
    Step,
    Verdict,
    VersionCounts,
    add_answer,
    advance,
    choose_first_replicas,
    find_current_share,
    is_bounded,
    is_same_order,
    merge_counts,
    record_sent,
    reserve,
    review,
    unreserve,
    wants_new_version,
)
from catkintrack.rollouts.counts import BUCKETS

from .broadcasting import broadcast
from .eras import ENTRY_RESTORE_S
from .lease_keeper import holds_lease
from .messages import RolloutNews, RolloutRow, RouteAnswers
from .peers import PEER_TIMEOUT_S, list_limit_sharers
from .state import Instance

logger = logging.getLogger(__name__)

TICK_S = 0.25
# How long the end of an order is repeated to peers.
END_RESEND_S = 10.0
# A call that its caller gave up counts as an answer once it took this many targets.
GIVEN_UP_TARGETS = 1.0

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
            cold_until[id] = now + cold_s


# What is known of the orders.


def apply_rollout(instance: Instance, row: StoredObject, now: float) -> None:
    """Apply an order as it is stored; an unreadable one takes back the order before it."""
    stamp = (row.era, row.revision)
    match decode_rollout(row.name, row.spec, row.created):
        case Success(order):
            status = decode_rollout_status(row.status)
            _adopt_order(instance, order, stamp, now, status)
        case Failure(error):
            extra = {"object": row.name, "reason": error.reason}
            logger.warning("invalid order for a version skipped", extra=extra)
            _withdraw(instance, row.name, stamp, now)


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
            _withdraw(instance, service, (listing.era, listing.revision), now)


def withdraw_rollouts(
    instance: Instance, names: Iterable[str], stamp: Stamp, now: float
) -> None:
    """Withdraw the orders whose entries were deleted."""
    for name in names:
        _withdraw(instance, name, stamp, now)


def _withdraw(instance: Instance, service: str, stamp: Stamp, now: float) -> None:
    rollout = instance.rollouts.rollout_by_service.get(service)
    if rollout is None or stamp < rollout.stamp:
        return
    rollout.stamp = stamp
    rollout.unlisted_at = None
    if rollout.plan.state is not RolloutState.RUNNING:
        return
    rollout.plan.state = RolloutState.WITHDRAWN
    rollout.ended_at = now
    _log(rollout, "order for a version withdrawn")


def _adopt_order(
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
            plan.order = order
            if plan.state is RolloutState.WITHDRAWN:
                plan.state = RolloutState.RUNNING
        _adopt_status(known, status, stamp[0], time.monotonic())
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
    new, old = _split_replicas(instance, rollout)
    rollout.is_in_place = bool(new) and not old
    tables.rollout_by_service[order.service] = rollout
    _log(rollout, "order for a version seen", duration_s=order.duration_s)
    if rollout.stale is None:
        _adopt_status(rollout, status, stamp[0], time.monotonic())
    return rollout


def _adopt_status(
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
        _log(rollout, "end of an order seen", state=status.state.value)


def _log(rollout: ServiceRollout, message: str, **fields: Any) -> None:
    extra = {"service": rollout.order.service, "version": rollout.order.version}
    logger.info(message, extra=extra | fields)


# Which replicas a call may go to.


def _is_new(upstream: Upstream, order: RolloutOrder) -> bool:
    """Report whether a replica may run the new version.

    One that has started again runs an unknown version until its entry says which.
    """
    unconfirmed = name_unconfirmed_version(upstream.id, upstream.incarnation)
    return upstream.software_version in (order.version, unconfirmed)


def _split_replicas(
    instance: Instance, rollout: ServiceRollout
) -> tuple[list[Upstream], list[Upstream]]:
    """Return the staying replicas of the new version, and the other ones."""
    order = rollout.order
    new, old = [], []
    for upstream in instance.upstream_by_id.values():
        if upstream.service == order.service and not upstream.is_draining:
            (new if _is_new(upstream, order) else old).append(upstream)
    return new, old


def _find_share(instance: Instance, rollout: ServiceRollout, now: float) -> float:
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
    if rollout is None:
        return VersionChoice(pinned) if pinned is not None else NO_CHOICE
    barred = frozenset(tables.barred_by_service.get(service, ()))
    if pinned is not None:
        return VersionChoice(pinned, barred)
    version = rollout.order.version
    others = VersionChoice(None, barred | {version})
    if rollout.plan.state is RolloutState.ROLLED_BACK and not rollout.is_completed:
        return others
    now = time.monotonic()
    if rollout.is_completed and now - rollout.ended_at >= STOPPED_S:
        return VersionChoice(None, barred)
    new, old = _split_replicas(instance, rollout)
    if rollout.is_completed:
        stopped = {u.software_version for u in old if new}
        return VersionChoice(None, barred | stopped)
    is_withdrawn = rollout.plan.state is RolloutState.WITHDRAWN
    if rollout.is_in_place or (is_withdrawn and not old):
        return VersionChoice(None, barred)
    share = _find_share(instance, rollout, now)
    if share <= 0 or not new:
        return others
    if not is_bounded(rollout):
        if not wants_new_version(share, instance.rng):
            return others
        choice = VersionChoice(version, barred)
        is_usable = share >= 1.0 or _is_usable(instance, choice, new, request, excluded)
        return choice if is_usable else others
    first = choose_first_replicas([u.id for u in new], len(old), share)
    rest = frozenset(u.id for u in new if u.id not in first)
    choice = VersionChoice(version, barred, rest, rollout)
    if not _is_usable(instance, choice, new, request, excluded):
        return others
    return choice if reserve(rollout.exposure, share) else others


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
    names = [u.id for u in new if u.id not in choice.excluded | excluded]
    return has_healthy_replica(instance.services, names, now, PEER_TIMEOUT_S)


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
    is_rolled_back = rollout.plan.state is RolloutState.ROLLED_BACK
    return is_rolled_back and version == rollout.order.version


def allows(choice: VersionChoice, upstream: Upstream) -> bool:
    """Report whether a call with this choice may go to a replica."""
    version = upstream.software_version
    if version in choice.barred or upstream.id in choice.excluded:
        return False
    return choice.version in (None, version)


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
    instance: Instance, upstream: Upstream, is_pinned: bool, now: float
) -> bool:
    """Report whether a call may be sent to a replica's version now, and count it if so.

    The grant, the verdict or the order may have changed since the version was chosen.
    """
    tables = instance.rollouts
    rollout = tables.rollout_by_service.get(upstream.service)
    if rollout is None:
        return True
    if upstream.software_version in tables.barred_by_service.get(upstream.service, ()):
        return False
    if rollout.is_completed or rollout.is_in_place:
        return True
    plan = rollout.plan
    is_new = _is_new(upstream, rollout.order)
    if plan.state in OVER:
        if is_new and plan.state is RolloutState.WITHDRAWN:
            return not _split_replicas(instance, rollout)[1]
        return not is_new
    share = _find_share(instance, rollout, now)
    if is_new and share <= 0:
        return False
    if is_bounded(rollout):
        return record_sent(rollout.exposure, is_new, share)
    if not is_new and plan.phase is Phase.DRAINING and share > 0 and not is_pinned:
        return False
    return record_sent(rollout.exposure, is_new, 1.0)


# What calls show.


@dataclass(slots=True)
class Answer:
    """Hold an attempt's answer so far; it counts once `sent_at` is set."""

    sent_at: float | None = None
    is_failed: bool = False


@contextmanager
def count_answer(
    instance: Instance, call: Call, upstream: Upstream, prefilled_tokens: int
) -> Iterator[Answer]:
    """Count the answer of an attempt for the verdict on its version."""
    answer = Answer()
    rollout = instance.rollouts.rollout_by_service.get(upstream.service)
    if rollout is None or rollout.plan.state is not RolloutState.RUNNING:
        yield answer
        return
    is_whole = False
    try:
        yield answer
        is_whole = True
    except UpstreamExchangeError:
        answer.is_failed = True
        raise
    finally:
        if answer.sent_at is not None:
            taken_s = time.monotonic() - answer.sent_at
            is_telling = taken_s >= GIVEN_UP_TARGETS * call.route.target_s
            if is_whole or answer.is_failed or is_telling:
                taken_s -= _estimate_prefill_s(instance, prefilled_tokens)
                _count(instance, rollout, call, upstream, answer, taken_s)


def _count(
    instance: Instance,
    rollout: ServiceRollout,
    call: Call,
    upstream: Upstream,
    answer: Answer,
    taken_s: float,
) -> None:
    is_new = _is_new(upstream, rollout.order)
    cold_until = instance.rollouts.cold_until_by_upstream.get(upstream.id, 0.0)
    if not answer.is_failed and answer.sent_at < cold_until:
        # A replica that has just started is slow whatever its version.
        return
    seconds = None if answer.is_failed else taken_s
    add_answer(rollout.own_counts, call.route.name, is_new, seconds)
    add_answer(rollout.total_counts, call.route.name, is_new, seconds)
    instance.metrics.rollout_answers.inc(
        {
            "service": upstream.service,
            "version": upstream.software_version,
            "outcome": "failed" if answer.is_failed else "whole",
        }
    )


def _estimate_prefill_s(instance: Instance, tokens: int) -> float:
    """Return what a prefill takes: the caches of new replicas are empty at first."""
    rows = instance.decisions.upstream_by_name.values()
    rate = max((row.prefill_tokens_per_s for row in rows), default=0.0)
    return tokens / rate if tokens > 0 and rate else 0.0


# What instances say to each other.


async def send_rollout_news(instance: Instance) -> None:
    """Send all peers the orders, this instance's counts and, as holder, the grants."""
    now = time.monotonic()
    rows = tuple(
        _make_row(instance, rollout, now)
        for rollout in instance.rollouts.rollout_by_service.values()
        if _is_open(rollout) or now - rollout.ended_at < END_RESEND_S
    )
    if rows:
        await broadcast(
            instance, RolloutNews(instance.site.instance, instance.incarnation, rows)
        )


def _is_open(rollout: ServiceRollout) -> bool:
    """Report whether an order runs; a completion is not final before it is stored."""
    state = rollout.plan.state
    is_unstored = state is RolloutState.COMPLETED and not rollout.is_completed
    return state is RolloutState.RUNNING or is_unstored


def _make_row(instance: Instance, rollout: ServiceRollout, now: float) -> RolloutRow:
    plan = rollout.plan
    order = plan.order
    state = RolloutState.RUNNING if _is_open(rollout) else plan.state
    return RolloutRow(
        service=order.service,
        version=order.version,
        duration_s=order.duration_s,
        created=order.created,
        era=rollout.stamp[0],
        revision=rollout.stamp[1],
        age_s=round(now - plan.ordered_at, 3),
        state=state.value,
        phase=plan.phase,
        phase_age_s=round(now - plan.phase_since, 3),
        fencing=instance.lease.record.fencing if holds_lease(instance) else 0,
        old_in_flight=_count_old_in_flight(instance, rollout),
        answers=tuple(
            RouteAnswers(
                route,
                is_new,
                row.failed,
                {b: n for b, n in enumerate(row.whole_by_bucket) if n},
            )
            for (route, is_new), row in rollout.own_counts.items()
        ),
    )


def _count_old_in_flight(instance: Instance, rollout: ServiceRollout) -> int:
    """Return this instance's calls under way at the old version."""
    count = 0
    for upstream in instance.upstream_by_id.values():
        if upstream.service != rollout.order.service:
            continue
        row = instance.decisions.upstream_by_name.get(upstream.id)
        row = row or instance.services.row_by_name.get(upstream.id)
        if row is not None and not _is_new(upstream, rollout.order):
            count += row.in_flight
    return count


async def handle_rollout_news(instance: Instance, news: RolloutNews) -> None:
    """Take over what a peer says of the orders."""
    if not has_rollouts(instance.site):
        return
    now = time.monotonic()
    for row in news.rows:
        _apply_row(instance, news, row, now)


def _apply_row(
    instance: Instance, news: RolloutNews, row: RolloutRow, now: float
) -> None:
    state = RolloutState(row.state)
    order = RolloutOrder(row.service, row.version, row.duration_s, row.created)
    stamp = (row.era, row.revision)
    known = instance.rollouts.rollout_by_service.get(row.service)
    if state is RolloutState.WITHDRAWN:
        if known is not None and is_same_order(known, order, stamp):
            _withdraw(instance, row.service, stamp, now)
        return
    rollout = _adopt_order(instance, order, stamp, now - row.age_s, None)
    if rollout is None or not is_same_order(rollout, order, stamp):
        return
    plan = rollout.plan
    if state is not RolloutState.RUNNING and not rollout.is_completed:
        status = RolloutStatus(state, row.version, row.fencing)
        if state is RolloutState.COMPLETED:
            _adopt_status(rollout, status, row.era, now)
        elif plan.state is not state:
            plan.state, rollout.ended_at = state, now
            _log(rollout, "version rolled back by a peer", peer=news.instance)
    if row.fencing and row.fencing >= rollout.fencing:
        rollout.fencing = row.fencing
        rollout.granted_at = now
        phase = Phase(row.phase)
        if phase is not plan.phase:
            plan.phase, plan.phase_since = phase, now - row.phase_age_s
    rollout.report_by_instance[news.instance] = Report(
        news.incarnation, Phase(row.phase), row.old_in_flight, now
    )
    counts = rollout.counts_by_process.setdefault((news.instance, news.incarnation), {})
    merge_counts(counts, _decode_answers(row), rollout.total_counts)


def _decode_answers(row: RolloutRow) -> VersionCounts:
    found: VersionCounts = {}
    for answers in row.answers:
        counts = AnswerCounts(answers.failed)
        for bucket, number in answers.whole_by_bucket.items():
            if 0 <= bucket < BUCKETS:
                counts.whole_by_bucket[bucket] = number
        found[answers.route, answers.is_new] = counts
    return found


# What the holder decides.


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
        _withdraw(instance, service, stamp, now)
    _forget_proved_bars(instance, service)
    is_holder = holds_lease(instance)
    if plan.state is RolloutState.RUNNING:
        rollout.is_in_place &= not _split_replicas(instance, rollout)[1]
        if is_holder:
            await _take_step(instance, rollout, now)
        else:
            _judge(rollout, now)
    share = _find_share(instance, rollout, now)
    instance.metrics.rollout_share.set({"service": service}, share)
    if is_holder and not rollout.is_writing and _is_write_due(instance, rollout):
        rollout.is_writing = True
        await curio.spawn(_write_status, instance, rollout, daemon=True)


def _judge(rollout: ServiceRollout, now: float) -> None:
    """Judge the version; a bad one gets nothing more from here, whoever holds the lease."""
    was_bad = rollout.plan.verdict is Verdict.BAD
    verdict = review(rollout.plan, rollout.total_counts, now)
    if verdict is Verdict.BAD and not was_bad:
        _log(rollout, "version found to be bad", reason=rollout.plan.reason)


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
    _log(
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
    new, old = _split_replicas(instance, rollout)
    is_drained = _count_old_in_flight(instance, rollout) == 0
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


def _forget_proved_bars(instance: Instance, service: str) -> None:
    """Forget the versions of earlier orders that have no replica any more."""
    barred = instance.rollouts.barred_by_service.get(service)
    if barred:
        listed = {
            u.software_version
            for u in instance.upstream_by_id.values()
            if u.service == service
        }
        barred &= listed


def _is_write_due(instance: Instance, rollout: ServiceRollout) -> bool:
    state = rollout.plan.state
    if state is RolloutState.WITHDRAWN:
        return False
    stored = rollout.stored
    if stored is None or stored.state is not state:
        return True
    if rollout.stored_era < instance.store.era:
        # The store may have come back from a copy that lacks the status.
        return True
    # A status that names the new holder's token ends the conditions of an earlier one.
    is_running = state is RolloutState.RUNNING
    return is_running and stored.fencing != instance.lease.record.fencing


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
                _withdraw(instance, name, rollout.stamp, time.monotonic())
            return
        case Failure(error):
            _log(rollout, "order not read", reason=repr(error))
            return
    is_known = instance.rollouts.rollout_by_service.get(name) is rollout
    if not is_known or not holds_lease(instance):
        return
    is_current = decode_rollout_status(found.status) == rollout.stored
    if is_current and not _is_write_due(instance, rollout):
        return
    status = RolloutStatus(
        rollout.plan.state, rollout.order.version, instance.lease.record.fencing
    )
    fields = encode_rollout_status(status)
    outcome = await replace_status(
        instance.store, ROLLOUT_KIND, name, fields, found.revision
    )
    match outcome:
        case Success(written):
            now = time.monotonic()
            rollout.stale = None
            rollout.stamp = max(rollout.stamp, (written.era, written.revision))
            _adopt_status(rollout, status, written.era, now)
            rollout.ended_at = now
            _log(
                rollout,
                "order's status written",
                state=status.state.value,
                fencing=status.fencing,
            )
            await send_rollout_news(instance)
        case Failure(error):
            # The next read shows whether the write took effect.
            _log(rollout, "order's status not written", reason=repr(error))


# What operators see.


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
            "share": _find_share(instance, rollout, now),
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

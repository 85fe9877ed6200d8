"""Send all peers the orders, grants and counts, and take over theirs."""

from __future__ import annotations

import time

from catkintrack.fleet import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from catkintrack.rollouts import (
    AnswerCounts,
    Phase,
    Report,
    ServiceRollout,
    VersionCounts,
    is_same_order,
    merge_counts,
)
from catkintrack.rollouts.counts import BUCKETS

from .broadcasting import broadcast
from .lease_keeper import holds_lease
from .messages import RolloutNews, RolloutRow, RouteAnswers
from .rollout_orders import (
    adopt_order,
    adopt_status,
    has_rollouts,
    is_new_version,
    log_rollout,
    withdraw_rollout,
)
from .state import Instance

# How long the end of an order is repeated to peers.
END_RESEND_S = 10.0


async def send_rollout_news(instance: Instance) -> None:
    """Send all peers the orders, this instance's counts and, as holder, the grants."""
    now = time.monotonic()
    rows = tuple(
        _make_row(instance, rollout, now)
        for rollout in instance.rollouts.rollout_by_service.values()
        if is_open(rollout)
        or now - rollout.ended_at < END_RESEND_S
        or _is_ended_unstored(rollout)
    )
    if rows:
        await broadcast(
            instance, RolloutNews(instance.site.instance, instance.incarnation, rows)
        )


def is_open(rollout: ServiceRollout) -> bool:
    """Report whether an order runs; a completion is not final before it is stored."""
    state = rollout.plan.state
    is_unstored = state is RolloutState.COMPLETED and not rollout.is_completed
    return state is RolloutState.RUNNING or is_unstored


def _is_ended_unstored(rollout: ServiceRollout) -> bool:
    """Report whether only instances know of a roll-back, as the store is away."""
    state = rollout.plan.state
    is_stored = rollout.stored is not None and rollout.stored.state is state
    return state is RolloutState.ROLLED_BACK and not (is_stored or rollout.is_gone)


def _make_row(instance: Instance, rollout: ServiceRollout, now: float) -> RolloutRow:
    plan = rollout.plan
    order = plan.order
    state = RolloutState.RUNNING if is_open(rollout) else plan.state
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
        old_in_flight=count_old_in_flight(instance, rollout),
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


def count_old_in_flight(instance: Instance, rollout: ServiceRollout) -> int:
    """Return this instance's calls under way at the old version."""
    count = 0
    for upstream in instance.upstream_by_id.values():
        if upstream.service != rollout.order.service:
            continue
        row = instance.decisions.upstream_by_name.get(upstream.id)
        row = row or instance.services.row_by_name.get(upstream.id)
        if row is not None and not is_new_version(upstream, rollout.order):
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
            withdraw_rollout(instance, row.service, stamp, now)
        return
    rollout = adopt_order(instance, order, stamp, now - row.age_s, None)
    if rollout is None or not is_same_order(rollout, order, stamp):
        return
    plan = rollout.plan
    if state is not RolloutState.RUNNING and not rollout.is_completed:
        status = RolloutStatus(state, row.version)
        if state is RolloutState.COMPLETED:
            # It is of this order, also if the entry still shows an equal one from before.
            rollout.stale = None
            adopt_status(rollout, status, row.era, now)
        elif plan.state is not state:
            plan.state, rollout.ended_at = state, now
            log_rollout(rollout, "version rolled back by a peer", peer=news.instance)
    if row.fencing and row.fencing >= rollout.fencing:
        rollout.fencing = row.fencing
        rollout.granted_at = now
    # Each phase was granted once; a holder that has started anew learns it from its peers.
    phase = Phase(row.phase)
    if phase > plan.phase:
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

"""Check a drill by what callers and replicas saw."""

from __future__ import annotations

from collections import Counter

from .drill import CONFIG_APPLY_S, DrillRun
from .drill_budget import check_budget, describe_budget
from .site_soak import STABLE_WINDOW_S, check_outcome, label
from .soak_callers import DEADLINE_S_BY_KIND, KINDS, Outcome

# The users' bounds: the answers that may be lost, how long a request may cross the
# close of its connection, and the memory of an instance.
MAX_LOST = 3
LOSS_SLACK_S = 0.2
MAX_MEMORY_MB = 300.0
RECOVERY_S = 2.0
MIN_SERVED_SHARE = 0.25
MAX_LATE_S = 0.5
GONE_SLACK_S = 0.5
# How long after a change of the configuration a lost answer counts by itself, unless it
# has used this share of its time.
CHANGE_WINDOW_S = CONFIG_APPLY_S + 1.0
USED_TIME_SHARE = 0.7
MAX_GONE = 3
MIN_LATE = 8
# How much sooner than at its timeout an answer may end.
TIMEOUT_SLACK_S = 0.1


def find_violations(run: DrillRun) -> list[str]:
    """Return a line for each violation of a guarantee."""
    runs_by_id = Counter()
    for counts in run.counts_by_replica.values():
        runs_by_id.update(counts["runs_by_request"])
    violations = []
    for outcome in run.outcomes:
        violations += check_outcome(outcome, runs_by_id[outcome.id])
    lost = list_lost(run)
    if len(lost) > MAX_LOST:
        violations.append(f"LOST {len(lost)} answers, {MAX_LOST} allowed")
        violations += [f"LOST {describe(run, outcome)}" for outcome in lost]
    violations += check_budget(run) + check_timeouts(run)
    violations += check_abandoned(run)
    sent_ids = {outcome.id for outcome in run.outcomes}
    violations += [f"UNASKED run of {id}" for id in runs_by_id if id not in sent_ids]
    leaked = sum(row["leaked_headers"] for row in run.counts_by_replica.values())
    if leaked:
        violations.append(f"{leaked} headers of callers reached replicas")
    violations += run.failures
    violations += check_recovery(run)
    violations += [
        f"MEMORY {name} used {peak_mb:.0f} MB"
        for name, peak_mb in run.peak_mb_by_node.items()
        if peak_mb > MAX_MEMORY_MB
    ]
    return violations


def check_recovery(run: DrillRun) -> list[str]:
    """Check that each kind of request is served again once all disruptions are over."""
    violations = []
    for kind in KINDS:
        found = [
            outcome.status == 200
            for outcome in run.outcomes
            if outcome.kind == kind and outcome.began_at > run.calm_at + RECOVERY_S
        ]
        if sum(found) < MIN_SERVED_SHARE * len(found):
            text = f"{sum(found)} of {len(found)} served"
            violations.append(f"RECOVER {kind}: {text} in the end")
    return violations


def check_abandoned(run: DrillRun) -> list[str]:
    """Check that requests reach no replica after their callers have gone.

    Frozen replicas read late what reached them before.
    """
    ended_at_by_id = {
        outcome.id: outcome.ended_at
        for outcome in run.outcomes
        if not _is_disrupted(run, outcome)
    }
    late = [
        id
        for row in run.counts_by_replica.values()
        for at, id, _ in row["arrivals"]
        if at > ended_at_by_id.get(id, at) + GONE_SLACK_S
        and not run.may_be_read_late(at)
    ]
    if len(late) <= MAX_GONE:
        return []
    return [
        f"GONE {len(late)} requests arrived after their callers had gone: {late[:5]}"
    ]


def list_lost(run: DrillRun) -> list[Outcome]:
    """Return the requests whose connection ended early without an excuse."""
    return [outcome for outcome, excuse in list_cut(run) if not excuse]


def list_cut(run: DrillRun) -> list[tuple[Outcome, str]]:
    """Return the requests that ended without a complete answer, with their excuses.

    A silent replica is none. Excused are requests whose time was up, that their caller
    gave up, that their replica broke off, that crossed the close of a kept connection and reached no replica, and
    those beside a kill of instances.
    """
    rows = run.counts_by_replica.values()
    broken = {id for row in rows for id in row["broken"]}
    arrived = {id for row in rows for _, id, _ in row["arrivals"]}
    cut = []
    for outcome in run.outcomes:
        if outcome.status:
            continue
        excuse = ""
        if _is_disrupted(run, outcome):
            excuse = "instances killed"
        elif not outcome.is_connected:
            excuse = "not connected"
        elif outcome.has_given_up:
            excuse = "given up by its caller"
        elif outcome.id in broken:
            excuse = "broken off by its replica"
        elif _is_time_up(run, outcome):
            excuse = "time up"
        elif _has_crossed_close(outcome) and outcome.id not in arrived:
            excuse = "not passed on"
        cut.append((outcome, excuse))
    return cut


def list_lost_beside_changes(run: DrillRun) -> list[Outcome]:
    """Return the lost requests that ended beside a change with time left, by the rule."""
    changed_at = [at for at, text in run.notes if text.startswith("change_")]
    return [
        outcome
        for outcome in list_lost(run)
        if any(0 < outcome.ended_at - at < CHANGE_WINDOW_S for at in changed_at)
        and outcome.ended_at - outcome.began_at
        < USED_TIME_SHARE * find_time_limits_s(run, outcome)[0]
    ]


def _has_crossed_close(outcome: Outcome) -> bool:
    seconds = outcome.ended_at - outcome.began_at
    return outcome.is_reused and seconds < LOSS_SLACK_S


def _is_time_up(run: DrillRun, outcome: Outcome) -> bool:
    limit_s = find_time_limits_s(run, outcome)[0]
    return outcome.ended_at - outcome.began_at >= limit_s - TIMEOUT_SLACK_S


def find_time_limits_s(run: DrillRun, outcome: Outcome) -> tuple[float, float]:
    """Return the shortest and the longest time that a request may have had.

    The timeout of its route may have changed meanwhile.
    """
    routes = run.list_routes(outcome.kind, outcome.began_at, outcome.ended_at)
    timeouts_s = [route["timeout_ms"] / 1e3 for route in routes]
    deadline_s = DEADLINE_S_BY_KIND[outcome.kind]
    return min(deadline_s, *timeouts_s), min(deadline_s, max(timeouts_s))


def check_timeouts(run: DrillRun) -> list[str]:
    """Check that requests are answered when their time is up."""
    over_s = [
        outcome.ended_at - outcome.began_at - find_time_limits_s(run, outcome)[1]
        for outcome in run.outcomes
        if not _is_disrupted(run, outcome)
    ]
    due = sum(seconds > 0.0 for seconds in over_s)
    late = sum(seconds > MAX_LATE_S for seconds in over_s)
    if late < MIN_LATE or 2 * late <= due:
        return []
    return [f"CONFIG {late} of {due} requests had no answer {MAX_LATE_S} s late"]


def _is_disrupted(run: DrillRun, outcome: Outcome) -> bool:
    return any(
        began_at < outcome.ended_at and ended_at > outcome.began_at - STABLE_WINDOW_S
        for began_at, ended_at in run.state.restarted
    )


def describe(run: DrillRun, outcome: Outcome) -> str:
    """Return a line about a request: when it was sent, how long it took, where it ran."""
    replicas = [
        f"{id} at {at - run.began_at:.2f}"
        for id, counts in run.counts_by_replica.items()
        for at, found, _ in counts["arrivals"]
        if found == outcome.id
    ]
    seconds = outcome.ended_at - outcome.began_at
    begun = "begun" if outcome.has_begun else "not begun"
    at_s = outcome.began_at - run.began_at
    reached = ", ".join(replicas) or "no replica"
    return f"{at_s:.2f} s: {label(outcome)}, {begun}, {seconds:.2f} s, {reached}"


def summarize(run: DrillRun) -> list[str]:
    """Return lines with the figures of a drill."""
    lines = []
    for kind in sorted({outcome.kind for outcome in run.outcomes}):
        found = [outcome for outcome in run.outcomes if outcome.kind == kind]
        statuses = Counter(outcome.status for outcome in found)
        lines.append(
            f"{kind}: {statuses[200]}/{len(found)} served, worst second"
            f" {find_worst_second(run, found)}, {dict(sorted(statuses.items()))}"
        )
    lines += describe_budget(run)
    lost = list_lost(run)
    begun = sum(outcome.has_begun for outcome in lost)
    beside = len(list_lost_beside_changes(run))
    lines.append(f"lost {len(lost)}: {begun} begun, {beside} beside a change")
    excuses = Counter(f"{o.kind} {excuse}" for o, excuse in list_cut(run) if excuse)
    lines.append(f"cut with an excuse: {dict(sorted(excuses.items()))}")
    if len(lost) <= MAX_LOST:
        lines += [f"lost {describe(run, outcome)}" for outcome in lost]
    lines.append(f"peak memory {max(run.peak_mb_by_node.values()):.0f} MB")
    return lines


def find_worst_second(run: DrillRun, outcomes: list[Outcome]) -> str:
    """Return the second with the least share of requests served."""
    sent, served = Counter(), Counter()
    for outcome in outcomes:
        second = int(outcome.began_at - run.began_at)
        sent[second] += 1
        served[second] += outcome.status == 200
    worst = min(sent, key=lambda second: served[second] / sent[second])
    return f"{worst}: {served[worst]}/{sent[worst]}"

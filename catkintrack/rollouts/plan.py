"""Decide the next step of a roll-out, as its one holder does.

    PROVING -> MOVING -> DRAINING -> completed, and from each of them -> rolled back

PROVING holds the exposure to its bound.  It lasts as long as the deadline allows, since a
version may become bad later.  MOVING and DRAINING give the new version all new calls, by
steps; DRAINING waits until all instances say that nothing is under way at the old one,
because its replicas stop at once on completion.  The version is judged until the end.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from catkintrack.fleet import RolloutOrder, RolloutState

from .counts import VersionCounts, subtract_counts
from .verdict import SLOW, Fault, Verdict, count_excess, find_fault, is_refuted, judge

# The part of the bound that new calls use; the rest is for begun streams.
EXPOSURE_MARGIN = 0.9
# Moving takes this long, then calls end and all instances say so.
HALF_SHARE = 0.5
HALF_SHARE_S = 1.0
# A suspicion that is refuted late leaves less time; all instances know a phase after this.
MIN_MOVING_S = 0.5
DRAIN_RESERVE_S = 6.0
# From the decision to the status in the store, also when one write is repeated.
WRITE_RESERVE_S = 2.5
# A short order still spends this part of its time on proving.
MIN_PROVING_SHARE = 0.5
# From the last moment to begin to move to the deadline.
LAST_MOVE_S = 2 * HALF_SHARE_S + WRITE_RESERVE_S + 1.0
# With little traffic fewer answers have to do then.
MIN_LAST_ANSWERS = 20
RECENT_S = 4.0
# A suspicion is decided after this time, by the answers since SETTLE_S: by then what one
# crash has cut is counted everywhere.  With gossip a roll-back stays within some 4 s.
SETTLE_S = 1.0
SUSPICION_S = 2.5
# With few answers it takes longer, while fewer are bad than operators bound: 50, of which
# some aren't counted yet.
MAX_EXCESS = 25
LONG_SUSPICION_S = 8.0
SNAPSHOT_INTERVAL_S = 0.5


class Phase(IntEnum):
    """Enumerate the phases of a running order; they only rise."""

    PROVING = 1
    MOVING = 2
    DRAINING = 3


class Step(Enum):
    """Enumerate why a phase or state was chosen, for the log."""

    NONE = "none"
    PROVED = "proved"
    PROVED_LATE = "proved by few answers"
    UNPROVED = "too few answers"
    BAD = "bad"
    ALL_MOVED = "nothing under way at the old version"
    OUT_OF_TIME = "the time is over"
    UNSERVED = "no replica of the new version"


@dataclass(frozen=True, slots=True)
class Fleet:
    """Hold what the holder knows of the fleet.

    `has_new` and `has_old` say whether a replica of these versions takes calls; `is_drained`
    that every instance has stopped sending to the old one and has nothing under way there.
    """

    has_new: bool
    has_old: bool
    is_drained: bool


@dataclass(slots=True)
class Suspicion:
    """Hold a fault, when it was found, and the counts after it has settled."""

    fault: Fault
    at: float
    settled: VersionCounts | None = None


@dataclass(slots=True)
class Plan:
    """Hold a roll-out as a process knows it; times in seconds of one clock.

    `excused` are the new version's answers up to a suspicion that was refuted.
    """

    order: RolloutOrder
    ordered_at: float
    phase: Phase = Phase.PROVING
    phase_since: float = 0.0
    state: RolloutState = RolloutState.RUNNING
    verdict: Verdict = Verdict.UNKNOWN
    reason: str = ""
    suspicion: Suspicion | None = None
    excused: VersionCounts = field(default_factory=dict)
    snapshots: list[tuple[float, VersionCounts]] = field(default_factory=list)


def find_moving_at(order: RolloutOrder, ordered_at: float) -> float:
    """Return when the version must have been proved at the latest."""
    reserve_s = HALF_SHARE_S + DRAIN_RESERVE_S + WRITE_RESERVE_S
    proving_s = max(MIN_PROVING_SHARE * order.duration_s, order.duration_s - reserve_s)
    return ordered_at + proving_s


def find_share(phase: Phase, phase_age_s: float, exposure_share: float) -> float:
    """Return the share of new calls that the new version gets in a phase."""
    if phase is Phase.PROVING:
        return EXPOSURE_MARGIN * exposure_share
    if phase is Phase.MOVING:
        return HALF_SHARE if phase_age_s < HALF_SHARE_S else 1.0
    return 1.0


def review(plan: Plan, counts: VersionCounts, now: float) -> Verdict:
    """Judge the version again; a bad one stays bad."""
    if plan.verdict is Verdict.BAD:
        return plan.verdict
    is_beside = plan.phase is Phase.PROVING
    if plan.suspicion is not None and not is_beside:
        # The holder has found the version good meanwhile.
        is_slow = plan.suspicion.fault.name == SLOW
        plan.suspicion = None if is_slow else plan.suspicion
    if plan.suspicion is not None:
        _settle_suspicion(plan, plan.suspicion, counts, now)
        return plan.verdict
    evidence = subtract_counts(counts, plan.excused)
    fault = find_fault(evidence, _find_recent(plan, counts, now), is_beside)
    if fault is not None and plan.excused:
        plan.verdict, plan.reason = Verdict.BAD, f"again, {fault}"
    elif fault is not None:
        plan.suspicion = Suspicion(fault, now)
        plan.verdict, plan.reason = Verdict.UNKNOWN, f"suspected, {fault}"
    else:
        plan.verdict, plan.reason = judge(evidence)
    return plan.verdict


def _settle_suspicion(
    plan: Plan, suspicion: Suspicion, counts: VersionCounts, now: float
) -> None:
    """Call a suspected version bad unless its next answers refute that, which they may once."""
    age_s = now - suspicion.at
    if suspicion.settled is None and age_s >= SETTLE_S:
        suspicion.settled = subtract_counts(counts, {})
    if suspicion.settled is None or age_s < SUSPICION_S:
        return
    later = subtract_counts(counts, suspicion.settled)
    refuted = is_refuted(suspicion.fault, later, counts)
    may_wait = age_s < LONG_SUSPICION_S and count_excess(counts) < MAX_EXCESS
    if refuted is None and may_wait:
        return
    if refuted:
        copied = subtract_counts(counts, {})
        plan.excused = {key: row for key, row in copied.items() if key[1]}
        plan.snapshots.clear()
        plan.reason = f"refuted, {suspicion.fault}"
        plan.suspicion = None
    else:
        plan.verdict, plan.reason = Verdict.BAD, str(suspicion.fault)


def advance(plan: Plan, counts: VersionCounts, fleet: Fleet, now: float) -> Step:
    """Take the next step of a running order, if one is due, and return why."""
    if plan.state is not RolloutState.RUNNING:
        return Step.NONE
    if review(plan, counts, now) is Verdict.BAD:
        plan.state = RolloutState.ROLLED_BACK
        return Step.BAD
    deadline_at = plan.ordered_at + plan.order.duration_s
    if plan.phase is Phase.PROVING:
        return _end_proving(plan, counts, fleet, now)
    if plan.suspicion is not None:
        return Step.NONE
    if plan.phase is Phase.MOVING:
        is_late = now >= deadline_at - WRITE_RESERVE_S
        moving_s = MIN_MOVING_S if is_late else 2 * HALF_SHARE_S
        if now - plan.phase_since >= moving_s:
            _enter(plan, Phase.DRAINING, now)
        return Step.NONE
    if not fleet.has_new:
        return _roll_back_unserved(plan, deadline_at, now)
    if fleet.is_drained:
        plan.state = RolloutState.COMPLETED
        return Step.ALL_MOVED
    if now >= deadline_at - WRITE_RESERVE_S and now - plan.phase_since >= HALF_SHARE_S:
        plan.state = RolloutState.COMPLETED
        return Step.OUT_OF_TIME
    return Step.NONE


def _end_proving(plan: Plan, counts: VersionCounts, fleet: Fleet, now: float) -> Step:
    """Begin to move once it is time and the version is proved.

    With little traffic few answers have to do at the last moment.
    """
    deadline_at = plan.ordered_at + plan.order.duration_s
    is_last = now >= deadline_at - LAST_MOVE_S
    if fleet.has_new and now >= find_moving_at(plan.order, plan.ordered_at):
        if plan.suspicion is not None:
            return Step.NONE
        if plan.verdict is Verdict.GOOD:
            _enter(plan, Phase.MOVING, now)
            return Step.PROVED
        answers = sum(row.total for (_, is_new), row in counts.items() if is_new)
        if is_last and answers >= MIN_LAST_ANSWERS:
            _enter(plan, Phase.MOVING, now)
            return Step.PROVED_LATE
    if now < deadline_at - WRITE_RESERVE_S:
        return Step.NONE
    plan.state = RolloutState.ROLLED_BACK
    return Step.UNPROVED


def _roll_back_unserved(plan: Plan, deadline_at: float, now: float) -> Step:
    """Roll a version back that has no replica at the end; it may get some before."""
    if now < deadline_at - WRITE_RESERVE_S:
        return Step.NONE
    plan.state = RolloutState.ROLLED_BACK
    return Step.UNSERVED


def _enter(plan: Plan, phase: Phase, now: float) -> None:
    plan.phase, plan.phase_since = phase, now


def _find_recent(plan: Plan, counts: VersionCounts, now: float) -> VersionCounts:
    """Return the counts of the last RECENT_S, and remember those of now."""
    rows = plan.snapshots
    if not rows or now - rows[-1][0] >= SNAPSHOT_INTERVAL_S:
        rows.append((now, subtract_counts(counts, {})))
    while len(rows) > 1 and rows[1][0] <= now - RECENT_S:
        rows.pop(0)
    return subtract_counts(counts, rows[0][1])

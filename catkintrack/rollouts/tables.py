"""Define what one process knows of the orders, its peers' counts and its permission."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass, field
from random import Random

from catkintrack.fleet import RolloutOrder, RolloutState, RolloutStatus

from .counts import VersionCounts
from .exposure import Exposure
from .plan import Phase, Plan, find_share
from .verdict import Verdict

# A process that has no newer grant sends an unproven version nothing.  Instances take a
# silent peer for gone after the same time.
GRANT_MAX_S = 1.5
# A grant has run out well before the bound of a roll-back.
GRANT_SHARE = 1 / 3
# Replicas that have stopped on completion are listed for this long at most.
STOPPED_S = 30.0

# A version that joins others may be ordered: its order may become known this much later.
JOIN_HOLD_S = 2.0

# Era and revision of the store at which an entry was seen.
Stamp = tuple[int, int]


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what a process last said: its phase and its calls under way at old replicas."""

    incarnation: int
    phase: Phase
    old_in_flight: int
    at: float


@dataclass(slots=True)
class ServiceRollout:
    """Hold one order as this process knows it; times in seconds.

    `stored` is the status last seen in the store, in `stored_era`, `stale` one of an earlier
    order that it still shows.  `is_completed` stays once the store has said so.
    `granted_at` is when the holder with the token `fencing` last granted the phase of the
    plan; `written_fencing` is the token with which this process last wrote the status.
    `unlisted_at` is when a new era first lacked the entry, `is_gone` whether it is deleted.
    With `is_in_place` no other version served when the order came.
    """

    plan: Plan
    stamp: Stamp
    stored: RolloutStatus | None = None
    stored_era: int = 0
    stale: RolloutStatus | None = None
    is_completed: bool = False
    granted_at: float = -1e9
    fencing: int = 0
    written_fencing: int = 0
    ended_at: float = 0.0
    unlisted_at: float | None = None
    is_gone: bool = False
    is_in_place: bool = False
    is_writing: bool = False
    exposure: Exposure = field(default_factory=Exposure)
    own_counts: VersionCounts = field(default_factory=dict)
    total_counts: VersionCounts = field(default_factory=dict)
    counts_by_process: dict[tuple[str, int], VersionCounts] = field(
        default_factory=dict
    )
    report_by_instance: dict[str, Report] = field(default_factory=dict)

    @property
    def order(self) -> RolloutOrder:
        """Return the order."""
        return self.plan.order


@dataclass(slots=True)
class RolloutTables:
    """Hold the newest order of each service, and the versions that earlier ones left.

    The latter never proved themselves; `barred_by_service` holds them.  Replicas are slow
    for some time after their start, `cold_until_by_upstream`, in seconds.
    `seen_at_by_service` holds when each version was first seen.
    """

    rollout_by_service: dict[str, ServiceRollout] = field(default_factory=dict)
    barred_by_service: dict[str, set[str]] = field(default_factory=dict)
    cold_until_by_upstream: dict[str, float] = field(default_factory=dict)
    seen_at_by_service: dict[str, dict[str, float]] = field(default_factory=dict)


def is_same_order(rollout: ServiceRollout, order: RolloutOrder, stamp: Stamp) -> bool:
    """Report whether an entry or message is about the order that is known.

    A new era of the store may have created the entry once more.
    """
    known = rollout.order
    if (known.version, known.duration_s) != (order.version, order.duration_s):
        return False
    return known.created == order.created or rollout.stamp[0] != stamp[0]


def find_current_share(
    rollout: ServiceRollout, exposure_share: float, rollback_s: float, now: float
) -> float:
    """Return the share of new calls that this process may send to the new version."""
    grant_s = min(GRANT_MAX_S, GRANT_SHARE * rollback_s)
    plan = rollout.plan
    if rollout.is_completed or rollout.is_in_place:
        return 1.0
    is_over = plan.state in (RolloutState.ROLLED_BACK, RolloutState.WITHDRAWN)
    if is_over or plan.verdict is Verdict.BAD:
        return 0.0
    # All instances have stopped sending to the old version, or are about to.
    if plan.phase is not Phase.DRAINING and now - rollout.granted_at >= grant_s:
        return 0.0
    return find_share(plan.phase, now - plan.phase_since, exposure_share)


def is_bounded(rollout: ServiceRollout) -> bool:
    """Report whether the version is unproven, so that its calls are counted."""
    plan = rollout.plan
    if rollout.is_completed or rollout.is_in_place:
        return False
    return plan.phase is Phase.PROVING


def record_seen(
    tables: RolloutTables, service: str, version: str, listed: Set[str], now: float
) -> None:
    """Record that a replica of a version is listed, beside the `listed` versions."""
    seen_at = tables.seen_at_by_service.setdefault(service, {})
    for gone in seen_at.keys() - listed:
        del seen_at[gone]
    seen_at.setdefault(version, now)


def list_joining(tables: RolloutTables, service: str, now: float) -> set[str]:
    """Return the versions that have joined older ones so lately that an order may follow."""
    seen_at = tables.seen_at_by_service.get(service)
    if not seen_at or len(seen_at) == 1:
        return set()
    first_at = min(seen_at.values())
    return {
        version
        for version, at in seen_at.items()
        if now - at < JOIN_HOLD_S <= at - first_at
    }


def wants_new_version(share: float, rng: Random) -> bool:
    """Draw whether a call goes to a proved version."""
    return share > 0 and (share >= 1.0 or rng.random() < share)

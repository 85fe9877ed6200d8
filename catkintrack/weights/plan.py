"""Plan a rolling update of replicas to the target weights of their model.

Loading weights empties a replica's KV cache and makes it unavailable for some hundred
milliseconds, longer when many replicas load at once.  Replicas therefore load in small
groups, the least busy first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from catkintrack.fleet import ModelWeights, SwapMode

# Share of a service's replicas that can load at once without slowing each other.
MAX_LOADING_FRACTION = 0.4
# Time after which a load without a reported outcome no longer counts as in progress.
LOAD_TIMEOUT_S = 1.5
# Assumed time of a load until one has been measured, and the weight of each measurement.
INITIAL_LOAD_S = 0.3
LOAD_TIME_SMOOTHING = 0.3
# Time from an order whose load failed to the next one to the same replica.
RETRY_INTERVAL_S = 0.3
# Far more versions than operators set before the last replica catches up.
MAX_EARLIER_VERSIONS = 16


@dataclass(frozen=True, slots=True)
class TargetWeights:
    """Hold the target version of a model and the earliest known time it was set.

    `earlier` holds the previous target versions, the newest first.
    """

    version: int
    set_at: float
    earlier: tuple[TargetWeights, ...] = ()


def find_replaced_at(target: TargetWeights, version: int) -> float | None:
    """Return when the first version after `version` was set, or None if none was."""
    newer = [row for row in (target, *target.earlier) if row.version > version]
    return min((row.set_at for row in newer), default=None)


@dataclass(slots=True)
class WeightsLoad:
    """Hold an order to load weights; `has_ended` is set if it ended without effect.

    `previous_orders` counts those before it that had no effect either.
    """

    weights: ModelWeights
    sent_at: float
    has_ended: bool = False
    previous_orders: int = 0


@dataclass(slots=True)
class ReplicaWeights:
    """Hold the weights version that a replica is known to run for each model."""

    version_by_model: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class WeightsTables:
    """Hold the target weights, the replicas' weights and the loads in progress.

    `order_count_by_upstream` counts the orders that a replica's current incarnation
    has accepted.  `load_time_s` is the moving average of the time of a load.
    """

    target_by_model: dict[str, TargetWeights] = field(default_factory=dict)
    replica_by_upstream: dict[str, ReplicaWeights] = field(default_factory=dict)
    load_by_upstream: dict[str, WeightsLoad] = field(default_factory=dict)
    order_count_by_upstream: dict[str, int] = field(default_factory=dict)
    load_time_s: float = INITIAL_LOAD_S


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """Describe an order to load weights that is due at one replica."""

    upstream: str
    weights: ModelWeights
    mode: SwapMode


def record_target_weights(
    tables: WeightsTables, weights: ModelWeights, at: float
) -> bool:
    """Record weights that were set as target at `at`; report whether they are newer.

    If a version is recorded with several times, the earliest counts.
    """
    known = tables.target_by_model.get(weights.model)
    at_by_version = {weights.version: at}
    if known is not None:
        for row in (known, *known.earlier):
            earliest_at = min(at_by_version.get(row.version, row.set_at), row.set_at)
            at_by_version[row.version] = earliest_at
    newest, *earlier = sorted(at_by_version, reverse=True)
    tables.target_by_model[weights.model] = TargetWeights(
        newest,
        at_by_version[newest],
        tuple(
            TargetWeights(v, at_by_version[v]) for v in earlier[:MAX_EARLIER_VERSIONS]
        ),
    )
    return known is None or newest > known.version


def record_replica_version(
    tables: WeightsTables, upstream: str, weights: ModelWeights
) -> bool:
    """Record the weights that a replica runs; report whether they are newer.

    A replica's version never decreases, so a delayed report of an older one is ignored.
    """
    replica = tables.replica_by_upstream.setdefault(upstream, ReplicaWeights())
    known = replica.version_by_model.get(weights.model, 0)
    if weights.version <= known:
        return False
    replica.version_by_model[weights.model] = weights.version
    load = tables.load_by_upstream.get(upstream)
    if load is not None and load.weights.version <= weights.version:
        del tables.load_by_upstream[upstream]
    return True


def forget_replica(tables: WeightsTables, upstream: str) -> None:
    """Remove all that is known of a replica's weights, loads and orders."""
    tables.replica_by_upstream.pop(upstream, None)
    tables.load_by_upstream.pop(upstream, None)
    tables.order_count_by_upstream.pop(upstream, None)


def record_load_sent(
    tables: WeightsTables, upstream: str, weights: ModelWeights, now: float
) -> None:
    """Record that a replica was ordered to load weights."""
    count = _count_vain_orders(tables, upstream)
    tables.load_by_upstream[upstream] = WeightsLoad(weights, now, previous_orders=count)


def record_load_time(tables: WeightsTables, duration_s: float) -> None:
    """Update the moving average of the time from an order to the new weights."""
    duration_s = min(duration_s, LOAD_TIMEOUT_S)
    tables.load_time_s += LOAD_TIME_SMOOTHING * (duration_s - tables.load_time_s)


def record_load_ended(tables: WeightsTables, upstream: str) -> None:
    """Record that a load ended without effect; it is retried after a delay."""
    load = tables.load_by_upstream.get(upstream)
    if load is not None:
        load.has_ended = True


def find_version(tables: WeightsTables, upstream: str, model: str) -> int:
    """Return the weights version that a replica is known to run, or 0."""
    replica = tables.replica_by_upstream.get(upstream)
    return replica.version_by_model.get(model, 0) if replica else 0


def plan_loads(
    tables: WeightsTables,
    model: str,
    work_by_upstream: Mapping[str, float],
    now: float,
) -> list[PlannedLoad]:
    """Return the loads to order now for the replicas of one service.

    `work_by_upstream` says how busy each replica is, in any unit.
    """
    target = tables.target_by_model.get(model)
    if target is None:
        return []
    behind = [
        upstream
        for upstream in work_by_upstream
        if find_version(tables, upstream, model) < target.version
    ]
    loading = [replica for replica in behind if _is_loading(tables, replica, now)]
    ready = [
        replica for replica in behind if _may_load(tables, replica, target.version, now)
    ]
    max_loading = max(1, math.floor(MAX_LOADING_FRACTION * len(work_by_upstream)))
    # A replica that is gone but still listed is idle: it must not come first each time.
    ready.sort(
        key=lambda upstream: (
            _count_vain_orders(tables, upstream),
            work_by_upstream[upstream],
            upstream,
        )
    )
    weights = ModelWeights(model, target.version)
    return [
        PlannedLoad(upstream, weights, SwapMode.KEEP_RUNNING)
        for upstream in ready[: max(0, max_loading - len(loading))]
    ]


def _count_vain_orders(tables: WeightsTables, upstream: str) -> int:
    """Return the number of orders in a row after which a replica loaded nothing."""
    load = tables.load_by_upstream.get(upstream)
    return 0 if load is None else load.previous_orders + 1


def _is_loading(tables: WeightsTables, upstream: str, now: float) -> bool:
    load = tables.load_by_upstream.get(upstream)
    if load is None or load.has_ended:
        return False
    return now - load.sent_at < LOAD_TIMEOUT_S


def _may_load(tables: WeightsTables, upstream: str, version: int, now: float) -> bool:
    load = tables.load_by_upstream.get(upstream)
    if load is None:
        return True
    if load.has_ended:
        return now - load.sent_at >= RETRY_INTERVAL_S
    return now - load.sent_at >= LOAD_TIMEOUT_S

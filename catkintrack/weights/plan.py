"""Plan which replicas load named weights next, and how.

A load empties the replica's cache and takes it out for some hundred milliseconds, and
more when many load at once, so that replicas change in small groups, the least busy
first.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from catkintrack.fleet import ModelWeights, SwapMode

# The part of a service's replicas that load side by side without slowing each other.
MAX_LOADING_FRACTION = 0.4
# How long an order that is under way keeps its place before it is looked at again.
LOAD_TIMEOUT_S = 1.5
# How long to leave a replica alone whose order failed.
RETRY_INTERVAL_S = 0.3
# Versions that are remembered, far more than come while a replica is behind.
MAX_EARLIER_VERSIONS = 16


@dataclass(frozen=True, slots=True)
class TargetWeights:
    """Hold the newest weights of a model and when they were first known.

    `earlier` are the versions before it, the newest first.
    """

    version: int
    set_at: float
    earlier: tuple[TargetWeights, ...] = ()


def find_replaced_at(named: TargetWeights, version: int) -> float | None:
    """Return when the first version after `version` was named, None if none was."""
    newer = [row for row in (named, *named.earlier) if row.version > version]
    return min((row.set_at for row in newer), default=None)


@dataclass(slots=True)
class WeightsLoad:
    """Hold an order that was sent to a replica; times in seconds."""

    weights: ModelWeights
    sent_at: float
    has_ended: bool = False


@dataclass(slots=True)
class ReplicaWeights:
    """Hold what a replica is known to run, keyed by model."""

    version_by_model: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class WeightsTables:
    """Hold the named weights, the replicas' and the orders under way.

    `order_count_by_id` is how many orders a replica has accepted in its present life.
    """

    target_by_model: dict[str, TargetWeights] = field(default_factory=dict)
    replica_by_id: dict[str, ReplicaWeights] = field(default_factory=dict)
    load_by_id: dict[str, WeightsLoad] = field(default_factory=dict)
    load_count_by_id: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """Order one replica to load weights now."""

    upstream: str
    weights: ModelWeights
    mode: SwapMode


def record_target_weights(
    tables: WeightsTables, weights: ModelWeights, at: float
) -> bool:
    """Note weights that an operator named; report whether they are the newest yet.

    Of several times at which a version was first known the earliest counts.
    """
    known = tables.target_by_model.get(weights.model)
    at_by_version = {weights.version: at}
    if known is not None:
        for row in (known, *known.earlier):
            earliest = min(at_by_version.get(row.version, row.set_at), row.set_at)
            at_by_version[row.version] = earliest
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
    """Note what a replica runs; report whether that is new.

    The version of a replica only grows, so that late reports do no harm.
    """
    replica = tables.replica_by_id.setdefault(upstream, ReplicaWeights())
    known = replica.version_by_model.get(weights.model, 0)
    if weights.version <= known:
        return False
    replica.version_by_model[weights.model] = weights.version
    load = tables.load_by_id.get(upstream)
    if load is not None and load.weights.version <= weights.version:
        del tables.load_by_id[upstream]
    return True


def record_load_sent(
    tables: WeightsTables, upstream: str, weights: ModelWeights, now: float
) -> None:
    """Note that a replica was ordered to load weights."""
    tables.load_by_id[upstream] = WeightsLoad(weights, now)


def record_load_ended(tables: WeightsTables, upstream: str) -> None:
    """Note that an order did not take effect; it is tried again after a while."""
    load = tables.load_by_id.get(upstream)
    if load is not None:
        load.has_ended = True


def find_version(tables: WeightsTables, upstream: str, model: str) -> int:
    """Return the version that a replica is known to run, or 0."""
    replica = tables.replica_by_id.get(upstream)
    return replica.version_by_model.get(model, 0) if replica else 0


def plan_loads(
    tables: WeightsTables,
    model: str,
    work_by_upstream: Mapping[str, float],
    now: float,
) -> list[PlannedLoad]:
    """Return the loads to order now, for the service whose replicas are given.

    `work_by_upstream` is how much each replica has to do, in any one unit.
    """
    named = tables.target_by_model.get(model)
    if named is None:
        return []
    behind = [
        upstream
        for upstream in work_by_upstream
        if find_version(tables, upstream, model) < named.version
    ]
    loading = [u for u in behind if _is_under_way(tables, u, now)]
    ready = [u for u in behind if _may_order(tables, u, named.version, now)]
    room = max(1, math.floor(MAX_LOADING_FRACTION * len(work_by_upstream)))
    ready.sort(key=lambda upstream: (work_by_upstream[upstream], upstream))
    weights = ModelWeights(model, named.version)
    return [
        PlannedLoad(upstream, weights, SwapMode.UNDER_RUNS)
        for upstream in ready[: max(0, room - len(loading))]
    ]


def _is_under_way(tables: WeightsTables, upstream: str, now: float) -> bool:
    load = tables.load_by_id.get(upstream)
    if load is None or load.has_ended:
        return False
    return now - load.sent_at < LOAD_TIMEOUT_S


def _may_order(tables: WeightsTables, upstream: str, version: int, now: float) -> bool:
    load = tables.load_by_id.get(upstream)
    if load is None:
        return True
    if load.has_ended:
        return now - load.sent_at >= RETRY_INTERVAL_S
    return now - load.sent_at >= LOAD_TIMEOUT_S

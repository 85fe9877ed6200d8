"""Roll out a model's target weights, which operators set, to its replicas."""

from .plan import (
    ReplicaWeights,
    TargetWeights,
    WeightsLoad,
    WeightsTables,
    find_replaced_at,
    find_version,
    forget_replica,
    plan_loads,
    record_load_ended,
    record_load_sent,
    record_load_time,
    record_replica_version,
    record_target_weights,
)

__all__ = [
    "WeightsLoad",
    "TargetWeights",
    "ReplicaWeights",
    "WeightsTables",
    "find_replaced_at",
    "find_version",
    "forget_replica",
    "record_load_ended",
    "record_load_sent",
    "record_load_time",
    "record_target_weights",
    "record_replica_version",
    "plan_loads",
]

"""Move a service's traffic to another software version, and roll back a bad one."""

from .counts import (
    AnswerCounts,
    VersionCounts,
    add_answer,
    merge_counts,
    subtract_counts,
    sum_counts,
)
from .exposure import (
    Exposure,
    choose_first_replicas,
    may_expose,
    record_sent,
    reserve,
    unreserve,
)
from .order import RolloutOrder, RolloutState, RolloutStatus
from .plan import Fleet, Phase, Plan, Step, advance, find_moving_at, find_share, review
from .verdict import Verdict, judge

__all__ = [
    "AnswerCounts",
    "Exposure",
    "Fleet",
    "Phase",
    "Plan",
    "RolloutOrder",
    "RolloutState",
    "RolloutStatus",
    "Step",
    "Verdict",
    "VersionCounts",
    "add_answer",
    "advance",
    "choose_first_replicas",
    "find_moving_at",
    "find_share",
    "judge",
    "may_expose",
    "merge_counts",
    "record_sent",
    "reserve",
    "review",
    "subtract_counts",
    "sum_counts",
    "unreserve",
]

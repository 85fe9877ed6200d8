"""Move a service's traffic to another software version, and roll back a bad one."""

from .counts import (
    AnswerCounts,
    VersionCounts,
    add_answer,
    merge_counts,
    subtract_counts,
)
from .exposure import (
    Exposure,
    choose_first_replicas,
    may_expose,
    record_sent,
    reserve,
    unreserve,
)
from .plan import Fleet, Phase, Plan, Step, advance, find_moving_at, find_share, review
from .tables import (
    GRANT_MAX_S,
    STOPPED_S,
    Report,
    RolloutTables,
    ServiceRollout,
    Stamp,
    find_current_share,
    is_bounded,
    is_same_order,
    wants_new_version,
)
from .verdict import Fault, Verdict, find_fault, judge

__all__ = [
    "GRANT_MAX_S",
    "STOPPED_S",
    "AnswerCounts",
    "Exposure",
    "Fault",
    "Fleet",
    "Phase",
    "Plan",
    "Report",
    "RolloutTables",
    "ServiceRollout",
    "Stamp",
    "Step",
    "Verdict",
    "VersionCounts",
    "add_answer",
    "advance",
    "choose_first_replicas",
    "find_moving_at",
    "find_fault",
    "find_share",
    "find_current_share",
    "is_bounded",
    "is_same_order",
    "judge",
    "may_expose",
    "merge_counts",
    "record_sent",
    "reserve",
    "review",
    "subtract_counts",
    "unreserve",
    "wants_new_version",
]

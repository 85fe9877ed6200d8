"""Know which instances live, at a cost that does not grow with the fleet."""

from .detector import (
    Outgoing,
    answer_vouch,
    leave,
    list_ring,
    record_heard,
    run_detector,
)
from .table import (
    MemberRow,
    Members,
    MemberState,
    forget_removed,
    learn_news,
    list_alive,
    list_all_news,
    needs_introduction,
    pass_on,
    take_news,
)

__all__ = [
    "MemberRow",
    "MemberState",
    "Members",
    "Outgoing",
    "answer_vouch",
    "forget_removed",
    "leave",
    "learn_news",
    "list_alive",
    "list_all_news",
    "list_ring",
    "needs_introduction",
    "pass_on",
    "record_heard",
    "run_detector",
    "take_news",
]

"""Detect live and dead instances at a cost per instance independent of fleet size."""

from .detector import (
    OutgoingMessage,
    announce_leave,
    answer_vouch_request,
    list_ring,
    record_liveness,
    run_detector,
)
from .table import (
    MemberEntry,
    MemberState,
    MemberTable,
    dequeue_news,
    enqueue_news,
    forget_removed_members,
    list_alive,
    list_all_news,
    merge_news,
    needs_full_table,
)

__all__ = [
    "MemberEntry",
    "MemberState",
    "MemberTable",
    "OutgoingMessage",
    "answer_vouch_request",
    "forget_removed_members",
    "announce_leave",
    "merge_news",
    "list_alive",
    "list_all_news",
    "list_ring",
    "needs_full_table",
    "enqueue_news",
    "record_liveness",
    "run_detector",
    "dequeue_news",
]

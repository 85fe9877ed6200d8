"""Move a silent stream only to a replica that has just reported.

A replica without requests of this process always looks sound, and in a silence of all
replicas none takes a stream.  The open attempt is the stream's best one until
another replica has been asked and has answered.  The streams of one silent replica are
spread over those that answer.
"""

from __future__ import annotations

import math

from .load import estimate_running
from .placement import is_healthy
from .tables import ModelRequest, Tables, UpstreamRow

# A replica is asked again after this long, which is when an unanswered request is given up.
ASK_INTERVAL_S = 0.6
# Replicas that are asked at a time; the others follow at the next check of the stream.
MAX_ASKED = 2
# How long an answer counts.
ANSWER_MAX_AGE_S = 1.0


def choose_asked(
    tables: Tables, request: ModelRequest, now: float
) -> list[UpstreamRow]:
    """Return the replicas to ask now, so that each stream that may move finds one."""
    answering = len(_list_answering(tables, request, now))
    if answering >= _count_streams(tables, request):
        return []
    rows = tables.upstream_by_name.values()
    due = [row for row in rows if is_due(row, now) and _fits(tables, row, request, now)]
    return sorted(due, key=lambda row: (row.in_flight, row.name))[:MAX_ASKED]


def is_due(row: UpstreamRow, now: float) -> bool:
    """Report whether a replica may be asked again."""
    return now - max(row.asked_at, row.answered_at) >= ASK_INTERVAL_S


def record_asked(row: UpstreamRow, now: float) -> None:
    """Record that a replica is asked for its report."""
    row.asked_at = now


def record_answered(row: UpstreamRow, now: float) -> None:
    """Record that a replica has reported that it lives and has room."""
    row.answered_at = now
    row.moved_there = 0


def record_not_served(row: UpstreamRow, now: float) -> None:
    """Record that a replica did not serve a call; its last report counts no more."""
    row.asked_at = now
    row.answered_at = -math.inf


def choose_target(
    tables: Tables, request: ModelRequest, now: float
) -> UpstreamRow | None:
    """Return the replica to which a silent stream should move now, if any."""
    return min(
        _list_answering(tables, request, now),
        key=lambda row: (_estimate_streams(row, now), row.name),
        default=None,
    )


def record_moved(row: UpstreamRow) -> None:
    """Record that a stream will be sent to a replica that has answered."""
    row.moved_there += 1


def list_others(tables: Tables, row: UpstreamRow) -> frozenset[str]:
    """Return the replicas but one."""
    return frozenset(tables.upstream_by_name) - {row.name}


def _count_streams(tables: Tables, request: ModelRequest) -> int:
    """Return how many streams the replicas that the request left may lose."""
    rows = (tables.upstream_by_name.get(name) for name in request.excluded)
    return max(1, sum(row.in_flight for row in rows if row is not None))


def _list_answering(
    tables: Tables, request: ModelRequest, now: float
) -> list[UpstreamRow]:
    rows = tables.upstream_by_name.values()
    return [
        row
        for row in rows
        if _has_answered(row, now) and _fits(tables, row, request, now)
    ]


def _fits(tables: Tables, row: UpstreamRow, request: ModelRequest, now: float) -> bool:
    """Report whether a replica looks sound and has room for the stream."""
    is_healthy_now = is_healthy(tables, row, request, now)
    return is_healthy_now and _estimate_streams(row, now) < row.max_running


def _estimate_streams(row: UpstreamRow, now: float) -> float:
    """Return the requests at a replica, with the streams moved since its last answer."""
    moved = row.moved_there if _has_answered(row, now) else 0
    return moved + estimate_running(row, now)


def _has_answered(row: UpstreamRow, now: float) -> bool:
    return now - row.answered_at < ANSWER_MAX_AGE_S

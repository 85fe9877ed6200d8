"""Refuse late requests at once that no room will come up for in their time.

Answers an overload that lasts: the late wait behind all that can still be on time, and
most of them would be refused only when their time is over.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .tables import ModelRequest

INTERVAL_SMOOTHING = 0.3
# Callers come back within this part of the time that they have left.
RETRY_SHARE = 0.33


@dataclass(slots=True)
class LateQueue:
    """Hold how fast late requests get their turn here; times in seconds."""

    dispatch_interval_s: float = 0.0
    last_dispatch_at: float | None = None


def update_late_queue(pace: LateQueue, is_empty: bool, now: float) -> None:
    """Note whether late requests wait; the pace is that of an unbroken queue."""
    if is_empty:
        pace.dispatch_interval_s = 0.0
        pace.last_dispatch_at = None
    elif pace.last_dispatch_at is None:
        pace.last_dispatch_at = now


def record_late_dispatch(pace: LateQueue, now: float) -> None:
    """Note that a late request got its turn."""
    if pace.last_dispatch_at is not None:
        dispatch_interval_s = now - pace.last_dispatch_at
        known_s = pace.dispatch_interval_s or dispatch_interval_s
        pace.dispatch_interval_s = known_s + INTERVAL_SMOOTHING * (
            dispatch_interval_s - known_s
        )
    pace.last_dispatch_at = now


def find_requests_to_shed(
    pace: LateQueue, late: Sequence[ModelRequest], now: float
) -> list[ModelRequest]:
    """Return those of `late`, in their order, whose turn comes after their deadline."""
    if pace.last_dispatch_at is None:
        return []
    dispatch_interval_s = max(pace.dispatch_interval_s, now - pace.last_dispatch_at)
    shed: list[ModelRequest] = []
    turn = 1
    for request in late:
        if now + turn * dispatch_interval_s > request.deadline:
            shed.append(request)
        else:
            turn += 1
    return shed


def choose_retry_after_s(request: ModelRequest, now: float) -> float:
    """Return the seconds after which the caller may come back and still be served."""
    return max(0.05, RETRY_SHARE * (request.deadline - now))

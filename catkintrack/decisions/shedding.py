"""Shed late requests that cannot be dispatched before their deadline.

A late request can no longer meet its first-token target and queues behind all that
can.  Under sustained overload most late requests would be refused only when their
deadline passes; refusing them at once leaves their callers time to retry.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .tables import ModelRequest

INTERVAL_SMOOTHING = 0.3
# Share of the time to the deadline after which a caller should retry.
RETRY_SHARE = 0.33


@dataclass(slots=True)
class LateQueue:
    """Hold the mean interval between dispatches from the backlog of late requests."""

    dispatch_interval_s: float = 0.0
    last_dispatch_at: float | None = None


def update_late_queue(queue: LateQueue, is_empty: bool, now: float) -> None:
    """Begin to measure the dispatch interval, or reset it if no late request queues."""
    if is_empty:
        queue.dispatch_interval_s = 0.0
        queue.last_dispatch_at = None
    elif queue.last_dispatch_at is None:
        queue.last_dispatch_at = now


def record_late_dispatch(queue: LateQueue, now: float) -> None:
    """Update the dispatch interval from the dispatch of a late request."""
    if queue.last_dispatch_at is not None:
        elapsed_s = now - queue.last_dispatch_at
        previous_s = queue.dispatch_interval_s or elapsed_s
        queue.dispatch_interval_s = previous_s + INTERVAL_SMOOTHING * (
            elapsed_s - previous_s
        )
    queue.last_dispatch_at = now


def find_requests_to_shed(
    queue: LateQueue, late: Sequence[ModelRequest], now: float
) -> list[ModelRequest]:
    """Return the requests of `late` that would be dispatched after their deadline.

    `late` is in dispatch order, and so is the result.
    """
    if queue.last_dispatch_at is None:
        return []
    dispatch_interval_s = max(queue.dispatch_interval_s, now - queue.last_dispatch_at)
    shed: list[ModelRequest] = []
    position = 1
    for request in late:
        if now + position * dispatch_interval_s > request.deadline:
            shed.append(request)
        else:
            position += 1
    return shed


def choose_retry_after_s(request: ModelRequest, now: float) -> float:
    """Return the seconds after which the caller should retry, before its deadline."""
    return max(0.05, RETRY_SHARE * (request.deadline - now))

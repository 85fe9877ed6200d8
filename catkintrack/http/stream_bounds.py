"""Bound a response stream in time and size.

Any byte shows that a connection is alive, but only a complete event shows progress: a
stalled upstream may send a byte now and then, or bytes that are no event, without end.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from .errors import UpstreamResponseTooLarge, UpstreamTimeout


@dataclass(slots=True)
class StreamBounds:
    """Hold the bounds of one stream and its progress; times in seconds.

    `max_pause_s` is the longest pause between two events.  `last_event_at` is None
    before the first event, which only `deadline_at` bounds.
    """

    max_pause_s: float
    max_bytes: int
    deadline_at: float = math.inf
    last_event_at: float | None = None
    received_bytes: int = 0


def record_received(bounds: StreamBounds, size_bytes: int) -> None:
    """Count received bytes; raise UpstreamResponseTooLarge beyond the bound."""
    bounds.received_bytes += size_bytes
    if bounds.received_bytes > bounds.max_bytes:
        raise UpstreamResponseTooLarge("the stream exceeds the size limit")


def record_event(bounds: StreamBounds, now: float) -> None:
    """Restart the pause at a complete event."""
    bounds.last_event_at = now


def is_near_stall(bounds: StreamBounds, now: float, lead_s: float) -> bool:
    """Report whether the pause is too long, or will be within `lead_s`."""
    at = bounds.last_event_at
    return at is not None and now >= at + bounds.max_pause_s - lead_s


def find_remaining_s(
    bounds: StreamBounds, now: float, may_move: Callable[[], bool] = lambda: True
) -> float:
    """Return how long to wait for the next event.

    Raise UpstreamTimeout if the deadline has passed, or if the pause is too long and
    `may_move` reports that another upstream can go on.
    """
    if now >= bounds.deadline_at:
        raise UpstreamTimeout("the stream did not end before its deadline")
    remaining_s = bounds.deadline_at - now
    if bounds.last_event_at is None:
        return remaining_s
    stalled_at = bounds.last_event_at + bounds.max_pause_s
    if now < stalled_at:
        return min(stalled_at - now, remaining_s)
    if may_move():
        raise UpstreamTimeout("the stream stalled between two events")
    return remaining_s

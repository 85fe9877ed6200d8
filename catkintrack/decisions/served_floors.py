"""Keep each kind, size and workspace served at least in part while room is short.

Load pattern: a storm of urgent short calls in which an order by priority and time alone
would refuse each long call, or each call of the busiest workspace.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .decay import DecayingSum
from .tables import ModelRequest

# Least share of requests served, relative to that of all requests.
SIZE_FLOOR = 0.5
WORKSPACE_FLOOR = 0.35
FLOOR_WINDOW_S = 8.0
# Fewer requests in the window say nothing about a class.
MIN_ASKED = 3.0

ServedClass = tuple[str, str]
ALL: ServedClass = ("all", "")


@dataclass(slots=True)
class ServedCounts:
    """Hold the recent requests of one class, and those of them that were dispatched."""

    asked: DecayingSum = field(default_factory=lambda: DecayingSum(FLOOR_WINDOW_S))
    served: DecayingSum = field(default_factory=lambda: DecayingSum(FLOOR_WINDOW_S))


@dataclass(slots=True)
class ServedFloors:
    """Hold the counts of this instance by class."""

    counts_by_class: dict[ServedClass, ServedCounts] = field(default_factory=dict)


def list_classes(request: ModelRequest) -> tuple[ServedClass, ServedClass]:
    """Return the request's class by the sizes of prompt and output, and its workspace's."""
    # Sizes of one class differ by a factor below 2.
    size = request.prompt_tokens.bit_length(), request.max_tokens.bit_length()
    return ("size", f"{size[0]}/{size[1]}"), ("workspace", request.workspace)


def record_asked(floors: ServedFloors, request: ModelRequest, now: float) -> None:
    """Count a request that has arrived."""
    for served_class in (ALL, *list_classes(request)):
        _ensure_counts(floors, served_class).asked.add(1.0, now)


def record_served(floors: ServedFloors, request: ModelRequest, now: float) -> None:
    """Count a request that is dispatched."""
    for served_class in (ALL, *list_classes(request)):
        _ensure_counts(floors, served_class).served.add(1.0, now)


def is_below_floor(floors: ServedFloors, request: ModelRequest, now: float) -> bool:
    """Report whether a class of the request is served much less often than all."""
    size, workspace = list_classes(request)
    return _is_below(floors, size, SIZE_FLOOR, now) or _is_below(
        floors, workspace, WORKSPACE_FLOOR, now
    )


def _is_below(
    floors: ServedFloors, served_class: ServedClass, floor: float, now: float
) -> bool:
    counts, total = (
        floors.counts_by_class.get(served_class),
        floors.counts_by_class.get(ALL),
    )
    if counts is None or total is None:
        return False
    asked, all_asked = counts.asked.read(now), total.asked.read(now)
    if asked < MIN_ASKED:
        return False
    share, all_share = (
        counts.served.read(now) / asked,
        total.served.read(now) / all_asked,
    )
    return share < floor * all_share


def _ensure_counts(floors: ServedFloors, served_class: ServedClass) -> ServedCounts:
    return floors.counts_by_class.setdefault(served_class, ServedCounts())

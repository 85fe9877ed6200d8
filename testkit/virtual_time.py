"""Run the events of a simulation in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

Action = Callable[[], None]


class Simulation(Protocol):
    """Hold a clock, in seconds, and the actions to come."""

    now: float
    events: list[tuple[float, int, Action]]
    event_count: int


def schedule(simulation: Simulation, at: float, action: Action) -> None:
    """Run an action at a time; actions of the same time run in the order given."""
    simulation.event_count += 1
    heapq.heappush(simulation.events, (at, simulation.event_count, action))


def schedule_in(simulation: Simulation, delay_s: float, action: Action) -> None:
    """Run an action after a delay."""
    schedule(simulation, simulation.now + delay_s, action)


def run_until(simulation: Simulation, end: float) -> None:
    """Run the actions that are due before a time, in seconds."""
    while simulation.events and simulation.events[0][0] < end:
        simulation.now, _, action = heapq.heappop(simulation.events)
        action()

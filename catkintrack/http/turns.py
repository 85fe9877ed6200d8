"""Give way to other tasks while input is at hand.

A task that finds its input ready does not wait, so that a peer which sends faster than it
is read would keep all other tasks from running.
"""

from __future__ import annotations

from dataclasses import dataclass

import curio

# Reads and decoded parts in a row without waiting, some milliseconds of work.
MAX_STEPS = 32


@dataclass(slots=True)
class Turn:
    """Count the steps that a task has taken since it last waited."""

    steps: int = 0


async def take_step(turn: Turn) -> None:
    """Count a step that did not wait, and let other tasks run after MAX_STEPS."""
    turn.steps += 1
    if turn.steps >= MAX_STEPS:
        turn.steps = 0
        await curio.sleep(0)

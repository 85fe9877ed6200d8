"""Hold what calls have in common, whatever interface they came by."""

from .waiting import (
    Waiter,
    WaitingRoom,
    run_tick,
    run_ticks,
    wait_for_place,
)

__all__ = ["Waiter", "WaitingRoom", "run_tick", "run_ticks", "wait_for_place"]

"""Hold what calls have in common, whatever interface they came by."""

from .waiting import (
    CallQueue,
    Waiter,
    run_tick,
    run_ticks,
    wait_for_decision,
)

__all__ = ["Waiter", "CallQueue", "run_tick", "run_ticks", "wait_for_decision"]

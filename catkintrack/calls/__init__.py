"""Queue the model calls of a router or instance until the scheduler decides on them."""

from .waiting import (
    CallQueue,
    Waiter,
    run_tick,
    run_ticks,
    wait_for_decision,
)

__all__ = ["Waiter", "CallQueue", "run_tick", "run_ticks", "wait_for_decision"]

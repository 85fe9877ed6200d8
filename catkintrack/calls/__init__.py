"""Queue the model calls of a router or instance until the scheduler decides on them."""

from .waiting import (
    CallQueue,
    CallWithdrawn,
    Waiter,
    allow_withdrawal,
    run_tick,
    run_ticks,
    wait_for_decision,
)

__all__ = [
    "Waiter",
    "CallQueue",
    "CallWithdrawn",
    "allow_withdrawal",
    "run_tick",
    "run_ticks",
    "wait_for_decision",
]

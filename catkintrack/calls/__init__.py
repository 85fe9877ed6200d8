"""Queue model calls of all HTTP interfaces until they are dispatched or refused."""

from .waiting import (
    CallQueue,
    Waiter,
    run_tick,
    run_ticks,
    wait_for_decision,
)

__all__ = ["Waiter", "CallQueue", "run_tick", "run_ticks", "wait_for_decision"]

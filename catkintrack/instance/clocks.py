"""Read the monotonic clock that includes suspended time."""

from __future__ import annotations

import time


def read_boot_clock() -> float:
    """Return the seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Sum amounts that count less the longer ago they were added."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class DecayingSum:
    """Hold a sum with an exponential kernel; times in seconds."""

    time_constant_s: float
    amount: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at `now`."""
        self.amount = self.read(now) + amount
        self.updated_at = max(self.updated_at, now)

    def read(self, now: float) -> float:
        """Return the sum of all amounts, weighted by their age."""
        age_s = max(0.0, now - self.updated_at)
        return self.amount * math.exp(-age_s / self.time_constant_s)

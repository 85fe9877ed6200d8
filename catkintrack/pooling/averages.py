"""Average usage over the last seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Time constant of the averages.
USAGE_AVERAGE_S = 2.0


@dataclass(slots=True)
class UsageAverage:
    """Hold a moving average of usage with an exponential kernel."""

    amount: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add usage at `now`."""
        self.amount = self.read(now) * USAGE_AVERAGE_S + amount
        self.updated_at = max(self.updated_at, now)

    def read(self, now: float) -> float:
        """Return the usage per second."""
        age_s = max(0.0, now - self.updated_at)
        return self.amount * math.exp(-age_s / USAGE_AVERAGE_S) / USAGE_AVERAGE_S

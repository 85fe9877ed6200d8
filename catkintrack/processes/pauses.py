"""Notice that this process was frozen, so that old messages aren't taken for new."""

from __future__ import annotations

from dataclasses import dataclass

MAX_GAP_S = 1.5
DISTRUST_S = 0.5


@dataclass(slots=True)
class PauseGuard:
    """Hold when the process last made progress; times in seconds."""

    last_at: float
    distrust_until: float = 0.0

    def check(self, now: float) -> bool:
        """Report whether messages that arrive now can be taken as recent.

        What was sent during a pause waits in socket buffers and is read just after
        it, so nothing is trusted for a moment.
        """
        if now - self.last_at > MAX_GAP_S:
            self.distrust_until = now + DISTRUST_S
        self.last_at = now
        return now >= self.distrust_until

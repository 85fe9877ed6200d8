"""Detect pauses of this process, after which delayed messages would seem recent."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CHECK_GAP_S = 1.5
DISTRUST_AFTER_PAUSE_S = 0.5


@dataclass(slots=True)
class PauseDetector:
    """Detect pauses of this process by the time between checks, in seconds."""

    last_checked_at: float
    distrusted_until: float = 0.0

    def are_messages_recent(self, now: float) -> bool:
        """Record a check and report whether messages read now count as recent.

        Messages sent during a pause wait in socket buffers and are read right after
        it, so none counts as recent for DISTRUST_AFTER_PAUSE_S.
        """
        if now - self.last_checked_at > MAX_CHECK_GAP_S:
            self.distrusted_until = now + DISTRUST_AFTER_PAUSE_S
        self.last_checked_at = now
        return now >= self.distrusted_until

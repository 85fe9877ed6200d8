"""Notice that this process was paused, before it acts on what it knew."""

from __future__ import annotations

import logging

from catkintrack.pooling import limit_after_pause

from .state import Instance

logger = logging.getLogger(__name__)

# Housekeeping runs several times in this time.
PAUSE_S = 1.0


def limit_after_own_pause(instance: Instance, boot_now: float, now: float) -> None:
    """Record that the process runs, and reduce the limits if it was paused before.

    The boot clock, unlike the monotonic one, counts the time of a suspended machine.
    """
    running_at, instance.running_at = instance.running_at, boot_now
    if running_at is None or boot_now - running_at <= PAUSE_S:
        return
    paused_s = round(boot_now - running_at, 2)
    logger.warning("process was paused", extra={"paused_s": paused_s})
    limit_after_pause(instance.limits, now)

"""Keep the background tasks of a process running."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import curio

logger = logging.getLogger(__name__)

RESTART_PAUSE_S = 0.5


async def run_restarting(function: Callable[..., Awaitable[None]], *args: Any) -> None:
    """Run a task, logging its failure and starting it again after a pause."""
    while True:
        try:
            await function(*args)
            return
        except Exception:
            logger.exception("task failed", extra={"task": function.__name__})
            await curio.sleep(RESTART_PAUSE_S)

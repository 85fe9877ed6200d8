"""Keep the reload signal from ending a process that does not handle it yet.

This module is imported before all others, so it imports little itself.
"""

from __future__ import annotations

import signal

RELOAD_SIGNAL = signal.SIGHUP


def ignore_reload_signal() -> None:
    """Ignore the reload signal: a starting process has yet to read its settings."""
    signal.signal(RELOAD_SIGNAL, signal.SIG_IGN)

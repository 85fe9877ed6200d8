"""Keep signals from ending a process that does not handle them yet.

This module is imported before all others, so it imports little itself.
"""

from __future__ import annotations

import signal

RELOAD_SIGNAL = signal.SIGHUP
# Sent by some log rotation and service tools; their default action ends a process.
IGNORED_SIGNALS = (signal.SIGUSR1, signal.SIGUSR2)


def ignore_early_signals() -> None:
    """Ignore the signals that must not end a process, until it handles them.

    A reload has nothing to do: a starting process has yet to read its settings.
    """
    for number in (RELOAD_SIGNAL, *IGNORED_SIGNALS):
        signal.signal(number, signal.SIG_IGN)

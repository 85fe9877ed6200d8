"""Provide the parts of a process: signals, logs, metrics and operator endpoints."""

from .logs import (
    DroppingHandler,
    RateLimitFilter,
    configure_logging,
    log_suppressed_lines,
)
from .metrics import make_metric_factories
from .ops import open_ops_server
from .pauses import PauseDetector
from .reload import (
    Reload,
    SettingsFiles,
    log_changes,
    log_invalid_settings,
    make_safe_reload,
    make_settings_reload,
    observe_files,
    watch_files,
)
from .signals import catch_signals, wait_for_stop_signal
from .startup import EXIT_BAD_SETTINGS, load_after_rewrite
from .tasks import run_restarting

__all__ = [
    "EXIT_BAD_SETTINGS",
    "PauseDetector",
    "RateLimitFilter",
    "DroppingHandler",
    "make_metric_factories",
    "Reload",
    "SettingsFiles",
    "catch_signals",
    "load_after_rewrite",
    "log_changes",
    "log_invalid_settings",
    "make_safe_reload",
    "make_settings_reload",
    "observe_files",
    "watch_files",
    "configure_logging",
    "log_suppressed_lines",
    "open_ops_server",
    "run_restarting",
    "wait_for_stop_signal",
]

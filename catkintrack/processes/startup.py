"""Start a process from its settings files."""

from __future__ import annotations

import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import curio
from returns.result import Failure, Result, Success

from catkintrack.settings import Settings, SettingsError, load_settings

from .logs import configure_logging
from .reload import SettingsFiles, observe_files

EXIT_BAD_SETTINGS = 2
# A rewrite of a settings file in place takes far less than all attempts together.
RELOAD_INTERVAL_S = 0.05
MAX_RELOADS = 20

T = TypeVar("T")
E = TypeVar("E")


def split_paths(files: str) -> list[Path]:
    """Return the paths in a comma-separated list of files."""
    return [Path(name) for name in files.split(",")]


def load_after_rewrite(load: Callable[[], Result[T, E]]) -> Result[T, E]:
    """Load settings, and load them again for up to a second while they are invalid.

    A file that is being rewritten in place is empty or cut for a moment.
    """
    loaded = load()
    for _ in range(MAX_RELOADS):
        if not isinstance(loaded, Failure):
            break
        time.sleep(RELOAD_INTERVAL_S)
        loaded = load()
    return loaded


def load_settings_or_exit(files: str) -> Settings:
    """Return the settings in comma-separated `files`; exit with status 2 if invalid."""
    return _get_or_exit(load_settings(split_paths(files)))


def _get_or_exit(loaded: Result[Settings, list[SettingsError]]) -> Settings:
    match loaded:
        case Success(settings):
            return settings
        case Failure(errors):
            for error in errors:
                print(error, file=sys.stderr)
            raise SystemExit(EXIT_BAD_SETTINGS)


def run_process(
    files: str,
    name: str,
    run: Callable[[Settings, SettingsFiles], Awaitable[None]],
) -> None:
    """Load the settings, configure logging and run the process until it ends."""
    observed = observe_files(split_paths(files))
    settings = _get_or_exit(load_after_rewrite(lambda: load_settings(observed.paths)))
    configure_logging(settings.logging.level, name, settings.instance.id)
    curio.run(run, settings, observed)

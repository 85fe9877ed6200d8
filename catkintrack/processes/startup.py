"""Start a process from its settings files."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import curio
from returns.result import Failure, Success

from catkintrack.settings import Settings, load_settings

from .logs import configure_logging

EXIT_BAD_SETTINGS = 2


def split_paths(files: str) -> list[Path]:
    """Return the paths in a comma-separated list of files."""
    return [Path(name) for name in files.split(",")]


def load_settings_or_exit(files: str) -> Settings:
    """Return the settings in comma-separated `files`; exit with status 2 if invalid."""
    match load_settings(split_paths(files)):
        case Success(settings):
            return settings
        case Failure(errors):
            for error in errors:
                print(error, file=sys.stderr)
            raise SystemExit(EXIT_BAD_SETTINGS)


def run_process(
    files: str,
    name: str,
    run: Callable[[Settings, Sequence[Path]], Awaitable[None]],
) -> None:
    """Load the settings, configure logging and run the process until it ends."""
    settings = load_settings_or_exit(files)
    configure_logging(settings.logging.level, name, settings.instance.id)
    curio.run(run, settings, split_paths(files))

"""Reload a process's settings when it is told to or its settings files change."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import curio
from returns.result import Failure, Success

from catkintrack.settings import (
    Settings,
    list_changes,
    load_settings,
    merge_reloadable_settings,
)

logger = logging.getLogger(__name__)

FILE_CHECK_INTERVAL_S = 1.0
# Key material is never logged.
SECRET_FIELD_PREFIX = "links."

Reload = Callable[[], None]
FileState = tuple[tuple[int, int, int] | None, ...]


def make_safe_reload(reload: Reload) -> Reload:
    """Return a function that logs an error of `reload`, which must end no process."""

    def reload_safely() -> None:
        try:
            reload()
        except Exception:
            logger.exception("reload failed; the process goes on as it was")

    return reload_safely


@dataclass(frozen=True, slots=True)
class SettingsFiles:
    """Hold a process's settings files, and what identified them before it read them."""

    paths: tuple[Path, ...]
    state: FileState


def observe_files(paths: Sequence[Path]) -> SettingsFiles:
    """Return the files as they are now, before they are loaded."""
    return SettingsFiles(tuple(paths), read_file_state(paths))


async def watch_files(files: SettingsFiles, reload: Reload) -> None:
    """Reload when one of the files has changed since its state, until cancelled."""
    state = files.state
    while True:
        await curio.sleep(FILE_CHECK_INTERVAL_S)
        current = read_file_state(files.paths)
        if current != state:
            state = current
            reload()


def read_file_state(paths: Sequence[Path]) -> FileState:
    """Return what identifies the contents of each file, None for a missing one."""
    return tuple(_read_state(path) for path in paths)


def _read_state(path: Path) -> tuple[int, int, int] | None:
    try:
        row = path.stat()
    except OSError:
        return None
    return row.st_ino, row.st_mtime_ns, row.st_size


def make_settings_reload(
    paths: Sequence[Path], current: Settings, apply: Callable[[Settings], None]
) -> Reload:
    """Return a function that loads the files and applies what a process can change."""
    in_force = current

    def reload() -> None:
        nonlocal in_force
        match load_settings(paths):
            case Failure(errors):
                for error in errors:
                    log_invalid_settings(str(error))
                return
            case Success(loaded):
                pass
        merged = merge_reloadable_settings(in_force, loaded)
        log_changes(in_force.model_dump(), merged.model_dump(), loaded.model_dump())
        if merged != in_force:
            logging.getLogger().setLevel(merged.logging.level)
            in_force = merged
            apply(merged)

    return make_safe_reload(reload)


def log_invalid_settings(reason: str) -> None:
    """Log why settings were not loaded; those in force stay."""
    logger.error(
        "invalid settings; the previous ones stay in force", extra={"reason": reason}
    )


def log_changes(old: dict, applied: dict, wanted: dict) -> None:
    """Log each changed field, and each that takes effect only after a restart."""
    changes = list_changes(old, applied)
    for name, (before, after) in changes.items():
        logger.info(
            "setting changed",
            extra={"field": name, "before": str(before), "after": str(after)},
        )
    pending = list_changes(applied, wanted)
    for name, (_, after) in pending.items():
        value = "" if name.startswith(SECRET_FIELD_PREFIX) else str(after)
        logger.warning(
            "setting needs a restart", extra={"field": name, "wanted": value}
        )
    if not changes and not pending:
        logger.info("settings reloaded without a change")

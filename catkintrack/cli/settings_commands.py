"""Validate settings files."""

from __future__ import annotations

from pathlib import Path

from fire.decorators import SetParseFn
from returns.result import Failure, Success

from catkintrack.platform import load_site
from catkintrack.processes.startup import load_settings_or_exit

from .output import ExitStatus, fail


@SetParseFn(str, "files")
def check_settings(files: str) -> None:
    """Validate comma-separated settings files; each overrides the ones before it."""
    settings = load_settings_or_exit(files)
    print(f"valid for instance {settings.instance.id} in {settings.instance.zone}")


@SetParseFn(str, "file")
def check_site(file: str) -> None:
    """Validate a settings file that was written by the users' platform."""
    match load_site(Path(file)):
        case Success(site):
            print(f"valid for instance {site.instance} in {site.zone}")
        case Failure(error):
            fail(ExitStatus.USAGE, [f"{error.subject}: {error.reason}"])

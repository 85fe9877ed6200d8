"""Check processes' settings files."""

from __future__ import annotations

from pathlib import Path

from fire.decorators import SetParseFn
from returns.result import Failure, Success

from catkintrack.platform import load_site
from catkintrack.processes.starting import load_settings_or_exit

from .output import ExitStatus, fail


@SetParseFn(str, "files")
def check_settings(files: str) -> None:
    """Check settings files, comma-separated, each laid over the one before."""
    settings = load_settings_or_exit(files)
    print(f"valid for instance {settings.instance.id} in {settings.instance.zone}")


@SetParseFn(str, "file")
def check_site(file: str) -> None:
    """Check a settings file that the users' platform wrote."""
    match load_site(Path(file)):
        case Success(site):
            print(f"valid for instance {site.instance} in {site.zone}")
        case Failure(error):
            fail(ExitStatus.USAGE, [f"{error.subject}: {error.reason}"])

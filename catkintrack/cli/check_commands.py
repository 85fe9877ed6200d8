"""Check a configuration file before it is sent."""

from __future__ import annotations

import json as json_format
from pathlib import Path

from fire.decorators import SetParseFn
from returns.result import Failure, Success

from catkintrack.config import (
    ConfigState,
    Finding,
    check_state,
    has_errors,
    validate_state,
)
from catkintrack.decisions.prefix import BYTES_PER_TOKEN
from catkintrack.processes.startup import split_paths
from catkintrack.settings import merge_documents, read_document

from .calls import load_state, run_with_platform, unwrap_or_fail
from .config_commands import (
    apply_edit,
    check_is_mapping,
    compute_edit,
    describe_diff,
)
from .output import ExitStatus, fail


def read_merged_entities(paths: list[Path]) -> dict[str, dict]:
    """Return the entities in YAML files by kind and name; each overrides those before."""
    merged: dict[str, dict] = {}
    for path in paths:
        match read_document(path):
            case Success(document):
                check_is_mapping(str(path), document)
                merged = merge_documents(merged, document)
            case Failure(error):
                fail(ExitStatus.USAGE, [str(error)])
    return {
        kind: {str(name): value for name, value in value_by_name.items()}
        for kind, value_by_name in merged.items()
    }


def describe_check(
    findings: list[Finding], differences: list[str] | None, revision: int | None
) -> dict:
    """Return the outcome of a check as JSON values."""
    return {
        "findings": [
            {
                "severity": finding.severity.value,
                "path": finding.path,
                "message": finding.message,
            }
            for finding in findings
        ],
        "differences": differences,
        "revision": revision,
    }


def format_check(findings: list[Finding], differences: list[str] | None) -> str:
    """Return the outcome of a check as text, one line for each finding and change."""
    lines = [str(finding) for finding in findings] or ["nothing found"]
    if differences is not None:
        lines += [
            "differs from the version in force:" if differences else "no difference"
        ]
        lines += [f"  {line}" for line in differences]
    return "\n".join(lines)


@SetParseFn(str, "files", "platform")
def check(files: str, platform: str | None = None, json: bool = False) -> None:
    """Check comma-separated files; each overrides the ones before it.

    With a platform, the files are checked together with the version in force, and what
    they would change is shown. Exit with status 1 if there are errors.

    Args:
        files: YAML files of entities by kind and name.
        platform: IP:PORT of the platform's object API; by default it is not contacted.
        json: Print JSON.
    """
    entities = read_merged_entities(split_paths(files))
    state = ConfigState(1, entities)
    in_force: ConfigState | None = None
    differences: list[str] | None = None
    if platform is not None:
        in_force = unwrap_or_fail(run_with_platform(platform, load_state), json)
        state = apply_edit(in_force, compute_edit(in_force, entities))
    findings = check_state(state, BYTES_PER_TOKEN)
    if in_force is not None and not validate_state(state):
        differences = describe_diff(in_force, state)
    revision = None if in_force is None else in_force.revision
    if json:
        print(
            json_format.dumps(describe_check(findings, differences, revision), indent=2)
        )
    else:
        print(format_check(findings, differences))
    if has_errors(findings):
        raise SystemExit(int(ExitStatus.REFUSED))

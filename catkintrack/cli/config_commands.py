"""Validate, show, compare and apply the run-time configuration."""

from __future__ import annotations

import getpass
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fire.decorators import SetParseFn
from returns.result import Failure, Result, Success

from catkintrack.config import (
    ConfigChange,
    ConfigState,
    Delete,
    Put,
    apply_change,
    diff_states,
    validate_state,
)
from catkintrack.objects import PlatformClient, submit_change
from catkintrack.settings import read_document

from .calls import load_state, run_with_platform, unwrap_or_fail
from .output import ExitStatus, fail, print_result

DEFAULT_PLATFORM = "127.0.0.1:8070"

parse_args_as_text = SetParseFn(str, "file", "platform")

Edit = tuple[list[Put], list[Delete]]
MakeEdit = Callable[[ConfigState], Edit]


def read_entities(path: str) -> dict[str, dict[str, Any]]:
    """Return the entities in a YAML file by kind and name."""
    match read_document(Path(path)):
        case Success(document):
            pass
        case Failure(error):
            fail(ExitStatus.REFUSED, [str(error)])
    check_is_mapping(path, document)
    return document


def check_is_mapping(path: str, document: dict[str, Any]) -> None:
    """Exit if a kind in a document is not a mapping of names."""
    for kind, value_by_name in document.items():
        if not isinstance(value_by_name, dict):
            fail(ExitStatus.REFUSED, [f"{path}: {kind}: expected a mapping of names"])


def compute_edit(state: ConfigState, entities: dict[str, dict[str, Any]]) -> Edit:
    """Return the edit that makes a state's entities equal to those of a file.

    Kinds that the file does not mention are left unchanged.
    """
    puts = []
    deletes = []
    for kind, value_by_name in entities.items():
        current = state.value_by_name_by_kind.get(kind, {})
        for name, value in value_by_name.items():
            if current.get(name) != value:
                puts.append(Put(kind, str(name), value))
        deletes += [Delete(kind, name) for name in set(current) - set(value_by_name)]
    return puts, deletes


def apply_edit(state: ConfigState, edit: Edit) -> ConfigState:
    """Return the state after an edit, without submitting it."""
    puts, deletes = edit
    change = ConfigChange(
        state.revision + 1, "preview", "", tuple(puts), tuple(deletes)
    )
    return apply_change(state, change).unwrap()


def describe_diff(old: ConfigState, new: ConfigState) -> list[str]:
    """Return a line for each added or deleted entity and each changed field.

    Added keys are shown without their salt and digest.
    """
    lines = []
    for kind, name, before, after in diff_states(old, new):
        if before is None:
            lines.append(f"+ {kind}/{name}: {redact_key_hash(after)}")
        elif after is None:
            lines.append(f"- {kind}/{name}")
        else:
            fields = sorted(set(before) | set(after))
            for field in fields:
                if before.get(field) != after.get(field):
                    change = f"{before.get(field)!r} -> {after.get(field)!r}"
                    lines.append(f"~ {kind}/{name}.{field}: {change}")
    return lines


def redact_key_hash(value: dict[str, Any]) -> dict[str, Any]:
    """Return an entity without the salt and digest of a key."""
    return {k: v for k, v in value.items() if k not in ("salt", "digest")}


@parse_args_as_text
def validate(file: str) -> None:
    """Validate a configuration file without contacting the platform."""
    entities = read_entities(file)
    errors = validate_state(ConfigState(1, entities))
    if errors:
        fail(ExitStatus.REFUSED, [f"{file}: {error}" for error in errors])
    print(f"{file}: valid")


@parse_args_as_text
def show(platform: str = DEFAULT_PLATFORM, json: bool = False) -> None:
    """Show the accepted configuration."""
    state = _load_or_exit(platform, json)
    entities = {
        kind: {name: redact_key_hash(value) for name, value in value_by_name.items()}
        for kind, value_by_name in state.value_by_name_by_kind.items()
    }
    lines = [f"revision {state.revision}"]
    for kind, value_by_name in sorted(entities.items()):
        lines += [
            f"{kind}/{name}: {value}" for name, value in sorted(value_by_name.items())
        ]
    value = {"revision": state.revision, "kinds": entities}
    print_result(value, json, "\n".join(lines))


@parse_args_as_text
def diff(file: str, platform: str = DEFAULT_PLATFORM, json: bool = False) -> None:
    """Show the changes that applying a file would make."""
    state = _load_or_exit(platform, json)
    lines = describe_diff(
        state, apply_edit(state, compute_edit(state, read_entities(file)))
    )
    print_result(lines, json, "\n".join(lines) or "no difference")


@parse_args_as_text
def apply(
    file: str,
    platform: str = DEFAULT_PLATFORM,
    expect: int | None = None,
    json: bool = False,
) -> None:
    """Apply a file if the expected revision is still the newest, and show the changes.

    Args:
        file: YAML file of entities by kind and name.
        platform: IP:PORT of the platform's object API.
        expect: Revision that the file was made for; by default the newest.
        json: Print JSON.
    """
    entities = read_entities(file)
    submit_edit(platform, lambda state: compute_edit(state, entities), expect, json)


def submit_edit(
    platform: str, make_edit: MakeEdit, expect: int | None, as_json: bool
) -> ConfigState:
    """Submit an edit, print its changes and return the state after it."""
    before = _load_or_exit(platform, as_json)
    edit = make_edit(before)
    lines = describe_diff(before, apply_edit(before, edit))
    if not lines:
        print_result(
            {"revision": before.revision, "diff": []}, as_json, "no difference"
        )
        return before
    expected = before.revision if expect is None else int(expect)

    async def call(client: PlatformClient) -> Result[ConfigState, Any]:
        puts, deletes = edit
        return await submit_change(client, expected, puts, deletes, getpass.getuser())

    after = unwrap_or_fail(run_with_platform(platform, call), as_json)
    text = "\n".join([*lines, f"accepted as revision {after.revision}"])
    print_result({"revision": after.revision, "diff": lines}, as_json, text)
    return after


def _load_or_exit(platform: str, as_json: bool) -> ConfigState:
    return unwrap_or_fail(run_with_platform(platform, load_state), as_json)

"""Apply accepted changes to the configuration state and validate it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from pydantic import ValidationError
from returns.result import Failure, Result, Success

from .errors import InvalidEntity, OutOfOrderChange
from .kinds import SCHEMA_BY_KIND


class Put(msgspec.Struct, frozen=True):
    """Create or replace one entity."""

    kind: str
    name: str
    value: dict[str, Any]


class Delete(msgspec.Struct, frozen=True):
    """Remove one entity."""

    kind: str
    name: str


class ConfigChange(msgspec.Struct, frozen=True):
    """Represent one accepted change, which applies atomically."""

    revision: int
    change_id: str
    author: str = ""
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


class ConfigState(msgspec.Struct, frozen=True):
    """Hold the configuration at one revision, keyed by kind and name."""

    revision: int = 0
    value_by_name_by_kind: dict[str, dict[str, dict[str, Any]]] = {}

    def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return the value of one entity, or None if it does not exist."""
        return self.value_by_name_by_kind.get(kind, {}).get(name)


def apply_change(
    state: ConfigState, change: ConfigChange
) -> Result[ConfigState, OutOfOrderChange]:
    """Return the state after `change`, which must have the next revision."""
    if change.revision != state.revision + 1:
        return Failure(OutOfOrderChange(state.revision, change.revision))
    values = {
        kind: dict(value_by_name)
        for kind, value_by_name in state.value_by_name_by_kind.items()
    }
    for put in change.puts:
        values.setdefault(put.kind, {})[put.name] = put.value
    for delete in change.deletes:
        values.get(delete.kind, {}).pop(delete.name, None)
    return Success(ConfigState(change.revision, values))


def apply_changes(state: ConfigState, changes: Iterable[ConfigChange]) -> ConfigState:
    """Apply the changes that follow `state` without a gap; skip all others."""
    for change in sorted(changes, key=lambda change: change.revision):
        state = apply_change(state, change).value_or(state)
    return state


_EMPTY_STATE = ConfigState()


def validate_state(
    state: ConfigState, valid: ConfigState = _EMPTY_STATE
) -> list[InvalidEntity]:
    """Return the invalid fields of `state` or, if there are none, the broken references.

    The fields of entities shared with `valid`, an earlier valid state, are not validated
    again.
    """
    errors = []
    for kind, value_by_name in state.value_by_name_by_kind.items():
        valid_value_by_name = valid.value_by_name_by_kind.get(kind, {})
        for name, value in value_by_name.items():
            is_shared = name in valid_value_by_name and (
                valid_value_by_name[name] is value
            )
            if not is_shared:
                errors += _validate_entity(kind, name, value)
    return errors or list(_validate_references(state))


def _validate_entity(
    kind: str, name: str, value: dict[str, Any]
) -> list[InvalidEntity]:
    schema = SCHEMA_BY_KIND.get(kind)
    if schema is None:
        return [InvalidEntity(kind, name, "kind", "unknown kind")]
    try:
        schema.model_validate(value)
    except ValidationError as error:
        return [
            InvalidEntity(kind, name, ".".join(map(str, entry["loc"])), entry["msg"])
            for entry in error.errors()
        ]
    return []


def _validate_references(state: ConfigState) -> Iterable[InvalidEntity]:
    values = state.value_by_name_by_kind
    tiers = values.get("tier", {})
    workspaces = values.get("workspace", {})
    models = values.get("model", {})
    for name, value in workspaces.items():
        if value["tier"] not in tiers:
            yield InvalidEntity("workspace", name, "tier", "no such tier")
    for name, value in values.get("key", {}).items():
        if value["workspace"] not in workspaces:
            yield InvalidEntity("key", name, "workspace", "no such workspace")
    for name, value in values.get("route", {}).items():
        for workspace in value.get("workspaces") or ():
            if workspace not in workspaces:
                yield InvalidEntity("route", name, "workspaces", "no such workspace")
    for name, value in values.get("upstream", {}).items():
        for model in value.get("models", ()):
            if model not in models:
                yield InvalidEntity("upstream", name, "models", "no such model")

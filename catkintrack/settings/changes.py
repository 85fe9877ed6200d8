"""Compare two states of a process's settings, field by field."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from .models import Settings


def list_changes(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> dict[str, tuple[Any, Any]]:
    """Return the old and new value of each field that differs, by its dotted name."""
    old_by_field = dict(_flatten(old))
    new_by_field = dict(_flatten(new))
    names = sorted(old_by_field.keys() | new_by_field.keys())
    return {
        name: (old_by_field.get(name), new_by_field.get(name))
        for name in names
        if old_by_field.get(name) != new_by_field.get(name)
    }


def _flatten(table: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, Any]]:
    for name, value in table.items():
        if isinstance(value, Mapping):
            yield from _flatten(value, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}", value


def merge_reloadable_settings(old: Settings, new: Settings) -> Settings:
    """Return `old` with those values of `new` that a running process can apply."""
    router = old.router.model_copy(
        update={
            "callers": new.router.callers,
            "upstreams": new.router.upstreams,
            "placement": old.router.placement.model_copy(
                update={"policy": new.router.placement.policy}
            ),
        }
    )
    agent = old.agent.model_copy(
        update={
            "load_interval_s": new.agent.load_interval_s,
            "poll_interval_s": new.agent.poll_interval_s,
        }
    )
    platform = new.platform.model_copy(update={"endpoint": old.platform.endpoint})
    return old.model_copy(
        update={
            "router": router,
            "agent": agent,
            "platform": platform,
            "logging": new.logging,
        }
    )

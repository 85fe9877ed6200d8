"""Compile a configuration state into the tables that the processes use."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from catkintrack.http import Address

from .errors import InvalidEntity
from .kinds import KeyKind, ModelKind, RouteKind, TierKind, UpstreamKind, WorkspaceKind
from .state import ConfigState, validate_state


@dataclass(frozen=True, slots=True)
class Tier:
    """Represent a paid service tier; times in seconds."""

    name: str
    weight: int
    priority: int
    queue_timeout_s: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """Represent a workspace, its tier and its fleet-wide token limit."""

    name: str
    tier: Tier
    rate_tokens_per_s: int
    burst_tokens: int


@dataclass(frozen=True, slots=True)
class Key:
    """Represent an API key: the salted hash of its secret and its workspace."""

    id: str
    workspace: Workspace
    salt: str
    digest: str
    is_withdrawn: bool


@dataclass(frozen=True, slots=True)
class Model:
    """Represent a model: its weights version, prefill speed and prompt bounds."""

    name: str
    weights_version: str
    prefill_tokens_per_s: int
    default_max_tokens: int
    max_prompt_bytes: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """Represent one upstream: its address, availability zone, instance and capacity."""

    name: str
    address: Address
    zone: str
    instance: str
    models: frozenset[str]
    service: str | None
    is_leaving: bool
    max_running: int
    checks_fencing: bool


@dataclass(frozen=True, slots=True)
class Route:
    """Represent a path prefix: the service it routes to and the workspaces allowed."""

    name: str
    prefix: str
    service: str | None
    is_open: bool
    workspaces: frozenset[str] | None
    is_repeatable: bool
    priority: int | None
    timeout_s: float

    def is_allowed(self, workspace: str) -> bool:
        """Report whether `workspace` may call this route."""
        return self.workspaces is None or workspace in self.workspaces


@dataclass(frozen=True, slots=True)
class ConfigTables:
    """Hold a compiled configuration; `routes` are ordered by longest prefix first."""

    revision: int = 0
    tier_by_name: dict[str, Tier] = field(default_factory=dict)
    workspace_by_name: dict[str, Workspace] = field(default_factory=dict)
    key_by_id: dict[str, Key] = field(default_factory=dict)
    model_by_name: dict[str, Model] = field(default_factory=dict)
    upstream_by_name: dict[str, Upstream] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()

    def find_route(self, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.routes:
            if path.startswith(route.prefix):
                return route
        return None


_EMPTY_STATE = ConfigState()
_EMPTY_TABLES = ConfigTables()


def compile_tables(
    state: ConfigState,
    earlier: ConfigState = _EMPTY_STATE,
    earlier_tables: ConfigTables = _EMPTY_TABLES,
) -> Result[ConfigTables, list[InvalidEntity]]:
    """Return the tables of `state`, or its validation errors.

    Given an earlier state and its tables, only the upstreams that changed are rebuilt:
    a fleet has far more upstreams than all other entities together.
    """
    errors = validate_state(state, earlier)
    if errors:
        return Failure(errors)
    values = state.value_by_name_by_kind
    tiers = {
        name: _build_tier(name, TierKind.model_validate(value))
        for name, value in values.get("tier", {}).items()
    }
    workspaces = {
        name: _build_workspace(name, WorkspaceKind.model_validate(value), tiers)
        for name, value in values.get("workspace", {}).items()
    }
    keys = {
        name: _build_key(name, KeyKind.model_validate(value), workspaces)
        for name, value in values.get("key", {}).items()
    }
    models = {
        name: _build_model(name, ModelKind.model_validate(value))
        for name, value in values.get("model", {}).items()
    }
    upstreams = _build_upstreams(
        values.get("upstream", {}),
        earlier.value_by_name_by_kind.get("upstream", {}),
        earlier_tables.upstream_by_name,
    )
    routes = [
        _build_route(name, RouteKind.model_validate(value))
        for name, value in values.get("route", {}).items()
    ]
    routes.sort(key=lambda route: (-len(route.prefix), route.name))
    return Success(
        ConfigTables(
            state.revision, tiers, workspaces, keys, models, upstreams, tuple(routes)
        )
    )


def _build_upstreams(
    values: dict[str, dict[str, Any]],
    earlier_values: dict[str, dict[str, Any]],
    earlier_upstreams: dict[str, Upstream],
) -> dict[str, Upstream]:
    upstreams = {}
    for name, value in values.items():
        upstream = earlier_upstreams.get(name)
        if upstream is None or earlier_values.get(name) is not value:
            upstream = _build_upstream(name, UpstreamKind.model_validate(value))
        upstreams[name] = upstream
    return upstreams


def _build_tier(name: str, entity: TierKind) -> Tier:
    return Tier(name, entity.weight, entity.priority, entity.queue_timeout_s)


def _build_workspace(
    name: str, entity: WorkspaceKind, tiers: dict[str, Tier]
) -> Workspace:
    return Workspace(
        name, tiers[entity.tier], entity.rate_tokens_per_s, entity.burst_tokens
    )


def _build_key(name: str, entity: KeyKind, workspaces: dict[str, Workspace]) -> Key:
    workspace = workspaces[entity.workspace]
    return Key(name, workspace, entity.salt, entity.digest, entity.is_withdrawn)


def _build_model(name: str, entity: ModelKind) -> Model:
    return Model(
        name,
        entity.weights_version,
        entity.prefill_tokens_per_s,
        entity.default_max_tokens,
        entity.max_prompt_bytes,
    )


def _build_upstream(name: str, entity: UpstreamKind) -> Upstream:
    return Upstream(
        name=name,
        address=Address(str(entity.host), entity.port),
        zone=entity.zone,
        instance=entity.instance,
        models=frozenset(entity.models),
        service=entity.service,
        is_leaving=entity.state == "leaving",
        max_running=entity.max_running,
        checks_fencing=entity.checks_fencing,
    )


def _build_route(name: str, entity: RouteKind) -> Route:
    workspaces = None if entity.workspaces is None else frozenset(entity.workspaces)
    return Route(
        name=name,
        prefix=entity.prefix,
        service=entity.service,
        is_open=entity.is_open,
        workspaces=workspaces,
        is_repeatable=entity.is_repeatable,
        priority=entity.priority,
        timeout_s=entity.timeout_s,
    )

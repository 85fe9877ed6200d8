"""Find what is wrong in a configuration before it is sent.

Validation rejects what can't be applied. These checks also find what would be applied and
still never serve: entries that match nothing, and limits that contradict each other.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from returns.result import Failure, Success

from .errors import InvalidEntity
from .kinds import ModelKind
from .state import ConfigState
from .tables import ConfigTables, Route, compile_tables

# Names of keys that callers can present: see KEY_PATTERN.
KEY_ID_PATTERN = re.compile(r"[a-z0-9]{8}")


class Severity(Enum):
    """Grade a finding: errors refuse calls or the file, warnings have no effect."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """Describe what is wrong with a field, as `kind/name.field`."""

    severity: Severity
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.path}: {self.message}"


Check = Callable[[ConfigTables], Iterable[Finding]]


def check_state(state: ConfigState, bytes_per_token: int) -> list[Finding]:
    """Return the findings in a configuration, errors first.

    An invalid configuration gets only its validation errors, since the other checks rely
    on valid entities. `bytes_per_token` is that of the router's estimate of prompts.
    """
    match compile_tables(state):
        case Failure(errors):
            return [_describe_error(error) for error in errors]
        case Success(tables):
            pass
    findings = [finding for check in CHECKS for finding in check(tables)]
    models = state.value_by_name_by_kind.get("model", {})
    findings += _check_bursts(tables, models, bytes_per_token)
    findings.sort(key=lambda finding: (finding.severity.value, finding.path))
    return findings


def has_errors(findings: Iterable[Finding]) -> bool:
    """Report whether a finding is more than a warning."""
    return any(finding.severity is Severity.ERROR for finding in findings)


def _describe_error(error: InvalidEntity) -> Finding:
    path = f"{error.kind}/{error.name}"
    return _error(f"{path}.{error.path}" if error.path else path, error.reason)


def _error(path: str, message: str) -> Finding:
    return Finding(Severity.ERROR, path, message)


def _warning(path: str, message: str) -> Finding:
    return Finding(Severity.WARNING, path, message)


def _check_routes(tables: ConfigTables) -> Iterator[Finding]:
    """Find routes that no call matches, or that no call may use."""
    first_by_prefix: dict[str, Route] = {}
    for route in tables.routes:
        path = f"route/{route.name}"
        first = first_by_prefix.setdefault(route.prefix, route)
        if first is not route:
            text = f"never matches: route/{first.name} has the same prefix"
            yield _error(f"{path}.prefix", text)
        if route.is_open and route.service is None:
            yield _error(f"{path}.is_open", "calls to models need a key")
        elif route.is_open and route.workspaces is not None:
            yield _warning(f"{path}.workspaces", "has no effect on an open route")
        elif route.workspaces is not None and not route.workspaces:
            yield _error(f"{path}.workspaces", "empty: no workspace may call the route")


def _check_services(tables: ConfigTables) -> Iterator[Finding]:
    """Find routes without an upstream, and upstreams without a route."""
    upstreams = tables.upstream_by_name.values()
    active = {u.service for u in upstreams if not u.is_leaving}
    known = {u.service for u in upstreams}
    for route in tables.routes:
        path = f"route/{route.name}.service"
        if route.service is None or route.service in active:
            continue
        if route.service in known:
            yield _warning(path, f"all upstreams of {route.service!r} are leaving")
        else:
            yield _error(path, f"no upstream has the service {route.service!r}")
    routed = {route.service for route in tables.routes}
    for upstream in upstreams:
        path = f"upstream/{upstream.name}"
        if upstream.service is not None and upstream.service not in routed:
            text = f"no route leads to the service {upstream.service!r}"
            yield _warning(f"{path}.service", text)
        if upstream.service is None and not upstream.models:
            yield _warning(f"{path}.models", "has neither models nor a service")


def _check_models(tables: ConfigTables) -> Iterator[Finding]:
    """Find models that no upstream serves or no route reaches."""
    upstreams = tables.upstream_by_name.values()
    active = {m for u in upstreams if not u.is_leaving for m in u.models}
    known = {model for upstream in upstreams for model in upstream.models}
    has_model_route = any(r.service is None and not r.is_open for r in tables.routes)
    for name in tables.model_by_name:
        path = f"model/{name}"
        if name not in known:
            yield _error(path, "no upstream serves the model")
        elif name not in active:
            yield _warning(path, "all upstreams of the model are leaving")
        if not has_model_route:
            yield _error(path, "no route with keys and without a service reaches it")


def _check_workspaces(tables: ConfigTables) -> Iterator[Finding]:
    """Find workspaces that can't call, and tiers without a workspace."""
    keys = tables.key_by_id.values()
    with_key = {key.workspace.name for key in keys if not key.is_withdrawn}
    for name in tables.workspace_by_name:
        if name not in with_key:
            yield _warning(f"workspace/{name}", "has no key that is not withdrawn")
        if not any(not r.is_open and r.is_allowed(name) for r in tables.routes):
            yield _warning(f"workspace/{name}", "may call no route")
    used = {workspace.tier.name for workspace in tables.workspace_by_name.values()}
    for name in tables.tier_by_name:
        if name not in used:
            yield _warning(f"tier/{name}", "no workspace has the tier")


def _check_keys(tables: ConfigTables) -> Iterator[Finding]:
    """Find keys that can't be presented, and secrets that several keys share."""
    first_by_secret: dict[tuple[str, str], str] = {}
    for id, key in tables.key_by_id.items():
        path = f"key/{id}"
        if not KEY_ID_PATTERN.fullmatch(id):
            text = "never matches: the ID of a key has 8 of a-z and 0-9"
            yield _error(path, text)
        first = first_by_secret.setdefault((key.salt, key.digest), id)
        if first == id:
            continue
        if tables.key_by_id[first].workspace is key.workspace:
            yield _warning(f"{path}.digest", f"the same secret as key/{first}")
        else:
            text = f"the same secret as key/{first} of another workspace"
            yield _error(f"{path}.digest", text)


def _check_upstreams(tables: ConfigTables) -> Iterator[Finding]:
    """Find upstreams that share an address, and instances in two zones."""
    names_by_address: dict[str, list[str]] = defaultdict(list)
    zone_by_instance: dict[str, str] = {}
    for name, upstream in tables.upstream_by_name.items():
        names_by_address[str(upstream.address)].append(name)
        zone = zone_by_instance.setdefault(upstream.instance, upstream.zone)
        if zone != upstream.zone:
            text = f"another upstream of {upstream.instance!r} is in {zone!r}"
            yield _error(f"upstream/{name}.zone", text)
    for address, names in names_by_address.items():
        for name in names[1:]:
            text = f"{address} is also that of upstream/{names[0]}"
            yield _error(f"upstream/{name}.port", text)


def _check_timeouts(tables: ConfigTables) -> Iterator[Finding]:
    """Find tiers that let calls wait for longer than each model route allows."""
    timeouts = [r.timeout_s for r in tables.routes if r.service is None]
    for name, tier in tables.tier_by_name.items():
        if timeouts and tier.queue_timeout_s > max(timeouts):
            text = (
                f"{tier.queue_timeout_s:g} s in the queue end with the longest timeout"
                f" of a route to models, {max(timeouts):g} s"
            )
            yield _warning(f"tier/{name}.queue_timeout_s", text)


def _check_bursts(
    tables: ConfigTables, models: dict[str, dict[str, Any]], bytes_per_token: int
) -> Iterator[Finding]:
    """Find workspaces whose burst is smaller than a call that models allow."""
    for name, workspace in tables.workspace_by_name.items():
        path = f"workspace/{name}.burst_tokens"
        for model in tables.model_by_name.values():
            least = model.default_max_tokens + 1
            prompt_tokens = model.max_prompt_bytes // bytes_per_token
            largest = model.default_max_tokens + prompt_tokens
            if workspace.burst_tokens < least:
                text = (
                    f"smaller than any call to model/{model.name} without `max_tokens`,"
                    f" {least} tokens"
                )
                yield _error(path, text)
            elif workspace.burst_tokens < largest and _bounds_prompts(
                models[model.name]
            ):
                text = (
                    f"smaller than the largest call to model/{model.name},"
                    f" {largest} tokens"
                )
                yield _warning(path, text)


def _bounds_prompts(model: dict[str, Any]) -> bool:
    """Report whether operators have chosen the model's longest prompt."""
    default = ModelKind.model_fields["max_prompt_bytes"].default
    return model.get("max_prompt_bytes", default) != default


CHECKS: tuple[Check, ...] = (
    _check_routes,
    _check_services,
    _check_models,
    _check_workspaces,
    _check_keys,
    _check_upstreams,
    _check_timeouts,
)

"""Hold the operators' configuration in its canonical form."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from catkintrack.http import Address


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold one route and what its requests may expect; times in seconds."""

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    is_stream: bool = False
    is_idempotent: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    is_public: bool = False
    timeout_s: float = 30.0
    target_s: float = 1.0
    max_event_gap_s: float = 1.0
    max_attempts: int = 1
    priority: int = 0

    @property
    def is_retryable(self) -> bool:
        """Report whether a request may run more than once."""
        return self.is_idempotent or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Hold what the configuration says of a service's model engines."""

    slots: int
    kv_cache_tokens: int
    kv_bytes_per_token: int
    link_mbps: float
    models: tuple[str, ...]
    max_event_readers: int


@dataclass(frozen=True, slots=True)
class CacheStore:
    """Locate a store of kept KV cache."""

    address: Address
    zone: str
    kv_cache_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """Hold a group of equal replicas, or a store of kept KV cache."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    cache_store: CacheStore | None = None


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Bound a workspace's use over the whole fleet.

    `plain_cost` is what a request without a prompt counts.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool
    cost_without_prompt: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """Hold a tenant; `priority` goes before that of the route when it is set."""

    name: str
    keys: frozenset[str]
    priority: int | None = None
    is_isolated: bool = False
    limit: RateLimit | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take; times in seconds."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one accepted configuration, its tables keyed for lookups."""

    revision: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[str, Service]
    workspace_by_key: Mapping[str, Workspace]
    workspace_by_name: Mapping[str, Workspace]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def has_model_service(self, route: Route) -> bool:
        """Report whether any service of the route runs model engines."""
        services = (self.service_by_name.get(s.service) for s in route.shares)
        return any(service and service.engine for service in services)


def build_configuration(
    revision: int,
    routes: Iterable[Route],
    services: Iterable[Service],
    workspaces: Iterable[Workspace],
    limits: CallerLimits,
) -> Configuration:
    """Return the configuration with its lookup tables."""
    routes_by_host: dict[str, list[Route]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    for rows in routes_by_host.values():
        rows.sort(key=lambda route: -len(route.prefix))
    workspace_by_name = {workspace.name: workspace for workspace in workspaces}
    return Configuration(
        revision,
        {host: tuple(rows) for host, rows in routes_by_host.items()},
        {service.name: service for service in services},
        {key: row for row in workspace_by_name.values() for key in row.keys},
        workspace_by_name,
        limits,
    )


def choose_service(route: Route, rng: Random) -> str:
    """Return one of the route's services, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    return rng.choices(names, [share.weight for share in route.shares])[0]

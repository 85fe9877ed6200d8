"""Define the operators' configuration, independent of the platform's format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from catkintrack.http import Address


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Assign a service its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Define a route and the service level of its requests; times in seconds.

    `target_s` is the target time to the response or the first event.  Requests to an
    `is_public` route need no API key.
    """

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
        """Report whether a request may be executed more than once."""
        return self.is_idempotent or self.is_resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Describe the model engines of a service, per replica.

    `max_event_readers` is the maximum number of concurrent readers of cache events.
    """

    slots: int
    kv_cache_tokens: int
    kv_bytes_per_token: int
    link_mbps: float
    models: tuple[str, ...]
    max_event_readers: int


@dataclass(frozen=True, slots=True)
class CacheStore:
    """Describe a store of KV cache outside the engines; its capacity is in tokens.

    `link_mbps` is 0 if the configuration does not name it.
    """

    address: Address
    zone: str
    kv_cache_tokens: int
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """Define a group of interchangeable replicas, or a KV cache store."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
    cache_store: CacheStore | None = None


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Limit a workspace's usage over the whole fleet, in tokens or in requests.

    `cost_without_prompt` is the cost of a request that has no prompt.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool
    cost_without_prompt: float


@dataclass(frozen=True, slots=True)
class Workspace:
    """Define a workspace; `priority`, if set, overrides the priority of the route.

    An isolated workspace shares no KV cache with others.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
    is_isolated: bool = False
    limit: RateLimit | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound the size of callers' requests and the time to receive them, in seconds."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold a revision of the configuration in lookup tables."""

    revision: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[str, Service]
    workspace_by_key: Mapping[str, Workspace]
    workspace_by_name: Mapping[str, Workspace]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest matching prefix of `path`."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def has_model_service(self, route: Route) -> bool:
        """Report whether any service of the route has model engines."""
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
    """Return one of the route's services, chosen at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    return rng.choices(names, [share.weight for share in route.shares])[0]

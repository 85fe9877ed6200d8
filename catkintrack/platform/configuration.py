"""Decode the operators' configuration."""

from __future__ import annotations

from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from catkintrack.fleet import (
    CacheStore,
    CallerLimits,
    Configuration,
    EngineProfile,
    RateLimit,
    Route,
    Service,
    ServiceShare,
    Workspace,
    build_configuration,
)

from .addresses import parse_address
from .errors import DecodingError
from .names import LIMIT_UNIT_TOKENS, ROUTE_KIND_IDEMPOTENT, ROUTE_KIND_STREAMING


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 30_000.0
    # Target time to the response, or to the first event of a stream.
    target_latency_ms: float = 1_000.0
    max_attempts: int = 1
    priority: int = 0
    # Requests need no API key.
    public: bool = False
    # Requests carry prompts.
    sticky: bool = False
    resumable: bool = False
    # Target maximum time between two events of a stream.
    gap_aim_ms: float = 1_000.0
    service: str = ""
    traffic_split: list[_Split] = []


class _EngineModel(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int = 1
    # Capacity of the KV cache in tokens.
    kv_capacity: int = 0
    token_kv_bytes: int = 0
    link_mbps: float = 0.0
    # Maximum number of concurrent readers of a replica's cache events.
    max_concurrency: int = 0
    models: list[_EngineModel] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: int = 64
    engine: _Engine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity: int = 0
    link_mbps: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    """Decode a workspace, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = ""
    # Cost in tokens of a request without a prompt.
    plain_tokens: float = 1.0
    isolated: bool = False
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Without tenants no route requires an API key.
    tenants: list[_Tenant] | None = None


def decode_configuration(spec: Any) -> Result[Configuration, DecodingError]:
    """Return the configuration in the `spec` of a stored object."""
    try:
        config = msgspec.convert(spec, _Config)
    except msgspec.ValidationError as error:
        return Failure(DecodingError("configuration", str(error)))
    limits = config.limits
    return Success(
        build_configuration(
            config.version,
            [_make_route(row, config.tenants is None) for row in config.routes],
            [_make_service(row) for row in config.services],
            [_make_workspace(row) for row in config.tenants or ()],
            CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / 1e3,
                limits.idle_timeout_ms / 1e3,
            ),
        )
    )


def _make_route(row: _Route, are_all_public: bool) -> Route:
    split = row.traffic_split or [_Split(row.service, 1.0)]
    shares = tuple(ServiceShare(s.service, s.weight) for s in split if s.weight > 0)
    return Route(
        name=row.name,
        host=row.host.lower(),
        prefix=row.path_prefix,
        shares=shares,
        is_stream=row.kind == ROUTE_KIND_STREAMING,
        is_idempotent=row.kind == ROUTE_KIND_IDEMPOTENT,
        is_resumable=row.resumable,
        has_prompt=row.sticky,
        is_public=row.public or are_all_public,
        timeout_s=row.timeout_ms / 1e3,
        target_s=row.target_latency_ms / 1e3,
        max_event_gap_s=row.gap_aim_ms / 1e3,
        max_attempts=max(1, row.max_attempts),
        priority=row.priority,
    )


def _make_service(row: _Service) -> Service:
    engine = row.engine
    address = parse_address(row.kv_store_addr)
    return Service(
        name=row.name,
        health_path=row.health_path,
        max_connections=row.max_connections,
        engine=engine
        and EngineProfile(
            engine.slots,
            engine.kv_capacity,
            engine.token_kv_bytes,
            engine.link_mbps,
            tuple(model.name for model in engine.models),
            engine.max_concurrency,
        ),
        cache_store=address
        and CacheStore(address, row.zone, row.kv_capacity, row.link_mbps),
    )


def _make_workspace(row: _Tenant) -> Workspace:
    limit = None
    if row.rate_per_s > 0:
        counts_tokens = row.unit == LIMIT_UNIT_TOKENS
        cost = row.plain_tokens if counts_tokens else 1.0
        limit = RateLimit(row.rate_per_s, row.burst, counts_tokens, cost)
    return Workspace(
        row.name, frozenset(row.api_keys), row.priority, row.isolated, limit
    )

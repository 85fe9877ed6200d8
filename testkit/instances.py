"""Build settings, configurations, discovery entries and calls for instance tests."""

from __future__ import annotations

from typing import Any

from catkintrack.fleet import Call, Prompt, PromptPart, Route, ServiceShare, Workspace

SETTINGS_LINES = """\
node=n1
zone=z1
region=r1
zones.z1=r1
listen.front=127.0.0.1:8606
listen.ready=127.0.0.1:8605
listen.control=127.0.0.1:8608
port_range=7600,7615
seeds=127.0.0.1:8608,10.2.0.3:8608
bootstrap=true
limits.memory_mb=300
limits.link_mbps=1000.0
bounds.lease_ms=3000
bounds.budget_extra=56
bounds.quota_slack=140000
platform.address=10.200.1.7:8601
something.new=1
"""


def make_config_spec(version: int = 7, **changes: Any) -> dict[str, Any]:
    """Return the spec of a configuration as operators write it to the store."""
    spec: dict[str, Any] = {
        "version": version,
        "routes": [
            {
                "name": "long",
                "host": "h1.example",
                "path_prefix": "/long/",
                "kind": "streaming",
                "timeout_ms": 12000,
                "target_latency_ms": 600,
                "priority": 1,
                "service": "models",
                "max_attempts": 2,
                "sticky": True,
                "resumable": True,
                "gap_aim_ms": 250,
            },
            {
                "name": "short",
                "host": "h1.example",
                "path_prefix": "/long/short/",
                "kind": "streaming",
                "timeout_ms": 2500,
                "target_latency_ms": 300,
                "service": "models",
                "sticky": True,
                "gap_aim_ms": 250,
            },
            {
                "name": "order",
                "host": "h2.example",
                "path_prefix": "/order/",
                "kind": "non_idempotent",
                "timeout_ms": 1000,
                "service": "app",
            },
            {
                "name": "lookup",
                "host": "h2.example",
                "path_prefix": "/lookup/",
                "kind": "idempotent",
                "timeout_ms": 1000,
                "max_attempts": 2,
                "target_latency_ms": 100,
                "traffic_split": [{"service": "app", "weight": 90}],
            },
        ],
        "services": [
            {
                "name": "models",
                "max_connections": 240,
                "engine": {
                    "slots": 32,
                    "kv_capacity": 200000,
                    "token_kv_bytes": 327680,
                    "link_mbps": 1500000.0,
                    "max_concurrency": 12,
                    "models": [{"name": "m1"}],
                },
            },
            {"name": "app", "max_connections": 110},
            {
                "name": "kept",
                "kv_store_addr": "127.0.0.1:8604",
                "zone": "z1",
                "kv_capacity": 1000000,
            },
        ],
        "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
        "tenants": [
            {
                "name": "w1",
                "api_keys": ["key-1"],
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 90000,
                "burst": 90000,
            },
            {"name": "w2", "api_keys": ["key-2"], "isolated": True},
        ],
    }
    return spec | changes


def make_entry_spec(**changes: Any) -> dict[str, Any]:
    """Return the spec of a model replica's discovery entry."""
    spec: dict[str, Any] = {
        "service": "models",
        "address": "127.0.0.1:8080",
        "zone": "z1",
        "version": "v1",
        "slots": 32,
        "state": "ready",
        "models": [{"name": "m1", "version": 1, "adapters": []}],
        "sequence": 4,
        "born": 1000,
    }
    return spec | changes


def make_route(**changes: Any) -> Route:
    """Return a streaming, resumable route to the model service."""
    fields: dict[str, Any] = {
        "name": "long",
        "host": "h1.example",
        "prefix": "/long/",
        "shares": (ServiceShare("models", 1.0),),
        "is_stream": True,
        "is_resumable": True,
        "has_prompt": True,
        "timeout_s": 12.0,
        "target_s": 0.6,
        "max_attempts": 2,
    }
    return Route(**(fields | changes))


def make_prompt(*tokens: int, model: str = "m1") -> Prompt:
    """Return a prompt of parts p0, p1, ... with the given token counts."""
    parts = tuple(PromptPart(f"p{n}", count) for n, count in enumerate(tokens))
    return Prompt(model, parts, sum(tokens), 50)


def make_call(
    route: Route | None = None,
    workspace: Workspace | None = None,
    prompt: Prompt | None = None,
    **changes: Any,
) -> Call:
    """Return a call to the model service that arrived at 100 s."""
    fields: dict[str, Any] = {
        "id": b"r1",
        "method": b"POST",
        "target": b"/long/1",
        "headers": ((b"host", b"h1.example"), (b"x-request-id", b"r1")),
        "body": b"{}",
        "route": route or make_route(),
        "workspace": workspace,
        "arrived_at": 100.0,
        "deadline_at": 112.0,
        "prompt": prompt,
        "service": "models",
        "asked_at": 100.0,
    }
    return Call(**(fields | changes))

"""Build configurations and keys for tests, demonstrations and benchmarks."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

from catkintrack.config import hash_secret

HOST = "127.0.0.1"


def make_api_key(workspace: str, number: int = 0) -> str:
    """Return an API key that is determined by the workspace and `number`."""
    seed = hashlib.sha256(f"{workspace}/{number}".encode()).hexdigest()
    return f"ck_{seed[:8]}_{seed[8:51]}"


def make_key_entity(workspace: str, key: str) -> dict[str, Any]:
    """Return the configuration entity of an API key, with its salt and digest."""
    salt = hashlib.sha256(key.encode()).hexdigest()[:32]
    secret = key.split("_", 2)[2]
    return {"workspace": workspace, "salt": salt, "digest": hash_secret(secret, salt)}


def make_workspace(
    tier: str = "free", rate: int = 1_000_000, burst: int = 1_000_000
) -> dict[str, Any]:
    """Return a workspace whose default limit is too high for tests to reach."""
    return {"tier": tier, "rate_tokens_per_s": rate, "burst_tokens": burst}


def make_config(
    workspaces: Mapping[str, dict[str, Any]],
    engine_ports: Mapping[str, int],
    service_ports: Mapping[str, int] | None = None,
    zones: tuple[str, ...] = ("z1", "z2"),
    max_running: int = 16,
) -> dict[str, Any]:
    """Return a configuration with two tiers, one model, its engines and services."""
    keys = {name: make_api_key(name) for name in workspaces}
    upstreams = {
        name: {
            "host": HOST,
            "port": port,
            "zone": zones[index % len(zones)],
            "instance": name,
            "models": ["m1"],
            "max_running": max_running,
            "checks_fencing": True,
        }
        for index, (name, port) in enumerate(engine_ports.items())
    }
    for index, (name, port) in enumerate((service_ports or {}).items()):
        upstreams[name] = {
            "host": HOST,
            "port": port,
            "zone": zones[index % len(zones)],
            "instance": name,
            "service": "app",
        }
    return {
        "tier": {
            "free": {"weight": 1, "priority": 5, "queue_timeout_s": 20.0},
            "paid": {"weight": 4, "priority": 1, "queue_timeout_s": 20.0},
        },
        "workspace": dict(workspaces),
        "key": {
            key.split("_")[1]: make_key_entity(name, key) for name, key in keys.items()
        },
        "model": {"m1": {"weights_version": "v1", "prefill_tokens_per_s": 10000}},
        "upstream": upstreams,
        "route": {
            "models": {"prefix": "/v1/"},
            "app": {"prefix": "/app/", "service": "app"},
            "open": {"prefix": "/open/", "service": "app", "is_open": True},
        },
    }

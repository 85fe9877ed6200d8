"""Define the schemas of the configuration entities, as operators write them."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
HexDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
HexSalt = Annotated[str, Field(pattern=r"^[0-9a-f]{32}$")]


class Kind(BaseModel):
    """Reject unknown fields and changes, for all schemas of entities."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TierKind(Kind):
    """Describe a paid service tier of workspaces; times in seconds."""

    weight: int = Field(ge=1, le=1000)
    priority: int = Field(ge=0, le=9)
    queue_timeout_s: float = Field(default=10.0, gt=0, le=600)


class WorkspaceKind(Kind):
    """Describe a workspace: its tier and its fleet-wide token limit."""

    tier: Name
    rate_tokens_per_s: int = Field(ge=1, le=10**9)
    burst_tokens: int = Field(ge=1, le=10**9)


class KeyKind(Kind):
    """Describe an API key, stored as a salted hash of its secret."""

    workspace: Name
    salt: HexSalt
    digest: HexDigest
    is_withdrawn: bool = False


class ModelKind(Kind):
    """Describe a model that callers can request by name."""

    weights_version: Name
    prefill_tokens_per_s: int = Field(default=10000, ge=1)
    default_max_tokens: int = Field(default=256, ge=1)
    max_prompt_bytes: int = Field(default=4 << 20, ge=1)


class UpstreamKind(Kind):
    """Describe one upstream: a replica of models or of a plain HTTP service."""

    host: IPv4Address
    port: int = Field(ge=1, le=65535)
    zone: Name
    instance: Name
    models: tuple[Name, ...] = ()
    service: Name | None = None
    state: Literal["active", "leaving"] = "active"
    max_running: int = Field(default=16, ge=1, le=4096)
    checks_fencing: bool = False


class RouteKind(Kind):
    """Describe a path prefix: the service it routes to and the workspaces allowed."""

    prefix: Annotated[str, Field(pattern=r"^/[^\s?#]*$", max_length=200)]
    service: Name | None = None
    is_open: bool = False
    workspaces: tuple[Name, ...] | None = None
    is_repeatable: bool = False
    priority: int | None = Field(default=None, ge=0, le=9)
    timeout_s: float = Field(default=60.0, gt=0, le=3600)


SCHEMA_BY_KIND: dict[str, type[Kind]] = {
    "tier": TierKind,
    "workspace": WorkspaceKind,
    "key": KeyKind,
    "model": ModelKind,
    "upstream": UpstreamKind,
    "route": RouteKind,
}

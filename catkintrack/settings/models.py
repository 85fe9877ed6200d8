"""Define the settings of one process."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Port = Annotated[int, Field(ge=0, le=65535)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Seconds = Annotated[float, Field(gt=0, le=3600)]
CurveKey = Annotated[str, Field(min_length=40, max_length=40)]


class Section(BaseModel):
    """Represent a section of the settings; forbid unknown fields and changes."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class EndpointSettings(Section):
    """Configure a TCP endpoint by IPv4 address and port."""

    host: IPv4Address = IPv4Address("127.0.0.1")
    port: Port = 0


class InstanceSettings(Section):
    """Identify the instance and availability zone that the process runs in."""

    id: Name
    zone: Name


class LinkSettings(Section):
    """Configure the CURVE keys of the links between processes, encoded as Z85."""

    public_key: CurveKey
    secret_key: CurveKey = Field(repr=False)
    accepted_public_keys: tuple[CurveKey, ...] = ()


class CallerLimitSettings(Section):
    """Limit the resources of a router that its callers can occupy."""

    max_head_bytes: int = Field(default=32768, ge=1024, le=1 << 20)
    max_body_bytes: int = Field(default=8 << 20, ge=1024, le=1 << 30)
    max_connections: int = Field(default=2000, ge=1)
    head_timeout_s: Seconds = 10.0
    body_timeout_s: Seconds = 30.0
    idle_timeout_s: Seconds = 75.0
    write_timeout_s: Seconds = 30.0


class UpstreamLimitSettings(Section):
    """Limit the time that an upstream may take and the size of a complete response."""

    connect_timeout_s: Seconds = 1.0
    head_timeout_s: Seconds = 120.0
    read_timeout_s: Seconds = 60.0
    max_body_bytes: int = Field(default=8 << 20, ge=1024, le=1 << 30)


class PlacementSettings(Section):
    """Configure the placement policy of a router and its random seed."""

    policy: Literal["catkintrack", "round_robin", "least_loaded", "prefix_hash"] = (
        "catkintrack"
    )
    seed: int = 0


class RouterSettings(Section):
    """Configure a router's addresses, limits and placement."""

    listen: EndpointSettings = EndpointSettings(port=8080)
    ops: EndpointSettings = EndpointSettings(port=8081)
    callers: CallerLimitSettings = CallerLimitSettings()
    upstreams: UpstreamLimitSettings = UpstreamLimitSettings()
    placement: PlacementSettings = PlacementSettings()


class AgentSettings(Section):
    """Configure an agent's addresses and intervals."""

    mesh: EndpointSettings = EndpointSettings(port=8090)
    routers: EndpointSettings = EndpointSettings(port=8091)
    ops: EndpointSettings = EndpointSettings(port=8092)
    load_interval_s: Seconds = 0.5
    poll_interval_s: Seconds = 1.0


class PlatformSettings(Section):
    """Configure the address and timeouts of the platform's object API."""

    endpoint: EndpointSettings = EndpointSettings(port=8070)
    timeout_s: Seconds = 2.0
    watch_timeout_s: Seconds = 2.0


class LoggingSettings(Section):
    """Configure the log level."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(Section):
    """Hold all settings of one process, read once at its start."""

    instance: InstanceSettings
    links: LinkSettings
    platform: PlatformSettings = PlatformSettings()
    router: RouterSettings = RouterSettings()
    agent: AgentSettings = AgentSettings()
    logging: LoggingSettings = LoggingSettings()

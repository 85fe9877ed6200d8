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
    """Refuse unknown fields and changes after reading."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class EndpointSettings(Section):
    """Name a TCP endpoint by IP number and port."""

    host: IPv4Address = IPv4Address("127.0.0.1")
    port: Port = 0


class InstanceSettings(Section):
    """Say which instance this process runs on."""

    id: Name
    zone: Name


class LinkSettings(Section):
    """Hold the CURVE keys of the links between processes, Z85 encoded."""

    public_key: CurveKey
    secret_key: CurveKey = Field(repr=False)
    accepted_public_keys: tuple[CurveKey, ...] = ()


class CallerLimitSettings(Section):
    """Bound what one caller can make a router hold."""

    max_head_bytes: int = Field(default=32768, ge=1024, le=1 << 20)
    max_body_bytes: int = Field(default=8 << 20, ge=1024, le=1 << 30)
    max_connections: int = Field(default=2000, ge=1)
    head_timeout_s: Seconds = 10.0
    body_timeout_s: Seconds = 30.0
    idle_timeout_s: Seconds = 75.0
    write_timeout_s: Seconds = 30.0


class UpstreamLimitSettings(Section):
    """Bound the time that an upstream may take."""

    connect_timeout_s: Seconds = 1.0
    head_timeout_s: Seconds = 120.0
    read_timeout_s: Seconds = 60.0


class PlacementSettings(Section):
    """Choose how a router places requests."""

    policy: Literal["catkintrack", "round_robin", "least_loaded", "prefix_hash"] = (
        "catkintrack"
    )
    seed: int = 0


class RouterSettings(Section):
    """Hold a router's addresses and bounds."""

    listen: EndpointSettings = EndpointSettings(port=8080)
    ops: EndpointSettings = EndpointSettings(port=8081)
    callers: CallerLimitSettings = CallerLimitSettings()
    upstreams: UpstreamLimitSettings = UpstreamLimitSettings()
    placement: PlacementSettings = PlacementSettings()


class AgentSettings(Section):
    """Hold an agent's addresses and intervals."""

    mesh: EndpointSettings = EndpointSettings(port=8090)
    routers: EndpointSettings = EndpointSettings(port=8091)
    ops: EndpointSettings = EndpointSettings(port=8092)
    load_interval_s: Seconds = 0.5
    poll_interval_s: Seconds = 1.0


class PlatformSettings(Section):
    """Hold the address and time limits of the platform's object API."""

    endpoint: EndpointSettings = EndpointSettings(port=8070)
    timeout_s: Seconds = 2.0
    watch_timeout_s: Seconds = 2.0


class LoggingSettings(Section):
    """Choose how much is logged."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(Section):
    """Hold everything that a process is told when it starts."""

    instance: InstanceSettings
    links: LinkSettings
    platform: PlatformSettings = PlatformSettings()
    router: RouterSettings = RouterSettings()
    agent: AgentSettings = AgentSettings()
    logging: LoggingSettings = LoggingSettings()

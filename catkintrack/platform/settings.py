"""Read the settings file that the platform provides to a process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from catkintrack.fleet import Bounds, Feature, Site
from catkintrack.http import Address

from .addresses import parse_address
from .errors import DecodingError

SETTINGS_PATH_VARIABLE = "CATKINTRACK_SETTINGS"
DEFAULT_SETTINGS_PATH = "/etc/catkintrack/settings.conf"

# Features by the part of the operators' contract that calls for them.
_FEATURES_BY_CONTRACT = {
    "pressure": (Feature.ADMISSION, Feature.SLOW_READERS),
    "rollout": (Feature.VERSION_ROLLOUTS,),
}


class _Listen(msgspec.Struct, frozen=True):
    front: str
    ready: str
    # Address for messages from other instances.
    control: str


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: int = 128
    link_mbps: float = 1_000.0


class _Store(msgspec.Struct, frozen=True):
    address: str
    writes_per_s: float = 100.0
    reads_per_s: float = 500.0


class _Bounds(msgspec.Struct, frozen=True):
    config_apply_ms: float = 2_000.0
    drain_ms: float = 2_000.0
    grace_s: float = 8.0
    stable_window_ms: float = 3_000.0
    # Additional time that a change may take to apply while some instances can't reach
    # the store.
    skew_max_ms: float = 5_000.0
    lease_ms: float = 3_000.0
    # Maximum time for which replaced weights may still be used.
    version_ms: float = 6_000.0
    reuse_after_s: float = 2.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_extra: float = 0.0
    quota_window_s: float = 8.0
    # Usage above a workspace's limit that is allowed per window, in the limit's unit.
    quota_slack: float = 0.0
    # Share of a service's requests that an unproven software version may get.
    exposure_share: float = 0.1
    rollback_ms: float = 5_000.0


class _Settings(msgspec.Struct, frozen=True):
    """Declare the settings in use; unknown ones are ignored, as the platform adds more."""

    node: str
    zone: str
    listen: _Listen
    platform: _Store
    # First and last port available to the process, separated by a comma.
    port_range: str
    seeds: str = ""
    # Parts of the operators' contract that are in force, separated by commas.
    contracts: str = ""
    bootstrap: bool = False
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def get_settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(SETTINGS_PATH_VARIABLE, DEFAULT_SETTINGS_PATH))


def load_site(path: Path) -> Result[Site, DecodingError]:
    """Return the site settings in a file; errors name the invalid field."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Failure(DecodingError(str(path), str(error)))
    return decode_site(text)


def decode_site(text: str) -> Result[Site, DecodingError]:
    """Return the site settings in lines of the form `a.b=value`."""
    try:
        settings = msgspec.convert(_parse_lines(text), _Settings, strict=False)
        return Success(_make_site(settings))
    except (msgspec.ValidationError, ValueError) as error:
        return Failure(DecodingError("settings", str(error)))


def _require_address(field: str, text: str) -> Address:
    address = parse_address(text)
    if address is None:
        raise ValueError(f"{field}: not an IP:PORT address")
    return address


def _parse_port_range(text: str) -> tuple[int, int]:
    first, separator, last = text.partition(",")
    if not separator or not 0 < int(first) <= int(last) < 65536:
        raise ValueError("port_range: not a pair of ports")
    return int(first), int(last)


def _parse_lines(text: str) -> dict[str, Any]:
    """Return the lines as nested tables, without comments and malformed lines."""
    root: dict[str, Any] = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if not separator or name.startswith("#"):
            continue
        *tables, last = name.strip().split(".")
        table = root
        for part in tables:
            inner = table.setdefault(part, {})
            if not isinstance(inner, dict):
                inner = table[part] = {}
            table = inner
        table[last] = value.strip()
    return root


def _find_features(contracts: str) -> frozenset[Feature]:
    names = (name.strip() for name in contracts.split(","))
    return frozenset(
        feature for name in names for feature in _FEATURES_BY_CONTRACT.get(name, ())
    )


def _make_site(settings: _Settings) -> Site:
    bounds = settings.bounds
    listen = settings.listen
    return Site(
        instance=settings.node,
        zone=settings.zone,
        callers=_require_address("listen.front", listen.front),
        readiness=_require_address("listen.ready", listen.ready),
        mesh=_require_address("listen.control", listen.control),
        seeds=tuple(filter(None, map(parse_address, settings.seeds.split(",")))),
        store=_require_address("platform.address", settings.platform.address),
        store_writes_per_s=settings.platform.writes_per_s,
        store_reads_per_s=settings.platform.reads_per_s,
        is_bootstrap=settings.bootstrap,
        memory_mb=settings.limits.memory_mb,
        link_mbps=settings.limits.link_mbps,
        metrics_port=_parse_port_range(settings.port_range)[0],
        bounds=Bounds(
            config_apply_s=bounds.config_apply_ms / 1e3,
            drain_s=bounds.drain_ms / 1e3,
            grace_s=bounds.grace_s,
            stable_window_s=bounds.stable_window_ms / 1e3,
            store_skew_s=bounds.skew_max_ms / 1e3,
            lease_s=bounds.lease_ms / 1e3,
            weights_s=bounds.version_ms / 1e3,
            reuse_after_s=bounds.reuse_after_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_s=bounds.budget_window_s,
            retry_extra=bounds.budget_extra,
            limit_window_s=bounds.quota_window_s,
            limit_slack=bounds.quota_slack,
            exposure_share=bounds.exposure_share,
            rollback_s=bounds.rollback_ms / 1e3,
        ),
        features=_find_features(settings.contracts),
    )

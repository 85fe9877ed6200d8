"""Describe the place that a process runs at and the bounds it must keep."""

from __future__ import annotations

from dataclasses import dataclass

from catkintrack.http import Address


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the operators' bounds, which the site's settings give; times in seconds."""

    config_apply_s: float
    drain_s: float
    grace_s: float
    stable_window_s: float
    store_skew_s: float
    lease_s: float
    weights_s: float
    reuse_after_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    limit_window_s: float
    limit_slack: float


@dataclass(frozen=True, slots=True)
class Site:
    """Hold what a process is told about its place when it starts."""

    instance: str
    zone: str
    callers: Address
    readiness: Address
    mesh: Address
    seeds: tuple[Address, ...]
    store: Address
    store_writes_per_s: float
    store_reads_per_s: float
    is_bootstrap: bool
    memory_mb: int
    link_mbps: float
    metrics_port: int
    bounds: Bounds

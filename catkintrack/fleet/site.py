"""Define the local settings of an instance and the operators' bounds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from catkintrack.http import Address


class Feature(Enum):
    """Name a part of the product that a deployment's settings switch on.

    ADMISSION bounds what engines hold to what they can finish, SLOW_READERS what is held
    for peers that read slowly; VERSION_ROLLOUTS moves services between software versions.
    """

    ADMISSION = "admission"
    SLOW_READERS = "slow_readers"
    VERSION_ROLLOUTS = "version_rollouts"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Hold the operators' bounds on times, retries and limits; times in seconds.

    `store_skew_s` is the additional time that a change may take to apply while some
    instances can't reach the store.  `weights_s` is how long replaced weights may
    still be used.  `limit_slack` is the usage above a workspace's limit that is
    allowed per `limit_window_s`, in the limit's unit.  An unproven software version gets
    `exposure_share` of its service's calls at most, and none `rollback_s` after it has shown
    to be bad.
    """

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
    exposure_share: float = 0.1
    rollback_s: float = 5.0


@dataclass(frozen=True, slots=True)
class Site:
    """Hold the settings that an instance starts with.

    `callers`, `readiness` and `mesh` are the addresses that it listens at: for calls,
    for the load balancer's readiness checks and for messages of other instances.
    `store` is the address of the platform's object store, and `seeds` are the mesh
    addresses of instances to contact first.
    """

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
    features: frozenset[Feature] = frozenset()

"""Define upstreams: discovery entries, reports and orders to load weights."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from catkintrack.http import Address


class SwapMode(Enum):
    """Define how a weights change treats a replica's running requests."""

    FINISH_RUNNING = "after_runs"
    KEEP_RUNNING = "under_runs"
    ABORT_RUNNING = "abort_runs"


@dataclass(frozen=True, slots=True)
class ModelWeights:
    """Identify a model and a version of its weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """Represent a replica's discovery entry.

    `incarnation` is the start time, which distinguishes restarts under one ID; 0 if
    unknown.  `software_version` is the program's, not that of the weights; empty if
    unknown.
    """

    id: str
    service: str
    address: Address
    zone: str
    is_draining: bool
    slots: int
    weights: tuple[ModelWeights, ...] = ()
    incarnation: int = 0
    software_version: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """Hold the load that a replica names in a response; None where it is not named.

    `slowdown` is how long work takes there at that moment, relative to the usual time.
    """

    running: int
    waiting: int
    slots: int | None = None
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Hold a model engine's report of its state, some hundred milliseconds old.

    `order_count` is the number of orders that this incarnation has accepted.
    """

    weights: tuple[ModelWeights, ...]
    is_busy: bool
    order_count: int
    waiting: int
    running: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Order a replica to load weights.

    `fencing` is the fencing token of the lease that `holder` holds.  A replica rejects
    the order unless it has accepted `expected_order_count` orders so far, so that a
    delayed duplicate has no effect.
    """

    weights: ModelWeights
    mode: SwapMode
    holder: str
    fencing: int
    expected_order_count: int | None

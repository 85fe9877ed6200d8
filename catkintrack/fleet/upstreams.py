"""Describe upstreams as discovery and their own reports show them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from catkintrack.http import Address


class SwapMode(Enum):
    """Say what becomes of a replica's running requests when its weights change."""

    FINISH_RUNNING = "after_runs"
    KEEP_RUNNING = "under_runs"
    ABORT_RUNNING = "abort_runs"


@dataclass(frozen=True, slots=True)
class ModelWeights:
    """Name a model and a version of its weights."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """Hold one replica's entry in discovery.

    `incarnation` is the start time that tells two lives of one id apart, or 0.
    """

    id: str
    service: str
    address: Address
    zone: str
    is_draining: bool
    slots: int
    weights: tuple[ModelWeights, ...] = ()
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Hold a model engine's own report; it lags by some hundred milliseconds."""

    weights: tuple[ModelWeights, ...]
    is_busy: bool
    order_count: int
    waiting: int
    running: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Order a replica to load weights.

    `expected_order_count` makes a late copy of the order harmless.
    """

    weights: ModelWeights
    mode: SwapMode
    holder: str
    fencing: int
    expected_order_count: int | None

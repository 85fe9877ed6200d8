"""Define an operator's order to move a service to a software version."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RolloutState(Enum):
    """Enumerate the states of an order; WITHDRAWN ones have no entry any more."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order that a service's traffic moves to `version` within `duration_s`.

    `created` distinguishes an entry from an earlier one of the same name.
    """

    service: str
    version: str
    duration_s: float
    created: int = 0


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Hold an order's stored state."""

    state: RolloutState
    version: str

"""Decode operators' orders for a software version, and encode their status."""

from __future__ import annotations

from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from catkintrack.fleet import RolloutOrder, RolloutState, RolloutStatus

from .errors import DecodingError

# Far above any roll-out; larger numbers are another writer's.
MAX_DURATION_S = 7 * 86_400.0

_STORED_STATES = (
    RolloutState.RUNNING,
    RolloutState.COMPLETED,
    RolloutState.ROLLED_BACK,
)


class _Order(msgspec.Struct):
    service: str
    # The version of the software that the service's traffic is to move to.
    to: str
    duration_s: float


class _Status(msgspec.Struct):
    state: str
    to: str


def decode_rollout(
    name: str, spec: Any, created: int
) -> Result[RolloutOrder, DecodingError]:
    """Return the order in the entry `name`, which is that of its service."""
    try:
        row = msgspec.convert(spec, _Order)
    except msgspec.ValidationError as error:
        return Failure(DecodingError(f"order {name}", str(error)))
    if row.service != name or not row.to:
        return Failure(DecodingError(f"order {name}", "no version of this service"))
    if not 0 < row.duration_s <= MAX_DURATION_S:
        return Failure(DecodingError(f"order {name}", "duration out of range"))
    return Success(RolloutOrder(row.service, row.to, row.duration_s, created))


def decode_rollout_status(status: Any) -> RolloutStatus | None:
    """Return an order's stored status, None if there is no readable one."""
    try:
        row = msgspec.convert(status, _Status)
    except msgspec.ValidationError:
        return None
    for state in _STORED_STATES:
        if row.state == state.value:
            return RolloutStatus(state, row.to)
    return None


def encode_rollout_status(status: RolloutStatus) -> dict[str, Any]:
    """Return the status as it is stored."""
    return {"state": status.state.value, "to": status.version}

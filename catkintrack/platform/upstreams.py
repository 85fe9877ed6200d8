"""Decode replicas' discovery entries and reports, and encode orders to replicas."""

from __future__ import annotations

from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from catkintrack.fleet import (
    ModelWeights,
    SwapMode,
    Upstream,
    UpstreamReport,
    WeightsOrder,
)
from catkintrack.http import Address, Request

from .addresses import parse_address
from .errors import DecodingError
from .names import (
    EXPECTED_UPSTREAM,
    ORDER_PATH,
    REPORT_PATH,
    REQUEST_ID,
    UPSTREAM_STATE_DRAINING,
    UPSTREAM_STATE_READY,
)

_WIRE_MODE_BY_SWAP_MODE = {
    SwapMode.FINISH_RUNNING: "wait",
    SwapMode.KEEP_RUNNING: "retain",
    SwapMode.ABORT_RUNNING: "truncate",
}


# Far above any replica; larger numbers are another writer's.
MAX_SLOTS = 1 << 20
# Longer times are another writer's.
MAX_COLD_S = 60.0


class _Model(msgspec.Struct):
    name: str
    version: int


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # The version of the replica's software, not of its weights.
    version: str = ""
    models: list[_Model] = []
    # Start time of the replica in Unix milliseconds, 0 if unknown.
    born: int = 0


class _Report(msgspec.Struct):
    models: list[_Model] = []
    busy: bool = False
    # Orders that the replica has accepted since it started. In a discovery entry the
    # field of this name counts heartbeats instead.
    sequence: int = 0
    waiting: int = 0
    running: int = 0
    born: int = 0


class _Version(msgspec.Struct):
    model: str
    version: int


def decode_upstream(
    id: str, spec: Any, service_names: frozenset[str]
) -> Result[Upstream, DecodingError]:
    """Return the replica that a discovery entry describes.

    Entries are validated because other programs can write them too.
    """
    try:
        entry = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as error:
        return Failure(DecodingError(f"replica entry {id}", str(error)))
    address = parse_address(entry.address)
    if address is None:
        return Failure(DecodingError(f"replica entry {id}", "address is not IP:PORT"))
    if entry.state not in (UPSTREAM_STATE_READY, UPSTREAM_STATE_DRAINING):
        return Failure(DecodingError(f"replica entry {id}", "unknown state"))
    if not 0 < entry.slots <= MAX_SLOTS or entry.born < 0:
        return Failure(DecodingError(f"replica entry {id}", "number out of range"))
    if service_names and entry.service not in service_names:
        return Failure(DecodingError(f"replica entry {id}", "unknown service"))
    return Success(
        Upstream(
            id=id,
            service=entry.service,
            address=address,
            zone=entry.zone,
            is_draining=entry.state == UPSTREAM_STATE_DRAINING,
            slots=entry.slots,
            weights=_make_weights(entry.models),
            incarnation=entry.born,
            software_version=entry.version,
        )
    )


def decode_cold_s(spec: Any) -> float:
    """Return for how many seconds a replica remains slow after its start."""
    remaining_ms = spec.get("cold_remaining_ms") if isinstance(spec, dict) else None
    if not isinstance(remaining_ms, (int, float)) or isinstance(remaining_ms, bool):
        return 0.0
    return min(MAX_COLD_S, max(0.0, remaining_ms / 1e3))


def decode_weights(spec: Any) -> Result[ModelWeights, DecodingError]:
    """Return the target weights that an operator has set for a model."""
    try:
        row = msgspec.convert(spec, _Version)
    except msgspec.ValidationError as error:
        return Failure(DecodingError("target weights", str(error)))
    return Success(ModelWeights(row.model, row.version))


def make_report_request(upstream: Upstream, request_id: bytes) -> Request:
    """Return the request for a replica's report of its state.

    Another replica at the same address rejects it.
    """
    headers = (
        (b"host", str(upstream.address).encode()),
        (REQUEST_ID, request_id),
        (EXPECTED_UPSTREAM, upstream.id.encode()),
    )
    return Request(b"GET", REPORT_PATH, headers)


def make_health_request(path: str, address: Address, request_id: bytes) -> Request:
    """Return a request for health that any replica at the address answers.

    One that takes its path for a caller's rejects it, as it is meant for no replica.
    """
    host = str(address).encode()
    headers = (
        (b"host", host),
        (REQUEST_ID, request_id),
        (EXPECTED_UPSTREAM, host),
    )
    return Request(b"GET", path.encode(), headers)


def decode_report(body: bytes) -> Result[UpstreamReport, DecodingError]:
    """Return the report in a replica's response body."""
    try:
        report = msgspec.json.decode(body, type=_Report)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(DecodingError("replica report", str(error)))
    return Success(
        UpstreamReport(
            _make_weights(report.models),
            report.busy,
            report.sequence,
            report.waiting,
            report.running,
            report.born,
        )
    )


def make_order_request(
    upstream: Upstream, order: WeightsOrder, request_id: bytes
) -> Request:
    """Return the request that orders a replica to load weights.

    The replica rejects orders with an old fencing token or another order count.
    """
    fields: dict[str, Any] = {
        "op": "version",
        "model": order.weights.model,
        "version": order.weights.version,
        "mode": _WIRE_MODE_BY_SWAP_MODE[order.mode],
        "holder": order.holder,
        "fence": order.fencing,
    }
    if order.expected_order_count is not None:
        fields["expect"] = order.expected_order_count
    body = msgspec.json.encode(fields)
    headers = (
        (b"host", str(upstream.address).encode()),
        (REQUEST_ID, request_id),
        (EXPECTED_UPSTREAM, upstream.id.encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    )
    return Request(b"POST", ORDER_PATH, headers, body)


def _make_weights(models: list[_Model]) -> tuple[ModelWeights, ...]:
    return tuple(ModelWeights(model.name, model.version) for model in models)

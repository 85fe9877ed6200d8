"""Build replicas and the answers that they send."""

from __future__ import annotations

from typing import Any

from catkintrack.fleet import ModelWeights, Upstream
from catkintrack.http import Address
from catkintrack.platform import ResponseFields


def make_upstream(id: str = "i1", incarnation: int = 1000, **changes: Any) -> Upstream:
    """Return a ready replica of the model m1."""
    fields: dict[str, Any] = {
        "id": id,
        "service": "models",
        "address": Address("127.0.0.1", 8080),
        "zone": "z1",
        "is_draining": False,
        "slots": 32,
        "weights": (ModelWeights("m1", 1),),
        "incarnation": incarnation,
    }
    return Upstream(**(fields | changes))


def make_response_fields(status: int = 200, **changes: Any) -> ResponseFields:
    """Return the fields of a signed answer to the request r1."""
    fields: dict[str, Any] = {
        "status": status,
        "request_id": b"r1",
        "is_signed": True,
        "is_not_run": False,
        "is_encoded": False,
        "load": None,
        "weights_version": None,
    }
    return ResponseFields(**(fields | changes))

"""Call the platform and the operator endpoints of processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from ipaddress import ip_address
from typing import Any, TypeVar

import curio
import msgspec
from returns.result import Failure, Result, Success

from catkintrack.config import ConfigState, InvalidEntity, RevisionConflict
from catkintrack.http import Address, HttpError, Pool, Request, fetch
from catkintrack.objects import (
    PlatformClient,
    ResponseLost,
    read_head,
    read_state,
)

from .output import ExitStatus, fail

OPS_TIMEOUT_S = 3.0

T = TypeVar("T")


def parse_address(text: str) -> Address:
    """Return the address in `host:port`, where the host is an IP address."""
    host, _, port = str(text).rpartition(":")
    try:
        ip_address(host)
        return Address(host, int(port))
    except ValueError:
        fail(ExitStatus.USAGE, [f"{text}: expected IP:PORT"])


def run_with_platform(
    platform: str, call: Callable[[PlatformClient], Awaitable[T]]
) -> T:
    """Run `call` with a client of the platform and return its result."""
    client = PlatformClient(parse_address(platform))
    return curio.run(call, client)


async def load_state(client: PlatformClient) -> Result[ConfigState, Any]:
    """Return the newest accepted configuration."""
    match await read_head(client):
        case Success((_, head)):
            return await read_state(client, ConfigState(), head)
        case outcome:
            return outcome


def unwrap_or_fail(outcome: Result[T, Any], as_json: bool) -> T:
    """Return a result's value, or exit with the status for its failure."""
    match outcome:
        case Success(value):
            return value
        case Failure(RevisionConflict() as conflict):
            fail(ExitStatus.REFUSED, [f"conflict: {conflict}"], as_json)
        case Failure(tuple() as errors) if all(
            isinstance(error, InvalidEntity) for error in errors
        ):
            fail(ExitStatus.REFUSED, [str(error) for error in errors], as_json)
        case Failure(ResponseLost()):
            text = "unknown whether the change was accepted; look before repeating"
            fail(ExitStatus.UNKNOWN, [text], as_json)
        case Failure(error):
            fail(ExitStatus.UNAVAILABLE, [f"platform: {error}"], as_json)


def fetch_ops_json(address: Address, path: str) -> Any:
    """Return the JSON of an operator endpoint, or None if it does not respond."""
    return curio.run(_fetch_ops_json, address, path)


async def _fetch_ops_json(address: Address, path: str) -> Any:
    request = Request(b"GET", path.encode(), ((b"host", str(address).encode()),))
    try:
        _, body = await fetch(Pool(), address, request, OPS_TIMEOUT_S)
    except HttpError:
        return None
    return msgspec.json.decode(body)

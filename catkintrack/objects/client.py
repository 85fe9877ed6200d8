"""Call the platform's object API and its instance list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from catkintrack.http import (
    Address,
    ClientLimits,
    Pool,
    Request,
    ResponseHead,
    UpstreamExchangeError,
    UpstreamUnreachable,
    fetch,
    find_header,
)

from .errors import (
    NotFound,
    PlatformError,
    Rejected,
    ResponseLost,
    Unavailable,
    VersionMismatch,
)

WATCH_MARGIN_S = 2.0

T = TypeVar("T")


class InstanceRow(msgspec.Struct, frozen=True):
    """Describe an instance in the platform's list, which may be out of date."""

    id: str
    zone: str
    state: str = "live"
    mesh_host: str = ""
    mesh_port: int = 0
    routers_host: str = ""
    routers_port: int = 0


class WriteAnswer(msgspec.Struct, frozen=True):
    """Represent the body of an answer to a write: the object's version afterwards."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionedObject:
    """Represent an object's value at one version."""

    version: int
    value: bytes


@dataclass(slots=True)
class PlatformClient:
    """Hold the connections to the platform and the number of calls by type."""

    address: Address
    timeout_s: float = 2.0
    pool: Pool = field(default_factory=lambda: Pool(ClientLimits()))
    count_by_call: Counter[str] = field(default_factory=Counter)
    next_request_id: int = 0


async def get_object(
    client: PlatformClient, name: str
) -> Result[VersionedObject, PlatformError]:
    """Read an object; fail with NotFound if it does not exist."""
    outcome = await _send_request(client, "get", b"GET", f"/objects/{name}")
    return outcome.bind(lambda response: _read_object(name, *response))


async def watch_object(
    client: PlatformClient, name: str, after_version: int, timeout_s: float
) -> Result[VersionedObject | None, PlatformError]:
    """Wait until an object is newer than `after_version`; return None on timeout."""
    target = f"/watch/{name}?after={after_version}&timeout_s={timeout_s}"
    request_timeout_s = timeout_s + WATCH_MARGIN_S
    outcome = await _send_request(
        client, "watch", b"GET", target, timeout_s=request_timeout_s
    )
    match outcome:
        case Success((ResponseHead(status=204), _)):
            return Success(None)
    return outcome.bind(lambda response: _read_object(name, *response))


async def put_object(
    client: PlatformClient, name: str, value: bytes, expected_version: int
) -> Result[int, PlatformError]:
    """Write an object if its version is the expected one; return the new version.

    Version 0 stands for an absent object.  After ResponseLost the write may have taken
    effect: read the object back instead of repeating the write blindly.
    """
    headers = ((b"x-expected-version", str(expected_version).encode()),)
    outcome = await _send_request(
        client, "put", b"PUT", f"/objects/{name}", value, headers
    )
    match outcome:
        case Success((ResponseHead(status=200), body)):
            return _decode_write(body)
        case Success((ResponseHead(status=409), body)):
            return _decode_write(body).bind(
                lambda found: Failure(VersionMismatch(expected_version, found))
            )
        case Success((head, _)):
            return Failure(Rejected(head.status))
    return outcome


def _decode_write(body: bytes) -> Result[int, PlatformError]:
    """Return the version in the answer to a write, or ResponseLost if it was cut."""
    return _decode(body, WriteAnswer, ResponseLost).map(lambda answer: answer.version)


async def list_instances(
    client: PlatformClient,
) -> Result[list[InstanceRow], PlatformError]:
    """Return the platform's list of live and leaving instances, which may lag."""
    outcome = await _send_request(client, "instances", b"GET", "/instances")
    match outcome:
        case Success((ResponseHead(status=200), body)):
            return _decode(body, list[InstanceRow], Unavailable)
        case Success((head, _)):
            return Failure(Rejected(head.status))
    return outcome


def _read_object(
    name: str, head: ResponseHead, body: bytes
) -> Result[VersionedObject, PlatformError]:
    if head.status == 404:
        return Failure(NotFound(name))
    if head.status != 200:
        return Failure(Rejected(head.status))
    version = int(find_header(head.headers, b"x-version") or b"0")
    return Success(VersionedObject(version, body))


def _decode(
    body: bytes, kind: type[T], failure: Callable[[str], PlatformError]
) -> Result[T, PlatformError]:
    """Return a decoded body, or the failure that an unreadable one stands for."""
    try:
        return Success(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(failure(f"invalid response: {error}"))


async def _send_request(
    client: PlatformClient,
    call: str,
    method: bytes,
    target: str,
    body: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
    timeout_s: float | None = None,
) -> Result[tuple[ResponseHead, bytes], PlatformError]:
    client.count_by_call[call] += 1
    request_timeout_s = timeout_s or client.timeout_s
    length = (b"content-length", str(len(body)).encode())
    host = (b"host", str(client.address).encode())
    client.next_request_id += 1
    request_id = (b"x-request-id", str(client.next_request_id).encode())
    fields = (host, length, request_id, *headers)
    request = Request(method, target.encode(), fields, body)
    try:
        return Success(
            await fetch(client.pool, client.address, request, request_timeout_s)
        )
    except UpstreamUnreachable as error:
        return Failure(Unavailable(str(error)))
    except UpstreamExchangeError as error:
        is_write = method != b"GET"
        failure = ResponseLost(str(error)) if is_write else Unavailable(str(error))
        return Failure(failure)

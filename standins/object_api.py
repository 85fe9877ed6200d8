"""Simulate the platform: its object API and its list of instances.

`POST /faults` injects faults; `GET /counts` returns the number of calls by operation.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

import curio
import fire
import msgspec

from catkintrack.http import Connection, Request, find_header

from .answers import (
    drop_connection,
    read_json,
    read_query,
    respond_json,
    serve_until_stopped,
)

MAX_VALUE_BYTES = 1 << 20
BINARY_HEADERS = ((b"content-type", b"application/octet-stream"),)


@dataclass(slots=True)
class StoredObject:
    """Hold an object's value and its version."""

    version: int
    value: bytes


@dataclass(slots=True)
class Faults:
    """Hold the injected faults.

    The next `lost_answers` writes are applied, but get no response; `list_lag_s` delays
    the list of instances.
    """

    is_down: bool = False
    latency_s: float = 0.002
    lost_answers: int = 0
    list_lag_s: float = 0.0


@dataclass(slots=True)
class Platform:
    """Hold the objects, the instance lists by time and the call counters."""

    object_by_name: dict[str, StoredObject] = field(default_factory=dict)
    instance_list_history: list[tuple[float, list[dict]]] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    count_by_call: Counter = field(default_factory=Counter)
    changed: curio.Condition = field(default_factory=curio.Condition)
    version: int = 0


async def handle(platform: Platform, request: Request, connection: Connection) -> None:
    """Route one request; `/faults`, `/counts` and `/control` ignore the faults."""
    path = request.path
    if path == "/faults":
        platform.faults = msgspec.convert(
            msgspec.to_builtins(platform.faults) | read_json(request), Faults
        )
        await respond_json(connection, 200, msgspec.to_builtins(platform.faults))
        return
    if path == "/counts":
        await respond_json(connection, 200, dict(platform.count_by_call))
        return
    if path == "/control/instances":
        platform.instance_list_history.append((time.monotonic(), read_json(request)))
        await respond_json(connection, 200, {})
        return
    if platform.faults.is_down:
        await drop_connection(connection)
    await curio.sleep(platform.faults.latency_s)
    if path == "/instances":
        platform.count_by_call["instances"] += 1
        await respond_json(connection, 200, list_instances(platform))
        return
    await handle_object(platform, request, connection)


async def handle_object(
    platform: Platform, request: Request, connection: Connection
) -> None:
    """Serve a list, watch, get, put or delete of objects."""
    path = request.path
    if path == "/objects":
        platform.count_by_call["list"] += 1
        prefix = read_query(request).get("prefix", "")
        rows = {
            name: stored.version
            for name, stored in platform.object_by_name.items()
            if name.startswith(prefix)
        }
        await respond_json(connection, 200, rows)
    elif path.startswith("/watch/"):
        platform.count_by_call["watch"] += 1
        await watch_object(platform, request, connection)
    elif request.method == b"GET":
        platform.count_by_call["get"] += 1
        await send_object(platform, path.removeprefix("/objects/"), connection)
    else:
        platform.count_by_call["put"] += 1
        await put_object(platform, request, connection)


def list_instances(platform: Platform) -> list[dict]:
    """Return the latest instance list that is at least `list_lag_s` old."""
    newest_at = time.monotonic() - platform.faults.list_lag_s
    visible = [rows for at, rows in platform.instance_list_history if at <= newest_at]
    return visible[-1] if visible else []


async def send_object(platform: Platform, name: str, connection: Connection) -> None:
    """Send an object and its version, or 404."""
    stored = platform.object_by_name.get(name)
    if stored is None:
        await connection.respond(404, BINARY_HEADERS, b"")
        return
    version = (b"x-version", str(stored.version).encode())
    await connection.respond(200, (*BINARY_HEADERS, version), stored.value)


async def put_object(
    platform: Platform, request: Request, connection: Connection
) -> None:
    """Write or delete an object if it has the expected version; 0 means absent."""
    name = request.path.removeprefix("/objects/")
    expected = int(find_header(request.headers, b"x-expected-version") or b"0")
    stored = platform.object_by_name.get(name)
    found = stored.version if stored else 0
    if len(request.body) > MAX_VALUE_BYTES:
        await respond_json(connection, 413, {})
        return
    if found != expected:
        await respond_json(connection, 409, {"version": found})
        return
    platform.version += 1
    if request.method == b"DELETE":
        platform.object_by_name.pop(name, None)
    else:
        stored = StoredObject(platform.version, request.body)
        platform.object_by_name[name] = stored
    async with platform.changed:
        await platform.changed.notify_all()
    if platform.faults.lost_answers > 0:
        platform.faults.lost_answers -= 1
        await drop_connection(connection)
    await respond_json(connection, 200, {"version": platform.version})


async def watch_object(
    platform: Platform, request: Request, connection: Connection
) -> None:
    """Send an object once its version exceeds `after`, or 204 after `timeout_s`."""
    name = request.path.removeprefix("/watch/")
    query = read_query(request)
    after = int(query.get("after", "0"))
    deadline = time.monotonic() + float(query.get("timeout_s", "10"))
    while time.monotonic() < deadline:
        if platform.faults.is_down:
            await drop_connection(connection)
        stored = platform.object_by_name.get(name)
        if stored and stored.version > after:
            await send_object(platform, name, connection)
            return
        async with platform.changed:
            await curio.ignore_after(0.2, platform.changed.wait)
    await connection.respond(204, (), b"")


def main(host: str = "127.0.0.1", port: int = 8070) -> None:
    """Serve the platform's object API and instance list."""
    platform = Platform()

    async def handler(request: Request, connection: Connection) -> None:
        await handle(platform, request, connection)

    serve_until_stopped(host, port, handler)


if __name__ == "__main__":
    fire.Fire(main)

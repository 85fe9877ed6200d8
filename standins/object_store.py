"""Simulate the object store of the users' platform.

The store listens on several ports, so that faults can affect only some of its clients.
`POST /faults` injects faults for the port that it is sent to; `GET /counts` returns the
number of calls by operation over all ports.  Some faults concern the whole store:
`forget_history` and, for a drill, `restore_seconds_old` (see `Drill`).
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any

import curio
import fire
import msgspec

from catkintrack.http import (
    Connection,
    Handler,
    Headers,
    Request,
    ServerLimits,
    open_server,
)
from catkintrack.processes import catch_signals, wait_for_stop_signal

from .answers import drop_connection, read_json, read_query, respond_json

OBJECTS_PATH = "/-/objects/"
LATENCY_S = 0.002
SILENT_DELAY_S = 3600.0
ERA_HEADER = b"store-era"
# Kinds that operators and replicas write, and write again after a drill.
OUTSIDE_KINDS = frozenset({"config", "rollouts", "servers", "versions"})


@dataclass(slots=True)
class Faults:
    """Hold the injected faults of one port.

    Calls that come while it `is_silent` never get an answer; those that wait already do.
    The next `lost_answers` writes are applied, but get no response.  The next
    `late_answers` responses are complete, but sent `late_s` later.  `era_text` replaces
    the era in the header; if it is empty, the header is missing.
    """

    is_down: bool = False
    is_busy: bool = False
    is_silent: bool = False
    lost_answers: int = 0
    late_answers: int = 0
    late_s: float = 0.0
    era_text: str | None = None


class Drill(msgspec.Struct):
    """Describe a return of the store from a copy that is `restore_seconds_old`.

    The store is away for `away_s` first.  What operators and replicas have written since
    the copy is written again `rewrite_after_s` after the return.  With
    `loses_system_objects` the copy has no objects that the system wrote.
    """

    restore_seconds_old: float
    away_s: float = 0.0
    rewrite_after_s: float = 0.2
    loses_system_objects: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """Record a change of an object and when it was made, in seconds."""

    at: float
    revision: int
    kind: str
    row: dict[str, Any]
    is_deleted: bool


@dataclass(slots=True)
class Store:
    """Hold the objects, the change history and the call counters.

    A watch from before `compacted_revision` gets 410 and must list again.  `changes` are
    all changes of the current era and of the copies that it goes back to.
    """

    object_by_key: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    outside_by_key: dict[tuple[str, str], Any] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    compacted_revision: int = 0
    era: int = 1
    is_away: bool = False
    revision: int = 1
    changed: curio.Condition = field(default_factory=curio.Condition)
    count_by_call: Counter = field(default_factory=Counter)


async def handle(
    store: Store, faults: Faults, request: Request, connection: Connection
) -> None:
    """Serve one request to a port with the given faults."""
    path = request.path
    if path == "/faults":
        await inject_faults(store, faults, read_json(request))
        await respond_json(connection, 200, {})
        return
    if path == "/counts":
        await respond_json(connection, 200, dict(store.count_by_call))
        return
    if faults.is_down or store.is_away:
        await drop_connection(connection)
    if faults.is_silent:
        await curio.sleep(SILENT_DELAY_S)
    if faults.is_busy:
        await respond_json(connection, 503, {}, make_era_headers(store, faults))
        return
    await curio.sleep(LATENCY_S)
    kind, _, rest = path.removeprefix(OBJECTS_PATH).partition("/")
    name = rest.removesuffix("/status")
    response = await HANDLER_BY_METHOD[request.method](
        store, faults, kind, name, request
    )
    if faults.lost_answers > 0 and request.method != b"GET":
        faults.lost_answers -= 1
        await drop_connection(connection)
    if store.is_away:
        await drop_connection(connection)
    headers = make_era_headers(store, faults)
    if faults.late_answers > 0:
        faults.late_answers -= 1
        await curio.sleep(faults.late_s)
    await respond_json(connection, *response, headers)


Response = tuple[int, Any]


def make_era_headers(store: Store, faults: Faults) -> Headers:
    """Return the header with the store's era, or as a fault changes it."""
    text = str(store.era) if faults.era_text is None else faults.era_text
    return ((ERA_HEADER, text.encode()),) if text else ()


async def inject_faults(store: Store, faults: Faults, changes: dict[str, Any]) -> None:
    """Set the faults of a port, or start one that concerns the whole store."""
    if "restore_seconds_old" in changes:
        await run_drill(store, msgspec.convert(changes, Drill))
        return
    if changes.pop("forget_history", False):
        store.compacted_revision = store.revision
    for name, value in changes.items():
        setattr(faults, name, value)


async def run_drill(store: Store, drill: Drill) -> None:
    """Go back to a copy, in a new era; let operators and replicas write again."""
    copied_at = time.monotonic() - drill.restore_seconds_old
    if drill.away_s:
        store.is_away = True
        await curio.sleep(drill.away_s)
        store.is_away = False
    store.changes = [change for change in store.changes if change.at <= copied_at]
    store.revision = max((change.revision for change in store.changes), default=1)
    store.compacted_revision = min(store.compacted_revision, store.revision)
    if drill.loses_system_objects:
        store.changes = [c for c in store.changes if c.kind in OUTSIDE_KINDS]
    store.object_by_key = {}
    for change in store.changes:
        key = (change.kind, change.row["metadata"]["name"])
        store.object_by_key.pop(key, None)
        if not change.is_deleted:
            store.object_by_key[key] = change.row
    store.era += 1
    async with store.changed:
        await store.changed.notify_all()
    await curio.spawn(write_again, store, store.era, drill.rewrite_after_s, daemon=True)


async def write_again(store: Store, era: int, delay_s: float) -> None:
    """Write again what operators and replicas have written, unless too late.

    An entry that was removed since the copy is removed again.
    """
    await curio.sleep(delay_s)
    listed = {key for key in store.object_by_key if key[0] in OUTSIDE_KINDS}
    for key in sorted(listed | store.outside_by_key.keys()):
        row = store.object_by_key.get(key)
        spec = store.outside_by_key.get(key)
        if store.era != era:
            return
        if key not in store.outside_by_key:
            store.object_by_key.pop(key)
            await record_change(store, key[0], row, True)
        elif row is None or row["spec"] != spec:
            await write_object(store, *key, spec)


async def read_objects(
    store: Store, faults: Faults, kind: str, name: str, request: Request
) -> Response:
    """Get one object, or list or watch the objects of a kind."""
    query = read_query(request)
    if name:
        store.count_by_call["get"] += 1
        found = store.object_by_key.get((kind, name))
        return (200, found) if found else (404, {})
    if "watch" in query:
        store.count_by_call["watch"] += 1
        return await watch_objects(store, faults, kind, query)
    store.count_by_call["list"] += 1
    rows = [row for (of, _), row in sorted(store.object_by_key.items()) if of == kind]
    page = {"items": rows, "has_more": False, "store_revision": store.revision}
    return 200, page


async def watch_objects(
    store: Store, faults: Faults, kind: str, query: dict[str, str]
) -> Response:
    """Return the changes of a kind after a revision, or none after `wait_ms`."""
    since = int(query["watch"])
    deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1e3
    while True:
        if not store.compacted_revision <= since <= store.revision:
            return 410, {}
        events = [
            {"object": change.row, "deleted": change.is_deleted}
            for change in store.changes
            if change.revision > since and change.kind == kind
        ]
        is_over = time.monotonic() >= deadline or faults.is_down or faults.is_busy
        is_over = is_over or store.is_away
        if events or is_over:
            return 200, {"events": events, "store_revision": store.revision}
        async with store.changed:
            await curio.ignore_after(0.1, store.changed.wait)


async def create_object(
    store: Store, faults: Faults, kind: str, name: str, request: Request
) -> Response:
    """Create an object; 409 if it exists."""
    store.count_by_call["create"] += 1
    fields = read_json(request)
    name = fields["metadata"]["name"]
    found = store.object_by_key.get((kind, name))
    if found is not None:
        return 409, found
    return 200, await write_object(store, kind, name, fields.get("spec"))


async def replace_object(
    store: Store, faults: Faults, kind: str, name: str, request: Request
) -> Response:
    """Replace an object; 409 if it has another revision than the given one."""
    store.count_by_call["replace"] += 1
    fields = read_json(request)
    found = store.object_by_key.get((kind, name))
    if found is None:
        return 404, {}
    expected = fields.get("metadata", {}).get("revision")
    if expected and expected != found["metadata"]["revision"]:
        return 409, found
    if request.path.endswith("/status"):
        return 200, await write_status(store, kind, found, fields.get("status"))
    return 200, await write_object(store, kind, name, fields.get("spec"))


async def delete_object(
    store: Store, faults: Faults, kind: str, name: str, request: Request
) -> Response:
    """Delete an object; 404 if it does not exist."""
    store.count_by_call["delete"] += 1
    found = store.object_by_key.pop((kind, name), None)
    store.outside_by_key.pop((kind, name), None)
    if found is None:
        return 404, {}
    await record_change(store, kind, found, True)
    return 200, found


async def write_object(store: Store, kind: str, name: str, spec: Any) -> dict[str, Any]:
    """Store an object with the next revision and return it."""
    found = store.object_by_key.get((kind, name))
    revision = store.revision + 1
    metadata = {
        "name": name,
        "revision": revision,
        "create_rev": found["metadata"]["create_rev"] if found else revision,
        "finalizers": [],
    }
    row = {
        "metadata": metadata,
        "spec": spec,
        "status": found["status"] if found else None,
    }
    store.object_by_key[(kind, name)] = row
    if kind in OUTSIDE_KINDS:
        store.outside_by_key[kind, name] = spec
    await record_change(store, kind, row, False)
    return row


async def write_status(
    store: Store, kind: str, found: dict[str, Any], status: Any
) -> dict[str, Any]:
    """Replace an object's status and return the object."""
    metadata = found["metadata"] | {"revision": store.revision + 1}
    row = {"metadata": metadata, "spec": found["spec"], "status": status}
    store.object_by_key[(kind, metadata["name"])] = row
    await record_change(store, kind, row, False)
    return row


async def record_change(
    store: Store, kind: str, row: dict[str, Any], is_deleted: bool
) -> None:
    """Append a change to the history and notify the watches."""
    store.revision += 1
    store.changes.append(
        Change(time.monotonic(), store.revision, kind, row, is_deleted)
    )
    async with store.changed:
        await store.changed.notify_all()


HANDLER_BY_METHOD: dict[bytes, Callable[..., Awaitable[Response]]] = {
    b"GET": read_objects,
    b"POST": create_object,
    b"PUT": replace_object,
    b"DELETE": delete_object,
}


async def serve(host: str, ports: tuple[int, ...]) -> None:
    """Serve the store on all ports until SIGTERM."""
    store = Store()
    limits = ServerLimits(idle_timeout_s=600.0)
    with catch_signals() as signals:
        async with AsyncExitStack() as stack:
            for port in ports:
                handler = make_handler(store)
                await stack.enter_async_context(
                    open_server(host, port, handler, limits)
                )
            await wait_for_stop_signal(signals)


def make_handler(store: Store) -> Handler:
    """Return the request handler of one port, with its own faults."""
    faults = Faults()

    async def handler(request: Request, connection: Connection) -> None:
        try:
            await handle(store, faults, request, connection)
        except (KeyError, msgspec.DecodeError) as error:
            await respond_json(connection, 400, {"error": str(error)})

    return handler


def main(host: str = "127.0.0.1", ports: str = "8070") -> None:
    """Serve the store at comma-separated ports."""
    numbers = ports if isinstance(ports, tuple) else (int(ports),)
    curio.run(serve, host, tuple(int(number) for number in numbers))


if __name__ == "__main__":
    fire.Fire(main)

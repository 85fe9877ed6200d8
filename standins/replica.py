"""Simulate a replica on the users' platform: a model engine or a plain service.

A request that names a model gets a streamed response, any other a whole one.
`POST /faults` injects faults; `GET /counts` returns the replica's state and counters.
`POST /restart` begins a new life under the same ID and address.
"""

from __future__ import annotations

import contextlib
import os
import socket
import time
import weakref
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import curio
import fire
import msgspec

from catkintrack.http import (
    RESET_ON_CLOSE,
    CallerDisconnected,
    Connection,
    Headers,
    Request,
    find_header,
)

from .answers import (
    drop_connection,
    end_with_connection,
    read_json,
    reset_connection,
    respond_json,
    serve_until_stopped,
)
from .replica_answers import (
    UNSOLICITED_RESPONSE,
    compute_response_body,
    list_prompt_parts,
    make_event,
    make_load,
    read_deadline_s,
    read_id,
)
from .replica_faults import Faults, SilentConnection, send_endless
from .replica_lives import accept_connection, end_life
from .replica_signals import (
    LEAVING_HEADER,
    BrittleState,
    LimitState,
    RestState,
    SignallingConnection,
    is_away,
    is_resting,
    make_brittle_headers,
    make_limit_headers,
    make_rest_headers,
    record_arrival,
    record_rejection,
)
from .replica_slots import Slots, describe_slots

EVENTS_PER_STREAM = 12
STREAM_EVENT_INTERVAL_S = 0.02
WEIGHT_LOAD_S = 0.1
SILENT_DELAY_S = 3600.0
CRASH_STATUS = 70
# Sockets whose present answer ends with their connection, as long as they are open.
CLOSE_DELIMITED_SOCKETS: weakref.WeakSet[Any] = weakref.WeakSet()
REPORT_PATH = "/-/report"
CREDENTIAL_HEADER = b"x-credential"
ROUTER_HEADERS = (b"x-kv-hold", b"x-pin-ms", b"x-kv-backup", b"kv-from")


@dataclass(slots=True)
class Replica:
    """Hold a replica's weights version, its weights orders and its counters."""

    id: str
    model: str
    version: int = 1
    orders: list[dict[str, Any]] = field(default_factory=list)
    refused_orders: int = 0
    highest_fencing: int = 0
    is_loading: bool = False
    faults: Faults = field(default_factory=Faults)
    runs_by_request: Counter = field(default_factory=Counter)
    workspaces: Counter = field(default_factory=Counter)
    salts: Counter = field(default_factory=Counter)
    leaked_headers: int = 0
    whole_streams: int = 0
    left_streams: int = 0
    requests_by_path: Counter = field(default_factory=Counter)
    # When each request arrived, of the monotonic clock, its ID and deadline (-1 for none).
    arrivals: list[tuple[float, str, float]] = field(default_factory=list)
    # The IDs of those that the replica broke off or answered wrongly.
    broken: list[str] = field(default_factory=list)
    slots: Slots = field(default_factory=Slots)
    rest: RestState = field(default_factory=RestState)
    limit: LimitState = field(default_factory=LimitState)
    brittle: BrittleState = field(default_factory=BrittleState)


async def handle(replica: Replica, request: Request, connection: Connection) -> None:
    """Route one request; the paths of the tests work whatever the faults are."""
    path = request.path
    if path == "/faults":
        changes = read_json(request)
        if "rest_s" in changes:
            replica.rest = RestState()
        if "limit_per_s" in changes:
            replica.limit = LimitState()
        for name, value in changes.items():
            setattr(replica.faults, name, value)
        await respond_json(connection, 200, {})
        return
    if path == "/counts":
        counts = msgspec.to_builtins(replica, enc_hook=describe_slots)
        await respond_json(connection, 200, counts)
        return
    if path == "/restart":
        await restart(replica, request, connection)
        await respond_json(connection, 200, {})
        return
    await accept_connection(replica.faults, connection)
    replica.requests_by_path[path] += 1
    if replica.faults.is_silent:
        await curio.sleep(SILENT_DELAY_S)
    if is_away(replica.brittle):
        await reset_connection(connection)
    if path == REPORT_PATH:
        # Reports name no request, on the users' platform too.
        connection.request_id = None
    connection = SilentConnection(connection, replica.faults)
    if replica.faults.is_leaving:
        connection = SignallingConnection(connection, (LEAVING_HEADER,))
    if replica.faults.limit_per_s is not None:
        headers = make_limit_headers(replica.limit, replica.faults.limit_per_s)
        connection = SignallingConnection(connection, headers)
    if replica.faults.max_rejected is not None:
        headers = make_brittle_headers(replica.faults.max_rejected)
        connection = SignallingConnection(connection, headers)
    if replica.faults.rest_s and is_resting(replica.rest, replica.faults.rest_s):
        is_not_run = not replica.faults.rest_may_have_run
        headers = make_rest_headers(replica.rest, is_not_run)
        await connection.respond(503, headers, b"")
        return
    if path == REPORT_PATH:
        await respond_json(connection, 200, make_report(replica))
    elif path == "/-/order":
        await handle_order(replica, request, connection)
    elif path == "/-/kv-events":
        await curio.sleep(0.5)
        events = {"boot_epoch": 1, "next": 0, "lost": False, "events": []}
        await respond_json(connection, 200, events)
    else:
        record_arrival(replica.limit)
        arrival = (time.monotonic(), read_id(request), read_deadline_s(request))
        replica.arrivals.append(arrival)
        await handle_request(replica, request, connection)


async def restart(replica: Replica, request: Request, connection: Connection) -> None:
    """Begin a new life; new connections are reset for `away_s`, in seconds.

    The counters are those of all lives.
    """
    options = read_json(request)
    replica.faults.born = options["born"]
    replica.faults.closed_until_s = time.monotonic() + options["away_s"]
    replica.faults.silent_until_s = 0.0
    replica.orders, replica.highest_fencing = [], 0
    replica.broken += await end_life(connection)


def make_report(replica: Replica) -> dict[str, Any]:
    """Return the replica's status report."""
    models = [{"name": replica.model, "version": replica.version, "adapters": []}]
    return {
        "stage": "hybrid",
        "models": models,
        "busy": replica.is_loading,
        "sequence": len(replica.orders),
        "waiting": replica.slots.waiting,
        "running": replica.slots.running,
        "born": replica.faults.born,
    }


async def handle_order(
    replica: Replica, request: Request, connection: Connection
) -> None:
    """Start loading the ordered weights, or reject an outdated order."""
    order = read_json(request)
    status = check_order(replica, order)
    if status == 202:
        replica.orders.append(order)
        replica.highest_fencing = order["fence"]
        await curio.spawn(load_weights, replica, order["version"], daemon=True)
    elif status != 200:
        replica.refused_orders += 1
    await respond_json(connection, status, {})


def check_order(replica: Replica, order: dict[str, Any]) -> int:
    """Return the response status of a weights order.

    412 for an outdated fencing token, 200 if the version is already loaded, 409 while
    loading or if the expected number of orders differs, else 202.
    """
    if order["fence"] < replica.highest_fencing:
        return 412
    if order["version"] == replica.version:
        return 200
    expected = order.get("expect", len(replica.orders))
    if replica.is_loading or expected != len(replica.orders):
        return 409
    return 202


async def load_weights(replica: Replica, version: int) -> None:
    """Load weights, running no requests meanwhile."""
    replica.is_loading = True
    await curio.sleep(WEIGHT_LOAD_S)
    replica.version = version
    replica.is_loading = False


async def handle_request(
    replica: Replica, request: Request, connection: Connection
) -> None:
    """Run a request, or reject it with a status that says that it was not run."""
    headers = request.headers
    faults = replica.faults
    expected = find_header(headers, b"x-expect-instance")
    version = find_header(headers, b"x-expect-version")
    is_other = expected not in (None, replica.id.encode())
    if is_other or version not in (None, b"%d" % replica.version):
        await connection.respond(421, (), b"")
        return
    is_full = replica.slots.is_full()
    if faults.max_rejected is not None:
        is_full = replica.slots.has_queue(faults.brittle_queue)
        if is_full:
            record_rejection(replica.brittle, faults.max_rejected)
    if replica.is_loading or faults.reject > 0 or is_full:
        faults.reject = max(0, faults.reject - 1)
        await connection.respond(503, ((b"x-not-executed", b"1"),), b"")
        return
    async with replica.slots.take():
        await run_request(replica, request, connection)


async def run_request(
    replica: Replica, request: Request, connection: Connection
) -> None:
    """Run a request and answer it."""
    faults = replica.faults
    record_run(replica, request)
    if faults.crash_body and faults.crash_body.encode() in request.body:
        await begin_to_crash(replica, request)
    if faults.lose_answers > 0:
        faults.lose_answers -= 1
        replica.broken.append(read_id(request))
        await drop_connection(connection)
    if faults.endless_answers > 0:
        faults.endless_answers -= 1
        replica.broken.append(read_id(request))
        id = (b"x-request-id", read_id(request).encode())
        headers = (*make_response_headers(replica, request), id)
        await send_endless(connection, faults.endless_place, headers)
    if find_header(request.headers, b"x-model") is not None:
        await send_stream(replica, request, connection)
        return
    await curio.sleep(faults.run_s)
    status = 500 if faults.fail > 0 else 200
    if faults.fail > 0:
        faults.fail -= 1
        replica.broken.append(read_id(request))
    body = compute_response_body(request)
    headers = make_response_headers(replica, request)
    if faults.close_delimited > 0:
        if faults.reset_answers > 0:
            replica.broken.append(read_id(request))
        await send_close_delimited(faults, connection, status, headers, body)
        return
    await connection.respond(status, headers, body)
    if faults.extra_answers > 0:
        faults.extra_answers -= 1
        await connection.sock.sendall(UNSOLICITED_RESPONSE)


async def send_close_delimited(
    faults: Faults, connection: Connection, status: int, headers: Headers, body: bytes
) -> None:
    """Send an answer that ends with its connection; a fault resets it on the way."""
    faults.close_delimited -= 1
    end_with_connection(connection)
    CLOSE_DELIMITED_SOCKETS.add(connection.sock)
    await connection.start_response(status, headers)
    await connection.send_body(body[: len(body) // 2])
    if faults.reset_answers > 0:
        faults.reset_answers -= 1
        await reset_connection(connection)
    await connection.send_body(body[len(body) // 2 :])
    await connection.finish_response()


def record_run(replica: Replica, request: Request) -> None:
    """Count a run, its workspace, its cache salt and any leaked headers."""
    headers = request.headers
    replica.runs_by_request[read_id(request)] += 1
    replica.workspaces[(find_header(headers, b"x-tenant") or b"").decode()] += 1
    replica.salts[(find_header(headers, b"x-cache-salt") or b"").decode()] += 1
    forbidden = (CREDENTIAL_HEADER, *ROUTER_HEADERS)
    replica.leaked_headers += sum(name in forbidden for name, _ in headers)


def make_response_headers(replica: Replica, request: Request) -> Headers:
    """Return the response headers, without a signature if a fault says so."""
    headers = [
        (b"x-server-load", make_load(replica.slots)),
        (b"x-instance-id", replica.id.encode()),
    ]
    if find_header(request.headers, b"x-model") is not None:
        headers.append((b"x-weight-versions", str(replica.version).encode()))
    if replica.faults.unsigned > 0:
        replica.faults.unsigned -= 1
        replica.broken.append(read_id(request))
    else:
        headers.append((b"x-response-signature", compute_response_body(request)[:16]))
    return tuple(headers)


async def send_stream(
    replica: Replica, request: Request, connection: Connection
) -> None:
    """Stream the response's events after the client's `last-event-id`."""
    faults = replica.faults
    if faults.fail > 0:
        faults.fail -= 1
        replica.broken.append(read_id(request))
        body = compute_response_body(request)
        await connection.respond(500, make_response_headers(replica, request), body)
        return
    first = int(find_header(request.headers, b"last-event-id") or b"0") + 1
    headers = (
        *make_response_headers(replica, request),
        (b"content-type", b"text/event-stream"),
    )
    try:
        await send_events(replica, request, connection, headers, first)
        replica.whole_streams += 1
    except CallerDisconnected:
        replica.left_streams += 1
        raise


async def send_events(
    replica: Replica,
    request: Request,
    connection: Connection,
    headers: Headers,
    first: int,
) -> None:
    """Send the events from `first` on; a fault may break the stream off."""
    faults = replica.faults
    if faults.close_delimited > 0:
        faults.close_delimited -= 1
        end_with_connection(connection)
        CLOSE_DELIMITED_SOCKETS.add(connection.sock)
    await connection.start_response(200, headers)
    if faults.crash_part and faults.crash_part in list_prompt_parts(request):
        crash()
    for number in range(first, EVENTS_PER_STREAM + 1):
        if faults.reset_answers > 0 and number > faults.break_after_events >= 0:
            faults.reset_answers -= 1
            replica.broken.append(read_id(request))
            await reset_connection(connection)
        if faults.break_streams > 0 and number > faults.break_after_events >= 0:
            faults.break_streams -= 1
            replica.broken.append(read_id(request))
            await connection.send_body(b"id: %d\nda" % number)
            await drop_connection(connection)
        await connection.send_body(make_event(request, number, faults.software))
        await curio.sleep(faults.event_s or STREAM_EVENT_INTERVAL_S)
    await connection.finish_response()


async def begin_to_crash(replica: Replica, request: Request) -> None:
    """Crash after a time; the stream of a prompt begins meanwhile."""
    delay_s = replica.faults.crash_after_s
    if delay_s and find_header(request.headers, b"x-model") is not None:
        await curio.spawn(crash_later, delay_s, daemon=True)
        return
    await crash_later(delay_s)


async def crash_later(delay_s: float) -> None:
    """Crash after a time."""
    await curio.sleep(delay_s)
    crash()


def crash() -> None:
    """End the process; answers that end with their connections are reset.

    A plain close would make a cut answer a whole one.
    """
    for sock in CLOSE_DELIMITED_SOCKETS:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    os._exit(CRASH_STATUS)


def main(
    host: str = "127.0.0.1",
    port: int = 8080,
    id: str = "i1",
    model: str = "m1",
    slots: int = 0,
    queue: int = 0,
) -> None:
    """Serve one replica; with `slots` it drops requests whose connections close."""
    replica = Replica(str(id), model, slots=Slots(slots, queue))

    async def handler(request: Request, connection: Connection) -> None:
        await handle(replica, request, connection)

    serve_until_stopped(host, port, handler, drops_on_disconnect=slots > 0)


if __name__ == "__main__":
    fire.Fire(main)

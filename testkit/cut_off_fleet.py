"""Run two instances in one process, of which one can be cut off from all replicas."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field

import curio

from catkintrack.calls import run_ticks
from catkintrack.http import (
    Address,
    Connection,
    Pool,
    Request,
    UpstreamExchangeError,
    UpstreamUnreachable,
    close_pool,
    fetch,
    open_server,
)
from catkintrack.instance.calls import handle_call
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import apply_upstream
from catkintrack.instance.partitions import probe_while_cut_off
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.instance.probing import probe_suspects
from catkintrack.instance.state import Instance

from .cut_links import Cut, Link, cut_link, mend_link, open_link
from .instances import make_config_spec, make_entry_spec
from .states import RecordingLink, make_instance

HOST = "127.0.0.1"
SERVICES = ("models", "app")
REPLICAS_PER_SERVICE = 4
EVENTS = 4
EVENT_GAP_S = 0.05
PLAIN_S = 0.01
HOUSEKEEPING_S = 0.25
# Longest deadline of the calls, with a margin.
CALL_TIMEOUT_S = 14.0
PROMPT = {
    "host": "h1.example",
    "x-model": "m1",
    "x-token-usage": "300,50",
    "x-prompt-prefix": "aa:200,bb:100",
}
PLAIN = {"host": "h2.example"}
# Path and headers of each kind of call.
TARGET_BY_KIND = {
    "resumable stream": (b"/long/1", PROMPT),
    "stream": (b"/long/short/1", PROMPT),
    "non-idempotent call": (b"/order/1", PLAIN),
    "idempotent call": (b"/lookup/1", PLAIN),
}


@dataclass(slots=True)
class Outcome:
    """Hold how a call ended: its kind, its times, and its status, 0 if it was cut."""

    kind: str
    began_at: float
    at_cut_off: bool
    id: str
    status: int = 0
    duration_s: float = 0.0


@dataclass(slots=True)
class CutOffFleet:
    """Hold the instances, the first one's links by service, and what came of the calls.

    `runs_by_id` counts how often the replicas ran each call.
    """

    instance: Instance
    peer: Instance
    links: list[tuple[str, Link]] = field(default_factory=list)
    address: Address | None = None
    peer_address: Address | None = None
    outcomes: list[Outcome] = field(default_factory=list)
    runs_by_id: dict[str, int] = field(default_factory=dict)
    callers: list[curio.Task] = field(default_factory=list)

    async def cut(self, cut: Cut, services: Iterable[str] = SERVICES) -> None:
        """Cut the first instance off from the replicas of these services."""
        for service, link in self.links:
            if service in services:
                await cut_link(link, cut)

    async def mend(self) -> None:
        """Let the first instance reach the replicas again."""
        for _, link in self.links:
            await mend_link(link)

    def find_share_served(self, kind: str, since: float, at_cut_off: bool) -> float:
        """Return the part of the calls of a kind that began since then and were served."""
        outcomes = [
            outcome.status == 200
            for outcome in self.outcomes
            if outcome.kind == kind
            and outcome.began_at >= since
            and outcome.at_cut_off == at_cut_off
        ]
        return sum(outcomes) / max(1, len(outcomes))


@contextlib.asynccontextmanager
async def open_cut_off_fleet() -> AsyncIterator[CutOffFleet]:
    """Yield two instances before four model and four plain replicas."""
    fleet = CutOffFleet(make_instance(), make_instance())
    async with contextlib.AsyncExitStack() as stack:
        for instance in (fleet.instance, fleet.peer):
            apply_configuration(instance, 5, make_config_spec(), "store")
        for number in range(2 * REPLICAS_PER_SERVICE):
            service = SERVICES[number % 2]
            server = await stack.enter_async_context(_open_replica(fleet))
            link = await stack.enter_async_context(open_link(Address(HOST, server)))
            fleet.links.append((service, link))
            models = [{"name": "m1", "version": 1}] if service == "models" else []
            for instance, address in (
                (fleet.instance, link.address),
                (fleet.peer, link.target),
            ):
                entry = make_entry_spec(
                    service=service, models=models, address=str(address)
                )
                apply_upstream(instance, f"{service}-{number}", entry, 1.0)
        fleet.address = await stack.enter_async_context(_open_front(fleet.instance))
        fleet.peer_address = await stack.enter_async_context(_open_front(fleet.peer))
        tasks = [
            await curio.spawn(_keep_peer, fleet, daemon=True),
            await curio.spawn(probe_while_cut_off, fleet.instance, daemon=True),
            await curio.spawn(_keep_house, fleet.instance, daemon=True),
            *[
                await curio.spawn(run_ticks, instance.call_queue, daemon=True)
                for instance in (fleet.instance, fleet.peer)
            ],
        ]
        try:
            yield fleet
        finally:
            for task in [*fleet.callers, *tasks]:
                await task.cancel()


async def call_at_intervals(
    fleet: CutOffFleet, kinds: Iterable[str], gap_s: float, for_s: float
) -> None:
    """Send each kind of call to both instances, one each `gap_s`, for `for_s`."""
    ends_at = time.monotonic() + for_s
    while time.monotonic() < ends_at:
        for kind in kinds:
            for at_cut_off in (True, False):
                call = _call(fleet, kind, at_cut_off)
                fleet.callers.append(await curio.spawn(call, daemon=True))
        await curio.sleep(gap_s)


async def join_callers(fleet: CutOffFleet) -> None:
    """Wait until all calls have ended."""
    for task in fleet.callers:
        await task.join()
    fleet.callers.clear()


async def _call(fleet: CutOffFleet, kind: str, at_cut_off: bool) -> None:
    id = f"c{len(fleet.outcomes)}"
    outcome = Outcome(kind, time.monotonic(), at_cut_off, id)
    fleet.outcomes.append(outcome)
    target, headers = TARGET_BY_KIND[kind]
    fields = {"x-request-id": id, "x-credential": "key-1", "content-length": "2"}
    pairs = tuple((k.encode(), v.encode()) for k, v in (fields | headers).items())
    address = fleet.address if at_cut_off else fleet.peer_address
    assert address is not None
    request = Request(b"POST", target, pairs, b"{}")
    pool = Pool()
    try:
        head, _ = await fetch(pool, address, request, CALL_TIMEOUT_S)
        outcome.status = head.status
    except (UpstreamUnreachable, UpstreamExchangeError):
        pass
    finally:
        await close_pool(pool)
    outcome.duration_s = time.monotonic() - outcome.began_at


@contextlib.asynccontextmanager
async def _open_front(instance: Instance) -> AsyncIterator[Address]:
    async def handle(request: Request, connection: Connection) -> None:
        await handle_call(instance, request, connection)

    async with open_server(HOST, 0, handle, cancels_on_disconnect=True) as server:
        yield Address(HOST, server.port)


@contextlib.asynccontextmanager
async def _open_replica(fleet: CutOffFleet) -> AsyncIterator[int]:
    async def handle(request: Request, connection: Connection) -> None:
        fields = dict(request.headers)
        id = fields.get(b"x-request-id", b"")
        headers = ((b"x-request-id", id), (b"x-response-signature", b"s"))
        if request.method == b"GET":
            models = [{"name": "m1", "version": 1}]
            body = json.dumps({"models": models, "born": 1000}).encode()
            await connection.respond(200, headers, body)
            return
        name = id.decode()
        fleet.runs_by_id[name] = fleet.runs_by_id.get(name, 0) + 1
        if b"x-model" not in fields:
            await curio.sleep(PLAIN_S)
            await connection.respond(200, headers, b"ok")
            return
        await connection.start_response(200, headers)
        for number in range(int(fields.get(b"last-event-id", b"0")) + 1, EVENTS + 1):
            await connection.send_body(b"id: %d\ndata: x\n\n" % number)
            await curio.sleep(EVENT_GAP_S)
        await connection.finish_response()

    async with open_server(HOST, 0, handle, cancels_on_disconnect=True) as server:
        yield server.port


async def _keep_peer(fleet: CutOffFleet) -> None:
    """Let the first instance hear from its peer, as by gossip."""
    assert fleet.peer_address is not None
    while True:
        address = fleet.peer_address
        peer = get_or_add_peer(fleet.instance, "n2", "z1", HOST, address.port)
        assert peer is not None
        peer.incarnation, peer.heard_at = 1, time.monotonic()
        peer.callers_port, peer.link = address.port, RecordingLink()  # type: ignore
        await curio.sleep(HOUSEKEEPING_S)


async def _keep_house(instance: Instance) -> None:
    while True:
        await curio.sleep(HOUSEKEEPING_S)
        await probe_suspects(instance)

"""Stand in for the replicas of a service, as far as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .http import Request, encode_chunk, encode_head, encode_response, read_request
from .store import Store

HEARTBEAT_S = 1.2
MODEL = "m0"
KEEP_ALIVE_S = 30

Record = Callable[..., None]


@dataclass
class Replica:
    """Hold one replica: its entry, its load and how it answers; times in seconds."""

    store: Store
    record: Record
    id: str
    service: str
    zone: str
    port: int
    slots: int
    queue: int
    work_s: float = 0.02
    events: int = 12
    event_s: float = 0.03
    version: str = "v1"
    is_engine: bool = False
    born: int = 0
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    orders: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    free: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self, first_beat_s: float = 0.0) -> None:
        """Begin a life: listen, and report to the store at each heartbeat.

        The first report is sent after `first_beat_s`.
        """
        self.born = time.time_ns() // 1_000_000
        self.running = self.waiting = self.orders = 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self._spawn(self._beat(first_beat_s))

    def crash(self) -> None:
        """End this life at once: connections are reset, nothing is reported."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.tasks.clear()
        self.writers.clear()

    @property
    def is_up(self) -> bool:
        """Report whether the replica accepts connections."""
        return self.server is not None

    def write_entry(self) -> None:
        """Write the replica's entry, as at each heartbeat."""
        self.sequence += 1
        models = [{"name": MODEL, "version": 1, "adapters": []}]
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.is_engine:
            entry |= {"stage": "hybrid", "models": models}
        self.store.put("servers", self.id, entry)

    async def _beat(self, first_beat_s: float) -> None:
        await asyncio.sleep(first_beat_s)
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _spawn(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def signals(self) -> dict[str, str]:
        """Return the headers that all answers of this replica carry."""
        return {}

    def _headers(self, request: Request) -> dict[str, str]:
        headers = {
            "X-Request-Id": request.headers.get("x-request-id", ""),
            "X-Server-Load": f"{self.running},{self.waiting},{self.slots}",
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
        }
        return headers | self.signals()

    def sign(self, request: Request) -> str:
        """Return the signature of an answer to a request."""
        text = f"{self.id}/{request.headers.get('x-request-id')}"
        return hashlib.sha256(text.encode()).hexdigest()[:16]

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        if not self.is_engine and request.path != "/health":
            # A plain service knows none of the engines' paths.
            await self._handle_call(request, writer)
        elif request.path == "/-/report":
            body = json.dumps(self._make_report()).encode()
            writer.write(encode_response(200, self._headers(request), body))
        elif request.path == "/health":
            headers = self._headers(request) | {"X-Instance-Id": self.id}
            writer.write(encode_response(200, headers))
        elif request.path == "/-/order":
            writer.write(encode_response(200, self._headers(request)))
        elif request.path == "/-/kv-events":
            await asyncio.sleep(0.5)
            events = {"boot_epoch": 1, "next": 0, "lost": False, "events": []}
            body = json.dumps(events).encode()
            writer.write(encode_response(200, self._headers(request), body))
        else:
            await self._handle_call(request, writer)
        await writer.drain()

    def _make_report(self) -> dict:
        return {
            "stage": "hybrid",
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.orders,
            "waiting": self.waiting,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 200000,
            "handles": 0,
            "born": self.born,
        }

    async def _handle_call(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expect-instance", self.id)
        if expected != self.id or request.headers.get("x-expect-version", "1") != "1":
            headers = self._headers(request) | {"X-Not-Executed": "1"}
            writer.write(encode_response(421, headers))
            return
        if not await self._take_slot():
            self.record("turned_away", id=id, replica=self.id)
            headers = self._headers(request) | {"X-Not-Executed": "1"}
            writer.write(encode_response(503, headers))
            await self.turned_away()
            return
        try:
            self.record(
                "run",
                id=id,
                replica=self.id,
                version=self.version,
                method=request.method,
                target=request.target,
            )
            if self.is_engine:
                await self.send_stream(request, writer)
            else:
                await self.send_body(request, writer)
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()

    def room(self) -> int:
        """Return how many requests may wait now."""
        return self.queue

    async def turned_away(self) -> None:
        """Do something after a request was turned away for want of room."""

    async def _take_slot(self) -> bool:
        if self.running < self.slots and not self.waiting:
            self.running += 1
            return True
        if self.waiting >= self.room():
            return False
        self.waiting += 1
        try:
            async with self.free:
                await self.free.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        return True

    async def send_body(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Work, then send a whole answer."""
        await asyncio.sleep(self.work_s)
        headers = self._headers(request) | {"X-Response-Signature": self.sign(request)}
        body = (self.sign(request) * 50).encode()
        writer.write(encode_response(200, headers, body))
        await writer.drain()

    async def send_stream(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Send the events after the client's `Last-Event-Id`."""
        await asyncio.sleep(self.work_s)
        writer.write(encode_head(200, self.stream_headers(request)))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            writer.write(encode_chunk(self.make_event(number)))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def stream_headers(self, request: Request) -> dict[str, str]:
        """Return the headers of a stream."""
        return self._headers(request) | {
            "X-Response-Signature": self.sign(request),
            "X-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }

    def make_event(self, number: int) -> bytes:
        """Return one event; its text names the software that wrote it."""
        text = f"{self.version}/{self.id}/{self.born}"
        return f"id: {number}\ndata: {text}\n\n".encode()


async def stop_replicas(replicas: list[Replica]) -> None:
    """End all replicas."""
    for replica in replicas:
        with contextlib.suppress(OSError):
            replica.crash()

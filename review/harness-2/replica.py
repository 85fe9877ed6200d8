"""Stand in for replicas of the users: a language model or a plain service."""

from __future__ import annotations

import asyncio
import hashlib
import json
import math
import os
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from http1 import Message, encode, read_message
from store import Store

HEARTBEAT_S = 1.2
EVENT_INTERVAL_S = 0.02
START = time.monotonic()


def now_s() -> float:
    """Return the seconds since the case began."""
    return round(time.monotonic() - START, 3)


@dataclass
class Behaviour:
    """Hold what a replica does beside serving.

    `crashes` tells whether it ends as it begins to write an answer to a request, of
    whose head `head_share` has left then.  `headers` are added to each answer.  It starts
    again `down_s` after its end and writes its entry `beat_after_s` later.  With
    `is_unframed` answers have no length and end with their connection.  From
    `rests_from` on, of the case's clock, it turns away all requests until `rests_until`.
    """

    crashes: Callable[[Message], bool] = lambda request: False
    head_share: float = 0.5
    headers: dict[str, str] = field(default_factory=dict)
    down_s: float = 2.0
    beat_after_s: float = 0.0
    run_s: float = 0.05
    events: int = 8
    event_s: float = EVENT_INTERVAL_S
    is_unframed: bool = False
    rests_from: float = math.inf
    rests_until: float = math.inf


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that a cut answer without a length is not taken for whole."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Replica:
    """Serve requests, register in the store, crash and start again."""

    def __init__(
        self,
        id: str,
        service: str,
        store: Store,
        record: Callable[..., None],
        behaviour: Behaviour,
        zone: str = "z1",
        model: str | None = "m1",
        slots: int = 32,
        version: str = "v1",
    ) -> None:
        # Unlike those of another case that runs beside this one.
        self.id = f"{id}{os.getpid() % 65536:04x}"
        self.service, self.store, self.record = service, store, record
        self.placeholder: socket.socket | None = None
        self.behaviour, self.zone, self.model = behaviour, zone, model
        self.slots, self.version = slots, version
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.born = 0
        self.sequence = 0
        self.running = 0
        self.is_up = False
        self.crashed_at: list[float] = []
        # Names the machine at the other end of a connection, and tells if it is cut off.
        self.find_owner: Callable[[int, int], str] = lambda port, peer_port: ""
        self.is_cut: Callable[[str], bool] = lambda owner: False
        self.is_hanging = False
        self.owners: dict[asyncio.StreamWriter, str] = {}

    async def start(self) -> None:
        """Begin a life at the same address; register at once."""
        self.born = max(self.born + 1, time.time_ns() // 1_000_000)
        self.sequence = 0
        if self.placeholder is not None:
            self.placeholder.close()
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        self._spawn(self._beat())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self) -> None:
        """End at once; start again under the same ID after `down_s`."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashed_at.append(now_s())
        self.record("replica crashes", replica=self.id)
        self.server.close()
        self._keep_port()
        for writer in list(self.writers):
            reset(writer)
        self.running = 0
        asyncio.ensure_future(self._return())

    def _keep_port(self) -> None:
        """Keep the port from other processes; connections to it are refused."""
        self.placeholder = socket.socket()
        self.placeholder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.placeholder.bind(("127.0.0.1", self.port))

    async def _return(self) -> None:
        await asyncio.sleep(self.behaviour.down_s)
        await self.start()
        self.record("replica is back", replica=self.id)

    def make_entry(self) -> dict[str, Any]:
        """Return the discovery entry."""
        models = []
        if self.model:
            models = [{"name": self.model, "version": 1, "adapters": []}]
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": "hybrid" if self.model else "",
            "models": models,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def _beat(self) -> None:
        born = self.born
        if self.crashed_at:
            await asyncio.sleep(self.behaviour.beat_after_s)
        while self.is_up and self.born == born:
            if not self.store.is_away:
                self.sequence += 1
                await self.store.write("servers", self.id, self.make_entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_up:
            writer.transport.abort()
            return
        owner = self.find_owner(self.port, writer.get_extra_info("peername")[1])
        while self.is_hanging and self.is_cut(owner):
            await asyncio.sleep(0.05)
        if self.is_cut(owner):
            writer.transport.abort()
            return
        self.writers.add(writer)
        self.owners[writer] = owner
        try:
            while (request := await read_message(reader)) is not None:
                if not request.is_whole or not await self._answer(request, writer):
                    return
                if writer.is_closing():
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.owners.pop(writer, None)
            writer.close()

    def cut(self, owner: str) -> None:
        """Reset the open connections of a machine."""
        for writer, name in list(self.owners.items()):
            if name == owner:
                writer.transport.abort()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        path = request.target.partition("?")[0]
        if self.behaviour.rests_from <= now_s() < self.behaviour.rests_until:
            left_s = self.behaviour.rests_until - now_s()
            self.record(
                "replica turns away",
                replica=self.id,
                request=request.find("x-request-id"),
                path=path,
                retry_after_s=round(left_s, 3),
            )
            fields = {"X-Not-Executed": "1", "Retry-After": f"{left_s:.3f}"}
            self._write(writer, 503, fields, b"", request)
            return True
        if path.startswith("/-/") or path == "/health":
            return await self._answer_platform(path, request, writer)
        self.record(
            "request reaches replica",
            replica=self.id,
            machine=self.owners.get(writer, ""),
            request=request.find("x-request-id"),
            parts=request.find("x-prompt-prefix"),
            last_event=request.find("last-event-id"),
        )
        expected = request.find("x-expect-instance")
        if expected not in (None, self.id):
            self._write(writer, 421, {"X-Instance-Id": self.id}, b"")
            return True
        if self.running >= self.slots:
            self._write(writer, 503, {"X-Not-Executed": "1"}, b"", request)
            return True
        self.running += 1
        try:
            return await self._run(request, writer)
        finally:
            self.running = max(0, self.running - 1)

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(self.behaviour.run_s)
        if not self.is_up:
            return False
        if self.behaviour.crashes(request):
            id = request.find("x-request-id") or ""
            self.record("replica begins an answer", replica=self.id, request=id)
            head = self._make_stream_head(request)
            writer.write(head[: round(len(head) * self.behaviour.head_share)])
            await asyncio.sleep(0.005)
            self.crash()
            return False
        if request.find("x-model") is None:
            body = hashlib.sha256((request.find("x-request-id") or "").encode())
            self._write(writer, 200, {}, body.hexdigest().encode(), request)
            return True
        await self._stream(request, writer)
        return True

    def _fields(self, request: Message | None) -> dict[str, str]:
        fields = {
            "X-Instance-Id": self.id,
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }
        if request is not None and request.find("x-request-id"):
            id = request.find("x-request-id") or ""
            fields["X-Request-Id"] = id
            fields["X-Response-Signature"] = f"sig.{id}"
            if self.model:
                fields["X-Weight-Versions"] = "1"
        return fields | self.behaviour.headers

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        fields: dict[str, str],
        body: bytes,
        request: Message | None = None,
    ) -> None:
        fields = self._fields(request) | fields
        data = encode(f"HTTP/1.1 {status} Answer", fields, body)
        if self.behaviour.is_unframed:
            data = data.replace(f"Content-Length: {len(body)}\r\n".encode(), b"", 1)
        writer.write(data)
        if self.behaviour.is_unframed:
            writer.close()

    def _make_stream_head(self, request: Message) -> bytes:
        fields = self._fields(request) | {
            "Content-Type": "text/event-stream",
        }
        if not self.behaviour.is_unframed:
            fields["Transfer-Encoding"] = "chunked"
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return f"HTTP/1.1 200 OK\r\n{head}\r\n".encode()

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(self._make_stream_head(request))
        first = int(request.find("last-event-id") or 0) + 1
        for number in range(first, self.behaviour.events + 1):
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            if self.behaviour.is_unframed:
                writer.write(event)
            else:
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.behaviour.event_s)
        if self.behaviour.is_unframed:
            writer.close()
        else:
            writer.write(b"0\r\n\r\n")

    async def _answer_platform(
        self, path: str, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer what the platform's own paths serve."""
        id = request.find("x-request-id")
        self.record("platform's path", replica=self.id, path=path, request=id)
        expected = request.find("x-expect-instance")
        if expected not in (None, self.id):
            self._write(writer, 421, {}, b"")
            return True
        if path == "/-/report":
            models = [{"name": self.model, "version": 1, "adapters": []}]
            report = {
                "stage": "hybrid",
                "models": models if self.model else [],
                "busy": False,
                "sequence": 0,
                "waiting": 0,
                "running": self.running,
                "kv_used": 0,
                "kv_total": 200000,
                "handles": 0,
                "born": self.born,
            }
            body = json.dumps(report).encode()
            self._write(writer, 200, {"Content-Type": "application/json"}, body)
        elif path == "/-/kv-events":
            await asyncio.sleep(0.5)
            found = {"boot_epoch": self.born, "next": 0, "lost": False, "events": []}
            body = json.dumps(found).encode()
            self._write(writer, 200, {"Content-Type": "application/json"}, body)
        elif path == "/health":
            self._write(writer, 200, {}, b"")
        else:
            self._write(writer, 400, {}, b"")
        return True

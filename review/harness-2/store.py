"""Stand in for the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from http1 import Message, encode, read_message

LATENCY_S = 0.004
LISTS = "/-/objects/"


class Store:
    """Hold the objects, their history and whether the store is away."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.is_away = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.calls = 0

    async def start(self) -> None:
        """Serve on a free port of the loopback address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def go_away(self) -> None:
        """Reset all connections, and those that come, until `come_back`."""
        self.is_away = True
        for writer in list(self.writers):
            writer.transport.abort()

    def come_back(self) -> None:
        """Answer again."""
        self.is_away = False

    async def write(
        self, kind: str, name: str, spec: Any, key: str = "spec"
    ) -> dict[str, Any]:
        """Create or replace an object and return it."""
        old = self.objects.get((kind, name))
        if old is not None and old[key] == spec:
            return old
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_rev": old["metadata"]["create_rev"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        row = {
            "metadata": metadata,
            "spec": old["spec"] if old else None,
            "status": old["status"] if old else None,
        }
        row[key] = spec
        self.objects[kind, name] = row
        await self._record(kind, row, False)
        return row

    async def remove(self, kind: str, name: str) -> dict[str, Any] | None:
        """Remove an object and return it, None if there is none."""
        row = self.objects.pop((kind, name), None)
        if row is not None:
            self.revision += 1
            await self._record(kind, row, True)
        return row

    async def _record(self, kind: str, row: dict[str, Any], is_deleted: bool) -> None:
        self.history.append((self.revision, kind, row, is_deleted))
        async with self.changed:
            self.changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(LATENCY_S)
                status, value = await self._answer(request)
                if self.is_away:
                    return
                self.calls += 1
                fields = {"Content-Type": "application/json", "Store-Era": "1"}
                line = f"HTTP/1.1 {status} Answer"
                writer.write(encode(line, fields, json.dumps(value).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        parts = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if not parts.path.startswith(LISTS):
            return 404, {}
        kind, _, rest = parts.path.removeprefix(LISTS).partition("/")
        is_status = rest.endswith("/status")
        name = unquote(rest.removesuffix("/status"))
        if request.method == "GET":
            return await self._read(kind, name, query)
        if request.method == "DELETE":
            return await self._delete(kind, name, query)
        fields = json.loads(request.body)
        name = name or fields["metadata"]["name"]
        found = self.objects.get((kind, name))
        if request.method == "POST":
            if found is not None:
                return 409, found
            return 200, await self.write(kind, name, fields.get("spec"))
        if found is None:
            return 404, {}
        expected = fields.get("metadata", {}).get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            return 409, found
        key = "status" if is_status else "spec"
        return 200, await self.write(kind, name, fields.get(key), key)

    async def _delete(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        expected = query.get("revision")
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        return 200, await self.remove(kind, name)

    async def _read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        if name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if "watch" in query:
            return 200, await self._watch(kind, query)
        after = query.get("after", "")
        rows = [
            row
            for (of, row_name), row in sorted(self.objects.items())
            if of == kind and row_name > after
        ]
        page = {"items": rows, "has_more": False, "store_revision": self.revision}
        return 200, page

    async def _watch(self, kind: str, query: dict[str, str]) -> Any:
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1e3
        while True:
            events = [
                {"object": row, "deleted": is_deleted}
                for revision, of, row, is_deleted in self.history
                if revision > since and of == kind
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0 or self.is_away:
                return {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(min(left_s, 1.0)), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass

"""Stand in for the platform's metadata store, as far as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from .http import Request, encode_response, read_request

LATENCY_S = 0.004
PREFIX = "/-/objects/"
# Stands in an object for a JSON number that Python's float does not hold.
HUGE_NUMBER = "@1e999@"
HUGE_NUMBER_MARK = json.dumps(HUGE_NUMBER).encode()

View = Callable[[str, dict], dict]


class Store:
    """Hold the objects by kind and name, one revision counter and the changes."""

    def __init__(self) -> None:
        self.revision = 10
        self.rows: dict[str, dict[str, dict]] = {}
        self.changes: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []
        self.silent_until = 0.0

    async def open_port(self, port: int, view: View | None = None) -> None:
        """Serve at a port; `view` changes the objects that its callers see."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while (request := await read_request(reader)) is not None:
                    await asyncio.sleep(LATENCY_S)
                    await self._wait_while_silent()
                    status, value = await self._handle(request, view)
                    await self._wait_while_silent()
                    body = json.dumps(value).encode()
                    body = body.replace(HUGE_NUMBER_MARK, b"1e999")
                    headers = {"Content-Type": "application/json"}
                    writer.write(encode_response(status, headers, body))
                    await writer.drain()
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        self.servers.append(await asyncio.start_server(serve, "127.0.0.1", port))

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; return its revision."""
        rows = self.rows.setdefault(kind, {})
        known = rows.get(name)
        if known is not None and known["spec"] == spec:
            return known["metadata"]["revision"]
        self.revision += 1
        created = known["metadata"]["create_rev"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        rows[name] = {"metadata": metadata, "spec": spec, "status": None}
        self._record(kind, rows[name], False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        row = self.rows.get(kind, {}).pop(name, None)
        if row is not None:
            self.revision += 1
            metadata = row["metadata"] | {"revision": self.revision}
            self._record(kind, row | {"metadata": metadata}, True)

    async def _wait_while_silent(self) -> None:
        """Answer nothing while the store is away; calls are not lost, only late."""
        loop = asyncio.get_running_loop()
        while (left_s := self.silent_until - loop.time()) > 0:
            await asyncio.sleep(left_s)

    def _record(self, kind: str, row: dict, is_deleted: bool) -> None:
        self.changes.append((self.revision, kind, row, is_deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, request: Request, view: View | None) -> tuple[int, Any]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        name = unquote(name.removesuffix("/status"))
        rows = self.rows.setdefault(kind, {})

        def show(row: dict) -> dict:
            return view(kind, row) if view is not None else row

        if request.method == "GET" and "watch" in query:
            since = int(query["watch"])
            return 200, await self._watch(kind, since, float(query["wait_ms"]), show)
        if request.method == "GET" and not name:
            items = [show(rows[key]) for key in sorted(rows)]
            page = {"items": items, "has_more": False}
            return 200, page | {"store_revision": self.revision}
        known = rows.get(name)
        if request.method == "GET":
            return (404, {}) if known is None else (200, show(known))
        return self._write(request, kind, name, query)

    def _write(
        self, request: Request, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        rows = self.rows[kind]
        fields = json.loads(request.body) if request.body else {}
        metadata = fields.get("metadata", {})
        if request.method == "POST":
            if metadata["name"] in rows:
                return 409, rows[metadata["name"]]
            self.put(kind, metadata["name"], fields.get("spec"))
            return 200, rows[metadata["name"]]
        known = rows.get(name)
        if known is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, known
        self.put(kind, name, fields.get("spec"))
        return 200, rows[name]

    async def _watch(
        self, kind: str, since: int, wait_ms: float, show: Callable[[dict], dict]
    ) -> dict:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_ms / 1e3
        while True:
            changed = self.changed
            events = [
                {"object": show(row), "deleted": is_deleted}
                for revision, of, row, is_deleted in self.changes
                if of == kind and revision > since
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

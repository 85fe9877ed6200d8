"""Run a replica of a plain service, which takes any path for a request of its own."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from catkintrack.http import Address

HOST = "127.0.0.1"


@dataclass(slots=True)
class PlainReplica:
    """Hold a replica's ID and address, and the targets that it ran and rejected."""

    id: str
    address: Address
    run_targets: list[str] = field(default_factory=list)
    rejected_targets: list[str] = field(default_factory=list)


@contextlib.contextmanager
def open_plain_replica(id: str, port: int = 0) -> Iterator[PlainReplica]:
    """Yield a replica that listens until the end of the context."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:
            is_run = self.headers.get("X-Expect-Instance", id) == id
            targets = replica.run_targets if is_run else replica.rejected_targets
            targets.append(self.path)
            self.send_response(200 if is_run else 421)
            self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
            self.send_header("X-Instance-Id", id)
            if not is_run:
                self.send_header("X-Not-Executed", "1")
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *_arguments: object) -> None:
            """Write no access log."""

    server = ThreadingHTTPServer((HOST, port), Handler)
    replica = PlainReplica(id, Address(HOST, server.server_address[1]))
    thread = threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True)
    thread.start()
    try:
        yield replica
    finally:
        server.shutdown()
        server.server_close()

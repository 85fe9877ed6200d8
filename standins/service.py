"""Simulate a plain service that counts the runs of each call.

`POST /faults` injects faults; `GET /counts` returns the counters.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import curio
import fire
import msgspec

from catkintrack.http import Connection, Request, find_header

from .answers import drop_connection, read_json, respond_json, serve_until_stopped


@dataclass(slots=True)
class Faults:
    """Hold the injected faults; a count is the number of calls still affected."""

    delay_s: float = 0.0
    drop_before_run: int = 0
    drop_after_run: int = 0
    stray_answers: int = 0


@dataclass(slots=True)
class Service:
    """Hold the runs by call, and the headers and leaked keys seen."""

    name: str
    faults: Faults = field(default_factory=Faults)
    runs_by_call: Counter = field(default_factory=Counter)
    leaked_keys: int = 0
    last_headers: dict[str, str] = field(default_factory=dict)


def count_leaked_keys(request: Request) -> int:
    """Count the headers that contain an API key, plus 1 if the target does."""
    return sum(b"ck_" in value for _, value in request.headers) + (
        b"ck_" in request.target
    )


async def handle(service: Service, request: Request, connection: Connection) -> None:
    """Route one request."""
    if request.path == "/faults":
        service.faults = msgspec.convert(
            msgspec.to_builtins(service.faults) | read_json(request), Faults
        )
        await respond_json(connection, 200, {})
        return
    if request.path == "/counts":
        row = {
            "runs": dict(service.runs_by_call),
            "leaked_keys": service.leaked_keys,
            "last_headers": service.last_headers,
        }
        await respond_json(connection, 200, row)
        return
    await run_call(service, request, connection)


async def run_call(service: Service, request: Request, connection: Connection) -> None:
    """Run one call once and count it by method, path and body."""
    service.leaked_keys += count_leaked_keys(request)
    service.last_headers = {
        key.decode(): value.decode("latin-1") for key, value in request.headers
    }
    faults = service.faults
    if faults.drop_before_run > 0:
        faults.drop_before_run -= 1
        await drop_connection(connection)
    call = f"{request.method.decode()} {request.path} {request.body.decode()}"
    service.runs_by_call[call] += 1
    await curio.sleep(faults.delay_s)
    if faults.drop_after_run > 0:
        faults.drop_after_run -= 1
        await drop_connection(connection)
    echo = {
        "service": service.name,
        "call": call,
        "run": service.runs_by_call[call],
        "request_id": (find_header(request.headers, b"x-request-id") or b"").decode(),
    }
    await respond_json(connection, 200, echo)
    if faults.stray_answers > 0:
        # An unsolicited response, as a late or misrouted one would be.
        faults.stray_answers -= 1
        await connection.sock.sendall(
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray"
        )


def main(host: str = "127.0.0.1", port: int = 8060, name: str = "service") -> None:
    """Serve a plain service."""
    service = Service(name)

    async def handler(request: Request, connection: Connection) -> None:
        await handle(service, request, connection)

    serve_until_stopped(host, port, handler)


if __name__ == "__main__":
    fire.Fire(main)

"""Serve calls by a router's code whose upstreams play scripts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

import curio

from catkintrack.claims import ClaimVerdict
from catkintrack.decisions import ModelRequest
from catkintrack.decisions.services import ServiceTables
from catkintrack.http import Address, Connection, Pool, Request
from catkintrack.router import calls, model_calls, service_calls
from catkintrack.router.model_calls import ModelCall

from .scripted_replicas import Received, ScriptedReplicas, receive_response

TIMEOUT_S = 5.0

Serve = Callable[[Request, Connection], Awaitable[None]]


@dataclass
class ClaimRecorder:
    """Grant each claim, and record the ends that were reported of claimed calls."""

    ends: list[tuple[bool, bytes]] = field(default_factory=list)

    async def request(self, *_arguments: Any) -> tuple[ClaimVerdict, bytes]:
        """Grant a claim."""
        return ClaimVerdict.RUN, b""

    async def record_end(
        self, _router: Any, _name: str, _owner: str, has_run: bool, response: bytes
    ) -> None:
        """Record the end of a claimed call."""
        self.ends.append((has_run, response))


def receive_model_answer(
    replicas: ScriptedReplicas, version: bytes = b"1.1", is_stream: bool = True
) -> Received:
    """Return what the caller of a model receives; every choice finds the next engine."""
    upstream = SimpleNamespace(name="e1", address=Address("127.0.0.1", 1))
    limits = SimpleNamespace(read_timeout_s=TIMEOUT_S, head_timeout_s=TIMEOUT_S)
    route = SimpleNamespace(name="chat", timeout_s=TIMEOUT_S)
    router = SimpleNamespace(
        settings=SimpleNamespace(router=SimpleNamespace(upstreams=limits)),
        tables=_make_tables(route, {"e1": upstream}),
        metrics=mock.MagicMock(),
        **dict.fromkeys(("pool", "call_queue", "decisions")),
    )
    body = SimpleNamespace(
        wants_usage=False, max_tokens=32, is_stream=is_stream, prompt_tokens=5
    )
    request = ModelRequest("r1", "w1", "m1", (), 5, 32, 5, 0.0, 0.0)
    call = ModelCall("r1", route, None, body, request, "/v1")

    async def serve(_request: Request, connection: Connection) -> None:
        if is_stream:
            await model_calls._run_stream(router, call, connection)
        else:
            await model_calls._try_upstreams(router, call, connection)

    patches = {
        "wait_for_decision": _choose_next,
        "run_tick": _ignore,
        "record_failure": mock.Mock(),
        "record_answer": mock.Mock(),
        "record_end": mock.Mock(),
        "_record_first_token": _ignore,
        "_make_request": _make_engine_request,
        "open_exchange": replicas.open_exchange,
    }
    with mock.patch.multiple(model_calls, **patches):
        request_bytes = b"POST /v1 HTTP/%s\r\nhost: x\r\n\r\n" % version
        return _receive(router, serve, request_bytes)


def receive_service_answer(
    replicas: ScriptedReplicas,
    method: bytes = b"POST",
    version: bytes = b"1.1",
    claims: ClaimRecorder | None = None,
) -> Received:
    """Return what the caller of a service with three replicas receives.

    The call has an idempotency key if `claims` are given.
    """
    route = SimpleNamespace(
        name="app", service="app", timeout_s=TIMEOUT_S, is_repeatable=False
    )
    route.is_open = True
    upstream_by_name = {
        name: SimpleNamespace(
            name=name,
            service="app",
            instance="",
            is_leaving=False,
            address=Address("127.0.0.1", number),
        )
        for number, name in enumerate(("a0", "a1", "a2"), 1)
    }
    router = SimpleNamespace(
        tables=_make_tables(route, upstream_by_name),
        metrics=mock.MagicMock(),
        services=ServiceTables(),
        leaving_instances=(),
        rng=Random(1),
        pool=Pool(),
    )
    key = b"idempotency-key: k1\r\n" if claims else b""
    claims = claims or ClaimRecorder()
    request_bytes = b"%s /app HTTP/%s\r\nhost: x\r\n%s\r\n" % (method, version, key)

    async def serve(request: Request, connection: Connection) -> None:
        await service_calls.serve_service_call(
            router, "r1", request, route, None, connection
        )

    patches = {
        "open_exchange": replicas.open_exchange,
        "request_claim": claims.request,
        "send_claim_outcome": claims.record_end,
    }
    with mock.patch.multiple(service_calls, **patches):
        return _receive(router, serve, request_bytes)


def _receive(router: Any, serve: Serve, request: bytes) -> Received:
    """Return what a caller receives whose request is served by `serve`."""

    async def serve_request(
        _router: Any, _id: str, request: Request, _route: Any, connection: Connection
    ) -> None:
        await serve(request, connection)

    async def handle(request: Request, connection: Connection) -> None:
        await calls.handle_call(router, request, connection)

    with mock.patch.object(calls, "_authenticate_and_serve", serve_request):
        return curio.run(receive_response, handle, request)


def _make_tables(route: Any, upstream_by_name: dict[str, Any]) -> SimpleNamespace:
    return SimpleNamespace(
        upstream_by_name=upstream_by_name, find_route=lambda path: route
    )


async def _choose_next(*_arguments: Any) -> SimpleNamespace:
    return SimpleNamespace(
        upstream="e1", uncached_tokens=0, best_cached_tokens=0, fetch_from=None
    )


async def _ignore(*_arguments: Any) -> None:
    pass


def _make_engine_request(call: ModelCall, host: str) -> Request:
    """Ask for the tokens that the caller lacks, by their number from 1."""
    last = b"%d" % call.progress.next_index
    return Request(b"GET", b"/", ((b"host", host.encode()), (b"last-event-id", last)))

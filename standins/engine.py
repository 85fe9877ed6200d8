"""Simulate a model engine with an OpenAI-style API.

`POST /faults` injects faults; `GET /counts` returns the engine's counters.
"""

from __future__ import annotations

import os
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import curio
import fire
import msgspec

from catkintrack.http import Connection, Request, find_header

from .answers import (
    drop_connection,
    read_json,
    read_query,
    respond_json,
    serve_until_stopped,
)
from .engine_batch import Batch, Sequence, run_batch, submit_sequence
from .engine_cache import PrefixCache
from .service import count_leaked_keys

LOAD_SAMPLE_INTERVAL_S = 0.1
EVENT_POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class Faults:
    """Hold the injected faults.

    The next `fault_streams` responses break or stall after a number of tokens, -1 for
    never; the next `reject_runs` requests are rejected without being run.
    """

    is_down: bool = False
    load_lag_s: float = 0.3
    event_lag_s: float = 0.1
    break_after_tokens: int = -1
    stall_after_tokens: int = -1
    fault_streams: int = 0
    reject_runs: int = 0


@dataclass(slots=True)
class Engine:
    """Hold an engine's batch, its received weights orders and its counters."""

    name: str
    model: str
    weights: str
    checks_fencing: bool
    batch: Batch
    incarnation: str
    faults: Faults = field(default_factory=Faults)
    load_samples: deque = field(default_factory=lambda: deque(maxlen=100))
    highest_fencing: int = 0
    orders: list[dict] = field(default_factory=list)
    runs_by_request: dict[str, int] = field(default_factory=dict)
    streams: set[Connection] = field(default_factory=set)
    leaked_keys: int = 0
    is_loading: bool = False


def make_incarnation() -> str:
    """Return a random id that distinguishes this run of the engine from others."""
    return os.urandom(6).hex()


async def handle(engine: Engine, request: Request, connection: Connection) -> None:
    """Route one request; only `/faults` and `/counts` work while `is_down` is set."""
    path = request.path
    if path == "/faults":
        await set_faults(engine, request, connection)
        return
    if path == "/counts":
        await respond_json(connection, 200, collect_counts(engine))
        return
    if engine.faults.is_down:
        await drop_connection(connection)
    if path == "/load":
        await respond_json(connection, 200, get_delayed_load(engine))
    elif path == "/events":
        await send_cache_events(engine, request, connection)
    elif path == "/orders":
        await handle_order(engine, request, connection)
    elif path in ("/v1/chat/completions", "/v1/completions"):
        await handle_completion(engine, request, connection)
    else:
        await respond_json(connection, 404, {"error": {"message": "no such path"}})


async def set_faults(engine: Engine, request: Request, connection: Connection) -> None:
    """Set faults; `crash` empties the engine, `drop_events` drops the next events."""
    changes = read_json(request)
    if changes.pop("crash", False):
        await crash(engine)
    engine.batch.cache.events_to_drop += changes.pop("drop_events", 0)
    engine.batch.speed = changes.pop("speed", engine.batch.speed)
    engine.faults = msgspec.convert(
        msgspec.to_builtins(engine.faults) | changes, Faults
    )
    await respond_json(connection, 200, {})


async def crash(engine: Engine) -> None:
    """Drop all streams, the cache and its event sequence; change the incarnation."""
    for sequence in (*engine.batch.waiting, *engine.batch.running):
        sequence.is_cancelled = True
        await sequence.has_progress.set()
    cache = PrefixCache(engine.batch.cache.capacity_blocks)
    engine.batch.cache = cache
    engine.incarnation = make_incarnation()
    engine.load_samples.clear()


def collect_counts(engine: Engine) -> dict[str, Any]:
    """Return the engine's counters and current state."""
    batch = engine.batch
    return {
        "incarnation": engine.incarnation,
        "weights": engine.weights,
        "leaked_keys": engine.leaked_keys,
        "runs_by_request": engine.runs_by_request,
        "prompt_tokens": batch.prompt_tokens,
        "hit_tokens": batch.hit_tokens,
        "prefilled_tokens": batch.prefilled_tokens,
        "running": len(batch.running),
        "waiting": len(batch.waiting),
        "orders": engine.orders,
    }


async def sample_load(engine: Engine) -> None:
    """Record the load every `LOAD_SAMPLE_INTERVAL_S` until cancelled."""
    while True:
        batch = engine.batch
        unfinished = [*batch.waiting, *batch.running]
        engine.load_samples.append(
            (
                time.monotonic(),
                {
                    "incarnation": engine.incarnation,
                    "weights": engine.weights,
                    "running": len(batch.running),
                    "waiting": len(batch.waiting),
                    "prefill_tokens": sum(
                        s.prompt_tokens
                        if s.remaining_prefill_tokens < 0
                        else s.remaining_prefill_tokens
                        for s in unfinished
                    ),
                    "cached_blocks": len(batch.cache.blocks),
                    "capacity_blocks": batch.cache.capacity_blocks,
                    "event_sequence": batch.cache.sequence,
                    "is_loading": engine.is_loading,
                },
            )
        )
        await curio.sleep(LOAD_SAMPLE_INTERVAL_S)


def get_delayed_load(engine: Engine) -> dict[str, Any]:
    """Return the latest load sample that is at least `load_lag_s` old."""
    newest_at = time.monotonic() - engine.faults.load_lag_s
    visible = [row for at, row in engine.load_samples if at <= newest_at]
    return visible[-1] if visible else {"incarnation": engine.incarnation}


async def send_cache_events(
    engine: Engine, request: Request, connection: Connection
) -> None:
    """Send the cache events after a sequence number, delayed by `event_lag_s`.

    Waits up to `timeout_s` for the first event.
    """
    query = read_query(request)
    after = int(query.get("after", "0"))
    deadline = time.monotonic() + float(query.get("timeout_s", "1"))
    cache = engine.batch.cache
    while cache.sequence <= after and time.monotonic() < deadline:
        await curio.sleep(EVENT_POLL_INTERVAL_S)
        if engine.batch.cache is not cache:
            break
    await curio.sleep(engine.faults.event_lag_s)
    cache = engine.batch.cache
    rows = [row for row in cache.events if row[0] > after]
    await respond_json(
        connection,
        200,
        {
            "incarnation": engine.incarnation,
            "last_sequence": cache.sequence,
            "events": rows,
        },
    )


async def handle_order(
    engine: Engine, request: Request, connection: Connection
) -> None:
    """Load the ordered weights; 409 for an outdated fencing token, if checked."""
    order = read_json(request)
    if engine.checks_fencing and order["fencing"] < engine.highest_fencing:
        await respond_json(connection, 409, {"highest_fencing": engine.highest_fencing})
        return
    engine.highest_fencing = max(engine.highest_fencing, order["fencing"])
    engine.orders.append(order)
    engine.is_loading = True
    await curio.sleep(order.get("load_s", 0.0))
    engine.weights = order["weights_version"]
    engine.batch.cache.clear()
    engine.is_loading = False
    await respond_json(connection, 200, {"weights": engine.weights})


def read_prompt(body: dict[str, Any]) -> bytes:
    """Return the prompt in the form that is split into cache blocks."""
    if "messages" in body:
        parts = [f"{m['role']}\n{m['content']}\n" for m in body["messages"]]
        return "".join(parts).encode()
    return str(body["prompt"]).encode()


async def handle_completion(
    engine: Engine, request: Request, connection: Connection
) -> None:
    """Run one completion request, streamed or whole."""
    engine.leaked_keys += count_leaked_keys(request)
    expected = (find_header(request.headers, b"x-weights-version") or b"").decode()
    if (expected and expected != engine.weights) or engine.faults.reject_runs > 0:
        engine.faults.reject_runs = max(0, engine.faults.reject_runs - 1)
        await respond_json(connection, 409, {"error": {"message": "not run"}})
        return
    body = read_json(request)
    request_id = (find_header(request.headers, b"x-request-id") or b"").decode()
    engine.runs_by_request[request_id] = engine.runs_by_request.get(request_id, 0) + 1
    salt = (find_header(request.headers, b"x-cache-salt") or b"").decode()
    sequence = await submit_sequence(
        engine.batch,
        request_id,
        int(find_header(request.headers, b"x-priority") or b"5"),
        (salt, engine.model, engine.weights),
        read_prompt(body),
        int(body.get("max_tokens") or 256),
        body.get("continue_text") or "",
    )
    try:
        if body.get("stream"):
            await send_stream(engine, sequence, request, connection)
        else:
            await send_whole_response(engine, sequence, request, connection)
    finally:
        sequence.is_cancelled = True


async def wait_for_tokens(sequence: Sequence) -> list[tuple[int, str]]:
    """Wait for tokens not yet sent; none if the sequence is done or cancelled."""
    while (
        not sequence.unsent_tokens
        and not sequence.is_done
        and not sequence.is_cancelled
    ):
        sequence.has_progress.clear()
        await sequence.has_progress.wait()
    tokens, sequence.unsent_tokens = sequence.unsent_tokens, []
    return tokens


def make_response_headers(
    engine: Engine, sequence: Sequence, content_type: bytes
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a completion response."""
    return (
        (b"content-type", content_type),
        (b"x-engine-incarnation", engine.incarnation.encode()),
        (b"x-cached-tokens", str(sequence.cached_tokens).encode()),
    )


def make_choice(is_chat: bool, text: str, finish: str | None, is_part: bool) -> dict:
    """Return one choice in the format of the chat or the plain completions API."""
    if not is_chat:
        return {"index": 0, "text": text, "finish_reason": finish, "logprobs": None}
    if is_part:
        delta = {"content": text} if text else {}
        return {"index": 0, "delta": delta, "finish_reason": finish}
    message = {"role": "assistant", "content": text}
    return {"index": 0, "message": message, "finish_reason": finish}


def make_response_base(
    engine: Engine, sequence: Sequence, is_chat: bool, part: bool
) -> dict:
    """Return the fields that all chunks of a response share."""
    kind = "chat.completion" if is_chat else "text_completion"
    return {
        "id": f"cmpl-{sequence.request_id}",
        "object": kind + (".chunk" if part and is_chat else ""),
        "created": int(time.time()),
        "model": engine.model,
    }


def make_usage(sequence: Sequence) -> dict:
    """Return the token usage of a request."""
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": sequence.next_token_index,
        "total_tokens": sequence.prompt_tokens + sequence.next_token_index,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }


def consume_stream_fault(engine: Engine) -> tuple[int, int]:
    """Return the token counts at which this stream breaks and stalls; -1 for never."""
    if engine.faults.fault_streams <= 0:
        return -1, -1
    engine.faults.fault_streams -= 1
    return engine.faults.break_after_tokens, engine.faults.stall_after_tokens


async def send_stream(
    engine: Engine, sequence: Sequence, request: Request, connection: Connection
) -> None:
    """Send the response as server-sent events, each token's index as the event id."""
    is_chat = request.path == "/v1/chat/completions"
    base = make_response_base(engine, sequence, is_chat, part=True)
    break_after, stall_after = consume_stream_fault(engine)
    has_head = False
    sent = 0
    while tokens := await wait_for_tokens(sequence):
        if not has_head:
            headers = make_response_headers(engine, sequence, b"text/event-stream")
            await connection.start_response(200, headers)
            has_head = True
        for index, token in tokens:
            if sent == break_after:
                await drop_connection(connection)
            if sent == stall_after:
                await curio.sleep(3600)
            choice = make_choice(is_chat, token, None, is_part=True)
            await send_event(connection, {**base, "choices": [choice]}, index)
            sent += 1
    if not sequence.is_done:
        await drop_connection(connection)
    if not has_head:
        headers = make_response_headers(engine, sequence, b"text/event-stream")
        await connection.start_response(200, headers)
    choice = make_choice(is_chat, "", "stop", is_part=True)
    await send_event(connection, {**base, "choices": [choice]})
    usage = {**base, "choices": [], "usage": make_usage(sequence)}
    await send_event(connection, usage)
    await connection.send_body(b"data: [DONE]\n\n")
    await connection.finish_response()


async def send_event(connection: Connection, value: dict, index: int = -1) -> None:
    """Send one server-sent event; a negative `index` omits the id."""
    prefix = b"" if index < 0 else b"id: %d\n" % index
    data = msgspec.json.encode(value)
    await connection.send_body(b"%sdata: %s\n\n" % (prefix, data))


async def send_whole_response(
    engine: Engine, sequence: Sequence, request: Request, connection: Connection
) -> None:
    """Send the response as one JSON body, after all tokens are generated."""
    is_chat = request.path == "/v1/chat/completions"
    break_after, _ = consume_stream_fault(engine)
    parts = []
    while tokens := await wait_for_tokens(sequence):
        parts += [token for _, token in tokens]
        if 0 <= break_after <= len(parts):
            await drop_connection(connection)
    if not sequence.is_done:
        await drop_connection(connection)
    choice = make_choice(is_chat, "".join(parts), "stop", is_part=False)
    body = make_response_base(engine, sequence, is_chat, part=False)
    body |= {"choices": [choice], "usage": make_usage(sequence)}
    headers = make_response_headers(engine, sequence, b"application/json")
    await connection.respond(200, headers, msgspec.json.encode(body))


def main(
    host: str = "127.0.0.1",
    port: int = 8050,
    name: str = "engine",
    model: str = "m1",
    weights: str = "v1",
    cache_tokens: int = 65536,
    max_running: int = 16,
    checks_fencing: bool = True,
    answer_tokens: int = 0,
) -> None:
    """Serve a model engine; `answer_tokens` fixes the length of every answer."""
    cache = PrefixCache(cache_tokens // 256)
    batch = Batch(max_running, cache, answer_tokens=answer_tokens)
    engine = Engine(
        name, str(model), str(weights), checks_fencing, batch, make_incarnation()
    )

    async def handler(request: Request, connection: Connection) -> None:
        await handle(engine, request, connection)

    serve_until_stopped(host, port, handler, run_batch(batch), sample_load(engine))


if __name__ == "__main__":
    fire.Fire(main)

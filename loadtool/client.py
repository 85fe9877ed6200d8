"""Replay a trace against routers, as through a load balancer, and record outcomes."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import curio
import msgspec

from catkintrack.http import (
    Address,
    HttpError,
    Pool,
    Request,
    UpstreamUnreachable,
    find_header,
    open_exchange,
)
from testkit.caller import build_prompt, make_expected_text

from .workloads import TraceRow

READ_TIMEOUT_S = 90.0
MAX_CONNECT_ATTEMPTS = 20


@dataclass(slots=True)
class Outcome:
    """Hold what the client saw of one request; times in seconds from the start."""

    row: TraceRow
    sent_at: float
    status: int = 0
    first_token_at: float | None = None
    ended_at: float = 0.0
    text: str = ""
    is_whole: bool = False
    code: str = ""
    token_times: list[float] = field(default_factory=list)

    @property
    def first_token_s(self) -> float | None:
        """Return the time to first token."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.sent_at

    @property
    def is_correct(self) -> bool:
        """Report whether the whole response arrived with the expected text."""
        expected = make_expected_text(self.row.messages, self.row.max_tokens)
        return self.is_whole and self.text == expected

    @property
    def prompt_tokens(self) -> int:
        """Return the token count of the prompt."""
        return -(-len(build_prompt(self.row.messages)) // 4)


@dataclass(frozen=True, slots=True)
class Balancer:
    """Hold the ports that requests are spread over, and the connection pool."""

    ports: tuple[int, ...]
    rng: Random
    pool: Pool


async def replay(
    rows: list[TraceRow],
    key_by_workspace: dict[str, str],
    ports: tuple[int, ...],
    seed: int,
    timed_actions: list[tuple[float, Callable[[], None]]],
) -> list[Outcome]:
    """Send `rows` and run the `timed_actions` at their times; return the outcomes."""
    balancer = Balancer(ports, Random(seed), Pool())
    started = time.monotonic()
    outcomes: list[Outcome] = []
    async with curio.TaskGroup() as group:
        for at, action in timed_actions:
            await group.spawn(_run_timed_action, started, at, action)
        for row in rows:
            delay_s = started + row.at - time.monotonic()
            if delay_s > 0:
                await curio.sleep(delay_s)
            outcome = Outcome(row, time.monotonic() - started)
            outcomes.append(outcome)
            key = key_by_workspace[row.workspace]
            await group.spawn(_send, balancer, key, outcome, started)
    return outcomes


async def _run_timed_action(
    started: float, at: float, action: Callable[[], None]
) -> None:
    await curio.sleep(max(0.0, started + at - time.monotonic()))
    await curio.run_in_thread(action)


async def _send(balancer: Balancer, key: str, outcome: Outcome, started: float) -> None:
    row = outcome.row
    fields = {
        "model": "m1",
        "messages": row.messages,
        "max_tokens": row.max_tokens,
        "stream": True,
    }
    body = msgspec.json.encode(fields)
    for _ in range(MAX_CONNECT_ATTEMPTS):
        address = Address("127.0.0.1", balancer.rng.choice(balancer.ports))
        headers = (
            (b"host", str(address).encode()),
            (b"authorization", b"Bearer " + key.encode()),
            (b"content-length", str(len(body)).encode()),
        )
        request = Request(b"POST", b"/v1/chat/completions", headers, body)
        try:
            await _exchange(balancer.pool, address, request, outcome, started)
            break
        except UpstreamUnreachable:
            # The platform's load balancer also retries when an instance refuses.
            await curio.sleep(0.05)
        except HttpError as error:
            outcome.code = outcome.code or f"broken: {error}"
            break
    outcome.ended_at = time.monotonic() - started


async def _exchange(
    pool: Pool, address: Address, request: Request, outcome: Outcome, started: float
) -> None:
    async with open_exchange(pool, address) as exchange:
        await exchange.send(request)
        head = await exchange.read_head(READ_TIMEOUT_S)
        outcome.status = head.status
        if head.status != 200:
            body = await exchange.read_body(READ_TIMEOUT_S)
            outcome.code = msgspec.json.decode(body)["error"]["code"]
            return
        if find_header(head.headers, b"content-type") != b"text/event-stream":
            outcome.code = "not a stream"
            return
        rest = b""
        while (data := await exchange.read_body_part(READ_TIMEOUT_S)) is not None:
            now = time.monotonic() - started
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                _read_event(event, outcome, now)


def _read_event(event: bytes, outcome: Outcome, now: float) -> None:
    # An engine called without a router also sends an id line with the token's index.
    data = event.rpartition(b"\n")[2].removeprefix(b"data: ")
    if data == b"[DONE]":
        outcome.is_whole = True
        return
    value = msgspec.json.decode(data)
    if "error" in value:
        outcome.code = value["error"]["code"]
        return
    for choice in value["choices"]:
        text = choice["delta"].get("content")
        if text:
            outcome.first_token_at = outcome.first_token_at or now
            outcome.token_times.append(now)
            outcome.text += text

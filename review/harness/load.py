"""Send requests as the sites' clients do, and record how they ended."""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Awaitable, Callable

from .fleet import Fleet, Recorder
from .http import Answer, Request

KEY = "key-1"
EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")


def make_headers(host: str, id: str, deadline_s: float) -> dict[str, str]:
    """Return the headers that all requests carry."""
    return {
        "Host": host,
        "X-Request-Id": id,
        "X-Credential": KEY,
        "X-Deadline-Ms": str(round(deadline_s * 1e3)),
    }


def make_prompt_headers(number: int, output_tokens: int = 80) -> dict[str, str]:
    """Return the headers of a prompt: two shared parts and one of its own."""
    subject = number % 40
    parts = f"aa{subject % 3:02x}:800,bb{subject:02x}:410,cc{number:06x}:250"
    return {
        "X-Model": "m0",
        "X-Token-Usage": f"1460,{output_tokens}",
        "X-Prompt-Prefix": parts,
    }


def record_answer(record: Recorder, id: str, kind: str, answer: Answer) -> None:
    """Record how a request ended for its client."""
    record(
        "answered",
        id=id,
        kind=kind,
        node=answer.node,
        status=answer.status,
        is_complete=answer.is_complete,
        error=answer.error,
        seconds=round(answer.ended_at - answer.sent_at, 3),
    )


async def send_at_rate(
    per_s: float,
    until: float,
    send: Callable[[int], Awaitable[None]],
    rng: random.Random,
) -> None:
    """Start `send(number)` at random intervals until a time; wait for all."""
    loop = asyncio.get_running_loop()
    tasks = []
    while loop.time() < until:
        tasks.append(asyncio.create_task(send(len(tasks))))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*tasks)


async def read_stream(
    fleet: Fleet,
    record: Recorder,
    number: int,
    zone: str,
    deadline_s: float,
    rng: random.Random,
) -> list[tuple[int, str]]:
    """Request a stream and take it up once if it breaks; return all its events.

    Each event is its ID and its text, in the order in which the client got them.
    """
    events: list[tuple[int, str]] = []
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + deadline_s
    first_id = ""
    for attempt in range(2):
        id = f"s{number}-{attempt}"
        left_s = ends_at - loop.time()
        headers = make_headers("h1.example", id, left_s) | make_prompt_headers(number)
        if events:
            headers |= {"Last-Event-Id": str(events[-1][0]), "Resumes": first_id}
        record("sent", id=id, kind="stream", zone=zone, after=len(events))
        request = Request("POST", "/long/1", headers, f"prompt {number}".encode())
        answer = await fleet.call(zone, request, max(0.1, left_s), rng)
        found = [(int(n), text.decode()) for n, text in EVENT.findall(answer.body)]
        if found and not events:
            first_id = id
        events += found
        record_answer(record, id, "stream", answer)
        if answer.is_complete and answer.status == 200:
            break
        wait_s = float(answer.headers.get("retry-after", "0.05"))
        if loop.time() + wait_s >= ends_at:
            break
        await asyncio.sleep(wait_s)
    return events

"""Estimate the KV cache memory that running requests hold at each replica.

Load: a storm in which calls of 12,000 tokens fill a replica's memory with 20 of its 64
slots in use.  Each further call makes the engine preempt one that runs, whose prompt is
then read again.  Own requests count exactly, those of peers from their announcements
until the time they usually take, scaled to the number of requests that the replica named.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .speeds import find_slowdown

if TYPE_CHECKING:
    from .tables import ModelRequest, Tables, UpstreamRow

# Left to cached prefixes, which make prefills short.
CACHED_SHARE = 0.1
# Until a peer's request has its first token it counts for at most this long.
UNENDED_PREFILL_MAX_S = 15.0
# Output and its duration until they are measured, and smoothing of what is measured.
INITIAL_OUTPUT_TOKENS = 200.0
INITIAL_OUTPUT_S = 2.0
TOKEN_TIME_SMOOTHING = 0.05
# Smaller requests would take each freed part of the memory before one that holds more
# than this share of it; it waits for memory at most this long after its arrival.
LARGE_SHARE = 0.25
LARGE_WAIT_MAX_S = 1.0
# A fresher report of the replica's load corrects the count of its requests.
REPORT_MAX_AGE_S = 1.0


@dataclass(slots=True)
class ReplicaMemory:
    """Hold the tokens of the requests that run at one replica, and their numbers."""

    own_tokens: int = 0
    own_count: int = 0
    remote_tokens: int = 0
    remote_count: int = 0


@dataclass(slots=True)
class RemoteRun:
    """Hold a peer's request that runs until `ends_at`, as far as is known."""

    upstream: str
    tokens: int
    max_tokens: int
    ends_at: float


@dataclass(slots=True)
class MemoryTable:
    """Hold the peers' requests, a heap of (end, id), and the mean output of a request."""

    run_by_id: dict[str, RemoteRun] = field(default_factory=dict)
    ends: list[tuple[float, str]] = field(default_factory=list)
    output_tokens: float = INITIAL_OUTPUT_TOKENS
    output_s: float = INITIAL_OUTPUT_S


def count_held_tokens(request: ModelRequest) -> int:
    """Return the tokens that a request holds in the end, if it makes all its output."""
    return request.prompt_tokens + request.max_tokens


def add_own_run(row: UpstreamRow, request: ModelRequest) -> None:
    """Count a request that this process has sent."""
    row.memory.own_tokens += count_held_tokens(request)
    row.memory.own_count += 1


def remove_own_run(
    tables: Tables,
    row: UpstreamRow,
    request: ModelRequest,
    first_token_at: float | None,
    now: float,
) -> None:
    """Remove a request that has ended, and learn from it how long output takes."""
    tokens = row.memory.own_tokens - count_held_tokens(request)
    row.memory.own_tokens = max(0, tokens)
    row.memory.own_count = max(0, row.memory.own_count - 1)
    if first_token_at is not None and request.max_tokens > 0:
        output_s = (now - first_token_at) / find_slowdown(row, now)
        table = tables.memory
        table.output_s += TOKEN_TIME_SMOOTHING * (output_s - table.output_s)
        change = request.max_tokens - table.output_tokens
        table.output_tokens += TOKEN_TIME_SMOOTHING * change


def add_remote_run(
    tables: Tables, row: UpstreamRow, id: str, tokens: int, max_tokens: int, now: float
) -> None:
    """Count a request that a peer has sent; a retry of it replaces the attempt before."""
    if tables.speeds is None or tokens <= 0:
        return
    table = tables.memory
    _remove_remote_run(tables, id)
    run = RemoteRun(row.name, tokens, max_tokens, now + UNENDED_PREFILL_MAX_S)
    table.run_by_id[id] = run
    heapq.heappush(table.ends, (run.ends_at, id))
    row.memory.remote_tokens += tokens
    row.memory.remote_count += 1


def record_remote_first_token(
    tables: Tables, id: str, has_failed: bool, now: float
) -> None:
    """Set when a peer's request ends, from the time that its output usually takes."""
    table = tables.memory
    run = table.run_by_id.get(id)
    if run is None:
        return
    row = tables.upstream_by_name.get(run.upstream)
    slowdown = find_slowdown(row, now) if row is not None else 1.0
    token_s = table.output_s / table.output_tokens
    output_s = 0.0 if has_failed else run.max_tokens * token_s * slowdown
    run.ends_at = min(run.ends_at, now + output_s)
    heapq.heappush(table.ends, (run.ends_at, id))


def expire_remote_runs(tables: Tables, now: float) -> None:
    """Remove the peers' requests that have ended by now."""
    table = tables.memory
    while table.ends and table.ends[0][0] <= now:
        at, id = heapq.heappop(table.ends)
        run = table.run_by_id.get(id)
        if run is None or run.ends_at != at:
            continue
        _remove_remote_run(tables, id)


def drop_remote_runs(tables: Tables, upstream: str) -> None:
    """Remove the peers' requests at a replica that has left or restarted."""
    runs = tables.memory.run_by_id
    for id in [id for id, run in runs.items() if run.upstream == upstream]:
        _remove_remote_run(tables, id)


def _remove_remote_run(tables: Tables, id: str) -> None:
    run = tables.memory.run_by_id.pop(id, None)
    row = tables.upstream_by_name.get(run.upstream) if run else None
    if run is not None and row is not None:
        row.memory.remote_tokens -= run.tokens
        row.memory.remote_count -= 1


def estimate_memory_tokens(row: UpstreamRow, now: float) -> float:
    """Return the estimated tokens that running requests hold at the replica.

    A number of requests that it has named of late replaces that of the peers' known ones.
    """
    memory = row.memory
    known = memory.own_tokens + memory.remote_tokens
    count = memory.own_count + memory.remote_count
    if count <= 0 or now - row.reported_at > REPORT_MAX_AGE_S:
        return float(known)
    named = row.reported_running + row.reported_waiting + row.sent_since_report
    others = max(0, named - memory.own_count)
    if memory.remote_count:
        mean = memory.remote_tokens / memory.remote_count
    else:
        mean = memory.own_tokens / memory.own_count
    return memory.own_tokens + others * mean


def has_memory(
    tables: Tables, row: UpstreamRow, request: ModelRequest, now: float
) -> bool:
    """Report whether the request fits into the replica's memory beside those that run.

    One that is larger than the memory runs alone.  A large one that has waited for
    LARGE_WAIT_MAX_S is sent, and the replica judges.
    """
    return find_missing_tokens(tables, row, request, now) <= 0


def find_missing_tokens(
    tables: Tables, row: UpstreamRow, request: ModelRequest, now: float
) -> float:
    """Return the tokens that must be freed before the request fits; 0 if it does."""
    if tables.speeds is None or row.memory_tokens <= 0:
        return 0.0
    tokens = count_held_tokens(request)
    is_large = LARGE_SHARE < tokens / row.memory_tokens <= 1
    if is_large and now - request.arrived_at >= LARGE_WAIT_MAX_S:
        return 0.0
    held = estimate_memory_tokens(row, now)
    allowed = row.memory_tokens * (1 - CACHED_SHARE)
    return min(held, max(0.0, held + tokens - allowed))


def estimate_memory_wait_s(
    tables: Tables, row: UpstreamRow, request: ModelRequest, now: float
) -> float:
    """Return the estimated seconds until the request fits into the replica's memory.

    Requests end, and free what they hold, evenly over the time that one takes.
    """
    missing = find_missing_tokens(tables, row, request, now)
    if missing <= 0:
        return 0.0
    return missing / estimate_memory_tokens(row, now) * row.service_s

"""Work out the users' measures from what callers and engines saw."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from catkintrack.decisions import CacheScope, Residency, hash_prefix
from catkintrack.decisions.residency import add_cached_blocks, find_cached_depths
from testkit.caller import build_prompt

from .client import Outcome
from .workloads import TraceRow

BLOCK_TOKENS = 256
# Replays compare clocks of different processes.
CLOCK_SLACK_S = 0.05


@dataclass(frozen=True, slots=True)
class Limit:
    """Hold a workspace's rate (tokens a second) and burst (tokens)."""

    rate: float
    burst: float


def percentile(values: Iterable[float], share: float) -> float:
    """Return the value below which `share` of the values lie; 0 for none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def bound_hit_rate(rows: list[TraceRow], capacity_tokens: int) -> float:
    """Return the hit rate of one cache as large as all replicas' together."""
    cache = Residency(max_blocks=capacity_tokens // BLOCK_TOKENS)
    hit = total = 0
    for row in rows:
        prompt = build_prompt(row.messages)
        blocks = hash_prefix(CacheScope(row.workspace, "m1", "v1"), prompt)
        depth = find_cached_depths(cache, blocks).get(0, 0)
        tokens = -(-len(prompt) // 4)
        hit += min(depth * BLOCK_TOKENS, tokens - 1)
        total += tokens
        add_cached_blocks(cache, 0, reversed(blocks))
    return hit / total if total else 0.0


def count_recomputed(rows: list[TraceRow], prefilled_tokens: int) -> int:
    """Return the tokens prefilled beyond one computation of each block."""
    seen: set[int] = set()
    needed = 0
    for row in rows:
        prompt = build_prompt(row.messages)
        blocks = hash_prefix(CacheScope(row.workspace, "m1", "v1"), prompt)
        fresh = [block for block in blocks if block not in seen]
        seen.update(fresh)
        rest = -(-len(prompt) // 4) - len(blocks) * BLOCK_TOKENS
        needed += len(fresh) * BLOCK_TOKENS + rest
    return max(0, prefilled_tokens - needed)


def ttft_by_workspace(outcomes: list[Outcome]) -> dict[str, list[float]]:
    """Return the times to first token, keyed by workspace."""
    times: dict[str, list[float]] = {}
    for outcome in outcomes:
        if outcome.first_token_s is not None:
            times.setdefault(outcome.row.workspace, []).append(outcome.first_token_s)
    return times


def worst_and_median_p99(outcomes: list[Outcome]) -> tuple[float, float]:
    """Return the worst and the median workspace's p99 time to first token."""
    times = ttft_by_workspace(outcomes)
    p99s = [percentile(values, 0.99) for values in times.values()]
    return (max(p99s), statistics.median(p99s)) if p99s else (0.0, 0.0)


def count_refused_within_rate(outcomes: list[Outcome], limit: Limit) -> int:
    """Return the refused requests that one exact bucket would have admitted.

    The exact bucket admits what was admitted, and each refused request that it has
    the tokens for.
    """
    events = []
    for outcome in outcomes:
        reserved = outcome.prompt_tokens + outcome.row.max_tokens
        if outcome.status == 200:
            used = outcome.prompt_tokens + len(outcome.token_times)
            events.append((outcome.sent_at, 0, reserved))
            events.append((outcome.ended_at + CLOCK_SLACK_S, 1, reserved - used))
        elif outcome.code == "rate_limit_exceeded":
            events.append((outcome.sent_at, 2, reserved))
    balance = limit.burst
    last = 0.0
    refused = 0
    for at, kind, tokens in sorted(events):
        balance = min(limit.burst, balance + (at - last) * limit.rate)
        last = at
        if kind == 0:
            balance -= tokens
        elif kind == 1:
            balance = min(limit.burst, balance + tokens)
        elif balance >= tokens + CLOCK_SLACK_S * limit.rate:
            refused += 1
            balance -= tokens
    return refused


def count_over_rate(outcomes: list[Outcome], limit: Limit) -> float:
    """Return the most tokens by which the admissions exceed one exact bucket.

    A call was admitted at some time between its sending and its first token, which
    callers can't see; only what fits no such time counts.
    """
    served = [o for o in outcomes if o.status == 200]
    balance = limit.burst
    last = over = 0.0
    for outcome in sorted(served, key=lambda o: o.sent_at):
        at = max(last, outcome.sent_at)
        tokens = outcome.prompt_tokens + len(outcome.token_times)
        balance = min(limit.burst, balance + (at - last) * limit.rate)
        wait_s = max(0.0, (tokens - balance) / limit.rate)
        latest = outcome.first_token_at or outcome.ended_at
        over = max(over, (at + wait_s - latest) * limit.rate)
        balance += wait_s * limit.rate - tokens
        last = at + wait_s
    return over

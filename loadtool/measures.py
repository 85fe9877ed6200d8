"""Compute the benchmark metrics from what clients and engines saw."""

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
# Tolerance, since the clocks of different processes are compared.
CLOCK_SLACK_S = 0.05


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Hold a workspace's rate limit in tokens per second and its burst in tokens."""

    rate: float
    burst: float


def compute_percentile(values: Iterable[float], share: float) -> float:
    """Return the value below which `share` of the values lie; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compute_hit_rate_bound(rows: list[TraceRow], capacity_tokens: int) -> float:
    """Return the hit rate of a single cache of the combined size of all replicas."""
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


def count_recomputed_tokens(rows: list[TraceRow], prefilled_tokens: int) -> int:
    """Return the tokens prefilled in excess of computing each block once."""
    seen: set[int] = set()
    needed = 0
    for row in rows:
        prompt = build_prompt(row.messages)
        blocks = hash_prefix(CacheScope(row.workspace, "m1", "v1"), prompt)
        new_blocks = [block for block in blocks if block not in seen]
        seen.update(new_blocks)
        rest = -(-len(prompt) // 4) - len(blocks) * BLOCK_TOKENS
        needed += len(new_blocks) * BLOCK_TOKENS + rest
    return max(0, prefilled_tokens - needed)


def group_ttft_by_workspace(outcomes: list[Outcome]) -> dict[str, list[float]]:
    """Return the times to first token in seconds, keyed by workspace."""
    times: dict[str, list[float]] = {}
    for outcome in outcomes:
        if outcome.first_token_s is not None:
            times.setdefault(outcome.row.workspace, []).append(outcome.first_token_s)
    return times


def compute_worst_and_median_p99(outcomes: list[Outcome]) -> tuple[float, float]:
    """Return the worst and the median of the workspaces' p99 times to first token."""
    times = group_ttft_by_workspace(outcomes)
    p99s = [compute_percentile(values, 0.99) for values in times.values()]
    return (max(p99s), statistics.median(p99s)) if p99s else (0.0, 0.0)


def count_refused_within_rate(outcomes: list[Outcome], limit: RateLimit) -> int:
    """Return the number of refused requests that an exact token bucket would admit.

    The exact bucket is charged for each admitted request, and for each refused one that
    it has enough tokens for.
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


def count_tokens_over_rate(outcomes: list[Outcome], limit: RateLimit) -> float:
    """Return the most tokens by which the admissions exceed an exact token bucket.

    A request was admitted at an unknown time between its sending and its first token.
    Only tokens over the limit for each possible admission time count.
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

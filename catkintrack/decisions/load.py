"""Estimate an upstream's load from lagging reports and one's own requests."""

from __future__ import annotations

from .failure_detection import record_request_sent
from .prefills import (
    ANNOUNCED_MIN_TOKENS,
    Prefill,
    add_prefill,
    compute_prefill_expiry,
    end_prefill,
    split_pending_tokens,
)
from .residency import clear_cached_blocks
from .tables import ModelRequest, RunningRow, Tables, UpstreamRow

REPORT_MAX_AGE_S = 5.0
SERVICE_TIME_SMOOTHING = 0.1
RATE_SMOOTHING = 0.1
# The way there and the engine's step are small beside a prefill of this size.
RATE_SAMPLE_MIN_TOKENS = 2048
RAMP_DURATION_S = 4.0
RAMP_START_FRACTION = 0.25
WINDOW_OVERCOMMIT = 1.25
SPARE_CAPACITY_FRACTION = 0.75
LOWER_PRIORITY_WEIGHT = 0.5


def estimate_prefill_tokens(
    tables: Tables, row: UpstreamRow, now: float, priority: int
) -> float:
    """Return the tokens that count as a wait for a request of `priority`.

    Engines put what is urgent first, so that the rest hardly delays it; but it
    delays the rest, and a part of that counts.
    """
    before, after = split_pending_tokens(tables.prefills, row.name, priority)
    spared = after * (1 - LOWER_PRIORITY_WEIGHT)
    known = before + after - spared + row.small_prefill_tokens
    age_s = now - row.reported_at
    if age_s > REPORT_MAX_AGE_S:
        return known
    left = row.reported_prefill_tokens - age_s * row.prefill_tokens_per_s - spared
    return max(left, known)


def estimate_running(row: UpstreamRow, now: float) -> int:
    """Return how many requests the upstream runs or keeps waiting."""
    if now - row.reported_at > REPORT_MAX_AGE_S:
        return row.in_flight
    reported = row.reported_running + row.reported_waiting
    return max(row.in_flight, reported + row.sent_since_report)


def estimate_wait_s(
    tables: Tables, row: UpstreamRow, now: float, priority: int
) -> float:
    """Return the seconds before the upstream would begin a new prefill."""
    prefill_s = (
        estimate_prefill_tokens(tables, row, now, priority) / row.prefill_tokens_per_s
    )
    excess = estimate_running(row, now) + row.queued_count + 1 - row.max_running
    if excess <= 0:
        return prefill_s
    return prefill_s + excess * row.service_s / row.max_running


def has_capacity(tables: Tables, row: UpstreamRow, now: float, priority: int) -> bool:
    """Report whether this router may send the upstream another request now."""
    prefill_tokens = estimate_prefill_tokens(tables, row, now, priority)
    if prefill_tokens > tables.max_prefill_wait_s * row.prefill_tokens_per_s:
        return False
    ramp = compute_ramp_fraction(row, now)
    if (
        ramp >= 1.0
        and estimate_running(row, now) < row.max_running * SPARE_CAPACITY_FRACTION
    ):
        return True
    share = row.max_running * WINDOW_OVERCOMMIT / max(1, tables.router_count)
    return row.in_flight < max(1, round(share * ramp))


def compute_ramp_fraction(row: UpstreamRow, now: float) -> float:
    """Return the share of its window that a returned upstream may have yet."""
    age_s = now - row.ramp_started_at
    return min(
        1.0, RAMP_START_FRACTION + (1 - RAMP_START_FRACTION) * age_s / RAMP_DURATION_S
    )


def record_dispatch(
    tables: Tables, row: UpstreamRow, request: ModelRequest, uncached: int, now: float
) -> None:
    """Count a request as sent to the upstream."""
    row.in_flight += 1
    record_request_sent(row, now)
    row.sent_since_report += 1
    if uncached < ANNOUNCED_MIN_TOKENS:
        row.small_prefill_tokens += uncached
        return
    wait_s = estimate_wait_s(tables, row, now, request.priority)
    expires_at = compute_prefill_expiry(now, wait_s, uncached, row.prefill_tokens_per_s)
    prefill = Prefill(
        request.id, row.name, request.blocks, uncached, expires_at, request.priority
    )
    add_prefill(tables.prefills, prefill)


def is_prefill_idle(tables: Tables, row: UpstreamRow) -> bool:
    """Report whether no prefill is known to be under way at the upstream."""
    pending = tables.prefills.tokens_by_priority_by_upstream[row.name].total()
    return pending + row.small_prefill_tokens <= 0


def learn_prefill_rate(row: UpstreamRow, running: RunningRow, now: float) -> None:
    """Learn an upstream's speed from a long prefill that had nothing before it."""
    duration_s = now - running.dispatched_at
    is_telling = running.uncached_tokens >= RATE_SAMPLE_MIN_TOKENS
    if not (running.was_prefilled_alone and is_telling and duration_s > 0):
        return
    rate = running.uncached_tokens / duration_s
    change = RATE_SMOOTHING * (rate - row.prefill_tokens_per_s)
    row.prefill_tokens_per_s += change


def record_prefilled(
    tables: Tables, row: UpstreamRow, running: RunningRow, now: float | None = None
) -> None:
    """Count a request's prefill as done; `now` is when its first token came."""
    if running.has_first_token:
        return
    running.has_first_token = True
    if now is not None:
        learn_prefill_rate(row, running, now)
    if running.uncached_tokens < ANNOUNCED_MIN_TOKENS:
        row.small_prefill_tokens -= running.uncached_tokens
    end_prefill(tables.prefills, running.request.id)


def release_request(
    tables: Tables, row: UpstreamRow, running: RunningRow, now: float
) -> None:
    """Count a request as gone from the upstream."""
    if running.has_first_token:
        duration_s = now - running.dispatched_at
        row.service_s += SERVICE_TIME_SMOOTHING * (duration_s - row.service_s)
    record_prefilled(tables, row, running)
    row.in_flight -= 1
    row.sent_since_report = max(0, row.sent_since_report - 1)


def reset_cache(tables: Tables, row: UpstreamRow) -> None:
    """Forget what the upstream had cached, while its requests go on."""
    clear_cached_blocks(tables.residency, row.bit_index)

"""Estimate an upstream's load from lagging reports and one's own requests."""

from __future__ import annotations

from .tables import RunningRow, Tables, UpstreamRow

REPORT_LIFETIME_S = 5.0
SERVICE_TIME_S = 1.0
RAMP_S = 4.0
RAMP_START_FRACTION = 0.25
WINDOW_OVERCOMMIT = 1.25
ROOMY_FRACTION = 0.75
MAX_PREFILL_WAIT_S = 0.5


def estimate_prefill_tokens(row: UpstreamRow, now: float) -> float:
    """Return the tokens that the upstream still has to prefill."""
    age_s = now - row.reported_at
    if age_s > REPORT_LIFETIME_S:
        return row.pending_prefill_tokens
    left = max(0.0, row.reported_prefill_tokens - age_s * row.prefill_tokens_per_s)
    return max(left + row.prefill_sent_since_report, row.pending_prefill_tokens)


def estimate_running(row: UpstreamRow, now: float) -> int:
    """Return how many requests the upstream runs or keeps waiting."""
    if now - row.reported_at > REPORT_LIFETIME_S:
        return row.in_flight
    reported = row.reported_running + row.reported_waiting
    return max(row.in_flight, reported + row.sent_since_report)


def estimate_wait_s(row: UpstreamRow, now: float) -> float:
    """Return the seconds before the upstream would begin a new prefill."""
    prefill_s = estimate_prefill_tokens(row, now) / row.prefill_tokens_per_s
    excess = estimate_running(row, now) + 1 - row.max_running
    if excess <= 0:
        return prefill_s
    return prefill_s + excess * SERVICE_TIME_S / row.max_running


def is_open(tables: Tables, row: UpstreamRow, now: float) -> bool:
    """Report whether this router may send the upstream another request now."""
    if row.pending_prefill_tokens and estimate_wait_s(row, now) > MAX_PREFILL_WAIT_S:
        return False
    ramp = ramp_fraction(row, now)
    if ramp >= 1.0 and estimate_running(row, now) < row.max_running * ROOMY_FRACTION:
        return True
    share = row.max_running * WINDOW_OVERCOMMIT / max(1, tables.router_count)
    return row.in_flight < max(1, round(share * ramp))


def ramp_fraction(row: UpstreamRow, now: float) -> float:
    """Return the share of its window that a returned upstream may have yet."""
    age_s = now - row.ramp_started_at
    return min(1.0, RAMP_START_FRACTION + (1 - RAMP_START_FRACTION) * age_s / RAMP_S)


def record_dispatch(row: UpstreamRow, uncached_tokens: int) -> None:
    """Count a request as sent to the upstream."""
    row.in_flight += 1
    row.sent_since_report += 1
    row.pending_prefill_tokens += uncached_tokens
    row.prefill_sent_since_report += uncached_tokens


def record_prefilled(row: UpstreamRow, running: RunningRow) -> None:
    """Count a request's prefill as done."""
    if running.has_first_token:
        return
    running.has_first_token = True
    row.pending_prefill_tokens -= running.uncached_tokens


def record_leave(row: UpstreamRow, running: RunningRow) -> None:
    """Count a request as gone from the upstream."""
    record_prefilled(row, running)
    row.in_flight -= 1
    row.sent_since_report = max(0, row.sent_since_report - 1)

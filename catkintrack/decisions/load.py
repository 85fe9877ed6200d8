"""Estimate an upstream's load from delayed reports and local requests."""

from __future__ import annotations

from .brittleness import Brittleness, has_place, is_room_seen
from .decode_pace import record_stream
from .failure_detection import record_request_sent
from .memory import add_own_run, has_memory, remove_own_run
from .pacing import estimate_pacing_s, record_prefill_work
from .prefills import (
    ANNOUNCED_MIN_TOKENS,
    Prefill,
    add_prefill,
    compute_prefill_expiry,
    end_prefill,
    split_pending_tokens,
)
from .residency import clear_cached_blocks
from .speeds import (
    find_prefill_rate,
    record_prefill_end,
    record_slowdown,
    time_prefill,
)
from .spreading import ANNOUNCED_AFTER_S, add_sent_tokens
from .tables import ModelRequest, RunningRow, Tables, UpstreamRow

REPORT_MAX_AGE_S = 5.0
SERVICE_TIME_SMOOTHING = 0.1
PREFILL_RATE_SMOOTHING = 0.1
# Network delay and engine step time are negligible beside a prefill this long.
PREFILL_RATE_MIN_TOKENS = 2048
RAMP_DURATION_S = 4.0
RAMP_START_FRACTION = 0.25
# Sum of all processes' in-flight windows for an upstream, relative to `max_running`.
WINDOW_OVERCOMMIT = 1.25
# An upstream that runs fewer requests than this fraction of `max_running` may get
# requests beyond the window.
SPARE_CAPACITY_FRACTION = 0.75
LOWER_PRIORITY_WEIGHT = 0.5


def estimate_prefill_tokens(
    tables: Tables,
    row: UpstreamRow,
    now: float,
    priority: int,
    rate: float | None = None,
) -> float:
    """Return the prefill backlog in tokens that a request of `priority` waits for.

    Engines run prefills of lower priority after the request's.  They hardly delay it,
    but it delays them, so their tokens count in part, by LOWER_PRIORITY_WEIGHT.  `rate` is
    the upstream's prefill rate now, where the caller has it.
    """
    before, after = split_pending_tokens(tables.prefills, row.name, priority)
    discount = after * (1 - LOWER_PRIORITY_WEIGHT)
    known = before + after - discount + row.small_prefill_tokens
    age_s = now - row.reported_at
    if age_s > REPORT_MAX_AGE_S or row.reported_prefill_tokens <= 0:
        return known
    if rate is None:
        rate = find_prefill_rate(tables, row, now)
    left = row.reported_prefill_tokens - age_s * rate - discount
    return max(left, known)


def estimate_running(row: UpstreamRow, now: float) -> int:
    """Return the estimated number of requests running or queued at the upstream."""
    if now - row.reported_at > REPORT_MAX_AGE_S:
        return row.in_flight
    reported = row.reported_running + row.reported_waiting
    return max(row.in_flight, reported + row.sent_since_report)


def has_brittle_place(row: UpstreamRow, record: Brittleness, now: float) -> bool:
    """Report whether a brittle upstream may get another request."""
    return has_place(record, row.in_flight, has_loan_room(row, record, now), now)


def has_loan_room(row: UpstreamRow, record: Brittleness, now: float) -> bool:
    """Report whether a brittle upstream's last load leaves room for loans."""
    reported = row.reported_running + row.reported_waiting + row.sent_since_report
    return is_room_seen(record, row.reported_at, reported, row.max_running, now)


def estimate_wait_s(
    tables: Tables,
    row: UpstreamRow,
    now: float,
    priority: int,
    rate: float | None = None,
) -> float:
    """Return the estimated seconds until the upstream begins a new prefill.

    `rate` is its prefill rate now, where the caller has it.
    """
    if rate is None:
        rate = find_prefill_rate(tables, row, now)
    prefill_s = estimate_prefill_tokens(tables, row, now, priority, rate) / rate
    prefill_s = max(prefill_s, estimate_pacing_s(tables, row, now, priority))
    excess = estimate_running(row, now) + row.queued_count + 1 - row.max_running
    if excess <= 0:
        return prefill_s
    return prefill_s + excess * row.service_s / row.max_running


def has_capacity(
    tables: Tables,
    row: UpstreamRow,
    now: float,
    priority: int,
    request: ModelRequest | None = None,
) -> bool:
    """Report whether the upstream may get another request from this process now.

    If `request` is named, its memory must also be free there.
    """
    if estimate_pacing_s(tables, row, now, priority) > 0:
        return False
    if request is not None and not has_memory(tables, row, request, now):
        return False
    rate = find_prefill_rate(tables, row, now)
    prefill_tokens = estimate_prefill_tokens(tables, row, now, priority, rate)
    if prefill_tokens > _find_max_wait_s(tables) * rate:
        return False
    ramp = compute_ramp_fraction(row, now)
    if (
        ramp >= 1.0
        and estimate_running(row, now) < row.max_running * SPARE_CAPACITY_FRACTION
    ):
        return True
    share = row.max_running * WINDOW_OVERCOMMIT / max(1, tables.router_count)
    return row.in_flight < max(1, round(share * ramp))


def _find_max_wait_s(tables: Tables) -> float:
    """Return the prefill backlog in seconds up to which an upstream gets requests.

    Peers' messages that prefills have ended come late.  With the true rates an engine
    would be idle until then.
    """
    if tables.speeds is None:
        return tables.max_prefill_wait_s
    return tables.max_prefill_wait_s + ANNOUNCED_AFTER_S


def record_load_report(
    tables: Tables,
    row: UpstreamRow,
    running: int,
    waiting: int,
    slowdown: float | None,
    at: float,
) -> None:
    """Record a load that the upstream named `at` a time, unless a newer one is known."""
    if at < row.reported_at:
        return
    row.reported_running = running
    row.reported_waiting = waiting
    row.reported_at = at
    row.sent_since_report = 0
    if slowdown is not None:
        record_slowdown(tables, row, slowdown, at)


def compute_ramp_fraction(row: UpstreamRow, now: float) -> float:
    """Return the fraction of the full window that applies during slow start."""
    age_s = now - row.ramp_started_at
    return min(
        1.0, RAMP_START_FRACTION + (1 - RAMP_START_FRACTION) * age_s / RAMP_DURATION_S
    )


def record_dispatch(
    tables: Tables, row: UpstreamRow, request: ModelRequest, uncached: int, now: float
) -> None:
    """Add a request to the upstream's load."""
    row.in_flight += 1
    record_request_sent(row, now)
    row.sent_since_report += 1
    record_prefill_work(tables, row, uncached, request.priority, now, is_own=True)
    add_own_run(row, request)
    if tables.speeds is not None:
        add_sent_tokens(tables.speeds.sent, uncached, now)
    if uncached < ANNOUNCED_MIN_TOKENS:
        row.small_prefill_tokens += uncached
        return
    rate = find_prefill_rate(tables, row, now)
    wait_s = estimate_wait_s(tables, row, now, request.priority, rate)
    expires_at = compute_prefill_expiry(now, wait_s, uncached, rate)
    prefill = Prefill(
        request.id, row.name, request.blocks, uncached, expires_at, request.priority
    )
    add_prefill(tables.prefills, prefill)


def is_prefill_idle(tables: Tables, row: UpstreamRow) -> bool:
    """Report whether no prefill is known to be in progress at the upstream."""
    pending = tables.prefills.tokens_by_priority_by_upstream[row.name].total()
    return pending + row.small_prefill_tokens <= 0


def learn_prefill_rate(row: UpstreamRow, running: RunningRow, now: float) -> None:
    """Update the upstream's prefill rate from a long prefill that did not queue.

    It applies where speeds are not shared (see speeds.py).
    """
    duration_s = now - running.dispatched_at
    is_long_enough = running.uncached_tokens >= PREFILL_RATE_MIN_TOKENS
    if not (running.was_prefilled_alone and is_long_enough and duration_s > 0):
        return
    rate = running.uncached_tokens / duration_s
    change = PREFILL_RATE_SMOOTHING * (rate - row.prefill_tokens_per_s)
    row.prefill_tokens_per_s += change


def record_prefilled(
    tables: Tables, row: UpstreamRow, running: RunningRow, now: float | None = None
) -> None:
    """Mark a request's prefill as ended; `now` is the time of its first token, if any."""
    if running.has_first_token:
        return
    running.has_first_token = True
    running.first_token_at = now
    if now is not None and tables.speeds is not None:
        running.timed_prefill = time_prefill(row, running, now)
        record_prefill_end(tables, row, running.timed_prefill, now, now)
    elif now is not None:
        learn_prefill_rate(row, running, now)
    if running.uncached_tokens < ANNOUNCED_MIN_TOKENS:
        row.small_prefill_tokens -= running.uncached_tokens
    end_prefill(tables.prefills, running.request.id)


def release_request(
    tables: Tables, row: UpstreamRow, running: RunningRow, now: float
) -> None:
    """Remove a request from the upstream's load."""
    if running.has_first_token:
        duration_s = now - running.dispatched_at
        row.service_s += SERVICE_TIME_SMOOTHING * (duration_s - row.service_s)
    _record_pace(tables, running, now)
    record_prefilled(tables, row, running)
    remove_own_run(tables, row, running.request, running.first_token_at, now)
    row.in_flight -= 1
    row.sent_since_report = max(0, row.sent_since_report - 1)


def _record_pace(tables: Tables, running: RunningRow, now: float) -> None:
    if tables.admission is not None and running.first_token_at is not None:
        record_stream(
            tables.admission.pace,
            running.request.max_tokens,
            now - running.first_token_at,
            running.is_complete,
            now,
        )


def reset_cache(tables: Tables, row: UpstreamRow) -> None:
    """Clear the upstream's cached blocks; its running requests are unaffected."""
    clear_cached_blocks(tables.residency, row.bit_index)

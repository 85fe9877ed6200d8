"""Estimate how fast each replica prefills now, from its load reports and its prefills.

Load: replicas of one model at 0.7, 0.7 and 1.7 of the usual speed, slowed by 2.5 for some
hundred milliseconds at a time, each of which an instance sends a call in ten seconds.
The logarithm of the usual rate is estimated with its precision (one-dimensional Kalman
filter); samples beyond a bound count as the bound (Huber).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .prefills import split_pending_tokens
from .tables import ModelRequest, RunningRow, Tables, UpstreamRow

# A slowdown loses half of its weight in this time: it changes within some 100 ms.
SLOWDOWN_HALF_LIFE_S = 0.4
SLOWDOWN_MAX_AGE_S = 2.0
MAX_SLOWDOWN = 100.0
# Network and the engine's step in progress: no part of a prefill.
FIXED_S = 0.01
# Standard errors of a sample's logarithm: in general, by its queue and by a slowdown that
# was not known when it began.
SAMPLE_ERROR = 0.1
QUEUE_ERROR = 0.5
UNKNOWN_SLOWDOWN_ERROR = 0.3
# Largest standard error of a sample that is used.
MAX_SAMPLE_ERROR = 0.7
# Standard error of the rate of a replica that was not measured.
PRIOR_ERROR = 0.5
# Bounds the precision, so that an estimate follows a lasting change.
MIN_ERROR = 0.05
# Samples of a replica between updates of the rate of those not yet measured.
PRIOR_INTERVAL_SAMPLES = 16
MAX_LOG_STEP = math.log(2.0)
# Rates outside these bounds, in tokens/s, are errors.
MIN_RATE = 100.0
MAX_RATE = 10_000_000.0


@dataclass(slots=True)
class Speed:
    """Hold what is known of a replica's speed.

    `precision` is the inverse variance of the logarithm of the usual prefill rate;
    `slowdown` was named at `slowdown_at`.
    """

    precision: float = PRIOR_ERROR**-2
    samples: int = 0
    slowdown: float = 1.0
    slowdown_at: float = -math.inf


@dataclass(slots=True)
class SpeedTable:
    """Hold the usual prefill rate of the measured replicas, by the models they run."""

    rate_by_models: dict[frozenset[str], float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PrefillStart:
    """Hold the state of a replica when a prefill was sent to it.

    `slowdown` is None if none was named of late.
    """

    tokens: int
    tokens_ahead: int
    slowdown: float | None


@dataclass(frozen=True, slots=True)
class RateSample:
    """Hold one measured prefill rate without the slowdown, and its logarithm's error."""

    tokens_per_s: float
    error: float


def enable_speeds(tables: Tables) -> None:
    """Learn the replicas' speeds from now on, and share them."""
    if tables.speeds is None:
        tables.speeds = SpeedTable()


def ensure_speed(row: UpstreamRow) -> Speed:
    """Return what is known of a replica's speed, creating it if it is missing."""
    if row.speed is None:
        row.speed = Speed()
    return row.speed


def find_prefill_rate(tables: Tables, row: UpstreamRow, now: float) -> float:
    """Return the tokens/s that the replica prefills now."""
    if row.speed is None:
        return row.prefill_tokens_per_s
    return row.prefill_tokens_per_s / find_slowdown(row, now)


def find_usual_rate(tables: Tables, row: UpstreamRow) -> float:
    """Return the tokens/s that replicas of its models usually prefill, on average.

    Unlike the replica's own rate it doesn't make wasted tokens cheaper at a fast one.
    """
    if tables.speeds is None:
        return row.prefill_tokens_per_s
    return tables.speeds.rate_by_models.get(row.models, row.prefill_tokens_per_s)


def find_slowdown(row: UpstreamRow, now: float) -> float:
    """Return the factor by which work takes longer there now; it fades to 1."""
    speed = row.speed
    if speed is None or speed.slowdown == 1.0:
        return 1.0
    age_s = max(0.0, now - speed.slowdown_at)
    if age_s > SLOWDOWN_MAX_AGE_S:
        return 1.0
    return 1.0 + (speed.slowdown - 1.0) * 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)


def record_slowdown(
    tables: Tables, row: UpstreamRow, slowdown: float, at: float
) -> None:
    """Record the slowdown that a replica named `at` a time, unless it is older or invalid.

    A factor other than 1 shows that the replicas are uneven.
    """
    if not 0.0 < slowdown <= MAX_SLOWDOWN:
        return
    if slowdown != 1.0 and not tables.has_uneven_replicas:
        tables.has_uneven_replicas = True
        enable_speeds(tables)
    if tables.speeds is None:
        return
    speed = ensure_speed(row)
    if at >= speed.slowdown_at:
        speed.slowdown = slowdown
        speed.slowdown_at = at


def observe_prefill_start(
    tables: Tables,
    row: UpstreamRow,
    request: ModelRequest,
    uncached_tokens: int,
    is_fetched: bool,
    now: float,
) -> PrefillStart | None:
    """Return the state in which a prefill begins, or None if it would not show the speed.

    It doesn't if it waits for a slot or for a fetch, or if more is queued than it reads.
    """
    if tables.speeds is None or is_fetched:
        return None
    running = max(row.in_flight, row.reported_running + row.sent_since_report)
    if row.reported_waiting or running >= row.max_running:
        return None
    before, _ = split_pending_tokens(tables.prefills, row.name, request.priority)
    ahead = before + row.small_prefill_tokens
    if ahead > uncached_tokens:
        return None
    speed = row.speed
    is_known = speed is not None and now - speed.slowdown_at < SLOWDOWN_HALF_LIFE_S
    slowdown = speed.slowdown if speed is not None and is_known else None
    return PrefillStart(uncached_tokens, ahead, slowdown)


def learn_rate(
    tables: Tables, row: UpstreamRow, running: RunningRow, now: float
) -> None:
    """Learn the replica's rate from a prefill that has just ended, if it shows it."""
    if tables.speeds is None or running.prefill_start is None:
        return
    duration_s = now - running.dispatched_at
    sample = measure_rate(row, running.prefill_start, duration_s)
    if sample is not None:
        running.rate_sample = sample
        add_rate_sample(tables, row, sample)


def measure_rate(
    row: UpstreamRow, start: PrefillStart, duration_s: float
) -> RateSample | None:
    """Return the usual rate that a prefill shows, or None if it shows too little.

    Of what was queued ahead, half is taken to have been done when the prefill was sent.
    """
    prefill_s = duration_s - FIXED_S
    if prefill_s <= FIXED_S:
        return None
    after = row.speed.slowdown if row.speed is not None else 1.0
    before = start.slowdown
    slowdown_error = (
        UNKNOWN_SLOWDOWN_ERROR if before is None else abs(math.log(before / after)) / 2
    )
    slowdown = after if before is None else (before + after) / 2
    tokens = start.tokens + start.tokens_ahead / 2
    error = math.hypot(
        SAMPLE_ERROR,
        FIXED_S / prefill_s,
        QUEUE_ERROR * start.tokens_ahead / tokens,
        slowdown_error,
    )
    if error > MAX_SAMPLE_ERROR:
        return None
    return RateSample(tokens / prefill_s * slowdown, error)


def add_rate_sample(tables: Tables, row: UpstreamRow, sample: RateSample) -> None:
    """Update a replica's usual rate, and the rate assumed of those not yet measured."""
    is_valid = MIN_RATE <= sample.tokens_per_s <= MAX_RATE
    if tables.speeds is None or not (is_valid and sample.error >= SAMPLE_ERROR):
        return
    speed = ensure_speed(row)
    weight = sample.error**-2
    speed.precision = min(speed.precision + weight, MIN_ERROR**-2)
    step = math.log(sample.tokens_per_s / row.prefill_tokens_per_s)
    step = max(-MAX_LOG_STEP, min(MAX_LOG_STEP, step))
    row.prefill_tokens_per_s *= math.exp(min(1.0, weight / speed.precision) * step)
    if speed.samples % PRIOR_INTERVAL_SAMPLES == 0:
        speed.samples += 1
        _update_prior(tables, tables.speeds, row.models)
    else:
        speed.samples += 1


def _update_prior(tables: Tables, speeds: SpeedTable, models: frozenset[str]) -> None:
    """Set the rate of replicas not yet measured to the mean of those that were."""
    rows = [row for row in tables.upstream_by_name.values() if row.models == models]
    logs = [math.log(row.prefill_tokens_per_s) for row in rows if is_measured(row)]
    if not logs:
        return
    speeds.rate_by_models[models] = math.exp(sum(logs) / len(logs))
    for row in rows:
        initialize_rate(tables, row)


def is_measured(row: UpstreamRow) -> bool:
    """Report whether a prefill has shown the replica's rate."""
    return row.speed is not None and row.speed.samples > 0


def initialize_rate(tables: Tables, row: UpstreamRow) -> None:
    """Set the rate of a replica that was not measured to the mean of its models."""
    if tables.speeds is None or is_measured(row):
        return
    rate = tables.speeds.rate_by_models.get(row.models)
    if rate is not None:
        row.prefill_tokens_per_s = rate


def reset_precision(row: UpstreamRow) -> None:
    """Trust the rate of a replica that has restarted no more than one not measured."""
    if row.speed is not None:
        row.speed = Speed(samples=row.speed.samples)

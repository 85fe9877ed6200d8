"""Estimate how fast each replica prefills now, from its load reports and its prefills.

Load: replicas of one model at 0.7, 0.7 and 1.7 of the usual speed, slowed by 2.5 for some
hundred milliseconds at a time, each of which an instance sends a call in ten seconds.
The logarithm of the usual rate is estimated with its precision (one-dimensional Kalman
filter); samples beyond a bound count as the bound (Huber).  A sample counts only once
the messages about prefills that ran before it have arrived.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .spreading import SentTokens, add_sent_tokens

if TYPE_CHECKING:
    from .tables import RunningRow, Tables, UpstreamRow

# A named slowdown fades to the replica's usual one in this time, as it changes within
# some 100 ms.
SLOWDOWN_SPAN_S = 0.8
# A slowdown named longer ago than this says nothing of the begin of a prefill.
SLOWDOWN_FRESH_S = 0.4
# Weight of the first and of each later slowdown in the replica's usual one.
SLOWDOWN_PRIOR_COUNT = 2
SLOWDOWN_SMOOTHING = 0.03
MAX_SLOWDOWN = 100.0
# Network and the engine's step in progress: no part of a prefill.
FIXED_S = 0.01
# Standard error of when peers' prefills ended, as their messages take different times.
END_ERROR_S = 0.03
# Messages about all prefills that ended before one have arrived this long after it.
SETTLE_S = 0.25
# Standard errors of a sample's logarithm: in general, and by a slowdown that was not
# known when the prefill began.
SAMPLE_ERROR = 0.1
UNKNOWN_SLOWDOWN_ERROR = 0.3
# Largest standard error of a sample that is used.
MAX_SAMPLE_ERROR = 0.7
MAX_RECENT_ENDS = 32
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
    `slowdown` was named at `slowdown_at`, the last of `slowdowns`; `usual_slowdown` is their
    mean, which isn't 1 where other work always shares the replica's machine.
    `recent_ends` are when prefills there ended, `unsettled` those whose queue may not be
    known yet.
    """

    precision: float = PRIOR_ERROR**-2
    samples: int = 0
    slowdown: float = 1.0
    slowdown_at: float = -math.inf
    usual_slowdown: float = 1.0
    slowdowns: int = 0
    recent_ends: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_ENDS)
    )
    unsettled: deque[TimedPrefill] = field(default_factory=deque)


@dataclass(slots=True)
class SpeedTable:
    """Hold the usual prefill rate of the measured replicas, by the models they run.

    `sent` counts what all instances have sent of late.
    """

    rate_by_models: dict[frozenset[str], float] = field(default_factory=dict)
    sent: SentTokens = field(default_factory=SentTokens)


@dataclass(frozen=True, slots=True)
class TimedPrefill:
    """Hold a prefill that has ended, with its time in the queue.

    `slowdown` is the mean of those that were named at its begin and its end,
    `slowdown_error` the standard error of its logarithm.
    """

    tokens: int
    began_at: float
    ended_at: float
    slowdown: float = 1.0
    slowdown_error: float = 0.0


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
    """Return the factor by which work takes longer there now; it fades to the usual."""
    speed = row.speed
    if speed is None:
        return 1.0
    left = 1.0 - (now - speed.slowdown_at) / SLOWDOWN_SPAN_S
    if left <= 0.0:
        return speed.usual_slowdown
    change = speed.slowdown - speed.usual_slowdown
    return speed.usual_slowdown + change * min(1.0, left)


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
        speed.slowdowns += 1
        weight = 1 / (speed.slowdowns + SLOWDOWN_PRIOR_COUNT)
        change = slowdown - speed.usual_slowdown
        speed.usual_slowdown += max(weight, SLOWDOWN_SMOOTHING) * change


def may_measure(tables: Tables, row: UpstreamRow, is_fetched: bool) -> bool:
    """Report whether a prefill that is sent now would show the replica's speed.

    It doesn't if it waits for a slot or for a fetch.
    """
    if tables.speeds is None or is_fetched:
        return False
    running = max(row.in_flight, row.reported_running + row.sent_since_report)
    return running < row.max_running and row.reported_waiting == 0


def count_sent_prefill(
    tables: Tables, row: UpstreamRow, tokens: int, now: float
) -> None:
    """Count a prefill that a peer has sent to a replica since its last load report."""
    if tables.speeds is not None:
        row.sent_since_report += 1
        add_sent_tokens(tables.speeds.sent, tokens, now)


def find_named_slowdown(row: UpstreamRow, now: float) -> float | None:
    """Return the slowdown that the replica has named of late, if any."""
    speed = row.speed
    if speed is None or now - speed.slowdown_at > SLOWDOWN_FRESH_S:
        return None
    return speed.slowdown


def time_prefill(
    row: UpstreamRow, running: RunningRow, now: float
) -> TimedPrefill | None:
    """Return the own prefill that ends now, or None if it shows no speed."""
    if not running.is_measurable:
        return None
    before = running.slowdown_at_dispatch
    after = row.speed.slowdown if row.speed is not None else 1.0
    if before is None:
        slowdown, error = after, UNKNOWN_SLOWDOWN_ERROR
    else:
        slowdown, error = (before + after) / 2, abs(math.log(before / after)) / 2
    return TimedPrefill(
        running.uncached_tokens, running.dispatched_at, now, slowdown, error
    )


def record_prefill_end(
    tables: Tables,
    row: UpstreamRow,
    prefill: TimedPrefill | None,
    ended_at: float,
    now: float,
) -> None:
    """Record that a prefill has ended at a replica, and learn from those settled.

    `prefill` is None if it shows no speed.
    """
    if tables.speeds is None:
        return
    speed = ensure_speed(row)
    speed.recent_ends.append(ended_at)
    if prefill is not None:
        speed.unsettled.append(prefill)
    while speed.unsettled and now - speed.unsettled[0].ended_at >= SETTLE_S:
        sample = measure_rate(speed.unsettled.popleft(), speed.recent_ends)
        if sample is not None:
            add_rate_sample(tables, row, sample)


def measure_rate(prefill: TimedPrefill, ends: Iterable[float]) -> RateSample | None:
    """Return the usual rate that a prefill shows, or None if it shows too little.

    It was read from the last end of another prefill there, as engines read one at a time.
    """
    began_at, ended_at = prefill.began_at, prefill.ended_at
    last_end = max((at for at in ends if began_at < at < ended_at), default=None)
    if last_end is None:
        prefill_s, timing_error_s = ended_at - began_at - FIXED_S, FIXED_S
    else:
        prefill_s, timing_error_s = ended_at - last_end, END_ERROR_S
    if prefill_s <= timing_error_s:
        return None
    error = math.hypot(SAMPLE_ERROR, timing_error_s / prefill_s, prefill.slowdown_error)
    if error > MAX_SAMPLE_ERROR:
        return None
    return RateSample(prefill.tokens / prefill_s * prefill.slowdown, error)


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
    speed.samples += 1
    if speed.samples % PRIOR_INTERVAL_SAMPLES == 1:
        _update_prior(tables, tables.speeds, row.models)


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

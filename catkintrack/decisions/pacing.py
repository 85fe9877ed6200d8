"""Bound the share of a replica's time that prefills take.

Load pattern: a storm in which instances fill each replica's prefill queue without pause.
An engine then makes one token of each running stream per prefill step, and streams whose
first token came in time are cut at their deadlines.

All instances see the prefills that any of them begins.  Each keeps a leaky bucket for
each replica, filled by these prefills and drained at the share of time that they may take.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .decay import DecayingSum
from .engine_priority import LATE_PRIORITY_OFFSET, MAX_ON_TIME_PRIORITY
from .speeds import find_prefill_rate
from .tables import Tables, UpstreamRow

# Share of a replica's time that prefills may take; the rest decodes running streams.
MAX_PREFILL_SHARE = 0.7
# Prefills may come this far ahead of their share.
PACING_WINDOW_S = 0.6
# Part of the window that calls of the last rank on time leave to better ones; those
# between leave less.
RESERVED_WINDOW_SHARE = 0.6
# Part of the window that late calls may use.
LATE_WINDOW_SHARE = 0.25
# Spare work that a call needs, relative to its own: short calls find room before long ones.
ROOM_PER_WORK = 2.0
WORK_AVERAGE_S = 2.0
# Calls of any rank are expected to get this part of the fleet.
LEAST_RATE_SHARE = 0.05


@dataclass(slots=True)
class PrefillMeter:
    """Hold the prefill work, in seconds, by which a replica is ahead of its share."""

    level_s: float = 0.0
    updated_at: float = 0.0


@dataclass(slots=True)
class Pacing:
    """Hold the meters by upstream, and recent prefill work in seconds.

    A rank is a priority in the engines: late calls have one of their own.
    """

    meter_by_upstream: dict[str, PrefillMeter] = field(default_factory=dict)
    own_work: DecayingSum = field(default_factory=lambda: DecayingSum(WORK_AVERAGE_S))
    fleet_work: DecayingSum = field(default_factory=lambda: DecayingSum(WORK_AVERAGE_S))
    work_by_rank: dict[int, DecayingSum] = field(default_factory=dict)


def record_prefill_work(
    tables: Tables,
    row: UpstreamRow,
    tokens: float,
    rank: int,
    now: float,
    is_own: bool,
) -> None:
    """Record that an instance has sent a replica tokens to prefill."""
    if tables.admission is None:
        return
    pacing = tables.admission.pacing
    meter = pacing.meter_by_upstream.setdefault(row.name, PrefillMeter(0.0, now))
    work_s = tokens / find_prefill_rate(tables, row, now)
    meter.level_s = _read_level(meter, now) + work_s
    meter.updated_at = max(meter.updated_at, now)
    pacing.fleet_work.add(work_s, now)
    work = pacing.work_by_rank.setdefault(rank, DecayingSum(WORK_AVERAGE_S))
    work.add(work_s, now)
    if is_own:
        pacing.own_work.add(work_s, now)


def find_spare_s(tables: Tables, row: UpstreamRow, now: float, rank: int) -> float:
    """Return the seconds of prefill work that the replica may get now.

    A negative result is the work that has to drain first.
    """
    if tables.admission is None:
        return PACING_WINDOW_S
    window_s = _find_window_s(rank)
    meter = tables.admission.pacing.meter_by_upstream.get(row.name)
    return window_s - (_read_level(meter, now) if meter else 0.0)


def is_within_pace(
    tables: Tables, row: UpstreamRow, work_s: float, now: float, rank: int
) -> bool:
    """Report whether the replica may get `work_s` now; more than a window needs all of it."""
    if tables.admission is None:
        return True
    needed_s = min(ROOM_PER_WORK * work_s, _find_window_s(rank))
    return find_spare_s(tables, row, now, rank) >= needed_s


def _find_window_s(rank: int) -> float:
    window_s = MAX_PREFILL_SHARE * PACING_WINDOW_S
    if rank >= LATE_PRIORITY_OFFSET:
        return LATE_WINDOW_SHARE * window_s
    return window_s * (1 - RESERVED_WINDOW_SHARE * max(0, rank) / MAX_ON_TIME_PRIORITY)


def estimate_pacing_s(tables: Tables, row: UpstreamRow, now: float, rank: int) -> float:
    """Return the seconds until the replica may get another prefill of `rank`."""
    if tables.admission is None:
        return 0.0
    return max(0.0, -find_spare_s(tables, row, now, rank)) / MAX_PREFILL_SHARE


def estimate_own_share(tables: Tables, now: float) -> float:
    """Return the part of the fleet's prefill work that this instance sends."""
    least = 1.0 / max(1, tables.router_count)
    if tables.admission is None:
        return least
    pacing = tables.admission.pacing
    total_s = pacing.fleet_work.read(now)
    share = pacing.own_work.read(now) / total_s if total_s > 0 else 0.0
    return min(1.0, max(least, share))


def estimate_rate(tables: Tables, rank: int, replicas: int, now: float) -> float:
    """Return the seconds of prefill work per second that calls of `rank` may get.

    That is what calls of better ranks leave, at all instances together.
    """
    total = MAX_PREFILL_SHARE * replicas
    if tables.admission is None:
        return total
    works = tables.admission.pacing.work_by_rank.items()
    used = sum(work.read(now) for better, work in works if better < rank)
    return max(LEAST_RATE_SHARE * total, total - used / WORK_AVERAGE_S)


def _read_level(meter: PrefillMeter, now: float) -> float:
    drained_s = MAX_PREFILL_SHARE * max(0.0, now - meter.updated_at)
    return max(0.0, meter.level_s - drained_s)

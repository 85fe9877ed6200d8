"""Simulate a workspace's limit over a fleet whose instances report usage by gossip.

Instances may be killed, or stop as planned in series, and start again.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from catkintrack.fleet import RateLimit
from catkintrack.pooling import (
    PeerReports,
    PooledLimits,
    adopt_level,
    find_reporting,
    record_peer_usage,
    take,
)

Grant = tuple[float, float]
WORKSPACE = "w1"
HOUSEKEEPING_S = 0.25
# From the announcement of a planned stop: how long calls still come, and until its end.
STOP_CALLS_S = 2.5
STOP_S = 3.0
# How long peers stay known after their last report.
REMOVAL_S = 15.0


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Describe the fleet and the calls of one workspace; times in seconds.

    `demand_factor` is the demand as a multiple of the rate, after `calm_s` seconds of
    `calm_factor`.  The instances in `killed` start again at `killed_at`, when all
    together may use `restart_level`.  At each of `stops_at` the next instance stops as
    planned; stopped and killed ones are away for `away_s`.  With `skew` above 0 some instances get more calls than others.
    """

    instances: int
    rate: float
    burst: float
    mean_cost: float
    demand_factor: float
    duration_s: float = 14.0
    calm_s: float = 0.0
    calm_factor: float = 0.5
    skew: float = 0.0
    gossip_interval_s: float = 0.3
    delay_s: float = 0.1
    loss: float = 0.0
    killed: tuple[int, ...] = ()
    killed_at: float = math.inf
    restart_level: float = 0.0
    stops_at: tuple[float, ...] = ()
    away_s: float = 0.0

    @property
    def limit(self) -> RateLimit:
        """Return the limit, in tokens."""
        return RateLimit(self.rate, self.burst, True, 1.0)


@dataclass(slots=True)
class LimitFleet:
    """Hold the instances' limits and what was asked and granted.

    `heard_at` is when each instance last heard each other one.  Calls come to neither
    the `closed` nor the `away` ones, `stopping` ones have announced it.
    """

    load: FleetLoad
    rng: Random
    limits: list[PooledLimits] = field(default_factory=list)
    asked: list[Grant] = field(default_factory=list)
    grants: list[Grant] = field(default_factory=list)
    incarnations: list[int] = field(default_factory=list)
    heard_at: list[dict[int, float]] = field(default_factory=list)
    stopping: set[int] = field(default_factory=set)
    closed: set[int] = field(default_factory=set)
    away: set[int] = field(default_factory=set)


def simulate_fleet(
    load: FleetLoad, seed: int, make_limits: Callable[[int], PooledLimits]
) -> LimitFleet:
    """Return the fleet after `duration_s` of calls and gossip."""
    rng = Random(seed)
    fleet = LimitFleet(load, rng, [make_limits(n) for n in range(load.instances)])
    fleet.incarnations = [1] * load.instances
    fleet.heard_at = [
        {other: 0.0 for other in range(load.instances) if other != number}
        for number in range(load.instances)
    ]
    for number, limits in enumerate(fleet.limits):
        take(limits, WORKSPACE, load.limit, 0.0, 0.0)
        _deliver(fleet, number, 1, 0.0, 0.0, 0.0)
    weights = [rng.paretovariate(1.2) ** load.skew for _ in fleet.limits]
    due: list[tuple[float, int, str, int, int, float, float]] = []
    order = iter(range(10**9))

    def schedule(
        at: float, kind: str, number: int, *, incarnation=0, total=0.0, level=0.0
    ):
        heapq.heappush(due, (at, next(order), kind, number, incarnation, total, level))

    for number in range(load.instances):
        schedule(rng.random() * load.gossip_interval_s, "send", number)
        if load.stops_at:
            schedule(rng.random() * HOUSEKEEPING_S, "house", number)
    for number in load.killed:
        schedule(load.killed_at, "kill", number)
    for number, at in enumerate(load.stops_at):
        schedule(at, "stop", number % load.instances)
    schedule(0.0, "call", 0)
    while due[0][0] < load.duration_s:
        now, _, kind, number, incarnation, total, level = heapq.heappop(due)
        if kind == "call":
            target = rng.choices(range(load.instances), weights)[0]
            while target in fleet.closed or target in fleet.away:
                target = rng.randrange(load.instances)
            _call(fleet, target, now)
            factor = load.calm_factor if now < load.calm_s else load.demand_factor
            pause_s = rng.expovariate(factor * load.rate / load.mean_cost)
            schedule(now + pause_s, "call", 0)
        elif kind == "send":
            bucket = fleet.limits[number].bucket_by_workspace.get(WORKSPACE)
            is_sent = bucket is not None and number not in fleet.away
            if is_sent and rng.random() >= load.loss:
                schedule(
                    now + load.delay_s,
                    "receive",
                    number,
                    incarnation=fleet.incarnations[number],
                    total=bucket.local_total,
                    level=bucket.level,
                )
            schedule(now + load.gossip_interval_s, "send", number)
        elif kind == "house":
            _count_reporting(fleet, number, now)
            schedule(now + HOUSEKEEPING_S, "house", number)
        elif kind == "stop":
            fleet.stopping.add(number)
            schedule(now + STOP_CALLS_S, "close", number)
            schedule(now + STOP_S, "kill", number)
        elif kind == "close":
            fleet.closed.add(number)
        elif kind == "kill" and load.away_s:
            fleet.away.add(number)
            schedule(now + load.away_s, "start", number)
        elif kind in ("kill", "start"):
            _start_again(fleet, number, make_limits, now)
        else:
            _deliver(fleet, number, incarnation, total, level, now)
    return fleet


def _start_again(
    fleet: LimitFleet,
    number: int,
    make_limits: Callable[[int], PooledLimits],
    now: float,
) -> None:
    for states in (fleet.stopping, fleet.closed, fleet.away):
        states.discard(number)
    incarnation = fleet.incarnations[number] = round(now * 1e3)
    limits = fleet.limits[number] = make_limits(number)
    limits.initial_level = fleet.load.restart_level
    limits.known_instances = fleet.load.instances
    limits.incarnation = incarnation
    limits.started_at = now


def _count_reporting(fleet: LimitFleet, number: int, now: float) -> None:
    """Update which part of the fleet an instance hears."""
    peers = [
        PeerReports(now - heard_at, other in fleet.stopping)
        for other, heard_at in fleet.heard_at[number].items()
        if now - heard_at < REMOVAL_S
    ]
    reporting, known = find_reporting(peers)
    fleet.limits[number].reporting_fraction = reporting / known
    fleet.limits[number].known_instances = known


def _call(fleet: LimitFleet, target: int, now: float) -> None:
    load = fleet.load
    cost = load.mean_cost * (0.5 + fleet.rng.random())
    fleet.asked.append((now, cost))
    if take(fleet.limits[target], WORKSPACE, load.limit, cost, now) is None:
        fleet.grants.append((now, cost))


def _deliver(
    fleet: LimitFleet,
    number: int,
    incarnation: int,
    total: float,
    level: float,
    now: float,
) -> None:
    """Record an instance's usage at all others; those that started later adopt its level."""
    for other, limits in enumerate(fleet.limits):
        if other == number or other in fleet.away:
            continue
        fleet.heard_at[other][number] = now
        if incarnation < fleet.incarnations[other]:
            adopt_level(limits, WORKSPACE, level, now)
        record_peer_usage(limits, f"n{number}", incarnation, WORKSPACE, total, now)


def grant_centrally(load: FleetLoad, asked: Iterable[Grant]) -> list[Grant]:
    """Return what one central bucket grants of the same calls."""
    limits = PooledLimits(math.inf, 0.0)
    return [
        (at, cost)
        for at, cost in asked
        if take(limits, WORKSPACE, load.limit, cost, at) is None
    ]


def find_most_in_window(grants: Iterable[Grant], window_s: float) -> float:
    """Return the most tokens that were granted in any window."""
    window: deque[Grant] = deque()
    used = most = 0.0
    for at, cost in grants:
        window.append((at, cost))
        used += cost
        while window[0][0] < at - window_s:
            used -= window.popleft()[1]
        most = max(most, used)
    return most


def find_least_in_window(
    grants: Iterable[Grant], window_s: float, since: float, until: float
) -> float:
    """Return the fewest tokens that were granted in any window between two times."""
    rows = list(grants)
    starts = [since] + [at for at, _ in rows if since < at <= until - window_s]
    return min(
        sum(cost for at, cost in rows if start < at <= start + window_s)
        for start in starts
    )

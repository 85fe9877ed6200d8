"""Simulate a workspace's limit over a fleet whose instances report usage by gossip.

Instances may be killed, or stop as planned in series, and start again.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from catkintrack.fleet import RateLimit
from catkintrack.instance.peers import PEER_TIMEOUT_S
from catkintrack.pooling import (
    PeerReports,
    PooledLimits,
    adopt_level,
    find_reporting,
    record_peer_usage,
    take,
)

from .virtual_time import Action, run_until, schedule_in

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
    planned; stopped and killed ones are away for `away_s`.  With `skew` above 0 some
    instances get more calls than others.
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
    the `closed` nor the `away` ones, `stopping` ones have announced it.  `events` are
    the actions to come, by their times.
    """

    load: FleetLoad
    rng: Random
    make_limits: Callable[[int], PooledLimits]
    now: float = 0.0
    events: list[tuple[float, int, Action]] = field(default_factory=list)
    event_count: int = 0
    weights: list[float] = field(default_factory=list)
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
    fleet = _make_fleet(load, Random(seed), make_limits)
    for number in range(load.instances):
        delay_s = fleet.rng.random() * load.gossip_interval_s
        schedule_in(fleet, delay_s, lambda n=number: _send(fleet, n))
        if load.stops_at:
            delay_s = fleet.rng.random() * HOUSEKEEPING_S
            schedule_in(fleet, delay_s, lambda n=number: _keep_house(fleet, n))
    for number in load.killed:
        schedule_in(fleet, load.killed_at, lambda n=number: _end(fleet, n))
    for number, at in enumerate(load.stops_at):
        schedule_in(fleet, at, lambda n=number % load.instances: _stop(fleet, n))
    schedule_in(fleet, 0.0, lambda: _arrive(fleet))
    run_until(fleet, load.duration_s)
    return fleet


def _make_fleet(
    load: FleetLoad, rng: Random, make_limits: Callable[[int], PooledLimits]
) -> LimitFleet:
    """Return a fleet in which all instances have heard of each other."""
    numbers = range(load.instances)
    fleet = LimitFleet(load, rng, make_limits, limits=[make_limits(n) for n in numbers])
    fleet.incarnations = [1] * load.instances
    fleet.heard_at = [{other: 0.0 for other in numbers if other != n} for n in numbers]
    for number, limits in enumerate(fleet.limits):
        take(limits, WORKSPACE, load.limit, 0.0, 0.0)
        _deliver(fleet, number, 1, 0.0, 0.0)
    fleet.weights = [rng.paretovariate(1.2) ** load.skew for _ in numbers]
    return fleet


def _arrive(fleet: LimitFleet) -> None:
    """Let a call arrive at an instance, and the next one later."""
    load, rng, now = fleet.load, fleet.rng, fleet.now
    target = rng.choices(range(load.instances), fleet.weights)[0]
    while target in fleet.closed or target in fleet.away:
        target = rng.randrange(load.instances)
    cost = load.mean_cost * (0.5 + rng.random())
    fleet.asked.append((now, cost))
    if take(fleet.limits[target], WORKSPACE, load.limit, cost, now) is None:
        fleet.grants.append((now, cost))
    factor = load.calm_factor if now < load.calm_s else load.demand_factor
    pause_s = rng.expovariate(factor * load.rate / load.mean_cost)
    schedule_in(fleet, pause_s, lambda: _arrive(fleet))


def _send(fleet: LimitFleet, number: int) -> None:
    """Let an instance report its usage, and again after the interval."""
    load = fleet.load
    bucket = fleet.limits[number].bucket_by_workspace.get(WORKSPACE)
    is_sent = bucket is not None and number not in fleet.away
    if is_sent and fleet.rng.random() >= load.loss:
        report = (fleet.incarnations[number], bucket.local_total, bucket.level)
        schedule_in(fleet, load.delay_s, lambda: _deliver(fleet, number, *report))
    schedule_in(fleet, load.gossip_interval_s, lambda: _send(fleet, number))


def _deliver(
    fleet: LimitFleet, number: int, incarnation: int, total: float, level: float
) -> None:
    """Record an instance's usage at all others; those that started later adopt its level."""
    now = fleet.now
    for other, limits in enumerate(fleet.limits):
        if other == number or other in fleet.away:
            continue
        fleet.heard_at[other][number] = now
        if incarnation < fleet.incarnations[other]:
            adopt_level(limits, WORKSPACE, level, now)
        record_peer_usage(limits, f"n{number}", incarnation, WORKSPACE, total, now)


def _stop(fleet: LimitFleet, number: int) -> None:
    """Let an instance announce its stop, then get no more calls, then end."""
    fleet.stopping.add(number)
    schedule_in(fleet, STOP_CALLS_S, lambda: fleet.closed.add(number))
    schedule_in(fleet, STOP_S, lambda: _end(fleet, number))


def _end(fleet: LimitFleet, number: int) -> None:
    """End an instance, which starts again, at once or after a time away."""
    if not fleet.load.away_s:
        _start(fleet, number)
        return
    fleet.away.add(number)
    schedule_in(fleet, fleet.load.away_s, lambda: _start(fleet, number))


def _start(fleet: LimitFleet, number: int) -> None:
    for states in (fleet.stopping, fleet.closed, fleet.away):
        states.discard(number)
    incarnation = fleet.incarnations[number] = round(fleet.now * 1e3)
    limits = fleet.limits[number] = fleet.make_limits(number)
    limits.initial_level = fleet.load.restart_level
    limits.known_instances = fleet.load.instances
    limits.incarnation = incarnation
    limits.started_at = fleet.now


def _keep_house(fleet: LimitFleet, number: int) -> None:
    """Update which part of the fleet an instance hears, and again after the interval."""
    peers = [
        PeerReports(fleet.now - heard_at < PEER_TIMEOUT_S, other in fleet.stopping)
        for other, heard_at in fleet.heard_at[number].items()
        if fleet.now - heard_at < REMOVAL_S
    ]
    reporting, known = find_reporting(peers)
    fleet.limits[number].reporting_fraction = reporting / known
    fleet.limits[number].known_instances = known
    schedule_in(fleet, HOUSEKEEPING_S, lambda: _keep_house(fleet, number))


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

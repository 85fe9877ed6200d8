"""Play calls of several zones against the decision to leave the zone, tick by tick."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from catkintrack.decisions.zones import (
    ZoneTable,
    estimate_zone_cost_s,
    is_observation_due,
    observe_waits,
)

TICK_S = 0.02
FIGURES_AGE_S = 0.15
INSTANCES_PER_ZONE = 8
# Of one zone with all its replicas.
CALLS_PER_S = 200.0
SERVICE = "m1"


@dataclass
class ZoneLoads:
    """Hold the backlog of each zone, in calls, and what its instances decide."""

    load_by_zone: dict[str, float]
    capacity_by_zone: dict[str, float]
    rng: Random = field(default_factory=lambda: Random(11))
    figures_age_s: float = FIGURES_AGE_S
    now: float = 100.0
    queued_by_zone: dict[str, float] = field(default_factory=dict)
    past_waits: deque[dict[str, float]] = field(default_factory=deque)
    tables_by_zone: dict[str, list[ZoneTable]] = field(default_factory=dict)
    leaving_shares: dict[str, list[float]] = field(default_factory=dict)
    waits: dict[str, list[float]] = field(default_factory=dict)
    on_sent: Callable[[ZoneTable, str, float], None] = lambda table, zone, now: None

    def __post_init__(self) -> None:
        """Create the tables of all instances."""
        for zone in self.load_by_zone:
            self.queued_by_zone[zone] = 0.0
            self.leaving_shares[zone] = []
            self.waits[zone] = []
            self.tables_by_zone[zone] = [
                ZoneTable(zone) for _ in range(INSTANCES_PER_ZONE)
            ]

    def run(self, seconds: float) -> None:
        """Play calls for a time."""
        for _ in range(round(seconds / TICK_S)):
            self._tick()

    def find_share(self, zone: str, seconds: float) -> float:
        """Return the share of calls that left a zone over the last seconds."""
        recent = self.leaving_shares[zone][-round(seconds / TICK_S) :]
        return sum(recent) / len(recent)

    def find_wait_s(self, zone: str, seconds: float) -> float:
        """Return the longest wait in a zone over the last seconds."""
        return max(self.waits[zone][-round(seconds / TICK_S) :])

    def find_mean_wait_s(self, zone: str, seconds: float) -> float:
        """Return the mean wait in a zone over the last seconds."""
        recent = self.waits[zone][-round(seconds / TICK_S) :]
        return sum(recent) / len(recent)

    def list_shares_per_second(self, zone: str, seconds: int) -> list[float]:
        """Return the share of calls that left a zone, second by second."""
        ticks = round(1.0 / TICK_S)
        recent = self.leaving_shares[zone][-seconds * ticks :]
        return [
            sum(recent[i : i + ticks]) / ticks for i in range(0, len(recent), ticks)
        ]

    def _tick(self) -> None:
        self.now += TICK_S
        waits = {
            zone: queued / (CALLS_PER_S * self.capacity_by_zone[zone])
            for zone, queued in self.queued_by_zone.items()
            if self.capacity_by_zone[zone] > 0
        }
        for zone, wait_s in waits.items():
            self.waits[zone].append(wait_s)
        self.past_waits.append(waits)
        while len(self.past_waits) > self.figures_age_s / TICK_S:
            self.past_waits.popleft()
        seen = self.past_waits[0]
        arrived = dict.fromkeys(self.queued_by_zone, 0.0)
        for zone, load in self.load_by_zone.items():
            calls = load * CALLS_PER_S * TICK_S
            count = int(calls) + (self.rng.random() < calls % 1)
            left = 0
            for _ in range(count):
                table = self.rng.choice(self.tables_by_zone[zone])
                chosen = self._choose(table, seen)
                self.on_sent(table, chosen, self.now)
                arrived[chosen] += 1
                left += chosen != zone
            self.leaving_shares[zone].append(left / count if count else 0.0)
        for zone, count in arrived.items():
            served = CALLS_PER_S * self.capacity_by_zone[zone] * TICK_S
            queued = self.queued_by_zone[zone] + count - served
            self.queued_by_zone[zone] = max(0.0, queued)

    def _choose(self, table: ZoneTable, seen: dict[str, float]) -> str:
        if is_observation_due(table, SERVICE, self.now):
            observe_waits(table, SERVICE, seen, self.now)
        draw = self.rng.random()
        return min(
            seen,
            key=lambda zone: (
                seen[zone]
                + estimate_zone_cost_s(table, zone, self.now, SERVICE, 10_000, draw)
            ),
        )

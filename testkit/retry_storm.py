"""Let a fleet with hubs retry all that its budget allows, while it is disturbed."""

from __future__ import annotations

import bisect
import time
from dataclasses import dataclass, field, replace
from random import Random

import curio

from catkintrack.decisions.retries import add_retry_credit, take_retry
from catkintrack.instance.retry_budgets import find_retry_budget, share_retry_budgets
from catkintrack.instance.state import Instance

from .config_faults import Faults
from .config_fleet import ConfigFleet, open_config_fleet

SERVICE = "app"
TICK_S = 0.25
# What the grown deployments allow an instance beyond the ratio.
EXTRA_PER_INSTANCE = 2.6
REQUESTS_PER_S = 4.0
CALM_S = 12.0


@dataclass
class Storm:
    """Hold the fleet, and when its requests and retries were sent."""

    fleet: ConfigFleet
    requests_at: list[float] = field(default_factory=list)
    retries_at: list[float] = field(default_factory=list)

    async def run(self) -> None:
        """Retry each request as often as the budget allows, until cancelled."""
        while True:
            await curio.sleep(TICK_S)
            for member in self.fleet.member_by_name.values():
                if member.instance is not None:
                    self._serve(member.instance)

    def _serve(self, instance: Instance) -> None:
        now = time.monotonic()
        share_retry_budgets(instance, now)
        mean = REQUESTS_PER_S * TICK_S
        count = int(mean) + (self.fleet.rng.random() < mean % 1)
        for _ in range(count):
            budget = find_retry_budget(instance, SERVICE)
            add_retry_credit(budget)
            self.requests_at.append(now)
            while take_retry(budget):
                self.retries_at.append(now)

    def find_worst_share(self) -> float:
        """Return the largest part of the allowed retries sent in any window."""
        bounds = next(iter(self.fleet.member_by_name.values())).site.bounds
        return max(
            (
                _count_before(self.retries_at, end, bounds.retry_window_s)
                / (
                    bounds.retry_ratio
                    * _count_before(self.requests_at, end, bounds.retry_window_s)
                    + bounds.retry_extra
                )
                for end in sorted(set(self.retries_at))
            ),
            default=0.0,
        )


def _count_before(times: list[float], end: float, window_s: float) -> int:
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, end - window_s)


async def play_storm(seed: int, size: int, faults: int) -> float:
    """Return the worst share of the budget while a fleet starts and is disturbed."""
    rng = Random(seed)
    async with open_config_fleet(size, rng) as fleet:
        for member in fleet.member_by_name.values():
            extra = EXTRA_PER_INSTANCE * size
            bounds = replace(member.site.bounds, retry_extra=extra)
            member.site = replace(member.site, bounds=bounds)
            member.instance.site = replace(member.instance.site, bounds=bounds)
        storm = Storm(fleet)
        await curio.sleep(CALM_S)
        await curio.spawn(storm.run, daemon=True)
        await curio.sleep(CALM_S)
        disturbance = Faults(fleet)
        for _ in range(faults):
            await curio.spawn(disturbance.run_random_fault, daemon=True)
            await curio.sleep(rng.choice((0, rng.uniform(0, 6))))
        await curio.sleep(CALM_S)
        return storm.find_worst_share()

"""Disturb a fleet at random, and find instances that keep an outdated configuration."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from random import Random

import curio

from .config_fleet import ConfigFleet, Path, list_stale, open_config_fleet

FLEET_SIZE = 32
# All instances know each other by then.
SETTLE_S = 8.0
CHECK_INTERVAL_S = 0.1
CHANGES = 6
FAULTS = ("killed", "silent", "refused", "cut off")


@dataclass
class Faults:
    """Hold the faulty members, and since when each other one is sound again.

    `lateness_s_by_name` is how old a change was that a sound member had not applied.
    """

    fleet: ConfigFleet
    fault_by_name: dict[str, str] = field(default_factory=dict)
    sound_since_by_name: dict[str, float] = field(default_factory=dict)
    lateness_s_by_name: dict[str, float] = field(default_factory=dict)

    def list_sound(self) -> list[str]:
        """Return the members without a fault of their own for the stable window.

        One that is cut off from the others reaches the store, and has to use it.
        """
        now = time.monotonic()
        return [
            name
            for name in self.fleet.list_running()
            if self.fault_by_name.get(name, "cut off") == "cut off"
            and now - self.sound_since_by_name.get(name, -1e9)
            >= self.fleet.member_by_name[name].site.bounds.stable_window_s
        ]

    async def run_random_fault(self) -> None:
        """Let some members have the same fault for a while."""
        rng, fleet = self.fleet.rng, self.fleet
        fault = rng.choice(FAULTS)
        names = [n for n in self._choose_members() if n not in self.fault_by_name]
        lasts_s = 0.3 if fault == "killed" else rng.uniform(0.3, 6)
        self.fault_by_name |= dict.fromkeys(names, fault)
        for name in names:
            await begin_fault(fleet, name, fault)
        await curio.sleep(lasts_s)
        for name in names:
            await end_fault(fleet, name, fault)
            del self.fault_by_name[name]
            self.sound_since_by_name[name] = time.monotonic()

    def _choose_members(self) -> list[str]:
        fleet, rng = self.fleet, self.fleet.rng
        running = fleet.list_running()
        match rng.choice(("any", "readers", "hubs")):
            case "readers":
                return fleet.list_watching()
            case "hubs":
                return sorted({fleet.find_hub(name) for name in running})
            case _:
                return rng.sample(running, min(len(running), rng.choice((1, 2, 4, 10))))

    async def check(self) -> None:
        """Record what sound members have not applied in time, until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            sound = self.list_sound()
            for version, acked_at in self.fleet.acked_at_by_version.items():
                age_s = now - acked_at
                for name in list_stale(self.fleet, sound, version):
                    bounds = self.fleet.member_by_name[name].site.bounds
                    if age_s > bounds.config_apply_s:
                        known_s = self.lateness_s_by_name.get(name, 0.0)
                        self.lateness_s_by_name[name] = max(known_s, round(age_s, 2))


async def begin_fault(fleet: ConfigFleet, name: str, fault: str) -> None:
    """Begin a fault of a member."""
    match fault:
        case "killed":
            await fleet.kill(name)
        case "cut off":
            fleet.cut_off(name)
        case _:
            fleet.store.set_path(name, Path(fault))


async def end_fault(fleet: ConfigFleet, name: str, fault: str) -> None:
    """End a fault of a member."""
    match fault:
        case "killed":
            await fleet.start(name)
        case "cut off":
            fleet.mend(name)
        case _:
            fleet.store.set_path(name, Path.OPEN)


async def find_late_members(seed: int) -> dict[str, float]:
    """Return the members that applied a change too late, and its age in seconds."""
    rng = Random(seed)
    async with open_config_fleet(FLEET_SIZE, rng) as fleet:
        await curio.sleep(SETTLE_S + rng.random())
        faults = Faults(fleet)
        await curio.spawn(faults.check, daemon=True)
        for _ in range(CHANGES):
            for _ in range(rng.randint(1, 3)):
                await curio.spawn(faults.run_random_fault, daemon=True)
                await curio.sleep(rng.choice((0, rng.uniform(0, 1.5))))
            await curio.sleep(rng.choice((0, rng.uniform(0, 1))))
            await fleet.change_config()
            await curio.sleep(rng.uniform(4, 8))
        await curio.sleep(SETTLE_S / 2)
        return faults.lateness_s_by_name

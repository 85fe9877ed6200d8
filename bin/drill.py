"""Drill instances as real processes, one seeded plan of disruptions a run."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fire

from testkit.drill import DrillSize, run_drill
from testkit.drill_checks import find_violations, summarize
from testkit.drill_faults import make_endless_plan, make_incident_plan, make_mixed_plan
from testkit.drill_unconfirmed import (
    CLOSED_SHARE,
    SILENCE_S,
    UNCONFIRMED_SIZE,
    make_unconfirmed_plan,
)


def main(
    seeds: int = 1,
    first: int = 1,
    plan: str = "mixed",
    seconds: float = 24.0,
    services: str | tuple[str, ...] = "models,app",
    place: str = "",
    kill_lead_s: float | None = None,
    silence_s: tuple[float, float] = SILENCE_S,
    closed_share: float = CLOSED_SHARE,
    logs: str = "",
    **changes: float,
) -> None:
    """Run a number of seeds and end with status 1 if a check broke.

    Plans are `incident`, silences of `services` beside changes of the configuration,
    `endless`, one long fault of engines at a `place`, `mixed`, all kinds of disruptions,
    and `unconfirmed`, engines that take no new connections while others fall silent.
    `changes` are those of the plan's DrillSize.
    """
    size = UNCONFIRMED_SIZE if plan == "unconfirmed" else DrillSize()
    size = replace(size, **changes)
    names = tuple(services.split(",") if isinstance(services, str) else services)
    make_by_plan = {
        "incident": lambda r: make_incident_plan(r, seconds, names, kill_lead_s),
        "endless": lambda r: make_endless_plan(r, seconds, place, kill_lead_s),
        "mixed": lambda r: make_mixed_plan(r, seconds),
        "unconfirmed": lambda r: make_unconfirmed_plan(
            r, seconds, tuple(silence_s), closed_share
        ),
    }
    failed = 0
    for seed in range(first, first + seeds):
        steps = make_by_plan[plan](Random(seed))
        run = run_drill(seed, steps, size, Path(logs) / str(seed) if logs else None)
        violations = find_violations(run)
        print(f"seed {seed}: {len(violations)} broken", flush=True)
        notes = [f"{at - run.began_at:.2f} s {text}" for at, text in run.notes]
        for line in (*notes, *summarize(run)):
            print(f"  {line}", flush=True)
        for line in violations:
            print(f"  BROKEN {line}", flush=True)
        failed += bool(violations)
    print(f"{seeds - failed} of {seeds} seeds clean")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)

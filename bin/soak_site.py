"""Run soak tests of instances on a simulated users' platform, one fault seed a run."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fire

from testkit.site_soak import SoakSize, run_soak


def main(
    seeds: int = 10,
    first: int = 1,
    seconds: float = 15.0,
    nodes: int = 3,
    models: int = 3,
    apps: int = 2,
    callers: int = 4,
) -> None:
    """Run a number of seeds and end with status 1 if a promise was broken."""
    size = SoakSize(nodes, models, apps, callers)
    failed = 0
    for seed in range(first, first + seeds):
        violations, soak = run_soak(seed, seconds, size)
        statuses = Counter(outcome.status for outcome in soak.outcomes)
        print(f"seed {seed}: {len(soak.actions)} faults, {dict(statuses)}", flush=True)
        for line in violations:
            print(f"  BROKEN {line}", flush=True)
        if violations:
            print(f"  faults: {' '.join(soak.actions)}", flush=True)
        failed += bool(violations)
    print(f"{seeds - failed} of {seeds} seeds clean")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)

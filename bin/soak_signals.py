"""Simulate replicas that leave, rest and restart over many seeds, in virtual time."""

from __future__ import annotations

import logging
import sys
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from testkit.signal_fleet import check_fleet, make_plan, simulate_signals


def main(seeds: int = 200, first: int = 0) -> None:
    """Run a number of seeds and end with status 1 if one of them found a fault."""
    logging.disable(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + seeds):
        faults = check_fleet(simulate_signals(make_plan(seed), seed))
        failed += bool(faults)
        for fault in faults:
            print(f"seed {seed}: {fault}")
    print(f"{seeds - failed} of {seeds} seeds clean")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)

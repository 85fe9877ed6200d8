"""Compare placement policies on the users' workloads, with real processes.

Writes build/bench.json and prints it as a table.
"""

from __future__ import annotations

import json
import signal
import sys
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import curio
import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from catkintrack.cli.output import format_rows
from loadtool.client import Outcome, replay
from loadtool.measures import (
    RateLimit,
    compute_hit_rate_bound,
    compute_percentile,
    compute_worst_and_median_p99,
    count_recomputed_tokens,
    count_refused_within_rate,
    count_tokens_over_rate,
    group_ttft_by_workspace,
)
from loadtool.workloads import (
    CASES,
    SITES,
    Case,
    SiteProfile,
    TraceRow,
    generate_trace,
    get_greedy_workspace,
)
from testkit.configs import make_api_key, make_config, make_workspace
from testkit.fleet import Fleet, open_fleet, wait_until

POLICIES = ("round_robin", "least_loaded", "prefix_hash", "catkintrack")
CACHE_TOKENS = 65536
CRASH_DOWN_S = 2.0
# A workspace's limit is twice its average traffic, with bursts of some seconds.
RATE_HEADROOM = 2.0
BURST_S = 8.0
BUILD = Path(__file__).resolve().parent.parent / "build"


def compute_limits(
    site: SiteProfile, rows: list[TraceRow], case: Case, duration_s: float
) -> dict[str, RateLimit]:
    """Return rate limits that fit each workspace's normal traffic."""
    limits = {}
    for workspace in site.histories_by_workspace:
        tokens = sum(
            sum(len(m["content"]) for m in row.messages) / 4 + row.max_tokens
            for row in rows
            if row.workspace == workspace
        )
        factor = case.greedy_factor if workspace == get_greedy_workspace(site) else 1.0
        rate = RATE_HEADROOM * tokens / duration_s / factor
        limits[workspace] = RateLimit(int(rate) + 1, int(rate * BURST_S) + 20000)
    return limits


def start_fleet(
    fleet: Fleet,
    site: SiteProfile,
    policy: str,
    seed: int,
    limits: dict[str, RateLimit],
) -> None:
    """Start a site's platform, engines and instances."""
    fleet.settings["router"] = {"placement": {"policy": policy, "seed": seed}}
    fleet.settings["logging"] = {"level": "WARNING"}
    fleet.start_platform()
    for number in range(site.engines):
        fleet.start_engine(f"e{number}", cache_tokens=CACHE_TOKENS)
    workspaces = {
        name: make_workspace(
            "paid" if name in site.paid_workspaces else "free", limit.rate, limit.burst
        )
        for name, limit in limits.items()
    }
    kinds = make_config(workspaces, fleet.engine_port_by_name, zones=site.zones)
    fleet.apply_config(kinds)
    for number in range(site.instances):
        fleet.make_node(f"n{number}", site.zones[number % len(site.zones)])
    fleet.publish_instances()
    fleet.start_nodes()


def plan_actions(fleet: Fleet, case: Case, duration_s: float) -> list:
    """Return the failures to cause during the run, as (seconds, action)."""
    at = 0.4 * duration_s
    actions = []
    if case.has_crash:

        def crash() -> None:
            fleet.set_engine_faults("e0", crash=True, is_down=True)
            threading.Timer(
                CRASH_DOWN_S, lambda: fleet.set_engine_faults("e0", is_down=False)
            ).start()

        actions.append((at, crash))
    if case.has_restart:

        def restart() -> None:
            nodes = list(fleet.node_by_name.values())[::2]
            for node in nodes:
                node.router.send_signal(signal.SIGTERM)
            for node in nodes:
                node.router.wait(60)
                node.router.start()

        actions.append((at, restart))
    return actions


def run_trace(
    site: SiteProfile, case: Case, policy: str, seed: int, duration_s: float
) -> dict[str, object]:
    """Run one policy on one trace and return its metrics."""
    rows = generate_trace(site, case, seed, duration_s)
    limits = compute_limits(site, rows, case, duration_s)
    with open_fleet(BUILD / "bench" / f"{site.name}-{case.name}-{policy}") as fleet:
        start_fleet(fleet, site, policy, seed, limits)
        keys = {name: make_api_key(name) for name in limits}
        ports = tuple(node.listen_port for node in fleet.node_by_name.values())
        actions = plan_actions(fleet, case, duration_s)
        outcomes = curio.run(replay, rows, keys, ports, seed, actions)
        wait_until(lambda: all(_is_idle(fleet, name) for name in fleet.node_by_name))
        counts = [fleet.read_engine_counts(name) for name in fleet.engine_port_by_name]
    return make_row(site, case, policy, seed, rows, limits, outcomes, counts)


def _is_idle(fleet: Fleet, name: str) -> bool:
    dump = fleet.dump_router(name)
    return bool(dump) and dump["open_calls"] == 0


def make_row(
    site: SiteProfile,
    case: Case,
    policy: str,
    seed: int,
    rows: list[TraceRow],
    limits: dict[str, RateLimit],
    outcomes: list[Outcome],
    counts: list[dict],
) -> dict[str, object]:
    """Return the metrics of one run."""
    served = [outcome for outcome in outcomes if outcome.status == 200]
    served_rows = [outcome.row for outcome in served]
    times = [o.first_token_s for o in served if o.first_token_s is not None]
    worst, median = compute_worst_and_median_p99(served)
    prompt = sum(count["prompt_tokens"] for count in counts)
    hit = sum(count["hit_tokens"] for count in counts)
    prefilled = sum(count["prefilled_tokens"] for count in counts)
    by_workspace = {
        name: [o for o in outcomes if o.row.workspace == name] for name in limits
    }
    by_tier: dict[str, list[float]] = {"paid": [], "free": []}
    for name, values in group_ttft_by_workspace(served).items():
        by_tier["paid" if name in site.paid_workspaces else "free"] += values
    capacity = CACHE_TOKENS * site.engines
    return {
        "site": site.name,
        "case": case.name,
        "policy": policy,
        "seed": seed,
        "requests": len(outcomes),
        "hit_rate": round(hit / max(1, prompt), 4),
        "hit_rate_bound": round(compute_hit_rate_bound(served_rows, capacity), 4),
        "ttft_p50_s": round(compute_percentile(times, 0.5), 4),
        "ttft_p99_s": round(compute_percentile(times, 0.99), 4),
        "recomputed_tokens": count_recomputed_tokens(served_rows, prefilled),
        "worst_workspace_ttft_p99_s": round(worst, 4),
        "median_workspace_ttft_p99_s": round(median, 4),
        "paid_ttft_p99_s": round(compute_percentile(by_tier["paid"], 0.99), 4),
        "free_ttft_p99_s": round(compute_percentile(by_tier["free"], 0.99), 4),
        "refused_within_rate": sum(
            count_refused_within_rate(by_workspace[name], limit)
            for name, limit in limits.items()
        ),
        "admitted_over_rate_tokens": round(
            sum(
                count_tokens_over_rate(by_workspace[name], limit)
                for name, limit in limits.items()
            )
        ),
        "refused": sum(o.code == "rate_limit_exceeded" for o in outcomes),
        "wrong_or_cut_answers": sum(not o.is_correct for o in served)
        + sum(o.status == 0 for o in outcomes),
        "other_failures": sorted(
            {o.code for o in outcomes if o.code and o.code != "rate_limit_exceeded"}
        ),
    }


def split_names(names: str | tuple[str, ...]) -> list[str]:
    """Split comma-separated names, which `fire` may already have split."""
    return names.split(",") if isinstance(names, str) else list(names)


def main(
    sites: str = ",".join(SITES),
    cases: str = ",".join(CASES),
    policies: str = ",".join(POLICIES),
    seed: int = 1,
    duration_s: float = 25.0,
    side_by_side: int = 2,
    out: str = "bench.json",
) -> None:
    """Run every site, case and policy; runs of one trace follow each other."""
    runs = [
        (SITES[site], CASES[case], policy, seed, float(duration_s))
        for case in split_names(cases)
        for policy in split_names(policies)
        for site in split_names(sites)
    ]
    started = time.monotonic()
    BUILD.mkdir(exist_ok=True)
    with ProcessPoolExecutor(side_by_side) as pool:
        rows = list(pool.map(run_trace, *zip(*runs, strict=True)))
    rows.sort(key=lambda row: (row["site"], row["case"]))
    (BUILD / out).write_text(json.dumps(rows, indent=1) + "\n")
    print(format_rows(rows))
    print(f"{len(rows)} runs in {time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    fire.Fire(main)

"""Measure the overhead of a router on streams, against direct calls to the engines.

The load is one node's share at the design size: 15 requests and about 5,000 tokens per
second.  Writes build/relay.json.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from pathlib import Path
from random import Random

import curio
import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from catkintrack.cli.output import format_rows
from loadtool.client import Outcome, replay
from loadtool.measures import compute_percentile
from loadtool.workloads import TraceRow
from testkit.caller import make_messages
from testkit.configs import make_api_key, make_config, make_workspace
from testkit.fleet import Fleet, open_fleet

BUILD = Path(__file__).resolve().parent.parent / "build"
ENGINES = 4
REQUESTS_PER_S = 15.0
ANSWER_TOKENS = 339
WARM_UP_S = 8.0


def write_rows(duration_s: float, answer_tokens: int) -> list[TraceRow]:
    """Return requests with short prompts and Poisson arrivals."""
    rng = Random(1)
    rows = []
    at = 0.0
    while at < duration_s:
        messages = make_messages("a", f"question {rng.random()}")
        rows.append(TraceRow(at, "w1", messages, answer_tokens))
        at += rng.expovariate(REQUESTS_PER_S)
    return rows


class ProcessMeter:
    """Sample the CPU time and the memory of a process."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.samples: list[tuple[float, float, float]] = []

    def sample(self) -> None:
        """Record the time, the CPU seconds and the resident bytes."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        cpu = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        self.samples.append((time.monotonic(), cpu, pages * 4096.0))

    def cores(self) -> float:
        """Return the mean CPU cores used between the first and the last sample."""
        first, last = self.samples[0], self.samples[-1]
        return (last[1] - first[1]) / (last[0] - first[0])


def measure(
    rows: list[TraceRow],
    ports: tuple[int, ...],
    meters: list[ProcessMeter],
    duration_s: float,
) -> dict[str, float]:
    """Send the rows and return the client-side figures after the warm-up."""
    timers = [
        threading.Timer(at, meter.sample)
        for meter in meters
        for at in (WARM_UP_S, duration_s)
    ]
    for timer in timers:
        timer.start()
    keys = {"w1": make_api_key("w1")}
    outcomes = curio.run(replay, rows, keys, ports, 1, [])
    for timer in timers:
        timer.join()
    measured = [o for o in outcomes if o.row.at >= WARM_UP_S and o.status == 200]
    return summarize_run(measured, outcomes, duration_s)


def summarize_run(
    measured: list[Outcome], outcomes: list[Outcome], duration_s: float
) -> dict[str, float]:
    """Return the figures of one run; times in milliseconds."""
    first = [o.first_token_s for o in measured if o.first_token_s is not None]
    gaps = [
        b - a
        for o in measured
        for a, b in zip(o.token_times, o.token_times[1:], strict=False)
    ]
    window = (WARM_UP_S, duration_s)
    tokens = sum(window[0] <= t < window[1] for o in outcomes for t in o.token_times)
    whole = sum(o.is_whole for o in outcomes)
    return {
        "requests": len(outcomes),
        "whole": whole,
        "tokens_per_s": tokens / (window[1] - window[0]),
        "first_token_p50_ms": 1000 * compute_percentile(first, 0.5),
        "first_token_p99_ms": 1000 * compute_percentile(first, 0.99),
        "between_tokens_p50_ms": 1000 * compute_percentile(gaps, 0.5),
        "between_tokens_p95_ms": 1000 * compute_percentile(gaps, 0.95),
        "between_tokens_mean_ms": 1000 * sum(gaps) / max(1, len(gaps)),
    }


def start_fleet(fleet: Fleet, answer_tokens: int) -> None:
    """Start one instance and engines whose responses have `answer_tokens` tokens."""
    fleet.settings["logging"] = {"level": "WARNING"}
    fleet.start_platform()
    for number in range(ENGINES):
        fleet.start_engine(f"e{number}", max_running=80, answer_tokens=answer_tokens)
    workspaces = {"w1": make_workspace(rate=10**8, burst=10**8)}
    kinds = make_config(workspaces, fleet.engine_port_by_name, max_running=80)
    fleet.apply_config(kinds)
    fleet.make_node("n0", "z1")
    fleet.publish_instances()
    fleet.start_nodes()


def main(duration_s: float = 24.0, answer_tokens: int = ANSWER_TOKENS) -> None:
    """Run the load directly, through the router, and directly again."""
    rows = write_rows(float(duration_s), answer_tokens)
    with open_fleet() as fleet:
        start_fleet(fleet, answer_tokens)
        node = fleet.node_by_name["n0"]
        direct = tuple(fleet.engine_port_by_name.values())
        router = ProcessMeter(node.router.popen.pid)
        agent = ProcessMeter(node.agent.popen.pid)
        idle = ProcessMeter(node.router.popen.pid)
        idle.sample()
        runs = [("direct", measure(rows, direct, [], duration_s))]
        routed = measure(rows, (node.listen_port,), [router, agent], duration_s)
        runs.append(("router", routed))
        runs.append(("direct again", measure(rows, direct, [], duration_s)))
    table = [
        {"path": name, **{k: round(v, 2) for k, v in row.items()}} for name, row in runs
    ]
    open_streams = routed["tokens_per_s"] * routed["between_tokens_mean_ms"] / 1000
    cores = router.cores()
    memory_growth = router.samples[-1][2] - idle.samples[0][2]
    base = min(runs[0][1]["first_token_p99_ms"], runs[2][1]["first_token_p99_ms"])
    summary = {
        "added_first_token_p50_ms": routed["first_token_p50_ms"]
        - runs[0][1]["first_token_p50_ms"],
        "added_first_token_p99_ms": routed["first_token_p99_ms"] - base,
        "added_between_tokens_mean_ms": routed["between_tokens_mean_ms"]
        - runs[0][1]["between_tokens_mean_ms"],
        "router_cores": cores,
        "agent_cores": agent.cores(),
        "tokens_per_s_per_core": routed["tokens_per_s"] / cores,
        "requests_per_s_per_core": REQUESTS_PER_S / cores,
        "open_streams": open_streams,
        "memory_per_open_stream_kb": memory_growth / 1024 / max(1.0, open_streams),
        "router_memory_mb": router.samples[-1][2] / 1e6,
        "agent_memory_mb": agent.samples[-1][2] / 1e6,
    }
    BUILD.mkdir(exist_ok=True)
    (BUILD / "relay.json").write_text(
        json.dumps({"runs": table, "summary": summary}, indent=1) + "\n"
    )
    print(format_rows(table))
    for name, value in summary.items():
        print(f"{name}: {value:.3f}")


if __name__ == "__main__":
    fire.Fire(main)

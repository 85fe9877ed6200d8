"""Run a mixed load for minutes under seeded faults and check the guarantees.

Writes build/soak.json and exits with 1 if a guarantee is violated.
"""

from __future__ import annotations

import json
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from random import Random

import curio
import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from loadtool.client import Outcome, replay
from loadtool.workloads import BLOMAVEFUR, CASES, generate_trace, replace_request_rate
from testkit.caller import call_http
from testkit.configs import make_api_key, make_config, make_workspace
from testkit.fleet import Fleet, open_fleet

BUILD = Path(__file__).resolve().parent.parent / "build"
ENGINES = 3
SERVICES = 2
INSTANCES = 4
REQUESTS_PER_S = 6.0
FAULT_INTERVAL_S = 4.0
MEMORY_INTERVAL_S = 5.0
MEMORY_GROWTH_ALLOWED_KB = 32 * 1024


class FaultInjector:
    """Inject random faults and count them.

    The method names of the faults are keys of the report.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = Random(seed)
        self.counts: Counter[str] = Counter()
        self.killed_at: list[float] = []

    def kill_router(self) -> None:
        """Kill and restart a router."""
        node = self.rng.choice(list(self.fleet.node_by_name.values()))
        node.router.kill()
        node.router.start()

    def kill_agent(self) -> None:
        """Kill and restart an agent."""
        node = self.rng.choice(list(self.fleet.node_by_name.values()))
        node.agent.kill()
        node.agent.start()

    def freeze_agent(self) -> None:
        """Freeze an agent for up to a few seconds."""
        node = self.rng.choice(list(self.fleet.node_by_name.values()))
        node.agent.freeze()
        time.sleep(self.rng.uniform(0.5, 3.5))
        node.agent.unfreeze()

    def crash_engine(self) -> None:
        """Crash an engine, which comes back with an empty cache."""
        name = self.rng.choice(list(self.fleet.engine_port_by_name))
        self.fleet.set_engine_faults(name, crash=True, is_down=True)
        time.sleep(self.rng.uniform(0.2, 2.0))
        self.fleet.set_engine_faults(name, is_down=False)

    def break_streams(self) -> None:
        """Break an engine's next streams and drop some of its cache events."""
        name = self.rng.choice(list(self.fleet.engine_port_by_name))
        after = self.rng.randint(0, 12)
        self.fleet.set_engine_faults(
            name, break_after_tokens=after, fault_streams=3, drop_events=2
        )

    def stop_platform(self) -> None:
        """Make the platform unreachable for up to a few seconds."""
        self.fleet.set_platform_faults(is_down=True)
        time.sleep(self.rng.uniform(0.5, 4.0))
        self.fleet.set_platform_faults(is_down=False)

    def lose_answers(self) -> None:
        """Drop the platform's next responses to writes, after applying the writes."""
        self.fleet.set_platform_faults(lost_answers=2)

    def drop_service_answers(self) -> None:
        """Drop connections of a service before and after it runs a call."""
        name = self.rng.choice(list(self.fleet.service_port_by_name))
        self.fleet.set_service_faults(name, drop_after_run=2, drop_before_run=1)

    def run(self, until: float) -> None:
        """Inject faults until a time, sometimes two at once."""
        faults = [
            self.kill_router,
            self.kill_agent,
            self.freeze_agent,
            self.crash_engine,
            self.break_streams,
            self.stop_platform,
            self.lose_answers,
            self.drop_service_answers,
        ]
        while time.monotonic() < until:
            chosen = self.rng.sample(faults, self.rng.choice([1, 1, 2]))
            for fault in chosen:
                self.counts[fault.__name__] += 1
            threads = [threading.Thread(target=fault) for fault in chosen]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(self.rng.uniform(0.5, 1.5) * FAULT_INTERVAL_S)


class DepositLoad:
    """Send deposits and record the responses."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = Random(seed)
        self.status_by_call: dict[str, list[tuple[int, bool]]] = {}

    def run(self, until: float) -> None:
        """Send each deposit through two instances with the same idempotency key."""
        ports = [node.listen_port for node in self.fleet.node_by_name.values()]
        number = 0
        while time.monotonic() < until:
            number += 1
            body = f"deposit {number}"
            headers = {
                "x-api-key": make_api_key("b2"),
                "idempotency-key": f"deposit-{number}",
            }
            for port in self.rng.sample(ports, 2):
                answer = call_http(
                    port, "POST", "/app/deposits", body.encode(), headers, 10
                )
                row = (answer.status, answer.is_not_run)
                self.status_by_call.setdefault(body, []).append(row)
            time.sleep(0.2)

    def check(self) -> dict[str, int]:
        """Count the deposits that ran more than once or not as their responses say."""
        runs: Counter[str] = Counter()
        for name in self.fleet.service_port_by_name:
            for call, count in self.fleet.read_service_counts(name)["runs"].items():
                runs[call.removeprefix("POST /app/deposits ")] += count
        repeated = sum(runs[body] > 1 for body in self.status_by_call)
        falsely_not_run = sum(
            runs[body] > 0 and all(is_not_run for _, is_not_run in rows)
            for body, rows in self.status_by_call.items()
        )
        falsely_served = sum(
            runs[body] == 0 and any(status == 200 for status, _ in rows)
            for body, rows in self.status_by_call.items()
        )
        return {
            "deposits": len(self.status_by_call),
            "run_twice": repeated,
            "untrue_not_run": falsely_not_run,
            "answered_but_not_run": falsely_served,
        }


class MemorySampler:
    """Sample the memory of processes, keyed by process name and id."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.samples: dict[str, list[int]] = {}

    def run(self, until: float) -> None:
        """Sample all agents and routers every `MEMORY_INTERVAL_S` until a time."""
        while time.monotonic() < until:
            for node in self.fleet.node_by_name.values():
                for process in (node.agent, node.router):
                    self.sample(process)
            time.sleep(MEMORY_INTERVAL_S)

    def sample(self, process: object) -> None:
        """Record the resident memory of one process in KB, if it is running."""
        pid = process.popen.pid
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return
        self.samples.setdefault(f"{process.name}/{pid}", []).append(pages * 4)

    def find_growth(self) -> int:
        """Return the largest growth of a process after its first minute, in KB."""
        warm = int(60 / MEMORY_INTERVAL_S)
        grown = [
            max(rows[warm:]) - rows[warm]
            for rows in self.samples.values()
            if len(rows) > warm + 1
        ]
        return max(grown, default=0)

    def find_largest(self) -> int:
        """Return the largest resident memory of any process, in KB."""
        return max(max(rows) for rows in self.samples.values())


def start_fleet(fleet: Fleet) -> None:
    """Start the platform, engines, services and instances."""
    fleet.settings["logging"] = {"level": "WARNING"}
    fleet.start_platform()
    for number in range(ENGINES):
        fleet.start_engine(f"e{number}")
    for number in range(SERVICES):
        fleet.start_service(f"s{number}")
    workspaces = {
        name: make_workspace("paid" if name in BLOMAVEFUR.paid_workspaces else "free")
        for name in BLOMAVEFUR.histories_by_workspace
    }
    kinds = make_config(
        workspaces, fleet.engine_port_by_name, fleet.service_port_by_name
    )
    fleet.apply_config(kinds)
    for number in range(INSTANCES):
        fleet.make_node(f"n{number}", f"z{number % 2}")
    fleet.publish_instances()
    fleet.start_nodes()


def count_outcomes(outcomes: list[Outcome]) -> dict[str, int]:
    """Count the model calls by outcome."""
    whole = [o for o in outcomes if o.is_whole]
    return {
        "requests": len(outcomes),
        "whole_and_right": sum(o.is_correct for o in whole),
        "whole_but_wrong": sum(not o.is_correct for o in whole),
        "cut_and_said_so": sum(not o.is_whole and o.status == 200 for o in outcomes),
        "refused": sum(o.status not in (0, 200) for o in outcomes),
        "connection_lost": sum(o.status == 0 for o in outcomes),
    }


def main(duration_s: float = 600.0, seed: int = 1) -> int:
    """Run the soak and return the exit status."""
    site = replace_request_rate(BLOMAVEFUR, REQUESTS_PER_S)
    rows = generate_trace(site, CASES["calm"], seed, float(duration_s))
    with open_fleet(BUILD / "soak") as fleet:
        start_fleet(fleet)
        until = time.monotonic() + float(duration_s)
        injector, deposits = FaultInjector(fleet, seed), DepositLoad(fleet, seed)
        memory = MemorySampler(fleet)
        threads = [
            threading.Thread(target=part.run, args=(until,))
            for part in (injector, deposits, memory)
        ]
        for thread in threads:
            thread.start()
        keys = {name: make_api_key(name) for name in site.histories_by_workspace}
        ports = tuple(node.listen_port for node in fleet.node_by_name.values())
        outcomes = curio.run(replay, rows, keys, ports, seed, [])
        for thread in threads:
            thread.join()
        report = {
            "duration_s": duration_s,
            "seed": seed,
            "model_calls": count_outcomes(outcomes),
            "codes": dict(Counter(o.code.split(":")[0] for o in outcomes if o.code)),
            "deposits": deposits.check(),
            "faults": dict(injector.counts),
            "largest_memory_kb": memory.find_largest(),
            "memory_growth_kb": memory.find_growth(),
            "tasks_failed": sum(
                "task failed" in process.read_log()
                for process in fleet.process_by_name.values()
            ),
        }
    (BUILD / "soak.json").write_text(json.dumps(report, indent=1) + "\n")
    print(json.dumps(report, indent=1))
    violations = [
        report["model_calls"]["whole_but_wrong"],
        report["deposits"]["run_twice"],
        report["deposits"]["untrue_not_run"],
        report["deposits"]["answered_but_not_run"],
        report["tasks_failed"],
        report["memory_growth_kb"] > MEMORY_GROWTH_ALLOWED_KB,
    ]
    return 1 if any(violations) else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main, serialize=lambda _: ""))

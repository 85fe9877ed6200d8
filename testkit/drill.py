"""Run a plan of disruptions on real processes under load, and keep what was seen.

A seed decides the plan and the requests.
"""

from __future__ import annotations

import re
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from shutil import copytree
from tempfile import TemporaryDirectory
from typing import Any

from .balancer import open_balancer
from .drill_faults import Step, make_drill_config
from .fleet import call_json
from .instances import make_config_spec
from .open_load import OpenLoad, make_shares, open_load
from .site import Site
from .site_soak import check_processes
from .soak_callers import Outcome
from .soak_faults import SoakState, supervise_processes

SETTLE_S = 4.0
MAX_STARTING = 4
MEMORY_INTERVAL_S = 0.5
# How long a replica that was frozen takes to read what has come meanwhile.
THAW_S = 0.5
# The users' bound for applying a configuration.
CONFIG_APPLY_S = 2.0


@dataclass(frozen=True)
class DrillSize:
    """Hold the number of processes and the load of a drill."""

    nodes: int = 4
    models: int = 5
    apps: int = 3
    spares: int = 2
    per_s: float = 40.0
    long_share: float = 0.2
    model_slots: int = 16
    app_slots: int = 6
    run_s: float = 0.02
    event_s: float = 0.15
    long_target_ms: int = 600


@dataclass
class DrillRun:
    """Hold the state of a drill and what was seen; times of the monotonic clock.

    The last disruption ended at `calm_at`.
    `notes` are the disruptions and when they began, `routes` the routes by name from
    when on.  `counts_by_replica` are the replicas' counters at the
    end, `budgets` the instances' retry budgets after each disruption, `failures` the ends
    and unexpected errors of processes.
    """

    state: SoakState
    size: DrillSize
    began_at: float = 0.0
    calm_at: float = 0.0
    outcomes: list[Outcome] = field(default_factory=list)
    notes: list[tuple[float, str]] = field(default_factory=list)
    routes: list[tuple[float, dict[str, dict[str, Any]]]] = field(default_factory=list)
    counts_by_replica: dict[str, dict[str, Any]] = field(default_factory=dict)
    service_by_replica: dict[str, str] = field(default_factory=dict)
    budgets: list[tuple[float, str, dict[str, Any]]] = field(default_factory=list)
    peak_mb_by_node: dict[str, float] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
    is_over: bool = False

    def note(self, text: str) -> None:
        """Note what is done now."""
        self.notes.append((time.monotonic(), text))

    def note_routes(self) -> None:
        """Note which routes the newest configuration has."""
        routes = deepcopy(self.state.config_changes["routes"])
        by_name = {route["name"]: route for route in routes}
        if not self.routes or self.routes[-1][1] != by_name:
            self.routes.append((time.monotonic(), by_name))

    def may_be_read_late(self, at: float) -> bool:
        """Report whether a replica that was frozen read at a time what came before."""
        return any(a < at < b + THAW_S for a, b in self.state.unplanned)

    def list_routes(
        self, name: str, began_at: float, ended_at: float
    ) -> list[dict[str, Any]]:
        """Return the versions of a route that may have been in force in a span."""
        ends = [at + CONFIG_APPLY_S for at, _ in self.routes[1:]] + [float("inf")]
        return [
            by_name[name]
            for (at, by_name), end in zip(self.routes, ends, strict=True)
            if at <= ended_at and began_at < end
        ]


def run_drill(
    seed: int, plan: list[Step], size: DrillSize, logs: Path | None = None
) -> DrillRun:
    """Run a plan on a site of its own; copy the processes' logs to the folder `logs`."""
    with open_drill_site(size) as run:
        with open_balancer(run.state.site) as balancer, _watch(run):
            run.began_at = time.monotonic()
            run.note_routes()
            shares = make_shares(size.long_share)
            load = OpenLoad(balancer, seed, size.per_s, shares, outcomes=run.outcomes)
            with open_load(load):
                _follow(run, plan, Random(f"{seed}/plan"))
                run.calm_at = time.monotonic()
                time.sleep(SETTLE_S)
        _collect(run)
        if logs is not None:
            copytree(run.state.site.directory, logs, dirs_exist_ok=True)
        return run


def _follow(run: DrillRun, plan: list[Step], rng: Random) -> None:
    """Begin each step of the plan at its time."""
    threads = []
    for step in plan:
        time.sleep(max(0.0, run.began_at + step.at_s - time.monotonic()))
        run.note(step.text)
        args = (run, step, Random(rng.random()))
        begun = [
            threading.Thread(target=_run_step, args=args),
            threading.Thread(target=_read_budgets, args=(run,)),
        ]
        for thread in begun:
            thread.start()
        threads += begun
    for thread in threads:
        thread.join()


def _run_step(run: DrillRun, step: Step, rng: Random) -> None:
    step.run(run.state, rng)
    run.note_routes()


def _read_budgets(run: DrillRun) -> None:
    """Read the instances' retry budgets while a disruption lasts."""
    time.sleep(1.0)
    for name, node in run.state.site.node_by_name.items():
        dump = call_json(node.ops_port, "/dump", timeout_s=1.0) or {}
        budgets = dump.get("retry_budgets", {})
        run.budgets.append((time.monotonic(), name, budgets))


@contextmanager
def _watch(run: DrillRun) -> Iterator[None]:
    """Replace processes that end and record the instances' peak memory, meanwhile."""
    threads = [
        threading.Thread(
            target=supervise_processes, args=(run.state, lambda: run.is_over)
        ),
        threading.Thread(target=_record_memory, args=(run,)),
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        run.is_over = True
        for thread in threads:
            thread.join()


def _record_memory(run: DrillRun) -> None:
    while not run.is_over:
        for name, node in run.state.site.node_by_name.items():
            peak_mb = read_peak_mb(node.process.popen.pid)
            known_mb = run.peak_mb_by_node.get(name, 0.0)
            run.peak_mb_by_node[name] = max(peak_mb, known_mb)
        time.sleep(MEMORY_INTERVAL_S)


def read_peak_mb(pid: int) -> float:
    """Return the peak resident memory of a process, 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(r"VmHWM:\s+(\d+) kB", text)
    return int(found[1]) / 1e3 if found else 0.0


def _collect(run: DrillRun) -> None:
    """Read the counters of all replicas."""
    for id in run.state.site.replica_port_by_id:
        counts = run.state.site.read_counts(id)
        if counts is not None:
            run.counts_by_replica[id] = counts
    run.failures = check_processes(run.state)


@contextmanager
def open_drill_site(size: DrillSize) -> Iterator[DrillRun]:
    """Yield a drill on a running site; kill all processes afterwards."""
    with TemporaryDirectory(prefix="catkintrack-drill-") as directory:
        site = Site(Path(directory))
        try:
            site.start_store(size.nodes)
            changes = make_drill_config(long_target_ms=size.long_target_ms)
            site.write_object("config", "main", make_config_spec(**changes))
            site.write_object("versions", "m1", {"model": "m1", "version": 1})
            service_by_replica = _start_replicas(site, size)
            for number in range(size.nodes):
                site.make_node(f"n{number}", f"z{number % 2}")
            site.start_nodes()
            models, apps = (
                [id for id, found in service_by_replica.items() if found == service]
                for service in ("models", "app")
            )
            state = SoakState(site, models, apps, config_changes=changes)
            run = DrillRun(state, size, service_by_replica=service_by_replica)
            yield run
        finally:
            site.stop()


def _start_replicas(site: Site, size: DrillSize) -> dict[str, str]:
    """Start the replicas of all services and return the service of each."""
    slots_by_id, service_by_id = {}, {}
    for service, count, slots in (
        ("models", size.models, size.model_slots),
        ("app", size.apps, size.app_slots),
        ("spare", size.spares, size.app_slots),
    ):
        for number in range(count):
            id = f"{service[0]}{number}"
            slots_by_id[id], service_by_id[id] = slots, service

    def start(id: str) -> None:
        slots = slots_by_id[id]
        options = ("--slots", str(slots), "--queue", str(2 * slots))
        entry = {"zone": f"z{int(id[1:]) % 2}", "slots": slots}
        site.start_replica(id, service_by_id[id], options, **entry)
        site.set_replica_faults(id, run_s=size.run_s, event_s=size.event_s)

    with ThreadPoolExecutor(MAX_STARTING) as pool:
        list(pool.map(start, slots_by_id))
    return service_by_id

"""Start the project's instances as processes, and stand in for the load balancer."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .http import Answer, Request, send_call

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
COMMAND = ["python3", "-m", "catkintrack.instance.main"]
READY_INTERVAL_S = 1.0
MAX_MISSES = 2
FIRST_PORT, LAST_PORT = 12000, 31000
START_S = 20.0
EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN = 1, 0, 2

SETTINGS = """\
node={name}
role=instance
machine_class=front
serves=front,control
ip=127.0.0.1
zone={zone}
region=r1
{zones}
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
listen.control=127.0.0.1:{control}
port_range={ops},{ops}
seeds={seeds}
bootstrap=true
counts_as_loss=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.downgrade_slack_ms=250
bounds.skew_max_ms=5000
bounds.fail_closed=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=56
bounds.quota_window_s=8
bounds.quota_excess=0.1
bounds.quota_slack=140000
bounds.recovery_s=12
bounds.transit_ms=120
bounds.require_fence=true
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.version_ms=6000
bounds.version_all_ms=8400
platform.address=127.0.0.1:{store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
"""


def is_trouble() -> bool:
    """Report whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_ports(count: int) -> list[int]:
    """Return free ports below those that outgoing connections take."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Recorder:
    """Write what was sent, answered and run to record.txt, a line each."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()
        self.rows: list[dict[str, Any]] = []

    def __call__(self, event: str, **fields: Any) -> None:
        """Record one event."""
        at = round(time.monotonic() - self.started_at, 3)
        row = {"at": at, "event": event} | fields
        self.rows.append(row)
        self.file.write(json.dumps(row) + "\n")

    def close(self) -> None:
        """Write out the record."""
        self.file.close()


@dataclass
class Node:
    """Hold one instance, its ports and its process."""

    name: str
    zone: str
    front: int
    ready: int
    control: int
    ops: int
    store: int
    settings: Path
    log: Path
    process: subprocess.Popen | None = None
    misses: int = MAX_MISSES


@dataclass
class Fleet:
    """Hold the instances and which of them the load balancer uses."""

    directory: Path
    zones: tuple[str, ...]
    record: Recorder
    nodes: list[Node] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)

    def add_node(self, name: str, zone: str, store_port: int) -> Node:
        """Describe an instance; all are described before the first one starts."""
        front, ready, control, ops = find_ports(4)
        settings = self.directory / f"{name}.conf"
        log = self.directory / f"{name}.log"
        node = Node(name, zone, front, ready, control, ops, store_port, settings, log)
        self.nodes.append(node)
        return node

    def start_node(self, node: Node) -> None:
        """Start an instance with the command of the deploy file."""
        seeds = ",".join(f"{HOST}:{n.control}" for n in self.nodes[:3])
        zones = "\n".join(f"zones.{zone}=r1" for zone in self.zones)
        text = SETTINGS.format(
            name=node.name,
            zone=node.zone,
            zones=zones,
            front=node.front,
            ready=node.ready,
            control=node.control,
            ops=node.ops,
            seeds=seeds,
            store=node.store,
        )
        node.settings.write_text(text)
        deps = REPOSITORY / "target" / "deps"
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {"CATKINTRACK_SETTINGS": str(node.settings), "PYTHONPATH": str(deps)}
        with node.log.open("ab") as log:
            node.process = subprocess.Popen(
                COMMAND, cwd=REPOSITORY, env=env, stdout=log, stderr=log
            )

    async def start(self) -> None:
        """Start all instances and wait until they are ready."""
        for node in self.nodes:
            self.start_node(node)
        ends_at = time.monotonic() + START_S
        while not all([await self._is_ready(node) for node in self.nodes]):
            if time.monotonic() > ends_at:
                raise NotRun("the instances did not become ready")
            await asyncio.sleep(0.2)
        for node in self.nodes:
            node.misses = 0
            self.tasks.append(asyncio.create_task(self._check(node)))

    async def _is_ready(self, node: Node) -> bool:
        request = Request("GET", "/-/ready", {"Host": "ready"})
        answer = await send_call(HOST, node.ready, request, READY_INTERVAL_S)
        return answer.status == 200

    async def _check(self, node: Node) -> None:
        while True:
            asked_at = time.monotonic()
            is_ready = await self._is_ready(node)
            was_used = node.misses < MAX_MISSES
            node.misses = 0 if is_ready else node.misses + 1
            if was_used != (node.misses < MAX_MISSES):
                self.record("rotation", node=node.name, is_in=is_ready)
            left_s = READY_INTERVAL_S - (time.monotonic() - asked_at)
            await asyncio.sleep(max(0.0, left_s))

    def choose(self, zone: str, rng: random.Random) -> Node:
        """Return the instance that gets a new connection from a zone.

        If under half of a zone's instances are in rotation, all of that zone are used.
        """
        local = [node for node in self.nodes if node.zone == zone]
        used = [node for node in local if node.misses < MAX_MISSES]
        if not used:
            used = [node for node in self.nodes if node.misses < MAX_MISSES] or local
        elif 2 * len(used) < len(local):
            used = local
        return rng.choice(used)

    async def call(
        self, zone: str, request: Request, timeout_s: float, rng: random.Random
    ) -> Answer:
        """Send a request through the load balancer on a new connection."""
        node = self.choose(zone, rng)
        answer = await send_call(HOST, node.front, request, timeout_s)
        answer.node = node.name
        return answer

    def stop(self) -> None:
        """Kill all instances that were started."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()


class NotRun(Exception):
    """Report that a case could not run."""


def make_route(name: str, host: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operators' configuration."""
    return {"name": name, "host": host, "path_prefix": prefix} | fields


def make_config(routes: list[dict], version: int = 3, **fields: Any) -> dict[str, Any]:
    """Return a configuration with an engine service, a plain one and one tenant."""
    engine = {
        "slots": 32,
        "kv_capacity": 232217,
        "token_kv_bytes": 327680,
        "link_mbps": 1500000.0,
        "max_concurrency": 12,
        "models": [{"name": "m0"}],
    }
    config = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "pool",
                "max_connections": 240,
                "health_path": "/health",
                "engine": engine,
            },
            {"name": "app", "max_connections": 110, "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "t1", "api_keys": ["key-1"], "isolated": False}],
    }
    return config | fields


def run_case(main) -> int:
    """Run a case in a temporary folder and return its exit status."""
    if not (REPOSITORY / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        return EXIT_NOT_RUN
    with tempfile.TemporaryDirectory(prefix="catkintrack-review-") as directory:
        try:
            return asyncio.run(main(Path(directory)))
        except NotRun as error:
            print(f"not run: {error}")
            return EXIT_NOT_RUN

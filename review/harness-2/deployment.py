"""Start instances as the deploy file does, and send what clients send."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from http1 import Message, call
from replica import now_s
from store import Store

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN_S = 25.0
MAX_CASE_S = 105.0
COULD_NOT_RUN = 2
KEY = "wu3fexd9dnn2ctnfzs98"


def find_free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def make_config() -> dict[str, Any]:
    """Return the operator's configuration, in the form of the wire examples."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-stream",
                "host": "jepu9.example",
                "path_prefix": "/lepu270/",
                "kind": "streaming",
                "timeout_ms": 12000,
                "target_latency_ms": 600,
                "priority": 1,
                "service": "lm-pool",
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_aim_ms": 250,
            },
            {
                "name": "r-order",
                "host": "voka93.example",
                "path_prefix": "/fiti832/",
                "kind": "non_idempotent",
                "timeout_ms": 1000,
                "target_latency_ms": 125,
                "priority": 2,
                "service": "shop-app",
                "max_attempts": 1,
                "public": False,
                "sticky": False,
                "resumable": False,
            },
            {
                "name": "r-lookup",
                "host": "voka93.example",
                "path_prefix": "/filo73/",
                "kind": "idempotent",
                "timeout_ms": 1000,
                "target_latency_ms": 125,
                "priority": 2,
                "service": "shop-app",
                "max_attempts": 2,
                "public": False,
                "sticky": False,
                "resumable": False,
            },
        ],
        "services": [
            {
                "name": "lm-pool",
                "health_path": "/health",
                "max_connections": 240,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 32,
                    "kv_capacity": 232217,
                    "token_kv_bytes": 327680,
                    "link_mbps": 1500000.0,
                    "max_concurrency": 12,
                    "models": [{"name": "m1"}],
                },
            },
            {
                "name": "shop-app",
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "sese880",
                "api_keys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plain_tokens": 200,
                "isolated": False,
                "rate_per_s": 896400,
                "burst": 896400,
            }
        ],
    }


SETTINGS = """\
node={name}
role=instance
machine_class=front
serves=front,control
ip=127.0.0.1
zone={zone}
region=is-south
zones.z1=is-south
zones.z2=is-south
zones.z3=is-south
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
listen.control=127.0.0.1:{control}
port_range={first},{first}
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
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
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
bounds.reuse_window_s=10
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
platform.ttl_min_ms=1000
"""


class Node:
    """Run one instance with the command of the deploy file."""

    def __init__(self, name: str, zone: str, ports: list[int], folder: Path) -> None:
        self.name, self.zone, self.folder = name, zone, folder
        self.front, self.ready, self.control, self.first = ports
        self.settings = folder / f"{name}.conf"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["instance"]["run"])
        env = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CATKINTRACK_SETTINGS": str(self.settings),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Report whether the instance is ready, as the balancer asks."""
        address = ("127.0.0.1", self.ready)
        fields = {"Host": "ready"}
        answer = await call(address, "GET", "/-/ready", fields, timeout_s=1.0)
        return answer is not None and answer.status == 200

    async def send(
        self,
        method: str,
        target: str,
        fields: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 15.0,
    ) -> Message | None:
        """Send a client's request over a new connection."""
        address = ("127.0.0.1", self.front)
        return await call(address, method, target, fields, body, timeout_s)


def find_inode(port: int, peer_port: int) -> str:
    """Return the inode of the socket at a port that leads to a peer's port."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        if words[1].endswith(f":{port:04X}") and words[2].endswith(f":{peer_port:04X}"):
            return words[9]
    return ""


def has_socket(pid: int, inode: str) -> bool:
    """Report whether a process has a socket."""
    for path in Path(f"/proc/{pid}/fd").iterdir():
        try:
            if os.readlink(path) == f"socket:[{inode}]":
                return True
        except OSError:
            continue
    return False


class Deployment:
    """Hold the store, the instances and the record of a case."""

    def __init__(self, record_path: Path) -> None:
        self.store = Store()
        self.nodes: list[Node] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.lines: list[str] = []
        self.record_path = record_path
        self.numbers = 0

    def record(self, event: str, **values: Any) -> None:
        """Add a line to the record."""
        self.lines.append(json.dumps({"at_s": now_s(), "event": event} | values))

    def make_id(self) -> str:
        """Return a new request ID."""
        self.numbers += 1
        return f"{os.getpid():x}-{self.numbers:05d}"

    async def start_nodes(self, count: int, zones: int = 3) -> None:
        """Write the configuration, start instances and wait until they are ready."""
        await self.store.start()
        await self.store.write("config", "main", make_config())
        await self.store.write("versions", "m1", {"model": "m1", "version": 1})
        ports = find_free_ports(4 * count)
        groups = [ports[4 * n : 4 * n + 4] for n in range(count)]
        seeds = ",".join(f"127.0.0.1:{group[2]}" for group in groups[:3])
        for number, group in enumerate(groups):
            node = Node(f"front-{number}", f"z{number % zones + 1}", group, self.folder)
            text = SETTINGS.format(
                name=node.name,
                zone=node.zone,
                front=node.front,
                ready=node.ready,
                control=node.control,
                first=node.first,
                seeds=seeds,
                store=self.store.port,
            )
            node.settings.write_text(text)
            self.nodes.append(node)
        for node in self.nodes:
            node.start()
        async with asyncio.timeout(READY_WITHIN_S):
            for node in self.nodes:
                while not await node.is_ready():
                    await asyncio.sleep(0.1)

    def find_owner(self, port: int, peer_port: int) -> str:
        """Return the name of the instance at the other end of a connection to `port`."""
        inode = find_inode(peer_port, port)
        for node in self.nodes:
            if inode and has_socket(node.process.pid, inode):
                return node.name
        return ""

    def make_fields(self, host: str, id: str, deadline_ms: int) -> dict[str, str]:
        """Return the fields that each client's request has."""
        return {
            "Host": host,
            "X-Request-Id": id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Credential": KEY,
        }

    def make_prompt(self, id: str, parts: list[str]) -> dict[str, str]:
        """Return the fields of a prompt with these parts, 300 tokens each."""
        prefix = ",".join(f"{part}:300" for part in parts)
        return self.make_fields("jepu9.example", id, 12000) | {
            "X-Model": "m1",
            "X-Token-Usage": f"{300 * len(parts)},40",
            "X-Prompt-Prefix": prefix,
        }

    async def look_up(self, node: Node) -> Message | None:
        """Send an idempotent request, and record its answer."""
        id = self.make_id()
        fields = self.make_fields("voka93.example", id, 1000)
        self.record("client sends", node=node.name, request=id, what="lookup")
        answer = await node.send("GET", f"/filo73/{id}", fields)
        self._record_answer(node, id, "lookup", answer)
        return answer

    async def stream(
        self, node: Node, parts: list[str], what: str, **more: str
    ) -> Message | None:
        """Send a prompt, and record its answer."""
        id = self.make_id()
        fields = self.make_prompt(id, parts) | more
        self.record("client sends", node=node.name, request=id, what=what, parts=parts)
        answer = await node.send("POST", "/lepu270/2f", fields, id.encode())
        self._record_answer(node, id, what, answer)
        return answer

    def _record_answer(
        self, node: Node, id: str, what: str, answer: Message | None
    ) -> None:
        status = answer.status if answer else 0
        is_served = bool(answer and status == 200 and answer.is_whole)
        self.record(
            "client gets",
            node=node.name,
            request=id,
            what=what,
            status=status,
            is_whole=is_served,
            replica=answer.find("x-instance-id") if answer else None,
            is_leaving=bool(answer and answer.find("server-leaving") == "1"),
        )

    def write_record(self) -> None:
        """Write the record, with what the instances logged of note at its end."""
        self.record_path.write_text("\n".join(self.lines) + "\n")

    def stop(self) -> None:
        """End all processes."""
        for node in self.nodes:
            node.stop()
        self.write_record()
        if os.environ.get("KEEP_LOGS") is None:
            shutil.rmtree(self.folder, ignore_errors=True)


async def play_case(make_case: Callable[[Deployment, bool], Any]) -> int:
    """Play the case of the command line and return the exit code of its script.

    The first argument is the path of the record.  Without trouble, which the variable
    TROUBLE tells, a case leaves its disruption out.
    """
    deployment = Deployment(Path(sys.argv[1]))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment.record("case begins", has_trouble=has_trouble)
    try:
        async with asyncio.timeout(MAX_CASE_S):
            return await make_case(deployment, has_trouble).play()
    except Exception as error:
        deployment.record("the case could not run", reason=repr(error))
        return COULD_NOT_RUN
    finally:
        deployment.stop()

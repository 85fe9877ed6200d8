"""Run the real processes and the stand-ins on loopback, for tests and benchmarks."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml
import zmq

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
POLL_S = 0.02
FIRST_PORT = 10000
LAST_PORT = 29999
# Names a fault to run routers and agents with (see `testkit.seeded`).
SEEDED_FAULT_VARIABLE = "CATKINTRACK_SEEDED_FAULT"


def find_free_port() -> int:
    """Return a TCP port that nobody else is given for a long while.

    The ports lie below the range that the system gives to outgoing connections,
    and test processes that run side by side draw them from one counter.
    """
    counter_path = Path(tempfile.gettempdir()) / "catkintrack-test-port"
    with counter_path.open("a+") as counter:
        fcntl.flock(counter, fcntl.LOCK_EX)
        counter.seek(0)
        port = int(counter.read() or FIRST_PORT)
        while not is_port_free(port):
            port = next_port(port)
        counter.seek(0)
        counter.truncate()
        counter.write(str(next_port(port)))
    return port


def next_port(port: int) -> int:
    """Return the port after `port`, from the start again after the last."""
    return port + 1 if port < LAST_PORT else FIRST_PORT


def is_port_free(port: int) -> bool:
    """Report whether nothing holds a port now."""
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def wait_until(
    is_true: Callable[[], Any],
    timeout_s: float = START_TIMEOUT_S,
    description: str = "",
) -> Any:
    """Return the first true result of `is_true`; raise TimeoutError after a time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = is_true()
        if result:
            return result
        time.sleep(POLL_S)
    raise TimeoutError(description or getattr(is_true, "__name__", "condition"))


def call_json(
    port: int, path: str, value: Any = None, timeout_s: float = 5.0, method: str = ""
) -> Any:
    """Return the JSON that a process answers, or None when it does not answer."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(
        f"http://{HOST}:{port}{path}", data, method=method or None
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return json.loads(response.read() or b"null")
    except (OSError, urllib.error.URLError, ValueError):
        return None


@dataclass
class Process:
    """Hold one running process."""

    name: str
    arguments: list[str]
    log_path: Path
    popen: subprocess.Popen | None = None
    env: dict[str, str] = field(default_factory=dict)

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                self.arguments, stdout=log, stderr=log, env=os.environ | self.env
            )

    def send_signal(self, number: int) -> None:
        """Send a signal."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Stop the process from running."""
        self.send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Let a frozen process run on."""
        self.send_signal(signal.SIGCONT)

    def stop(self, timeout_s: float = 20.0) -> int:
        """Ask the process to end and return its exit status."""
        self.send_signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s: float = 20.0) -> int:
        """Return the exit status once the process has ended."""
        return self.popen.wait(timeout_s) if self.popen else 0

    def read_log(self) -> str:
        """Return what the process has printed."""
        return self.log_path.read_text(errors="replace")


@dataclass
class Node:
    """Hold one instance: its agent, its router and their ports."""

    name: str
    zone: str
    listen_port: int
    router_ops_port: int
    agent_ops_port: int
    mesh_port: int
    routers_port: int
    agent: Process
    router: Process

    def is_ready(self) -> bool:
        """Report whether the router takes callers."""
        answer = call_json(self.router_ops_port, "/ready", timeout_s=1.0)
        return bool(answer and answer["is_ready"]) and is_listening(self.listen_port)


def is_listening(port: int) -> bool:
    """Report whether something accepts connections at a port."""
    with socket.socket() as sock:
        sock.settimeout(0.5)
        return sock.connect_ex((HOST, port)) == 0


@dataclass
class Fleet:
    """Hold a platform, upstreams and instances, all on loopback."""

    directory: Path
    platform_port: int = 0
    settings: dict[str, Any] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    process_by_name: dict[str, Process] = field(default_factory=dict)
    engine_port_by_name: dict[str, int] = field(default_factory=dict)
    service_port_by_name: dict[str, int] = field(default_factory=dict)
    node_by_name: dict[str, Node] = field(default_factory=dict)

    def start_process(self, name: str, arguments: list[str]) -> Process:
        """Start a process under a name."""
        log_path = self.directory / f"{name}.log"
        process = Process(name, [sys.executable, "-m", *arguments], log_path)
        self.process_by_name[name] = process
        process.start()
        return process

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
        self.platform_port = find_free_port()
        port = str(self.platform_port)
        self.start_process("platform", ["standins.object_api", "--port", port])
        wait_until(lambda: call_json(self.platform_port, "/counts") is not None)

    def start_engine(self, name: str, **options: Any) -> None:
        """Start a model engine's stand-in."""
        port = find_free_port()
        self.engine_port_by_name[name] = port
        arguments = ["standins.engine", "--port", str(port), "--name", name]
        for option, value in options.items():
            arguments += [f"--{option}", str(value)]
        self.start_process(name, arguments)

    def start_service(self, name: str) -> None:
        """Start a plain service's stand-in."""
        port = find_free_port()
        self.service_port_by_name[name] = port
        self.start_process(
            name, ["standins.service", "--port", str(port), "--name", name]
        )

    def make_node(self, name: str, zone: str) -> Node:
        """Write an instance's settings and return it, not yet running."""
        ports = [find_free_port() for _ in range(5)]
        own = {
            "instance": {"id": name, "zone": zone},
            "platform": {"endpoint": {"port": self.platform_port}},
            "router": {"listen": {"port": ports[0]}, "ops": {"port": ports[1]}},
            "agent": {
                "ops": {"port": ports[2]},
                "mesh": {"port": ports[3]},
                "routers": {"port": ports[4]},
            },
        }
        base_path = self.directory / "base.yaml"
        base_path.write_text(yaml.safe_dump(self.settings))
        own_path = self.directory / f"{name}.yaml"
        own_path.write_text(yaml.safe_dump(own))
        files = f"--settings={base_path},{own_path}"
        python = sys.executable
        prefix = [python, "-m"]
        if fault := os.environ.get(SEEDED_FAULT_VARIABLE):
            prefix += ["testkit.seeded", fault]
        agent = Process(
            f"{name}-agent",
            [*prefix, "catkintrack.agent.main", files],
            self.directory / f"{name}-agent.log",
        )
        router = Process(
            f"{name}-router",
            [*prefix, "catkintrack.router.main", files],
            self.directory / f"{name}-router.log",
        )
        node = Node(name, zone, *ports, agent, router)
        self.node_by_name[name] = node
        self.process_by_name[agent.name] = agent
        self.process_by_name[router.name] = router
        return node

    def publish_instances(self, leaving: tuple[str, ...] = ()) -> None:
        """Put the instances, and engines that leave, on the platform's list."""
        rows = [
            {
                "id": node.name,
                "zone": node.zone,
                "mesh_host": HOST,
                "mesh_port": node.mesh_port,
                "routers_host": HOST,
                "routers_port": node.routers_port,
            }
            for node in self.node_by_name.values()
        ]
        rows += [{"id": name, "zone": "-", "state": "leaving"} for name in leaving]
        call_json(self.platform_port, "/control/instances", rows)

    def start_nodes(self, names: tuple[str, ...] = ()) -> None:
        """Start the instances and wait until they take callers."""
        nodes = [self.node_by_name[name] for name in names or self.node_by_name]
        for node in nodes:
            node.agent.start()
            node.router.start()
        for node in nodes:
            wait_until(node.is_ready, description=f"{node.name} is ready")

    def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform's stand-in."""
        call_json(self.platform_port, "/faults", faults)

    def set_engine_faults(self, name: str, **faults: Any) -> None:
        """Set faults of an engine's stand-in."""
        call_json(self.engine_port_by_name[name], "/faults", faults)

    def set_service_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a service's stand-in."""
        call_json(self.service_port_by_name[name], "/faults", faults)

    def read_engine_counts(self, name: str) -> dict[str, Any]:
        """Return what an engine has seen."""
        return call_json(self.engine_port_by_name[name], "/counts")

    def read_service_counts(self, name: str) -> dict[str, Any]:
        """Return what a service has seen."""
        return call_json(self.service_port_by_name[name], "/counts")

    def dump_router(self, name: str) -> dict[str, Any]:
        """Return a router's state."""
        return call_json(self.node_by_name[name].router_ops_port, "/dump")

    def dump_agent(self, name: str) -> dict[str, Any]:
        """Return an agent's state."""
        return call_json(self.node_by_name[name].agent_ops_port, "/dump")

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line against this fleet's platform."""
        command = [sys.executable, "-m", "catkintrack.cli.main", *arguments]
        command += ["--platform", f"{HOST}:{self.platform_port}"]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def apply_config(self, kinds: dict[str, Any]) -> None:
        """Have a configuration accepted."""
        path = self.directory / "kinds.yaml"
        path.write_text(yaml.safe_dump(kinds))
        result = self.run_cli("config", "apply", str(path))
        if result.returncode:
            raise RuntimeError(result.stdout + result.stderr)

    def stop(self) -> None:
        """End every process."""
        for process in self.process_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 5.0
        for process in self.process_by_name.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()


@contextmanager
def open_fleet(directory: str | os.PathLike | None = None) -> Iterator[Fleet]:
    """Yield an empty fleet and end all of its processes afterwards."""
    public, secret = zmq.curve_keypair()
    links = {"public_key": public.decode(), "secret_key": secret.decode()}
    with tempfile.TemporaryDirectory(prefix="catkintrack-") as temporary:
        path = Path(directory or temporary)
        path.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(path, settings={"links": links})
        try:
            yield fleet
        finally:
            fleet.stop()

"""Run routers, agents and stand-ins on loopback for tests and benchmarks."""

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
# Environment variable that names the fault with which routers and agents run; see
# `testkit.seeded`.
SEEDED_FAULT_VARIABLE = "CATKINTRACK_SEEDED_FAULT"


def find_free_port() -> int:
    """Return a free TCP port that is not returned again until the range wraps around.

    The ports lie below the ephemeral range, so that no outgoing connection occupies
    one.  Concurrent test processes draw them from one counter in a locked file.
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
    """Return the port after `port`, wrapping around at the end of the range."""
    return port + 1 if port < LAST_PORT else FIRST_PORT


def is_port_free(port: int) -> bool:
    """Report whether a port can be bound."""
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def wait_until(
    condition: Callable[[], Any],
    timeout_s: float = START_TIMEOUT_S,
    description: str = "",
) -> Any:
    """Poll `condition` and return its first true result.

    Raises TimeoutError after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise TimeoutError(description or getattr(condition, "__name__", "condition"))


def call_json(
    port: int, path: str, value: Any = None, timeout_s: float = 5.0, method: str = ""
) -> Any:
    """Return the decoded JSON answer of a process, or None if the call fails."""
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
    """Hold one child process, its command line and its log file."""

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

    def send_signal(self, signal_number: int) -> None:
        """Send a signal if the process is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def unfreeze(self) -> None:
        """Resume a frozen process."""
        self.send_signal(signal.SIGCONT)

    def stop(self, timeout_s: float = 20.0) -> int:
        """Send SIGTERM, wait until the process has ended and return its exit status."""
        self.send_signal(signal.SIGTERM)
        return self.wait(timeout_s)

    def wait(self, timeout_s: float = 20.0) -> int:
        """Wait until the process has ended and return its exit status."""
        return self.popen.wait(timeout_s) if self.popen else 0

    def read_log(self) -> str:
        """Return the output of the process."""
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
        """Report whether the router is ready and accepts connections of callers."""
        answer = call_json(self.router_ops_port, "/ready", timeout_s=1.0)
        return bool(answer and answer["is_ready"]) and is_listening(self.listen_port)


def is_listening(port: int) -> bool:
    """Report whether a port accepts connections."""
    with socket.socket() as sock:
        sock.settimeout(0.5)
        return sock.connect_ex((HOST, port)) == 0


@dataclass
class Fleet:
    """Manage the processes of a platform, upstreams and instances on loopback."""

    directory: Path
    platform_port: int = 0
    settings: dict[str, Any] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    process_by_name: dict[str, Process] = field(default_factory=dict)
    engine_port_by_name: dict[str, int] = field(default_factory=dict)
    service_port_by_name: dict[str, int] = field(default_factory=dict)
    node_by_name: dict[str, Node] = field(default_factory=dict)

    def start_process(self, name: str, arguments: list[str]) -> Process:
        """Start a Python module as the process `name`."""
        log_path = self.directory / f"{name}.log"
        process = Process(name, [sys.executable, "-m", *arguments], log_path)
        self.process_by_name[name] = process
        process.start()
        return process

    def start_platform(self) -> None:
        """Start the stand-in of the platform and wait until it answers."""
        self.platform_port = find_free_port()
        port = str(self.platform_port)
        self.start_process("platform", ["standins.object_api", "--port", port])
        wait_until(lambda: call_json(self.platform_port, "/counts") is not None)

    def start_engine(self, name: str, **options: Any) -> None:
        """Start the stand-in of a model engine."""
        port = find_free_port()
        self.engine_port_by_name[name] = port
        arguments = ["standins.engine", "--port", str(port), "--name", name]
        for option, value in options.items():
            arguments += [f"--{option}", str(value)]
        self.start_process(name, arguments)

    def start_service(self, name: str) -> None:
        """Start the stand-in of a plain service."""
        port = find_free_port()
        self.service_port_by_name[name] = port
        self.start_process(
            name, ["standins.service", "--port", str(port), "--name", name]
        )

    def make_node(self, name: str, zone: str) -> Node:
        """Write the settings files of an instance and return it without starting it."""
        ports = [find_free_port() for _ in range(5)]
        node_settings = {
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
        node_path = self.directory / f"{name}.yaml"
        node_path.write_text(yaml.safe_dump(node_settings))
        settings_flag = f"--settings={base_path},{node_path}"
        python = sys.executable
        prefix = [python, "-m"]
        if fault := os.environ.get(SEEDED_FAULT_VARIABLE):
            prefix += ["testkit.seeded", fault]
        agent = Process(
            f"{name}-agent",
            [*prefix, "catkintrack.agent.main", settings_flag],
            self.directory / f"{name}-agent.log",
        )
        router = Process(
            f"{name}-router",
            [*prefix, "catkintrack.router.main", settings_flag],
            self.directory / f"{name}-router.log",
        )
        node = Node(name, zone, *ports, agent, router)
        self.node_by_name[name] = node
        self.process_by_name[agent.name] = agent
        self.process_by_name[router.name] = router
        return node

    def publish_instances(self, leaving: tuple[str, ...] = ()) -> None:
        """Write the platform's instance list, with `leaving` engines marked as leaving."""
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
        """Start instances, by default all, and wait until they are ready."""
        nodes = [self.node_by_name[name] for name in names or self.node_by_name]
        for node in nodes:
            node.agent.start()
            node.router.start()
        for node in nodes:
            wait_until(node.is_ready, description=f"{node.name} is ready")

    def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform stand-in."""
        call_json(self.platform_port, "/faults", faults)

    def set_engine_faults(self, name: str, **faults: Any) -> None:
        """Set faults of an engine stand-in."""
        call_json(self.engine_port_by_name[name], "/faults", faults)

    def set_service_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a service stand-in."""
        call_json(self.service_port_by_name[name], "/faults", faults)

    def read_engine_counts(self, name: str) -> dict[str, Any]:
        """Return the counters of an engine stand-in."""
        return call_json(self.engine_port_by_name[name], "/counts")

    def read_service_counts(self, name: str) -> dict[str, Any]:
        """Return the counters of a service stand-in."""
        return call_json(self.service_port_by_name[name], "/counts")

    def dump_router(self, name: str) -> dict[str, Any]:
        """Return the state dump of a router."""
        return call_json(self.node_by_name[name].router_ops_port, "/dump")

    def dump_agent(self, name: str) -> dict[str, Any]:
        """Return the state dump of an agent."""
        return call_json(self.node_by_name[name].agent_ops_port, "/dump")

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the `catkintrack` command line against this fleet's platform."""
        command = [sys.executable, "-m", "catkintrack.cli.main", *arguments]
        command += ["--platform", f"{HOST}:{self.platform_port}"]
        return subprocess.run(command, capture_output=True, text=True, timeout=60)

    def apply_config(self, kinds: dict[str, Any]) -> None:
        """Apply a configuration; raise RuntimeError if it is refused."""
        path = self.directory / "kinds.yaml"
        path.write_text(yaml.safe_dump(kinds))
        result = self.run_cli("config", "apply", str(path))
        if result.returncode:
            raise RuntimeError(result.stdout + result.stderr)

    def stop(self) -> None:
        """Terminate all processes and kill those that do not end in time."""
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
    """Yield a fleet without processes and stop all that it started afterwards."""
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

"""Run instances, replicas and a stand-in of the users' platform on loopback."""

from __future__ import annotations

import http.client
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.replica import EVENTS_PER_STREAM

from .fleet import HOST, Process, call_json, find_free_port, wait_until
from .instances import make_config_spec, make_entry_spec

KEY = "key-1"
PROMPT_HEADERS = {
    "X-Model": "m1",
    "X-Token-Usage": "1200,80",
    "X-Prompt-Prefix": "aa:800,bb:300,cc:100",
}


@dataclass
class SiteNode:
    """Hold one instance, its ports and the store port that only it uses."""

    name: str
    zone: str
    callers_port: int
    ready_port: int
    mesh_port: int
    ops_port: int
    store_port: int
    process: Process

    def is_ready(self) -> bool:
        """Report whether the instance is ready for callers."""
        answer = call_json(self.ops_port, "/ready", timeout_s=1.0)
        return bool(answer and answer["is_ready"])

    def dump(self) -> dict[str, Any]:
        """Return the state dump of the instance."""
        return call_json(self.ops_port, "/dump")


@dataclass
class Site:
    """Manage the processes of a store, replicas and instances."""

    directory: Path
    store_ports: list[int] = field(default_factory=list)
    node_by_name: dict[str, SiteNode] = field(default_factory=dict)
    replica_port_by_id: dict[str, int] = field(default_factory=dict)
    process_by_name: dict[str, Process] = field(default_factory=dict)
    last_request_number: int = 0
    extra_settings: tuple[str, ...] = ()

    def start_process(
        self, name: str, arguments: list[str], env: dict[str, str]
    ) -> Process:
        """Start a Python module as the process `name`."""
        log_path = self.directory / f"{name}.log"
        command = [sys.executable, "-m", *arguments]
        process = Process(name, command, log_path, env=env)
        self.process_by_name[name] = process
        process.start()
        return process

    def start_store(self, instances: int) -> None:
        """Start the store with one port for operators and one for each instance.

        Separate ports allow store faults that affect a single instance.
        """
        self.store_ports = [find_free_port() for _ in range(instances + 1)]
        text = ",".join(map(str, self.store_ports))
        self.start_process("store", ["standins.object_store", "--ports", text], {})
        for port in self.store_ports:
            wait_until(lambda port=port: call_json(port, "/counts") is not None)

    def write_object(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object in the store."""
        port = self.store_ports[0]
        path = f"/-/objects/{kind}"
        fields = {"metadata": {"name": name}, "spec": spec}
        if call_json(port, path, fields, method="POST") is None:
            call_json(port, f"{path}/{name}", fields, method="PUT")

    def delete_object(self, kind: str, name: str) -> None:
        """Delete an object from the store."""
        path = f"/-/objects/{kind}/{name}"
        call_json(self.store_ports[0], path, {}, method="DELETE")

    def start_replica(
        self, id: str, service: str, options: tuple[str, ...] = (), **entry: Any
    ) -> None:
        """Start a replica and write its discovery entry, with `entry` fields changed.

        `options` are further ones of its command line.
        """
        port = find_free_port()
        self.replica_port_by_id[id] = port
        arguments = ["standins.replica", "--port", str(port), "--id", id, *options]
        self.start_process(id, arguments, {})
        wait_until(lambda: call_json(port, "/counts") is not None)
        self.write_entry(id, service, **entry)

    def write_entry(self, id: str, service: str, **entry: Any) -> None:
        """Write a replica's discovery entry, with `entry` fields changed."""
        address = f"{HOST}:{self.replica_port_by_id[id]}"
        models = [{"name": "m1", "version": 1}] if service == "models" else []
        fields = {"service": service, "address": address, "models": models}
        self.write_object("servers", id, make_entry_spec(**(fields | entry)))

    def read_status(self, kind: str, name: str) -> Any:
        """Return the status of an object in the store, None if it has none."""
        found = call_json(self.store_ports[0], f"/-/objects/{kind}/{name}")
        return found and found.get("status")

    def set_replica_faults(self, id: str, **faults: Any) -> None:
        """Set faults of a replica stand-in."""
        call_json(self.replica_port_by_id[id], "/faults", faults)

    def restart_replica(self, id: str, born: int, away_s: float) -> None:
        """Let a replica stand-in start again in place; its entry stays as it is."""
        path = "/restart"
        call_json(self.replica_port_by_id[id], path, {"born": born, "away_s": away_s})

    def set_store_faults(self, node: str | None = None, **faults: Any) -> None:
        """Set faults of the store for one instance or, by default, for all."""
        ports = self.store_ports[1:]
        if node is not None:
            ports = [self.node_by_name[node].store_port]
        for port in ports:
            call_json(port, "/faults", faults)

    def read_counts(self, id: str) -> dict[str, Any]:
        """Return the counters of a replica stand-in."""
        return call_json(self.replica_port_by_id[id], "/counts")

    def make_node(self, name: str, zone: str) -> SiteNode:
        """Write the settings file of an instance and return it without starting it."""
        ports = [find_free_port() for _ in range(4)]
        number = len(self.node_by_name)
        store_port = self.store_ports[1 + number]
        seeds = [n.mesh_port for n in self.node_by_name.values()][:2] + [ports[2]]
        lines = [
            f"node={name}",
            f"zone={zone}",
            f"listen.front={HOST}:{ports[0]}",
            f"listen.ready={HOST}:{ports[1]}",
            f"listen.control={HOST}:{ports[2]}",
            f"port_range={ports[3]},{ports[3]}",
            "seeds=" + ",".join(f"{HOST}:{port}" for port in seeds),
            "bootstrap=true",
            "bounds.grace_s=8",
            "bounds.budget_extra=56",
            "bounds.quota_slack=140000",
            f"platform.address={HOST}:{store_port}",
            *self.extra_settings,
        ]
        path = self.directory / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        process = Process(
            name,
            [sys.executable, "-m", "catkintrack.instance.main"],
            self.directory / f"{name}.log",
            env={"CATKINTRACK_SETTINGS": str(path)},
        )
        node = SiteNode(name, zone, *ports, store_port, process)
        self.node_by_name[name] = node
        self.process_by_name[name] = process
        return node

    def start_nodes(self, *names: str) -> None:
        """Start instances, by default all, and wait until they are ready."""
        nodes = [self.node_by_name[name] for name in names or self.node_by_name]
        for node in nodes:
            node.process.start()
        for node in nodes:
            wait_until(node.is_ready, description=f"{node.name} is ready")

    def call(
        self,
        node: str,
        path: str,
        host: str = "h2.example",
        method: str = "POST",
        key: str = KEY,
        body: bytes = b"{}",
        id: str = "",
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return the answer's status, headers and body.

        The status is 0 if the connection fails or ends within the answer.
        """
        self.last_request_number += 1
        fields = {
            "Host": host,
            "X-Request-Id": id or f"r{self.last_request_number}",
            "X-Deadline-Ms": "5000",
            "X-Credential": key,
        }
        port = self.node_by_name[node].callers_port
        connection = http.client.HTTPConnection(HOST, port, timeout=15)
        try:
            connection.request(method, path, body, fields | headers)
            response = connection.getresponse()
            found_headers = {
                name.lower(): value for name, value in response.getheaders()
            }
            return response.status, found_headers, response.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b""
        finally:
            connection.close()

    def stream(self, node: str, **options: Any) -> tuple[int, dict[str, str], bytes]:
        """Send a request on the route `long` and return the answer as `call` does."""
        return self.call(
            node, "/long/1", host="h1.example", **(PROMPT_HEADERS | options)
        )

    def stream_partly(self, node: str, **options: str) -> tuple[int, bytes]:
        """Request a stream as `stream` does; return the status and all that arrived.

        The status is 0 if nothing arrived; `id` is the request's ID.  Each ID's prompt
        has a part of its own.
        """
        self.last_request_number += 1
        id = options.pop("id", f"r{self.last_request_number}")
        fields = {"Host": "h1.example", "X-Request-Id": id, "X-Credential": KEY}
        port = self.node_by_name[node].callers_port
        connection = http.client.HTTPConnection(HOST, port, timeout=15)
        try:
            body = id.encode()
            prompt = {"X-Prompt-Prefix": f"aa:800,{id}:300,cc:100"}
            headers = fields | PROMPT_HEADERS | prompt | options
            connection.request("POST", "/long/1", body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        except http.client.IncompleteRead as error:
            return response.status, error.partial
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def abandon_stream(self, node: str, id: str, bytes_read: int = 64) -> None:
        """Request a stream on the route `long` and disconnect after `bytes_read` bytes."""
        port = self.node_by_name[node].callers_port
        fields = {"Host": "h1.example", "X-Request-Id": id, "X-Credential": KEY}
        connection = http.client.HTTPConnection(HOST, port, timeout=15)
        connection.request("POST", "/long/1", b"{}", fields | PROMPT_HEADERS)
        connection.getresponse().read(bytes_read)
        connection.close()

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.process_by_name.values():
            process.kill()


def count_events(body: bytes) -> int:
    """Return the number of events in a stream if it has all of them in order.

    Otherwise returns the negative number of events found.
    """
    ids = [
        int(line.removeprefix(b"id: "))
        for line in body.split(b"\n")
        if line.startswith(b"id: ")
    ]
    return len(ids) if ids == list(range(1, EVENTS_PER_STREAM + 1)) else -len(ids)


@contextmanager
def open_site(
    nodes: int = 2,
    models: int = 2,
    apps: int = 2,
    zones: int | None = None,
    extra_settings: tuple[str, ...] = (),
) -> Iterator[Site]:
    """Yield a running site and kill all of its processes afterwards.

    The instances are spread over `zones` availability zones, by default one each.
    `extra_settings` are further lines of their settings files.
    """
    with tempfile.TemporaryDirectory(prefix="catkintrack-site-") as directory:
        site = Site(Path(directory), extra_settings=extra_settings)
        try:
            site.start_store(nodes)
            site.write_object("config", "main", make_config_spec())
            site.write_object("versions", "m1", {"model": "m1", "version": 1})
            for number in range(models):
                site.start_replica(f"m{number}", "models", zone=f"z{number}")
            for number in range(apps):
                site.start_replica(f"a{number}", "app", zone=f"z{number}")
            for number in range(nodes):
                site.make_node(f"n{number}", f"z{number % (zones or nodes)}")
            site.start_nodes()
            yield site
        finally:
            site.stop()

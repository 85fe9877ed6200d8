"""Provide the base class and helpers of tests that run a fleet of processes."""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable
from typing import Any

from .caller import Answer, call_chat, make_expected_text, make_messages
from .configs import make_api_key, make_config, make_workspace
from .fleet import Fleet, Node, open_fleet, wait_until

FILLER_TEXT = "A wreath of white lilies for Friday, please. "


def make_chat(number: int = 0, repeats: int = 100) -> list[dict[str, str]]:
    """Return a chat with a long prompt that is unique per `number`."""
    return make_messages("You tag orders.", f"{number}. " + FILLER_TEXT * repeats)


def make_long_answer_chat(
    max_tokens: int = 48, min_tokens: int = 40
) -> list[dict[str, str]]:
    """Return a chat that the engine stand-in answers with at least `min_tokens`."""
    for number in range(1000):
        chat = make_chat(number, 4)
        if len(make_expected_text(chat, max_tokens).split()) >= min_tokens:
            return chat
    raise LookupError("no chat has an answer of the minimum length")


class FleetTestCase(unittest.TestCase):
    """Start a new fleet of processes for each test."""

    engines = 2
    services = 1
    instances = 3
    zones: tuple[str, ...] = ("z1", "z2")
    workspaces: dict[str, dict[str, Any]] = {"w1": make_workspace()}
    engine_options: dict[str, Any] = {}
    settings: dict[str, Any] = {}
    fleet: Fleet

    def setUp(self) -> None:
        """Start the platform, upstreams and instances and apply the configuration."""
        self.fleet = self.enterContext(open_fleet())
        self.fleet.settings |= self.settings
        self.fleet.start_platform()
        for number in range(self.engines):
            self.fleet.start_engine(f"e{number}", **self.engine_options)
        for number in range(self.services):
            self.fleet.start_service(f"s{number}")
        self.kinds = make_config(
            self.workspaces,
            self.fleet.engine_port_by_name,
            self.fleet.service_port_by_name,
            self.zones,
        )
        self.adjust_config(self.kinds)
        self.fleet.apply_config(self.kinds)
        for number in range(self.instances):
            self.fleet.make_node(f"n{number}", self.zones[number % len(self.zones)])
        self.fleet.publish_instances()
        self.fleet.start_nodes()

    def adjust_config(self, kinds: dict[str, Any]) -> None:
        """Change the initial configuration; subclasses may override this."""

    @property
    def nodes(self) -> list[Node]:
        """Return the nodes, one per instance."""
        return list(self.fleet.node_by_name.values())

    @property
    def ports(self) -> list[int]:
        """Return the ports on which the routers listen for callers."""
        return [node.listen_port for node in self.nodes]

    def key(self, workspace: str = "w1") -> str:
        """Return the API key of a workspace."""
        return make_api_key(workspace)

    def headers(self, workspace: str = "w1", **extra: str) -> dict[str, str]:
        """Return request headers with a workspace's API key and `extra` headers."""
        extra_headers = {name.replace("_", "-"): value for name, value in extra.items()}
        return {"authorization": f"Bearer {self.key(workspace)}", **extra_headers}

    def chat(self, node: int, messages: Any, **options: Any) -> Answer:
        """Send a chat to the instance with index `node` and return the answer."""
        return call_chat(self.ports[node], self.key(), messages, **options)

    def assert_complete_answer(
        self, answer: Answer, messages: Any, max_tokens: int = 32
    ) -> None:
        """Assert that an answer is complete and has the text expected for `messages`."""
        self.assertEqual(answer.status, 200, answer)
        self.assertEqual(answer.text, make_expected_text(messages, max_tokens))
        self.assertTrue(answer.is_complete, answer)

    def count_runs(self, call: str) -> int:
        """Return how often a call ran, summed over all service replicas."""
        return sum(
            self.fleet.read_service_counts(name)["runs"].get(call, 0)
            for name in self.fleet.service_port_by_name
        )

    def wait_for_revision(self, revision: int, timeout_s: float = 5.0) -> float:
        """Wait until all processes have a revision and return the seconds that took."""
        started = time.monotonic()
        wait_until(
            lambda: all(
                self.read_revisions(node) >= (revision, revision) for node in self.nodes
            ),
            timeout_s,
            f"revision {revision} in force everywhere",
        )
        return time.monotonic() - started

    def read_revisions(self, node: Node) -> tuple[int, int]:
        """Return the configuration revisions of an instance's agent and router."""
        agent = self.fleet.dump_agent(node.name) or {"revision": -1}
        router = self.fleet.dump_router(node.name) or {"revision": -1}
        return agent["revision"], router["revision"]


def run_concurrently(calls: list[Callable[[], Any]]) -> list[Any]:
    """Run each call in its own thread and return the results in order."""
    results: list[Any] = [None] * len(calls)

    def run(index: int) -> None:
        results[index] = calls[index]()

    threads = [threading.Thread(target=run, args=(i,)) for i in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results

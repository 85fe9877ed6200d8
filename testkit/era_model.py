"""Run instances' feeds, leases, gossip and orders over a store that goes back.

Everything is in virtual time and drawn from one seed.  The instances run their real
tasks; only the store, the links and the replicas are modelled.  Run more seeds by hand:
`python -m testkit.era_model --seeds 200`.
"""

from __future__ import annotations

import heapq
import logging
import sys
import types
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any
from unittest.mock import patch

import fire
import msgspec
from returns.result import Failure, Result, Success

from catkintrack.http import Address
from catkintrack.instance import feeds, lease_keeper, mesh, peers
from catkintrack.instance.fleet_state import remove_lapsed_upstreams
from catkintrack.instance.gossip import send_gossip
from catkintrack.instance.lease_keeper import (
    holds_lease,
    release_lease,
    run_lease_keeper,
)
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.instance.state import ConfigStamp, Instance
from catkintrack.leases import mark_fencing_refused
from catkintrack.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    HistoryGone,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    ObjectMissing,
    StoreConflict,
    StoredObject,
    StoreOutcomeUnknown,
    StoreUnavailable,
    observe_era,
)

from .instances import make_config_spec, make_entry_spec
from .states import make_instance

NODES = 5
REPLICAS = 4
TROUBLE_S = 24.0
# Time after the last fault, in which every instance becomes current again.
CALM_S = 9.0
# The users' bounds for configurations and for the turns of holders.
MAX_CONFIG_APPLY_S = 2.0
LEASE_S = 3.0
# Entries that the copy lacks stay in use for at least this long.
MIN_RESTORE_S = 2.0
WATCH_POLL_S = 0.1
STEP_S = 0.25
ORDER_INTERVAL_S = 0.2


class ModelBroken(AssertionError):
    """Report that an instance did what must never happen."""


@types.coroutine
def wait(seconds: float) -> Iterator[float]:
    """Suspend a task of the model for `seconds`."""
    yield seconds


@dataclass(frozen=True, slots=True)
class Change:
    """Record a change of an object; a `spec` of None deletes it."""

    at: float
    revision: int
    key: tuple[str, str]
    spec: Any


@dataclass(slots=True)
class ModelStore:
    """Hold the store's changes and its newest objects, by kind and name."""

    era: int = 1
    revision: int = 1
    is_away: bool = False
    changes: list[Change] = field(default_factory=list)
    row_by_key: dict[tuple[str, str], tuple[int, Any]] = field(default_factory=dict)

    def write(self, key: tuple[str, str], spec: Any, now: float) -> int:
        """Write or delete an object and return its revision."""
        self.revision += 1
        self.changes.append(Change(now, self.revision, key, spec))
        self.row_by_key[key] = (self.revision, spec)
        if spec is None:
            del self.row_by_key[key]
        return self.revision

    def restore(self, copied_at: float) -> None:
        """Go back to a copy, in a new era."""
        self.changes = [change for change in self.changes if change.at <= copied_at]
        self.revision = max((change.revision for change in self.changes), default=1)
        self.row_by_key = {}
        for change in self.changes:
            self.row_by_key[change.key] = (change.revision, change.spec)
            if change.spec is None:
                del self.row_by_key[change.key]
        self.era += 1

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        row = self.row_by_key.get((kind, name))
        return row and StoredObject(name, row[0], row[1], era=self.era)


@dataclass(slots=True)
class Node:
    """Hold one instance, its tasks and what happens to it."""

    name: str
    instance: Instance
    paused_until: float = -1.0
    store_cut_until: float = -1.0
    peers_cut_until: float = -1.0
    life: int = 0
    highest_serial: int = -1
    highest_target: int = 0
    left: set[tuple[str, int]] = field(default_factory=set)
    in_use: set[tuple[str, int]] = field(default_factory=set)


@dataclass(slots=True)
class Order:
    """Record an order that a replica accepted."""

    sent_at: float
    holder: str
    fencing: int


class ModelLink:
    """Deliver messages from one node to another, late or never."""

    def __init__(self, model: EraModel, sender: Node, receiver: Node) -> None:
        self.model, self.sender, self.receiver = model, sender, receiver

    async def send(self, data: bytes) -> bool:
        """Schedule the delivery of a message; a cut drops it."""
        model = self.model
        cut_until = max(self.sender.peers_cut_until, self.receiver.peers_cut_until)
        if cut_until < model.now and model.rng.random() > model.loss:
            life = self.receiver.life

            def deliver() -> None:
                handled = mesh._handle_message(self.receiver.instance, data)
                model.run_task(self.receiver, life, handled)

            model.schedule(0.002 + 0.05 * model.rng.random() ** 4, deliver)
        return True


class EraModel:
    """Run one seed: trouble first, then calm, with checks all the while."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(f"era/{seed}")
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.loss = self.rng.choice([0.0, 0.02, 0.1])
        self.trouble_until = self.now + TROUBLE_S
        self.store = ModelStore()
        self.serial = 0
        self.version = 10
        self.target = 1
        self.born_by_replica: dict[str, int] = {}
        self.left_at: dict[tuple[str, int], float] = {}
        self.last_drill_at = -1e9
        self.orders_by_replica: dict[str, list[Order]] = {}
        self.refusals = 0
        self.sends: list[Order] = []
        self.counts: Counter[str] = Counter()
        self.node_by_name: dict[str, Node] = {}
        self.node_by_client: dict[int, Node] = {}

    # Scheduling

    def schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        """Call `act` after a delay."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay_s, self.event_count, act))

    def run_task(self, node: Node, life: int, task: Coroutine) -> None:
        """Run a task of a node until it waits, and go on later."""
        if node.life != life:
            task.close()
            return
        if node.paused_until > self.now:
            delay_s = node.paused_until - self.now
            self.schedule(delay_s, lambda: self.run_task(node, life, task))
            return
        try:
            seconds = task.send(None)
        except StopIteration:
            self.check_node(node)
            return
        self.check_node(node)
        self.schedule(seconds, lambda: self.run_task(node, life, task))

    def run_until(self, end: float) -> None:
        """Let the time pass."""
        while self.events and self.events[0][0] <= end:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.now = end

    # The store's client

    async def call(
        self, client: Any, operation: Callable[[], Result], is_read: bool
    ) -> Result:
        """Carry out a call; it may fail, come late, or have an unknown outcome."""
        node = self.node_by_client[id(client)]
        is_calm = self.now >= self.trouble_until
        failure = StoreUnavailable if is_read else StoreOutcomeUnknown
        for _ in range(2 if is_read else 1):
            await wait(0.002 + 0.003 * self.rng.random())
            if self.store.is_away or node.store_cut_until > self.now:
                await wait(0.2 + self.rng.random())
                return Failure(StoreUnavailable("unreachable"))
            luck = 0.5 if is_calm else self.rng.random()
            if luck < 0.01 and not is_read:
                # It is executed seconds later, if its condition still holds.
                self.schedule(4.0 * self.rng.random(), lambda: operation() and None)
                await wait(1.5)
                return Failure(StoreOutcomeUnknown("late"))
            outcome, era = operation(), self.store.era
            await wait(1.4 * self.rng.random() if luck > 0.95 else 0.002)
            if 0.01 <= luck < 0.02 or node.store_cut_until > self.now:
                return Failure(failure("lost"))
            if era >= client.era:
                observe_era(client, era, "store")
                return outcome
            self.counts["late answers"] += 1
        return Failure(failure("earlier era"))

    async def run_within_era(self, _instance: Any, _era: int, call: Any) -> Any:
        """Wait for a call to the store; the model's watches end with their era."""
        return await call

    async def list_objects(self, client: Any, kind: str, *_: Any) -> Result:
        """List the objects of a kind."""

        def operation() -> Result:
            store = self.store
            names = sorted(name for of, name in store.row_by_key if of == kind)
            rows = tuple(store.find(kind, name) for name in names)
            return Success(ObjectList(rows, store.revision, store.era))

        return await self.call(client, operation, True)

    async def watch_objects(
        self, client: Any, kind: str, revision: int, wait_s: float
    ) -> Result:
        """Return the changes of a kind, waiting for the first."""
        deadline, era = self.now + wait_s, client.era

        def operation() -> Result:
            store = self.store
            if revision > store.revision:
                return Failure(HistoryGone(revision, store.era))
            events = tuple(
                ObjectEvent(
                    StoredObject(row.key[1], row.revision, row.spec, era=store.era),
                    row.spec is None,
                )
                for row in store.changes
                if row.revision > revision and row.key[0] == kind
            )
            return Success(ObjectEvents(events, store.revision, store.era))

        node = self.node_by_client[id(client)]
        while True:
            is_over = self.now >= deadline or self.store.is_away
            is_over = is_over or node.store_cut_until > self.now
            is_over = is_over or client.era > era
            match operation():
                case Success(ObjectEvents(events=())) if not is_over:
                    await wait(WATCH_POLL_S)
                case _:
                    return await self.call(client, operation, True)

    async def get_object(self, client: Any, kind: str, name: str) -> Result:
        """Return one object."""

        def operation() -> Result:
            found = self.store.find(kind, name)
            missing = ObjectMissing(name, self.store.era)
            return Success(found) if found else Failure(missing)

        return await self.call(client, operation, True)

    async def create_object(
        self, client: Any, kind: str, name: str, spec: Any
    ) -> Result:
        """Create an object if it does not exist."""

        def operation() -> Result:
            found = self.store.find(kind, name)
            if found:
                return Failure(
                    StoreConflict(found.revision, found.spec, self.store.era)
                )
            self.store.write((kind, name), spec, self.now)
            return Success(self.store.find(kind, name))

        return await self.call(client, operation, False)

    async def replace_object(
        self, client: Any, kind: str, name: str, spec: Any, revision: int
    ) -> Result:
        """Replace an object if it has a revision."""

        def operation() -> Result:
            found = self.store.find(kind, name)
            if not found:
                return Failure(ObjectMissing(name, self.store.era))
            if found.revision != revision:
                return Failure(
                    StoreConflict(found.revision, found.spec, self.store.era)
                )
            self.store.write((kind, name), spec, self.now)
            return Success(self.store.find(kind, name))

        return await self.call(client, operation, False)

    # Instances

    def start_node(self, name: str) -> None:
        """Start an instance, or start it again without its memory."""
        node = self.node_by_name.get(name)
        number = int(name.removeprefix("n"))
        instance = make_instance()
        instance.site = replace(
            instance.site,
            instance=name,
            zone=f"z{number % 2}",
            mesh=Address(f"10.0.0.{number + 1}", 7600),
        )
        instance.incarnation = int(self.now * 1e3)
        instance.started_at = self.now
        instance.rng = Random(f"{name}/{self.rng.random()}")
        instance.lease.owner = name
        instance.lease.incarnation = instance.incarnation
        instance.lease.started_at = self.now
        if node is None:
            node = self.node_by_name[name] = Node(name, instance)
        self.node_by_client.pop(id(node.instance.store), None)
        node.instance = instance
        instance.context = node
        node.life += 1
        node.highest_serial, node.highest_target = -1, 0
        node.left, node.in_use = set(), set()
        self.node_by_client[id(instance.store)] = node
        for kind in feeds.WATCHED_KINDS:
            self.start_task(node, feeds.run_feed(instance, kind, self.make_hook(node)))
        self.start_task(node, run_lease_keeper(instance))
        self.start_task(node, self.run_peers(node))
        self.start_task(node, self.run_orders(node))

    def connect(self, node: Node, _group: Any, _name: bytes, host: str, *_: Any) -> Any:
        """Return a link from a node, which stands for its transport, to an address."""
        for other in self.node_by_name.values():
            if other.instance.site.mesh.host == host:
                return ModelLink(self, node, other)
        raise ModelBroken(f"no instance at {host}")

    def start_task(self, node: Node, task: Coroutine) -> None:
        """Start a task of a node within a tick."""
        life = node.life
        self.schedule(0.1 * self.rng.random(), lambda: self.run_task(node, life, task))

    def make_hook(self, node: Node) -> Callable:
        """Return what a feed calls after each change."""

        async def on_change(_kind: str) -> None:
            await send_gossip(node.instance)

        return on_change

    async def run_peers(self, node: Node) -> None:
        """Gossip and drop lapsed replicas, as the instance's own loops do."""
        instance = node.instance
        for other in self.node_by_name.values():
            site = other.instance.site
            get_or_add_peer(
                instance, other.name, site.zone, site.mesh.host, site.mesh.port
            )
        while True:
            await send_gossip(instance)
            remove_lapsed_upstreams(instance, self.now)
            await wait(STEP_S)

    async def run_orders(self, node: Node) -> None:
        """Send orders to the replicas while holding the lease."""
        while True:
            if holds_lease(node.instance):
                self.send_order(node)
            await wait(ORDER_INTERVAL_S)

    def send_order(self, node: Node) -> None:
        """Send an order to one replica; it may arrive seconds later."""
        fencing = node.instance.lease.record.fencing
        order = Order(self.now, node.name, fencing)
        self.check_send(node, order)
        name = self.rng.choice(sorted(self.orders_by_replica))
        is_late = self.now < self.trouble_until and self.rng.random() < 0.1
        delay_s = 5.0 * self.rng.random() if is_late else 0.01
        self.schedule(delay_s, lambda: self.receive_order(name, node, order))

    def receive_order(self, name: str, node: Node, order: Order) -> None:
        """Accept an order, or refuse it if a higher token was seen."""
        accepted = self.orders_by_replica[name]
        if accepted and order.fencing < accepted[-1].fencing:
            self.refusals += 1
            lease = node.instance.lease
            if lease.record.fencing == order.fencing and lease.renewed_at is not None:
                mark_fencing_refused(lease)
            return
        last = accepted[-1] if accepted else order
        if order.fencing == last.fencing and order.holder != last.holder:
            raise ModelBroken(f"one token, two holders: {order} {last}")
        accepted.append(order)

    # Operators, replicas and trouble

    def write_config(self, version: int) -> None:
        """Let the operators write the next configuration."""
        self.serial += 1
        self.version = version
        self.write_again("config")

    def write_again(self, kind: str) -> None:
        """Write the newest state of a kind, unless the store has it or is away."""
        if self.store.is_away:
            self.schedule(0.1, lambda: self.write_again(kind))
            return
        for key, spec in self.make_newest(kind):
            if self.store.row_by_key.get(key, (0, None))[1] != spec:
                self.store.write(key, spec, self.now)

    def make_newest(self, kind: str) -> list[tuple[tuple[str, str], Any]]:
        """Return what operators and replicas last wrote of a kind."""
        if kind == "config":
            spec = make_config_spec(self.version)
            spec["tenants"][0]["api_keys"] = [f"#{self.serial}"]
            return [(("config", "main"), spec)]
        if kind == "versions":
            return [(("versions", "m1"), {"model": "m1", "version": self.target})]
        known = {name for of, name in self.store.row_by_key if of == "servers"}
        return [
            (("servers", name), self.make_entry(name))
            for name in sorted(known | set(self.born_by_replica))
        ]

    def make_entry(self, name: str) -> Any:
        """Return a replica's entry, None if it has left."""
        born = self.born_by_replica.get(name)
        return None if born is None else make_entry_spec(born=born)

    def replace_replica(self) -> None:
        """Let a replica leave; it starts again later, mostly under another name."""
        name = self.rng.choice(sorted(self.born_by_replica))
        born = self.born_by_replica.pop(name)
        self.left_at[(name, born)] = self.now
        self.write_again("servers")
        next_name = name if self.rng.random() < 0.3 else f"r{self.event_count}"

        def start() -> None:
            self.born_by_replica[next_name] = int(self.now * 1e3)
            self.write_again("servers")

        self.schedule(0.5 + 2.0 * self.rng.random(), start)

    def stop_node(self, node: Node) -> None:
        """Stop an instance as planned: it hands its lease over, ends and starts again."""
        life = node.life
        instance = node.instance
        if instance.is_stopping:
            return
        instance.is_stopping = True
        self.counts["hand-overs"] += instance.lease.renewed_at is not None
        self.run_task(node, life, release_lease(instance))

        def start() -> None:
            if node.life == life:
                self.start_node(node.name)

        self.schedule(0.3 + 1.5 * self.rng.random(), start)

    def go_away(self, until: float) -> None:
        """Let the store be away for a while, without a loss."""
        if self.store.is_away:
            return
        self.store.is_away = True

        def come_back() -> None:
            self.store.is_away = False

        self.schedule(until - self.now, come_back)

    def drill(self, is_repeated: bool = False) -> None:
        """Let the store go away for a moment and come back from a copy."""
        if self.store.is_away:
            return
        rng = self.rng
        self.store.is_away = True
        copied_at = self.now - 0.2 - 6.0 * rng.random()
        self.schedule(0.8 * rng.random(), lambda: self.finish_drill(copied_at))
        if not is_repeated and rng.random() < 0.4:
            self.schedule(1.0 + 1.9 * rng.random(), lambda: self.drill(True))

    def finish_drill(self, copied_at: float) -> None:
        """Bring the store back; operators and replicas write again after a while."""
        rng, store = self.rng, self.store
        store.is_away = False
        store.restore(copied_at)
        if rng.random() < 0.5:
            store.row_by_key.pop((lease_keeper.LEASE_KIND, "weights"), None)
        self.last_drill_at = self.now
        self.counts["drills"] += 1
        for kind in ("versions", "servers"):
            self.schedule(1.2 * rng.random(), lambda kind=kind: self.write_again(kind))
        if rng.random() < 0.25:
            version = self.version - 1
            self.schedule(1.2 * rng.random(), lambda: self.write_config(version))
        else:
            self.schedule(1.2 * rng.random(), lambda: self.write_again("config"))

    def make_trouble(self) -> None:
        """Draw the next fault or change, until the calm begins."""
        rng = self.rng
        if self.now >= self.trouble_until:
            return
        nodes = [self.node_by_name[name] for name in sorted(self.node_by_name)]
        act = rng.choice(
            ["config", "config", "target", "replica", "drill", "drill"]
            + ["cut half", "cut peers", "pause", "restart", "stop", "store away"]
        )
        until = min(self.now + 0.5 + 4.0 * rng.random(), self.trouble_until)
        self.counts[act] += 1
        match act:
            case "config":
                self.write_config(self.version + 1 + int(3 * rng.random()))
            case "target":
                self.target += 1
                self.write_again("versions")
            case "replica" if len(self.born_by_replica) > 2:
                self.replace_replica()
            case "drill":
                self.drill()
            case "cut half":
                for node in rng.sample(nodes, (NODES + 1) // 2):
                    node.store_cut_until = until
            case "cut peers":
                rng.choice(nodes).peers_cut_until = until
            case "pause":
                rng.choice(nodes).paused_until = until
            case "store away":
                self.go_away(until)
            case "stop":
                holder = [n for n in nodes if holds_lease(n.instance)]
                self.stop_node(rng.choice(holder or nodes))
            case "restart":
                self.start_node(rng.choice(nodes).name)
        self.schedule(0.2 + 1.6 * rng.random(), self.make_trouble)

    # Checks

    def check_send(self, node: Node, order: Order) -> None:
        """Check that only one instance acts, and that holders take no turns."""
        for other in self.node_by_name.values():
            is_running = other.paused_until <= self.now
            if other is not node and is_running and holds_lease(other.instance):
                raise ModelBroken(f"{node.name} and {other.name} hold the lease")
        since = [o for o in self.sends if o.sent_at > self.now - LEASE_S]
        holders = [o.holder for o in since]
        if node.name in holders:
            after = holders[holders.index(node.name) :]
            if set(after) != {node.name}:
                raise ModelBroken(f"holders take turns: {after} {node.name}")
        self.sends = [*since, order]

    def check_node(self, node: Node) -> None:
        """Check that nothing in force at an instance goes back."""
        instance = node.instance
        if instance.config is not None:
            keys = list(instance.config.workspace_by_key)
            serials = [int(key[1:]) for key in keys if key.startswith("#")]
            serial = max(serials)
            if serial < node.highest_serial:
                reason = f"{node.name}: {node.highest_serial} to {serial}"
                raise ModelBroken(f"configuration goes back at {reason}")
            node.highest_serial = serial
        target = instance.weights.target_by_model.get("m1")
        version = target.version if target else 0
        if version < node.highest_target:
            raise ModelBroken(f"target weights go back at {node.name}")
        node.highest_target = version
        self.check_replicas(node)

    def check_replicas(self, node: Node) -> None:
        """Check that replicas in service stay, and that departed ones stay away."""
        rows = node.instance.upstream_by_id.values()
        in_use = {(row.id, row.incarnation) for row in rows}
        returned = in_use & node.left
        if returned:
            raise ModelBroken(f"{returned} is back at {node.name}")
        for replica in node.in_use - in_use:
            if replica in self.left_at:
                node.left.add(replica)
                continue
            since_era_s = self.now - node.instance.era_seen_at
            since_drill_s = self.now - self.last_drill_at
            if since_era_s < MIN_RESTORE_S or since_drill_s > TROUBLE_S:
                raise ModelBroken(f"{replica} out of use at {node.name}")
        node.in_use = in_use

    def is_held_back(self, node: Node) -> bool:
        """Report whether a node says that it holds the stored configuration back."""
        stored = self.store.find(CONFIG_KIND, CONFIG_NAME)
        stamp = ConfigStamp(stored.era, stored.revision)
        return node.instance.held_config.stamp == stamp

    def check_agreement(self) -> None:
        """Check that all instances hold the newest state, and that one may order."""
        live = set(self.born_by_replica)
        serial = self.serial
        if all(self.is_held_back(node) for node in self.node_by_name.values()):
            # No instance can tell it from the copy's until it is written again.
            serial = self.node_by_name["n0"].highest_serial
            self.counts["held back by all"] += 1
        for node in self.node_by_name.values():
            instance = node.instance
            found = (
                instance.store.era,
                node.highest_serial,
                node.highest_target,
                set(instance.upstream_by_id),
            )
            expected = (self.store.era, serial, self.target, live)
            if found != expected:
                raise ModelBroken(f"{node.name} has {found}, newest is {expected}")
        holders = [
            name
            for name, node in self.node_by_name.items()
            if holds_lease(node.instance)
        ]
        if len(holders) != 1:
            raise ModelBroken(f"holders: {holders}")
        last = max(
            (orders[-1] for orders in self.orders_by_replica.values() if orders),
            key=lambda o: o.sent_at,
        )
        if last.holder != holders[0] or self.now - last.sent_at > 1.0:
            raise ModelBroken(f"{holders[0]} is shut out, last order {last}")

    def run(self) -> None:
        """Run the whole seed."""
        for number in range(REPLICAS):
            self.born_by_replica[f"r{number}"] = 1000 + number
            self.orders_by_replica[f"r{number}"] = []
        for kind in ("config", "versions", "servers"):
            self.write_again(kind)
        for number in range(NODES):
            self.start_node(f"n{number}")
        self.schedule(2.0 + 4.0 * self.rng.random(), self.make_trouble)
        self.run_until(self.trouble_until + CALM_S)
        self.check_agreement()
        self.write_config(self.version + 1)
        self.run_until(self.now + MAX_CONFIG_APPLY_S)
        if any(self.is_held_back(node) for node in self.node_by_name.values()):
            raise ModelBroken("a configuration written again is held back")
        self.check_agreement()


@contextmanager
def model_time(model: EraModel) -> Iterator[None]:
    """Let the instances' code run in the model's time and call its store."""
    with ExitStack() as stack:
        for target, value in (
            ("time.monotonic", lambda: model.now),
            ("time.clock_gettime", lambda _clock: model.now),
            ("curio.sleep", wait),
        ):
            stack.enter_context(patch(target, value))
        stack.enter_context(patch.object(peers, "connect_link", model.connect))
        for module, names in (
            (feeds, ("list_objects", "watch_objects", "run_within_era")),
            (lease_keeper, ("get_object", "create_object", "replace_object")),
        ):
            for name in names:
                stack.enter_context(patch.object(module, name, getattr(model, name)))
        logging.disable(logging.CRITICAL)
        try:
            yield
        finally:
            logging.disable(logging.NOTSET)


def run_seed(seed: int) -> Counter[str]:
    """Run one seed and return how often each fault was played.

    Raises ModelBroken if an instance did what must never happen.
    """
    model = EraModel(seed)
    with model_time(model):
        model.run()
    model.counts["refused orders"] = model.refusals
    return model.counts


def main(seeds: int = 200, first: int = 0) -> None:
    """Run seeds, print the broken ones and exit with 1 if there are any."""
    broken = 0
    counts: Counter[str] = Counter()
    for seed in range(first, first + seeds):
        try:
            counts += run_seed(seed)
        except ModelBroken as error:
            broken += 1
            print(f"seed {seed}: {error}", flush=True)
    print(f"{seeds} seeds, {broken} broken; {msgspec.json.encode(counts).decode()}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(main)

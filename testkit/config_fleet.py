"""Run a fleet with hubs in virtual time around a stand-in of the store.

Only what distributes configurations runs: the feeds, the gossip and the hubs.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random
from typing import Any
from unittest.mock import patch

import curio
from returns.result import Failure, Result, Success

from catkintrack.fleet import Site
from catkintrack.http import Address
from catkintrack.instance import feeds, mesh, peers
from catkintrack.instance.hubs import find_hub, has_watching_hub
from catkintrack.instance.state import Instance
from catkintrack.platform import (
    CONFIG_KIND,
    CONFIG_NAME,
    UPSTREAM_KIND,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoredObject,
    StoreError,
    StoreUnavailable,
)
from catkintrack.platform.store import CALL_TIMEOUT_S, WATCH_MARGIN_S

from .instances import make_config_spec
from .states import make_instance

KINDS = (CONFIG_KIND, UPSTREAM_KIND)
ZONES = ("z1", "z2", "z3", "z4")
STORE_ANSWER_S = 0.004
# A message takes up to this time, with its processing.
TRANSIT_S = 0.03
# A ZeroMQ link drops messages until it is connected, and connects again after a pause.
CONNECT_S = 0.02
RECONNECT_S = 0.5
SEED_COUNT = 3


class Path(Enum):
    """Enumerate how an instance reaches the store."""

    OPEN = "open"
    SILENT = "silent"
    REFUSED = "refused"


@dataclass
class Store:
    """Hold the stored objects, their changes, and how each instance reaches them."""

    revision: int = 10
    row_by_kind: dict[str, StoredObject] = field(default_factory=dict)
    changes: list[tuple[str, ObjectEvent]] = field(default_factory=list)
    changed: curio.Event = field(default_factory=curio.Event)
    path_by_name: dict[str, Path] = field(default_factory=dict)
    # Requests of an earlier generation are never answered: their connection is silent.
    generation_by_name: dict[str, int] = field(default_factory=dict)

    async def write_config(self, spec: Any) -> None:
        """Store a configuration and wake the watches."""
        self.revision += 1
        row = StoredObject(CONFIG_NAME, self.revision, spec)
        self.row_by_kind[CONFIG_KIND] = row
        self.changes.append((CONFIG_KIND, ObjectEvent(row, False)))
        changed, self.changed = self.changed, curio.Event()
        await changed.set()

    def set_path(self, name: str, path: Path) -> None:
        """Change how an instance reaches the store; its open connections are lost."""
        self.path_by_name[name] = path
        self.generation_by_name[name] = self.generation_by_name.get(name, 0) + 1

    async def list(self, name: str, kind: str) -> Result[ObjectList, StoreError]:
        """Answer a list."""
        refusal = await self._await_answer(name, CALL_TIMEOUT_S)
        if refusal is not None:
            return refusal
        row = self.row_by_kind.get(kind)
        return Success(ObjectList((row,) if row else (), self.revision))

    async def watch(
        self, name: str, kind: str, since: int, wait_s: float
    ) -> Result[ObjectEvents, StoreError]:
        """Answer a watch once there is a change, or after `wait_s` without one."""
        asked_at = time.monotonic()
        generation = self.generation_by_name.get(name, 0)
        refusal = await self._await_answer(name, wait_s + WATCH_MARGIN_S)
        if refusal is not None:
            return refusal
        while True:
            events = tuple(
                event
                for changed_kind, event in self.changes
                if changed_kind == kind and event.object.revision > since
            )
            remaining_s = asked_at + wait_s - time.monotonic()
            if self.generation_by_name.get(name, 0) != generation:
                await curio.sleep(max(0.0, remaining_s + WATCH_MARGIN_S))
                return Failure(StoreUnavailable("no response in time"))
            if events or remaining_s <= 0:
                return Success(ObjectEvents(events, self.revision))
            await curio.ignore_after(remaining_s, self.changed.wait)

    async def _await_answer(
        self, name: str, timeout_s: float
    ) -> Failure[StoreError] | None:
        path = self.path_by_name.get(name, Path.OPEN)
        if path is Path.SILENT:
            await curio.sleep(timeout_s)
            return Failure(StoreUnavailable("no response in time"))
        await curio.sleep(STORE_ANSWER_S)
        if path is Path.REFUSED:
            return Failure(StoreUnavailable("status 503"))
        return None


@dataclass
class Member:
    """Hold one place of the fleet, its running process, and that one's tasks."""

    site: Site
    instance: Instance | None = None
    tasks: list[curio.Task] = field(default_factory=list)
    started_at: float = 0.0
    lives: int = 0


class _Link:
    """Deliver messages to the process at an address, if it is connected to it."""

    def __init__(self, fleet: ConfigFleet, sender: str, host: str) -> None:
        self.fleet = fleet
        self.sender = sender
        self.receiver = fleet.name_by_host.get(host, "")
        self.created_at = time.monotonic()
        self.socket = self
        self.last_arrival_at = 0.0
        self.lives = self._find_lives()

    def close(self) -> None:
        """Close the socket."""

    def _find_lives(self) -> int:
        member = self.fleet.member_by_name.get(self.receiver)
        return member.lives if member else 0

    async def send(self, data: bytes) -> bool:
        """Deliver a message later; drop it while the receiver is not connected."""
        member = self.fleet.member_by_name.get(self.receiver)
        if member is None or member.instance is None:
            return False
        connect_s = CONNECT_S if self.lives == member.lives else RECONNECT_S
        since = max(self.created_at, member.started_at)
        is_cut = frozenset((self.sender, self.receiver)) in self.fleet.cut_pairs
        if is_cut or time.monotonic() - since < connect_s:
            return False
        arrival_at = time.monotonic() + self.fleet.transit_rng.uniform(0, TRANSIT_S)
        self.last_arrival_at = max(arrival_at, self.last_arrival_at)
        await curio.spawn(
            _deliver, member, member.lives, data, self.last_arrival_at, daemon=True
        )
        return True


@dataclass
class ConfigFleet:
    """Hold the members, the store, and when each version was acknowledged and applied."""

    rng: Random
    store: Store = field(default_factory=Store)
    member_by_name: dict[str, Member] = field(default_factory=dict)
    name_by_host: dict[str, str] = field(default_factory=dict)
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    transit_rng: Random = field(default_factory=lambda: Random(0))
    acked_at_by_version: dict[int, float] = field(default_factory=dict)
    version: int = 0

    async def start(self, name: str, is_bootstrap: bool = False) -> None:
        """Start a member's process."""
        member = self.member_by_name[name]
        instance = make_instance()
        member.lives += 1
        member.started_at = time.monotonic()
        instance.site = replace(member.site, is_bootstrap=is_bootstrap)
        instance.incarnation = int(time.monotonic() * 1000)
        instance.started_at = member.started_at
        instance.rng = Random(f"{name}/{member.lives}")
        instance.store.address = name
        instance.context = (self, name)
        member.instance = instance
        for seed in instance.site.seeds:
            peers.get_or_add_peer(instance, "", "", seed.host, seed.port)
        for function, *arguments in (
            *((feeds.run_feed, instance, kind, _ignore_change) for kind in KINDS),
            (mesh._run_gossip, instance),
            (mesh._run_hub, instance),
        ):
            task = await curio.spawn(function, *arguments, daemon=True)
            member.tasks.append(task)

    async def kill(self, name: str) -> None:
        """End a member's process at once."""
        member = self.member_by_name[name]
        member.instance = None
        await cancel_tasks(member)

    async def change_config(self) -> int:
        """Store the next version, and return it; the store acknowledges it."""
        self.version += 1
        spec = make_config_spec(self.version)
        await self.store.write_config(spec)
        self.acked_at_by_version[self.version] = time.monotonic()
        return self.version

    def find_version(self, name: str) -> int:
        """Return the version in force at a member, 0 if none is."""
        instance = self.member_by_name[name].instance
        return instance.config.revision if instance and instance.config else 0

    def list_running(self) -> list[str]:
        """Return the names of the members that run."""
        return [n for n, m in self.member_by_name.items() if m.instance is not None]

    def list_watching(self) -> list[str]:
        """Return the names of the members that watch the store themselves."""
        now = time.monotonic()
        running = ((n, m.instance) for n, m in self.member_by_name.items())
        return [n for n, i in running if i and not has_watching_hub(i, now)]

    def find_hub(self, name: str) -> str:
        """Return the name of the hub that a running member uses."""
        instance = self.member_by_name[name].instance
        assert instance is not None
        hub = find_hub(instance, instance.site.zone, time.monotonic())
        return hub.instance if hub else name

    def cut_off(self, name: str) -> None:
        """Cut a member off from all others."""
        pairs = (frozenset((name, other)) for other in self.member_by_name)
        self.cut_pairs.update(pairs)

    def mend(self, name: str) -> None:
        """Let a member reach the others again."""
        self.cut_pairs = {pair for pair in self.cut_pairs if name not in pair}


async def cancel_tasks(member: Member) -> None:
    """End the tasks of a member's process, which keeps its state."""
    tasks, member.tasks = member.tasks, []
    for task in tasks:
        await task.cancel()


async def _ignore_change(_kind: str) -> None:
    return None


async def _deliver(member: Member, lives: int, data: bytes, at: float) -> None:
    await curio.sleep(max(0.0, at - time.monotonic()))
    if member.instance is not None and member.lives == lives:
        await mesh._handle_message(member.instance, data)


@contextlib.asynccontextmanager
async def open_config_fleet(size: int, rng: Random) -> Any:
    """Yield a fleet of `size` instances that start at once with version 1."""
    fleet = ConfigFleet(rng)
    sites = [_make_site(number) for number in range(size)]
    seeds = tuple(site.mesh for site in sites[:SEED_COUNT])
    for site in sites:
        site = replace(site, seeds=seeds)
        fleet.member_by_name[site.instance] = Member(site)
        fleet.name_by_host[site.mesh.host] = site.instance
    with _patch_outside(fleet):
        await fleet.change_config()
        for name in fleet.member_by_name:
            await fleet.start(name, is_bootstrap=True)
        yield fleet
        for name in fleet.list_running():
            await fleet.kill(name)


def _make_site(number: int) -> Site:
    site = make_instance().site
    bounds = replace(site.bounds, stable_window_s=4.0, config_apply_s=3.0, drain_s=3.0)
    return replace(
        site,
        bounds=bounds,
        instance=f"n{number:02}",
        zone=ZONES[number % len(ZONES)],
        link_mbps=100.0 if number % 3 == 0 else 5.0,
        mesh=Address(f"10.0.0.{number + 1}", 7600),
    )


@contextlib.contextmanager
def _patch_outside(fleet: ConfigFleet) -> Iterator[None]:
    """Lead the calls to the store and the links to the stand-ins."""

    async def list_objects(client: Any, kind: str) -> Any:
        return await fleet.store.list(client.address, kind)

    async def watch_objects(client: Any, kind: str, since: int, wait_s: float) -> Any:
        return await fleet.store.watch(client.address, kind, since, wait_s)

    def connect_link(
        context: Any, _keys: Any, _key: Any, host: str, *_rest: Any
    ) -> Any:
        _, sender = context
        return _Link(fleet, sender, host)

    with (
        patch.object(feeds, "list_objects", list_objects),
        patch.object(feeds, "watch_objects", watch_objects),
        patch.object(peers, "connect_link", connect_link),
    ):
        yield


def list_stale(
    fleet: ConfigFleet, names: Iterable[str], version: int
) -> dict[str, int]:
    """Return the version in force at each of `names` that has an older one."""
    found = {name: fleet.find_version(name) for name in names}
    return {name: v for name, v in found.items() if v < version}

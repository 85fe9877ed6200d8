"""Bring configuration from the platform and peers into force."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable

import curio
from returns.result import Failure, Success

from catkintrack.config import (
    HEAD_NAME,
    Change,
    State,
    apply_changes,
    compile_tables,
    decode_head,
    decode_snapshot,
    encode_snapshot,
)
from catkintrack.links import (
    ConfigChanges,
    ConfigPull,
    ConfigSnapshot,
    Envelope,
    Heartbeat,
)
from catkintrack.membership import list_ring
from catkintrack.objects import (
    NotFound,
    list_instances,
    read_state,
    watch_object,
)

from .borrowing import put_specs_in_force
from .feeds import sync_feeds
from .mesh import MeshHandler, send_to_peer
from .routers import push_config
from .state import Agent, Body

logger = logging.getLogger(__name__)

RETRY_MIN_S = 0.2
RETRY_SPREAD_S = 0.6
PUSH_SUCCESSORS = 3
PUSH_RANDOM = 1
READERS_PER_ZONE = 2
READER_PATIENCE_S = 3.0


async def watch_platform(agent: Agent) -> None:
    """Follow the configuration's head object until cancelled."""
    while True:
        if not is_platform_reader(agent):
            await curio.sleep(RETRY_MIN_S)
            continue
        timeout_s = agent.settings.platform.watch_timeout_s
        outcome = await watch_object(
            agent.platform, HEAD_NAME, agent.head_version, timeout_s
        )
        match outcome:
            case Success(None) | Failure(NotFound()):
                note_platform_contact(agent)
            case Success(found):
                head = decode_head(found.value)
                await _take_head(agent, found.version, head)
            case Failure(error):
                logger.warning("platform watch failed", extra={"reason": str(error)})
                spread = RETRY_SPREAD_S * agent.rng.random()
                await curio.sleep(RETRY_MIN_S + spread)


def is_platform_reader(agent: Agent) -> bool:
    """Report whether this agent reads the platform for its availability zone."""
    now = time.monotonic()
    if now - agent.platform_ok_at > READER_PATIENCE_S:
        return True
    zone = agent.settings.instance.zone
    ring = [agent.instance, *list_ring(agent.members)]
    rows = agent.members.member_by_instance
    same = [
        name for name in ring if name == agent.instance or rows[name].news.zone == zone
    ]
    return agent.instance in sorted(same)[:READERS_PER_ZONE]


def note_platform_contact(agent: Agent) -> None:
    """Note that the platform has just answered."""
    now = time.monotonic()
    agent.own_platform_ok_at = now
    agent.platform_ok_at = now


async def _take_head(agent: Agent, version: int, decoded: object) -> None:
    match decoded:
        case Success(head):
            pass
        case Failure(error):
            logger.error("configuration head refused", extra={"reason": str(error)})
            agent.head_version = version
            return
    match await read_state(agent.platform, agent.config, head):
        case Success(state):
            agent.head_version = version
            # Contact counts only once what was read is in force.
            if await put_state_in_force(agent, state, head.changes):
                note_platform_contact(agent)
        case Failure(error):
            logger.error("configuration not readable", extra={"reason": str(error)})
            await curio.sleep(RETRY_MIN_S)


async def put_state_in_force(
    agent: Agent, state: State, changes: Iterable[Change]
) -> bool:
    """Put a newer state in force, whole; report False when it is refused."""
    if state.revision <= agent.config.revision:
        return True
    match compile_tables(state, agent.config, agent.tables):
        case Success(tables):
            pass
        case Failure(errors):
            reasons = [str(error) for error in errors]
            logger.error("configuration refused", extra={"reasons": reasons})
            agent.metrics.refused_changes.inc({})
            return False
    fresh = [change for change in changes if change.revision > agent.config.revision]
    agent.config = state
    agent.tables = tables
    agent.changes.extend(sorted(fresh, key=lambda change: change.revision))
    agent.newest_revision_heard = max(agent.newest_revision_heard, state.revision)
    agent.metrics.revision.set({}, state.revision)
    logger.info("configuration in force", extra={"revision": state.revision})
    put_specs_in_force(agent)
    await push_config(agent)
    await _push_to_peers(agent, tuple(fresh))
    await sync_feeds(agent)
    return True


async def _push_to_peers(agent: Agent, changes: tuple[Change, ...]) -> None:
    ring = list_ring(agent.members)
    targets = ring[:PUSH_SUCCESSORS]
    rest = ring[PUSH_SUCCESSORS:]
    targets += agent.rng.sample(rest, min(PUSH_RANDOM, len(rest)))
    for instance in targets:
        await send_to_peer(agent, instance, ConfigChanges(changes))


def answer_pull(agent: Agent, revision: int) -> Body | None:
    """Return what brings a process at `revision` up to date, or None."""
    if revision >= agent.config.revision:
        return None
    missing = tuple(c for c in agent.changes if c.revision > revision)
    if missing and missing[0].revision == revision + 1:
        return ConfigChanges(missing)
    return ConfigSnapshot(encode_snapshot(agent.config))


async def handle_pull(agent: Agent, envelope: Envelope) -> None:
    """Bring a peer up to date."""
    body: ConfigPull = envelope.body
    answer = answer_pull(agent, body.revision)
    if answer is not None:
        await send_to_peer(agent, envelope.sender, answer)


async def handle_changes(agent: Agent, envelope: Envelope) -> None:
    """Apply a peer's changes, or ask for what is missing before them."""
    body: ConfigChanges = envelope.body
    state = apply_changes(agent.config, body.changes)
    await put_state_in_force(agent, state, body.changes)
    newest = max((change.revision for change in body.changes), default=0)
    if newest > agent.config.revision:
        await send_to_peer(agent, envelope.sender, ConfigPull(agent.config.revision))


async def handle_snapshot(agent: Agent, envelope: Envelope) -> None:
    """Take over a peer's newer state."""
    body: ConfigSnapshot = envelope.body
    match decode_snapshot(body.data):
        case Success(state):
            await put_state_in_force(agent, state, ())
        case Failure(error):
            logger.error("peer snapshot refused", extra={"reason": str(error)})


async def handle_heartbeat_revision(agent: Agent, envelope: Envelope) -> None:
    """Ask a peer that is ahead for its changes."""
    body: Heartbeat = envelope.body
    if body.revision > agent.config.revision:
        await send_to_peer(agent, envelope.sender, ConfigPull(agent.config.revision))


CONFIG_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    ConfigPull: handle_pull,
    ConfigChanges: handle_changes,
    ConfigSnapshot: handle_snapshot,
    Heartbeat: handle_heartbeat_revision,
}


async def poll_instances(agent: Agent) -> None:
    """Follow the platform's list of instances until cancelled."""
    while True:
        match await list_instances(agent.platform):
            case Success(rows):
                listed = {row.id: row for row in rows}
                gone = set(agent.listed_by_instance) - set(listed)
                agent.removed_instances |= gone
                agent.removed_instances -= set(listed)
                agent.listed_by_instance = listed
            case Failure(error):
                logger.warning("instance list failed", extra={"reason": str(error)})
        await curio.sleep(agent.settings.agent.poll_interval_s)

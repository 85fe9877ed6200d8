"""Fetch configuration from the platform and peers, and activate it."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable

import curio
from returns.result import Failure, Success

from catkintrack.config import (
    HEAD_NAME,
    ConfigChange,
    ConfigState,
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

from .borrowing import apply_limit_specs
from .engine_feeds import sync_engine_feeds
from .mesh import MeshHandler, send_to_peer
from .routers import push_config_to_routers
from .state import Agent, MessageBody

logger = logging.getLogger(__name__)

PLATFORM_RETRY_MIN_DELAY_S = 0.2
PLATFORM_RETRY_JITTER_S = 0.6
PUSH_SUCCESSOR_COUNT = 3
PUSH_RANDOM_PEER_COUNT = 1
PLATFORM_READERS_PER_ZONE = 2
READER_FAILOVER_TIMEOUT_S = 3.0


async def watch_config_head(agent: Agent) -> None:
    """Watch the configuration's head object in the platform until cancelled."""
    while True:
        if not is_platform_reader(agent):
            await curio.sleep(PLATFORM_RETRY_MIN_DELAY_S)
            continue
        timeout_s = agent.settings.platform.watch_timeout_s
        outcome = await watch_object(
            agent.platform, HEAD_NAME, agent.head_version, timeout_s
        )
        match outcome:
            case Success(None) | Failure(NotFound()):
                record_platform_contact(agent)
            case Success(found):
                head = decode_head(found.value)
                await _apply_head(agent, found.version, head)
            case Failure(error):
                logger.warning(
                    "watch of the configuration head failed",
                    extra={"reason": str(error)},
                )
                record_platform_failure(agent)
                jitter_s = PLATFORM_RETRY_JITTER_S * agent.rng.random()
                await curio.sleep(PLATFORM_RETRY_MIN_DELAY_S + jitter_s)


def is_platform_reader(agent: Agent) -> bool:
    """Report whether this agent polls the platform for its availability zone.

    All agents do after READER_FAILOVER_TIMEOUT_S without any platform contact.
    """
    now = time.monotonic()
    if now - agent.fleet_platform_contact_at > READER_FAILOVER_TIMEOUT_S:
        return True
    zone = agent.settings.instance.zone
    ring = [agent.instance, *list_ring(agent.members)]
    members = agent.members.member_by_instance
    same_zone_instances = [
        name
        for name in ring
        if name == agent.instance or members[name].news.zone == zone
    ]
    return agent.instance in sorted(same_zone_instances)[:PLATFORM_READERS_PER_ZONE]


def record_platform_contact(agent: Agent) -> None:
    """Record that the platform has just answered this agent."""
    now = time.monotonic()
    agent.own_platform_contact_at = now
    agent.fleet_platform_contact_at = now
    agent.platform_failing_since = None


def record_platform_failure(agent: Agent) -> None:
    """Record that a call of this agent to the platform has failed."""
    if agent.platform_failing_since is None:
        agent.platform_failing_since = time.monotonic()


async def _apply_head(agent: Agent, version: int, decoded: object) -> None:
    match decoded:
        case Success(head):
            pass
        case Failure(error):
            logger.error(
                "configuration head is malformed", extra={"reason": str(error)}
            )
            agent.head_version = version
            return
    match await read_state(agent.platform, agent.config, head):
        case Success(state):
            agent.head_version = version
            # The contact's age bounds the staleness of the active configuration, so the
            # contact counts only once the state that was read is active.
            if await activate_config(agent, state, head.changes):
                record_platform_contact(agent)
        case Failure(error):
            logger.error(
                "reading the configuration from the platform failed",
                extra={"reason": str(error)},
            )
            await curio.sleep(PLATFORM_RETRY_MIN_DELAY_S)


async def activate_config(
    agent: Agent, state: ConfigState, changes: Iterable[ConfigChange]
) -> bool:
    """Activate a newer state as a whole; report False when it is invalid."""
    if state.revision <= agent.config.revision:
        return True
    match compile_tables(state, agent.config, agent.tables):
        case Success(tables):
            pass
        case Failure(errors):
            reasons = [str(error) for error in errors]
            logger.error(
                "configuration rejected, keeping the active revision",
                extra={"reasons": reasons},
            )
            agent.metrics.refused_changes.inc({})
            return False
    new_changes = [
        change for change in changes if change.revision > agent.config.revision
    ]
    agent.config = state
    agent.tables = tables
    agent.changes.extend(sorted(new_changes, key=lambda change: change.revision))
    agent.highest_seen_revision = max(agent.highest_seen_revision, state.revision)
    agent.metrics.revision.set({}, state.revision)
    logger.info("configuration in force", extra={"revision": state.revision})
    apply_limit_specs(agent)
    await push_config_to_routers(agent)
    await _push_changes_to_peers(agent, tuple(new_changes))
    await sync_engine_feeds(agent)
    return True


async def _push_changes_to_peers(
    agent: Agent, changes: tuple[ConfigChange, ...]
) -> None:
    ring = list_ring(agent.members)
    targets = ring[:PUSH_SUCCESSOR_COUNT]
    rest = ring[PUSH_SUCCESSOR_COUNT:]
    targets += agent.rng.sample(rest, min(PUSH_RANDOM_PEER_COUNT, len(rest)))
    for instance in targets:
        await send_to_peer(agent, instance, ConfigChanges(changes))


def make_pull_response(agent: Agent, revision: int) -> MessageBody | None:
    """Return what a process at `revision` lacks, or None when it is up to date.

    A snapshot replaces the changes when those are no longer all retained.
    """
    if revision >= agent.config.revision:
        return None
    missing = tuple(c for c in agent.changes if c.revision > revision)
    if missing and missing[0].revision == revision + 1:
        return ConfigChanges(missing)
    return ConfigSnapshot(encode_snapshot(agent.config))


async def handle_config_pull(agent: Agent, envelope: Envelope) -> None:
    """Send a peer the configuration that it lacks."""
    body: ConfigPull = envelope.body
    response = make_pull_response(agent, body.revision)
    if response is not None:
        await send_to_peer(agent, envelope.sender, response)


async def handle_config_changes(agent: Agent, envelope: Envelope) -> None:
    """Apply changes from a peer; pull the missing ones if there is a gap before them."""
    body: ConfigChanges = envelope.body
    state = apply_changes(agent.config, body.changes)
    await activate_config(agent, state, body.changes)
    newest = max((change.revision for change in body.changes), default=0)
    if newest > agent.config.revision:
        await send_to_peer(agent, envelope.sender, ConfigPull(agent.config.revision))


async def handle_config_snapshot(agent: Agent, envelope: Envelope) -> None:
    """Activate a snapshot from a peer if it is newer."""
    body: ConfigSnapshot = envelope.body
    match decode_snapshot(body.data):
        case Success(state):
            await activate_config(agent, state, ())
        case Failure(error):
            logger.error(
                "configuration snapshot from a peer is malformed",
                extra={"reason": str(error)},
            )


async def handle_heartbeat_revision(agent: Agent, envelope: Envelope) -> None:
    """Pull configuration from a peer with a higher revision."""
    body: Heartbeat = envelope.body
    if body.revision > agent.config.revision:
        await send_to_peer(agent, envelope.sender, ConfigPull(agent.config.revision))


CONFIG_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    ConfigPull: handle_config_pull,
    ConfigChanges: handle_config_changes,
    ConfigSnapshot: handle_config_snapshot,
    Heartbeat: handle_heartbeat_revision,
}


async def poll_instances(agent: Agent) -> None:
    """Poll the platform's list of instances until cancelled."""
    while True:
        match await list_instances(agent.platform):
            case Success(rows):
                listed = {row.id: row for row in rows}
                removed = set(agent.instance_row_by_id) - set(listed)
                agent.removed_instances |= removed
                agent.removed_instances -= set(listed)
                agent.instance_row_by_id = listed
                agent.platform_failing_since = None
            case Failure(error):
                logger.warning(
                    "listing the instances on the platform failed",
                    extra={"reason": str(error)},
                )
                record_platform_failure(agent)
        await curio.sleep(agent.settings.agent.poll_interval_s)

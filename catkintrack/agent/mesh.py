"""Send messages to peers and hand theirs to the parts that they concern."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio

from catkintrack.links import (
    Envelope,
    Heartbeat,
    MemberNews,
    Probe,
    Vouch,
    VouchRequest,
    connect_link,
    decode_envelope,
    encode_envelope,
)
from catkintrack.membership import (
    answer_vouch_request,
    dequeue_news,
    list_alive,
    list_all_news,
    merge_news,
    needs_full_table,
    record_liveness,
    run_detector,
)

from .state import Agent, Body, PeerLink

logger = logging.getLogger(__name__)

TICK_S = 0.1

MeshHandler = Callable[[Agent, Envelope], Awaitable[None]]


async def send_to_peer(agent: Agent, instance: str, body: Body) -> bool:
    """Send a message to a member; report False when it can't be queued."""
    news = _find_news(agent, instance)
    if news is None:
        return False
    return await send_to_address(agent, instance, news.mesh_host, news.mesh_port, body)


async def send_to_address(
    agent: Agent, instance: str, host: str, port: int, body: Body
) -> bool:
    """Send a message to a mesh address, connecting when there is no link yet."""
    peer = agent.peer_link_by_instance.get(instance)
    if peer is not None and (peer.host, peer.port) != (host, port):
        await close_peer_link(agent, instance)
        peer = None
    if peer is None:
        peer = await _open_peer_link(agent, instance, host, port)
    envelope = Envelope(agent.instance, agent.incarnation, body)
    data = encode_envelope(envelope)
    _count(agent, "sent", body, len(data))
    return await peer.link.send(data)


async def send_to_all(agent: Agent, body: Body) -> None:
    """Send a message to every live peer."""
    for instance in list_alive(agent.members):
        if instance != agent.instance:
            await send_to_peer(agent, instance, body)


async def close_peer_link(agent: Agent, instance: str) -> None:
    """Close the connection to a peer."""
    peer = agent.peer_link_by_instance.pop(instance, None)
    if peer is not None:
        await peer.task.cancel(blocking=False)
        peer.link.socket.close(linger=0)


async def _open_peer_link(
    agent: Agent, instance: str, host: str, port: int
) -> PeerLink:
    async def ignore(_identity: bytes, _data: bytes) -> None:
        """Peers answer through their own connections."""

    link = connect_link(
        agent.context, agent.keys, agent.keys.public, host, port, ignore
    )
    task = await curio.spawn(link.run, daemon=True)
    peer = PeerLink(host, port, link, task)
    agent.peer_link_by_instance[instance] = peer
    return peer


def _find_news(agent: Agent, instance: str) -> MemberNews | None:
    row = agent.members.member_by_instance.get(instance)
    return row.news if row else None


def _count(agent: Agent, direction: str, body: Body, size: int) -> None:
    labels = {"direction": direction, "type": type(body).__name__}
    agent.metrics.mesh_messages.inc(labels)
    agent.metrics.mesh_bytes.add(labels, size)


def make_heartbeat(agent: Agent) -> Heartbeat:
    """Return a heartbeat with the news that is due."""
    return make_heartbeat_with(agent, (agent.members.own, *dequeue_news(agent.members)))


def make_heartbeat_with(agent: Agent, news: tuple[MemberNews, ...]) -> Heartbeat:
    """Return a heartbeat that carries `news`."""
    return Heartbeat(
        agent.config.revision,
        max(0.0, time.monotonic() - agent.platform_ok_at),
        agent.limits.holder.ledger.generation,
        news,
    )


async def run_membership(agent: Agent) -> None:
    """Send heartbeats and probes until cancelled."""
    while True:
        now = time.monotonic()
        agent.pause_guard.check(now)
        await greet_seeds(agent)
        for outgoing in run_detector(agent.members, now, agent.rng):
            body = outgoing.message or make_heartbeat(agent)
            await send_to_peer(agent, outgoing.receiver, body)
        await _close_dead_links(agent)
        await curio.sleep(TICK_S)


async def greet_seeds(agent: Agent) -> None:
    """Make oneself known to listed instances that have not been heard of."""
    for row in list(agent.listed_by_instance.values()):
        is_known = row.id in agent.members.member_by_instance
        if row.id == agent.instance or is_known or not row.mesh_port:
            continue
        if agent.rng.random() < 0.3:
            body = make_heartbeat(agent)
            await send_to_address(agent, row.id, row.mesh_host, row.mesh_port, body)


async def _close_dead_links(agent: Agent) -> None:
    alive = list_alive(agent.members)
    for instance in list(agent.peer_link_by_instance):
        listed = agent.listed_by_instance.get(instance)
        if instance not in alive and listed is None:
            await close_peer_link(agent, instance)


async def handle_heartbeat(agent: Agent, envelope: Envelope) -> None:
    """Learn a peer's news, and tell a new member everything."""
    body: Heartbeat = envelope.body
    now = time.monotonic()
    is_new = needs_full_table(agent.members, envelope.sender)
    if merge_news(agent.members, body.news, now):
        agent.metrics.members_alive.set({}, len(list_alive(agent.members)))
    record_liveness(agent.members, envelope.sender, envelope.incarnation, now)
    if agent.pause_guard.check(now):
        agent.platform_ok_at = max(agent.platform_ok_at, now - body.platform_age_s)
        agent.peer_heard_at = now
    agent.newest_revision_heard = max(agent.newest_revision_heard, body.revision)
    if is_new:
        news = list_all_news(agent.members)
        await send_to_peer(agent, envelope.sender, make_heartbeat_with(agent, news))


async def handle_probe(agent: Agent, envelope: Envelope) -> None:
    """Answer a probe by a heartbeat."""
    await send_to_peer(agent, envelope.sender, make_heartbeat(agent))


async def handle_vouch_request(agent: Agent, envelope: Envelope) -> None:
    """Vouch for a member that is heard here."""
    body: VouchRequest = envelope.body
    vouch = answer_vouch_request(agent.members, body.instance, time.monotonic())
    if vouch is not None:
        await send_to_peer(agent, envelope.sender, vouch)


async def handle_vouch(agent: Agent, envelope: Envelope) -> None:
    """Take a peer's word that a member lives."""
    body: Vouch = envelope.body
    heard_at = time.monotonic() - body.age_s
    record_liveness(agent.members, body.instance, body.incarnation, heard_at)


MEMBERSHIP_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    Heartbeat: handle_heartbeat,
    Probe: handle_probe,
    VouchRequest: handle_vouch_request,
    Vouch: handle_vouch,
}


def make_mesh_receiver(
    agent: Agent, handlers_by_type: dict[type, list[MeshHandler]]
) -> Callable[[bytes, bytes], Awaitable[None]]:
    """Return the function that hands a peer's message to its handlers."""

    async def receive(_identity: bytes, data: bytes) -> None:
        envelope = decode_envelope(data)
        if envelope is None:
            logger.warning("peer sent a malformed message", extra={"bytes": len(data)})
            return
        _count(agent, "received", envelope.body, len(data))
        sender = envelope.sender
        record_liveness(agent.members, sender, envelope.incarnation, time.monotonic())
        for handler in handlers_by_type.get(type(envelope.body), ()):
            await handler(agent, envelope)

    return receive

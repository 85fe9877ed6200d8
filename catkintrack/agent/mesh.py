"""Exchange messages with peer agents, and maintain the membership."""

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

from .state import Agent, MessageBody, PeerLink

logger = logging.getLogger(__name__)

MEMBERSHIP_TICK_S = 0.1

MeshHandler = Callable[[Agent, Envelope], Awaitable[None]]


async def send_to_peer(agent: Agent, instance: str, body: MessageBody) -> bool:
    """Send a message to a member; return False when it can't be queued."""
    news = _find_member_news(agent, instance)
    if news is None:
        return False
    return await send_to_address(agent, instance, news.mesh_host, news.mesh_port, body)


async def send_to_address(
    agent: Agent, instance: str, host: str, port: int, body: MessageBody
) -> bool:
    """Send a message to a mesh address, opening a link if there is none."""
    peer = agent.peer_link_by_instance.get(instance)
    if peer is not None and (peer.host, peer.port) != (host, port):
        await close_peer_link(agent, instance)
        peer = None
    if peer is None:
        peer = await _open_peer_link(agent, instance, host, port)
    envelope = Envelope(agent.instance, agent.incarnation, body)
    data = encode_envelope(envelope)
    _count_message(agent, "sent", body, len(data))
    return await peer.link.send(data)


async def send_to_all_peers(agent: Agent, body: MessageBody) -> None:
    """Send a message to every live peer."""
    for instance in list_alive(agent.members):
        if instance != agent.instance:
            await send_to_peer(agent, instance, body)


async def close_peer_link(agent: Agent, instance: str) -> None:
    """Close the link to a peer and discard unsent messages."""
    peer = agent.peer_link_by_instance.pop(instance, None)
    if peer is not None:
        await peer.task.cancel(blocking=False)
        peer.link.socket.close(linger=0)


async def _open_peer_link(
    agent: Agent, instance: str, host: str, port: int
) -> PeerLink:
    async def discard(_identity: bytes, _data: bytes) -> None:
        """Discard input, as peers reply over links of their own."""

    link = connect_link(
        agent.context, agent.keys, agent.keys.public, host, port, discard
    )
    task = await curio.spawn(link.run, daemon=True)
    peer = PeerLink(host, port, link, task)
    agent.peer_link_by_instance[instance] = peer
    return peer


def _find_member_news(agent: Agent, instance: str) -> MemberNews | None:
    member = agent.members.member_by_instance.get(instance)
    return member.news if member else None


def _count_message(agent: Agent, direction: str, body: MessageBody, size: int) -> None:
    labels = {"direction": direction, "type": type(body).__name__}
    agent.metrics.mesh_messages.inc(labels)
    agent.metrics.mesh_bytes.add(labels, size)


def make_heartbeat(agent: Agent) -> Heartbeat:
    """Return a heartbeat with the membership news that is due for gossip."""
    return make_heartbeat_with_news(
        agent, (agent.members.own, *dequeue_news(agent.members))
    )


def make_heartbeat_with_news(agent: Agent, news: tuple[MemberNews, ...]) -> Heartbeat:
    """Return a heartbeat with the given membership news."""
    return Heartbeat(
        agent.config.revision,
        max(0.0, time.monotonic() - agent.fleet_platform_contact_at),
        agent.limits.holder.ledger.generation,
        news,
    )


async def run_membership(agent: Agent) -> None:
    """Send heartbeats and probes until cancelled."""
    while True:
        now = time.monotonic()
        # Called at each tick, so that a long time between calls means a pause.
        agent.pause_detector.are_messages_recent(now)
        await contact_unknown_instances(agent)
        for outgoing in run_detector(agent.members, now, agent.rng):
            body = outgoing.message or make_heartbeat(agent)
            await send_to_peer(agent, outgoing.receiver, body)
        await _close_stale_links(agent)
        await curio.sleep(MEMBERSHIP_TICK_S)


async def contact_unknown_instances(agent: Agent) -> None:
    """Send heartbeats to instances in the platform's list that are not members yet."""
    for row in list(agent.instance_row_by_id.values()):
        is_known = row.id in agent.members.member_by_instance
        if row.id == agent.instance or is_known or not row.mesh_port:
            continue
        if agent.rng.random() < 0.3:
            body = make_heartbeat(agent)
            await send_to_address(agent, row.id, row.mesh_host, row.mesh_port, body)


async def _close_stale_links(agent: Agent) -> None:
    alive = list_alive(agent.members)
    for instance in list(agent.peer_link_by_instance):
        listed = agent.instance_row_by_id.get(instance)
        if instance not in alive and listed is None:
            await close_peer_link(agent, instance)


async def handle_heartbeat(agent: Agent, envelope: Envelope) -> None:
    """Merge a peer's membership news; send the whole table to a new member."""
    body: Heartbeat = envelope.body
    now = time.monotonic()
    is_new = needs_full_table(agent.members, envelope.sender)
    if merge_news(agent.members, body.news, now):
        agent.metrics.members_alive.set({}, len(list_alive(agent.members)))
    record_liveness(agent.members, envelope.sender, envelope.incarnation, now)
    if agent.pause_detector.are_messages_recent(now):
        agent.fleet_platform_contact_at = max(
            agent.fleet_platform_contact_at, now - body.platform_age_s
        )
        agent.last_peer_heartbeat_at = now
    agent.highest_seen_revision = max(agent.highest_seen_revision, body.revision)
    if is_new:
        news = list_all_news(agent.members)
        await send_to_peer(
            agent, envelope.sender, make_heartbeat_with_news(agent, news)
        )


async def handle_probe(agent: Agent, envelope: Envelope) -> None:
    """Answer a probe with a heartbeat."""
    await send_to_peer(agent, envelope.sender, make_heartbeat(agent))


async def handle_vouch_request(agent: Agent, envelope: Envelope) -> None:
    """Vouch for a member that this agent has heard from recently."""
    body: VouchRequest = envelope.body
    vouch = answer_vouch_request(agent.members, body.instance, time.monotonic())
    if vouch is not None:
        await send_to_peer(agent, envelope.sender, vouch)


async def handle_vouch(agent: Agent, envelope: Envelope) -> None:
    """Record a member as alive at the time that a peer vouches for."""
    body: Vouch = envelope.body
    last_alive_at = time.monotonic() - body.age_s
    record_liveness(agent.members, body.instance, body.incarnation, last_alive_at)


MEMBERSHIP_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    Heartbeat: handle_heartbeat,
    Probe: handle_probe,
    VouchRequest: handle_vouch_request,
    Vouch: handle_vouch,
}


def make_mesh_receiver(
    agent: Agent, handlers_by_type: dict[type, list[MeshHandler]]
) -> Callable[[bytes, bytes], Awaitable[None]]:
    """Return a function that dispatches a peer's message to its handlers."""

    async def receive(_identity: bytes, data: bytes) -> None:
        envelope = decode_envelope(data)
        if envelope is None:
            logger.warning(
                "received a malformed message from a peer", extra={"bytes": len(data)}
            )
            return
        _count_message(agent, "received", envelope.body, len(data))
        sender = envelope.sender
        record_liveness(agent.members, sender, envelope.incarnation, time.monotonic())
        for handler in handlers_by_type.get(type(envelope.body), ()):
            await handler(agent, envelope)

    return receive

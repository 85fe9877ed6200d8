"""Serve configuration, fleet state, loads, tokens and claims to routers."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio
import msgspec

from catkintrack.claims import ClaimVerdict, acquire_claim, store_claim_outcome
from catkintrack.config import encode_snapshot
from catkintrack.links import (
    CacheEvents,
    ClaimAnswer,
    ClaimFinish,
    ClaimFinished,
    ClaimRequest,
    ConfigChanges,
    ConfigSnapshot,
    Envelope,
    FleetView,
    LoadReports,
    MemberRow,
    PrefillEnd,
    PrefillNews,
    ReserveAnswer,
    ReserveRequest,
    RouterHello,
    Settle,
    decode_envelope,
    encode_envelope,
)
from catkintrack.membership import list_alive

from .borrowing import is_joining_blocked, reserve_tokens, settle_reservation
from .freshness import FreshnessEvidence, are_keys_current
from .mesh import MeshHandler, send_to_all_peers
from .recounting import is_recount_due
from .state import Agent, MessageBody, RouterSession

logger = logging.getLogger(__name__)

ROUTER_SESSION_TIMEOUT_S = 5.0
LIMITS_READY_TIMEOUT_S = 2.0
MEETING_TIMEOUT_S = 2.0

RouterHandler = Callable[[Agent, RouterSession, Envelope], Awaitable[None]]


async def send_to_router(
    agent: Agent, session: RouterSession, body: MessageBody
) -> None:
    """Send a message to the router of a session."""
    envelope = Envelope(agent.instance, agent.incarnation, body)
    if agent.routers is not None:
        await agent.routers.send(encode_envelope(envelope), session.identity)


async def send_to_routers(agent: Agent, body: MessageBody) -> None:
    """Send a message to every router that this agent serves."""
    for session in list(agent.session_by_identity.values()):
        await send_to_router(agent, session, body)


def collect_freshness_evidence(agent: Agent, now: float) -> FreshnessEvidence:
    """Return the evidence on whether the active configuration is current."""
    return FreshnessEvidence(
        revision=agent.config.revision,
        highest_seen_revision=agent.highest_seen_revision,
        platform_age_s=now - agent.fleet_platform_contact_at,
        peer_heartbeat_age_s=now - agent.last_peer_heartbeat_at,
        alive_members=len(list_alive(agent.members)),
        known_members=1 + len(agent.members.member_by_instance),
        are_messages_recent=agent.pause_detector.are_messages_recent(now),
    )


def make_fleet_view(agent: Agent) -> FleetView:
    """Return the fleet state for routers and update the `keys_current` metric."""
    now = time.monotonic()
    is_current = are_keys_current(collect_freshness_evidence(agent, now))
    agent.metrics.keys_current.set({}, int(is_current))
    members = tuple(
        MemberRow(news.instance, news.zone, news.routers_host, news.routers_port)
        for news in list_alive(agent.members).values()
    )
    leaving = tuple(
        row.id for row in agent.instance_row_by_id.values() if row.state == "leaving"
    )
    return FleetView(
        agent.incarnation,
        agent.config.revision,
        is_current,
        are_limits_ready(agent, now),
        members,
        leaving,
        is_joining_blocked(agent, now),
        is_meeting_others(agent, now),
    )


def is_meeting_others(agent: Agent, now: float) -> bool:
    """Report whether other instances exist, as far as known, and none has been met.

    A list that has not been read may hold some.  A new agent waits for a limited time.
    """
    is_within_timeout = now - agent.started_at <= MEETING_TIMEOUT_S
    if not is_within_timeout or len(list_alive(agent.members)) > 1:
        return False
    rows = agent.instance_row_by_id.values()
    has_others = any(row.mesh_port and row.id != agent.instance for row in rows)
    return has_others or not rows


def are_limits_ready(agent: Agent, now: float) -> bool:
    """Report whether reservations can be served, or the startup timeout has passed.

    An agent that can lend isn't ready yet while a recount is due: while a fleet
    starts, the recount for the next member suspends lending again.
    """
    is_within_timeout = now - agent.started_at <= LIMITS_READY_TIMEOUT_S
    can_reserve = agent.limits.holder.can_lend and not is_recount_due(agent)
    return can_reserve or not is_within_timeout


async def push_config_to_routers(agent: Agent) -> None:
    """Send every router the configuration that it lacks."""
    for session in list(agent.session_by_identity.values()):
        await send_missing_config(agent, session)


async def send_missing_config(agent: Agent, session: RouterSession) -> None:
    """Send a router the changes after its revision, or a snapshot of the state."""
    if session.revision >= agent.config.revision:
        return
    missing = tuple(c for c in agent.changes if c.revision > session.revision)
    if missing and missing[0].revision == session.revision + 1:
        await send_to_router(agent, session, ConfigChanges(missing))
    else:
        data = encode_snapshot(agent.config)
        await send_to_router(agent, session, ConfigSnapshot(data))
    session.revision = agent.config.revision


async def handle_router_hello(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Answer a router's hello with missing configuration and the fleet view."""
    body: RouterHello = envelope.body
    session.revision = body.revision
    await send_missing_config(agent, session)
    await send_to_router(agent, session, make_fleet_view(agent))


async def send_loads_and_caches(agent: Agent, session: RouterSession) -> None:
    """Send a new router the known engine loads and cached blocks."""
    await send_to_router(agent, session, collect_load_reports(agent))
    for feed in agent.feed_by_upstream.values():
        if feed.incarnation:
            blocks = tuple(feed.blocks)
            events = CacheEvents(feed.upstream, feed.incarnation, True, blocks, ())
            await send_to_router(agent, session, events)


def collect_load_reports(agent: Agent) -> LoadReports:
    """Return the latest load reports with their current ages."""
    now = time.monotonic()
    reports = []
    for feed in agent.feed_by_upstream.values():
        if feed.load is not None:
            age_s = feed.load.age_s + now - feed.load_received_at
            reports.append(msgspec.structs.replace(feed.load, age_s=age_s))
    return LoadReports(tuple(reports))


async def handle_reserve(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Reserve tokens in a new task, without blocking later messages."""
    body: ReserveRequest = envelope.body

    async def reserve_and_answer() -> None:
        outcome, retry_after_s = await reserve_tokens(
            agent, body.workspace, body.tokens
        )
        agent.metrics.reservations.inc({"outcome": outcome.value})
        answer = ReserveAnswer(body.reservation, outcome, retry_after_s)
        await send_to_router(agent, session, answer)

    await curio.spawn(reserve_and_answer, daemon=True)


async def handle_settle(
    agent: Agent, _session: RouterSession, envelope: Envelope
) -> None:
    """Return a reservation's unused tokens, or debit its overrun."""
    body: Settle = envelope.body
    settle_reservation(agent, body.workspace, body.tokens)


async def handle_claim(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Claim a call on the platform in a new task, without blocking later messages."""
    body: ClaimRequest = envelope.body

    async def claim_and_answer() -> None:
        result = await acquire_claim(
            agent.platform, body.name, body.owner, body.fingerprint
        )
        is_replay = result.verdict is ClaimVerdict.REPLAY
        response = result.claim.response if is_replay else b""
        answer = ClaimAnswer(body.request, result.verdict.value, response)
        await send_to_router(agent, session, answer)

    await curio.spawn(claim_and_answer, daemon=True)


async def handle_claim_finish(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Record the outcome of a claimed call in the platform, and answer when it is."""
    body: ClaimFinish = envelope.body

    async def record_outcome() -> None:
        is_recorded = await store_claim_outcome(
            agent.platform, body.name, body.owner, body.has_run, body.response
        )
        if not is_recorded:
            logger.warning(
                "recording a claim's outcome failed", extra={"claim": body.name}
            )
        if body.request:
            answer = ClaimFinished(body.request, is_recorded)
            await send_to_router(agent, session, answer)

    await curio.spawn(record_outcome, daemon=True)


async def handle_router_prefill(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Forward a router's prefill message to all other routers and to all peers."""
    for other_session in list(agent.session_by_identity.values()):
        if other_session is not session:
            await send_to_router(agent, other_session, envelope.body)
    await send_to_all_peers(agent, envelope.body)


async def handle_peer_prefill(agent: Agent, envelope: Envelope) -> None:
    """Forward a peer's prefill message to the routers of this agent."""
    await send_to_routers(agent, envelope.body)


PREFILL_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    PrefillNews: handle_peer_prefill,
    PrefillEnd: handle_peer_prefill,
}

HANDLER_BY_TYPE: dict[type, RouterHandler] = {
    PrefillNews: handle_router_prefill,
    PrefillEnd: handle_router_prefill,
    RouterHello: handle_router_hello,
    ReserveRequest: handle_reserve,
    Settle: handle_settle,
    ClaimRequest: handle_claim,
    ClaimFinish: handle_claim_finish,
}


def make_router_receiver(agent: Agent) -> Callable[[bytes, bytes], Awaitable[None]]:
    """Return a function that dispatches a router's message to its handler."""

    async def receive(identity: bytes, data: bytes) -> None:
        envelope = decode_envelope(data)
        if envelope is None:
            logger.warning("received a malformed message from a router")
            return
        session, is_new = _find_or_create_session(agent, identity, envelope)
        if is_new:
            # A router can't use loads and cached blocks before it knows the upstreams.
            await send_missing_config(agent, session)
            await send_loads_and_caches(agent, session)
        handler = HANDLER_BY_TYPE.get(type(envelope.body))
        if handler is not None:
            await handler(agent, session, envelope)

    return receive


def _find_or_create_session(
    agent: Agent, identity: bytes, envelope: Envelope
) -> tuple[RouterSession, bool]:
    now = time.monotonic()
    session = agent.session_by_identity.get(identity)
    is_new = session is None
    if session is None:
        session = RouterSession(identity, envelope.sender, envelope.incarnation, 0, now)
        agent.session_by_identity[identity] = session
    session.last_message_at = now
    return session, is_new


async def expire_router_sessions(agent: Agent) -> None:
    """Drop sessions of routers that no longer send messages, until cancelled."""
    while True:
        await curio.sleep(1.0)
        oldest = time.monotonic() - ROUTER_SESSION_TIMEOUT_S
        for identity, session in list(agent.session_by_identity.items()):
            if session.last_message_at < oldest:
                del agent.session_by_identity[identity]

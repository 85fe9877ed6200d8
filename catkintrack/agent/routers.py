"""Serve the routers: configuration, fleet view, loads, tokens and claims."""

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

from .borrowing import reserve, settle_reservation
from .freshness import Evidence, are_keys_current
from .mesh import MeshHandler, send_to_all
from .recounting import is_recount_due
from .state import Agent, Body, RouterSession

logger = logging.getLogger(__name__)

SESSION_SILENCE_S = 5.0
LIMITS_PATIENCE_S = 2.0

RouterHandler = Callable[[Agent, RouterSession, Envelope], Awaitable[None]]


async def send_to_router(agent: Agent, session: RouterSession, body: Body) -> None:
    """Send a message to one router."""
    envelope = Envelope(agent.instance, agent.incarnation, body)
    if agent.routers is not None:
        await agent.routers.send(encode_envelope(envelope), session.identity)


async def send_to_routers(agent: Agent, body: Body) -> None:
    """Send a message to every router that this agent serves."""
    for session in list(agent.session_by_identity.values()):
        await send_to_router(agent, session, body)


def gather_evidence(agent: Agent, now: float) -> Evidence:
    """Return what speaks for the configuration in force being the newest."""
    return Evidence(
        revision=agent.config.revision,
        newest_revision_heard=agent.newest_revision_heard,
        platform_age_s=now - agent.platform_ok_at,
        peer_age_s=now - agent.peer_heard_at,
        alive_members=len(list_alive(agent.members)),
        known_members=1 + len(agent.members.member_by_instance),
        is_trusted=agent.pause_guard.check(now),
    )


def make_fleet_view(agent: Agent) -> FleetView:
    """Return what routers need to know of the fleet."""
    now = time.monotonic()
    is_current = are_keys_current(gather_evidence(agent, now))
    agent.metrics.keys_current.set({}, int(is_current))
    members = tuple(
        MemberRow(news.instance, news.zone, news.routers_host, news.routers_port)
        for news in list_alive(agent.members).values()
    )
    leaving = tuple(
        row.id for row in agent.listed_by_instance.values() if row.state == "leaving"
    )
    return FleetView(
        agent.incarnation,
        agent.config.revision,
        is_current,
        are_limits_ready(agent, now),
        members,
        leaving,
    )


def are_limits_ready(agent: Agent, now: float) -> bool:
    """Report whether the agent can lend, or has waited for that long enough.

    While a fleet starts, a recount that is due for its next member stops lending again.
    """
    is_patient = now - agent.started_at <= LIMITS_PATIENCE_S
    is_settled = agent.limits.holder.can_lend and not is_recount_due(agent)
    return is_settled or not is_patient


async def push_config(agent: Agent) -> None:
    """Bring every router up to the revision in force."""
    for session in list(agent.session_by_identity.values()):
        await bring_up_to_date(agent, session)


async def bring_up_to_date(agent: Agent, session: RouterSession) -> None:
    """Send a router the changes that it lacks, or the whole state."""
    if session.revision >= agent.config.revision:
        return
    missing = tuple(c for c in agent.changes if c.revision > session.revision)
    if missing and missing[0].revision == session.revision + 1:
        await send_to_router(agent, session, ConfigChanges(missing))
    else:
        data = encode_snapshot(agent.config)
        await send_to_router(agent, session, ConfigSnapshot(data))
    session.revision = agent.config.revision


async def handle_hello(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Answer a router's hello by the fleet view and what it lacks."""
    body: RouterHello = envelope.body
    session.revision = body.revision
    await bring_up_to_date(agent, session)
    await send_to_router(agent, session, make_fleet_view(agent))


async def welcome_router(agent: Agent, session: RouterSession) -> None:
    """Send a new router the loads and caches that are known."""
    await send_to_router(agent, session, collect_loads(agent))
    for feed in agent.feed_by_upstream.values():
        if feed.incarnation:
            blocks = tuple(feed.blocks)
            events = CacheEvents(feed.upstream, feed.incarnation, True, blocks, ())
            await send_to_router(agent, session, events)


def collect_loads(agent: Agent) -> LoadReports:
    """Return the newest load reports with their ages."""
    now = time.monotonic()
    reports = []
    for feed in agent.feed_by_upstream.values():
        if feed.load is not None:
            age_s = feed.load.age_s + now - feed.load_at
            reports.append(msgspec.structs.replace(feed.load, age_s=age_s))
    return LoadReports(tuple(reports))


async def handle_reserve(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Reserve tokens without holding up other messages."""
    body: ReserveRequest = envelope.body

    async def run() -> None:
        outcome, retry_after_s = await reserve(agent, body.workspace, body.tokens)
        agent.metrics.reservations.inc({"outcome": outcome.value})
        answer = ReserveAnswer(body.reservation, outcome, retry_after_s)
        await send_to_router(agent, session, answer)

    await curio.spawn(run, daemon=True)


async def handle_settle(
    agent: Agent, _session: RouterSession, envelope: Envelope
) -> None:
    """Take back tokens that were reserved and not used."""
    body: Settle = envelope.body
    settle_reservation(agent, body.workspace, body.tokens)


async def handle_claim(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Claim a call in the platform without holding up other messages."""
    body: ClaimRequest = envelope.body

    async def run() -> None:
        taken = await acquire_claim(
            agent.platform, body.name, body.owner, body.fingerprint
        )
        is_replay = taken.verdict is ClaimVerdict.REPLAY
        response = taken.claim.response if is_replay else b""
        answer = ClaimAnswer(body.request, taken.verdict.value, response)
        await send_to_router(agent, session, answer)

    await curio.spawn(run, daemon=True)


async def handle_claim_finish(
    agent: Agent, _session: RouterSession, envelope: Envelope
) -> None:
    """Record the end of a claimed call."""
    body: ClaimFinish = envelope.body

    async def run() -> None:
        is_kept = await store_claim_outcome(
            agent.platform, body.name, body.owner, body.has_run, body.response
        )
        if not is_kept:
            logger.warning("claim's end not recorded", extra={"claim": body.name})

    await curio.spawn(run, daemon=True)


async def handle_prefill(
    agent: Agent, session: RouterSession, envelope: Envelope
) -> None:
    """Pass a router's news of a prefill on to all other routers."""
    for other in list(agent.session_by_identity.values()):
        if other is not session:
            await send_to_router(agent, other, envelope.body)
    await send_to_all(agent, envelope.body)


async def handle_peer_prefill(agent: Agent, envelope: Envelope) -> None:
    """Pass a peer's news of a prefill on to the routers here."""
    await send_to_routers(agent, envelope.body)


PREFILL_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    PrefillNews: handle_peer_prefill,
    PrefillEnd: handle_peer_prefill,
}

HANDLER_BY_TYPE: dict[type, RouterHandler] = {
    PrefillNews: handle_prefill,
    PrefillEnd: handle_prefill,
    RouterHello: handle_hello,
    ReserveRequest: handle_reserve,
    Settle: handle_settle,
    ClaimRequest: handle_claim,
    ClaimFinish: handle_claim_finish,
}


def make_router_receiver(agent: Agent) -> Callable[[bytes, bytes], Awaitable[None]]:
    """Return the function that hands a router's message to its handler."""

    async def receive(identity: bytes, data: bytes) -> None:
        envelope = decode_envelope(data)
        if envelope is None:
            logger.warning("router sent a malformed message")
            return
        session, is_new = _find_session(agent, identity, envelope)
        if is_new:
            # Caches and loads mean nothing to a router without the upstreams.
            await bring_up_to_date(agent, session)
            await welcome_router(agent, session)
        handler = HANDLER_BY_TYPE.get(type(envelope.body))
        if handler is not None:
            await handler(agent, session, envelope)

    return receive


def _find_session(
    agent: Agent, identity: bytes, envelope: Envelope
) -> tuple[RouterSession, bool]:
    now = time.monotonic()
    session = agent.session_by_identity.get(identity)
    is_new = session is None
    if session is None:
        session = RouterSession(identity, envelope.sender, envelope.incarnation, 0, now)
        agent.session_by_identity[identity] = session
    session.heard_at = now
    return session, is_new


async def drop_silent_sessions(agent: Agent) -> None:
    """Forget routers that are no longer heard, until cancelled."""
    while True:
        await curio.sleep(1.0)
        oldest = time.monotonic() - SESSION_SILENCE_S
        for identity, session in list(agent.session_by_identity.items()):
            if session.heard_at < oldest:
                del agent.session_by_identity[identity]

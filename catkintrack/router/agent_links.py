"""Exchange messages with agents: configuration, load, tokens and claims.

A router is linked to the agent of its own instance and, as a backup, to the agent of
another instance.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio
from returns.result import Failure, Success

from catkintrack.claims import ClaimVerdict
from catkintrack.config import (
    ConfigState,
    apply_changes,
    compile_tables,
    decode_snapshot,
)
from catkintrack.decisions import (
    LoadRow,
    apply_cache_events,
    apply_load,
    record_remote_prefill,
    record_remote_prefill_end,
    sync_upstreams,
)
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
    PrefillEnd,
    PrefillNews,
    ReserveAnswer,
    ReserveOutcome,
    ReserveRequest,
    RouterHello,
    Settle,
    connect_link,
    decode_envelope,
    encode_envelope,
)
from catkintrack.links import Message as LinkMessage
from catkintrack.timeouts import ignore_after

from .key_withdrawal import cancel_withdrawn_calls
from .refusals import LimitsUnavailable
from .state import AgentLink, PendingReply, Router

logger = logging.getLogger(__name__)

HELLO_INTERVAL_S = 0.25
# A hello sent before the link is connected is dropped, so that the first hello is
# resent at this interval until an agent answers.
FIRST_HELLO_INTERVAL_S = 0.02
AGENT_SILENCE_TIMEOUT_S = 0.75
BACKUP_SILENCE_TIMEOUT_S = 3.0
FLEET_VIEW_MAX_AGE_S = 3.0
# Longer than the agent's BORROW_TIMEOUT_S, but shorter than its CONVERGENCE_TIMEOUT_S:
# until the ledger has converged, an agent may decide after this timeout.
RESERVE_TIMEOUT_S = 1.0
CLAIM_TIMEOUT_S = 8.0
# How long a caller's response may wait until its record is stored.
RECORD_TIMEOUT_S = 2.0
LIMITS_RETRY_AFTER_S = 1.0


def open_own_agent_link(router: Router) -> AgentLink:
    """Open the link to the agent on the same instance."""
    endpoint = router.settings.agent.routers
    return open_agent_link(
        router, router.settings.instance.id, str(endpoint.host), endpoint.port
    )


def open_agent_link(router: Router, instance: str, host: str, port: int) -> AgentLink:
    """Open a link to an agent, whose messages update the router."""
    # Filled at the end, because `receive` needs the AgentLink and that needs the link.
    agent_ref: list[AgentLink] = []

    async def receive(_identity: bytes, data: bytes) -> None:
        envelope = decode_envelope(data)
        if envelope is None:
            logger.warning("received a malformed message from an agent")
            return
        await _dispatch_message(router, agent_ref[0], envelope)

    identity = f"{router.name}/{router.incarnation}".encode()
    link = connect_link(
        router.context, router.keys, router.keys.public, host, port, receive, identity
    )
    agent_ref.append(AgentLink(instance, host, port, link))
    return agent_ref[0]


async def run_agent_links(router: Router) -> None:
    """Send hellos to the agents and maintain the backup link until cancelled."""
    own = open_own_agent_link(router)
    own.task = await curio.spawn(own.link.run, daemon=True)
    router.agents.append(own)
    while True:
        now = time.monotonic()
        # Called at each hello, so that a long time between calls means a pause.
        router.pause_detector.are_messages_recent(now)
        await _maintain_backup_link(router, now)
        for agent in router.agents:
            await send_to_agent(router, agent, RouterHello(router.config.revision))
        await curio.sleep(compute_hello_interval_s(router.agents))


def compute_hello_interval_s(agents: list[AgentLink]) -> float:
    """Return the time until the next hello, which is shorter until an agent answers."""
    has_answer = any(agent.last_message_at > 0 for agent in agents)
    return HELLO_INTERVAL_S if has_answer else FIRST_HELLO_INTERVAL_S


async def send_to_agent(router: Router, agent: AgentLink, body: LinkMessage) -> bool:
    """Send a message to one agent; return False if it can't be queued."""
    envelope = Envelope(router.name, router.incarnation, body)
    return await agent.link.send(encode_envelope(envelope))


async def _maintain_backup_link(router: Router, now: float) -> None:
    """Keep a link to the agent of one other instance; replace it when silent."""
    own, *backups = router.agents
    for backup in backups:
        if now - backup.last_message_at > BACKUP_SILENCE_TIMEOUT_S:
            router.agents.remove(backup)
            if backup.task is not None:
                await backup.task.cancel(blocking=False)
            backup.link.socket.close(linger=0)
    if len(router.agents) > 1:
        return
    view = own.view or next((b.view for b in backups if b.view), None)
    members = view.members if view else ()
    candidates = [member for member in members if member.instance != own.instance]
    if not candidates:
        return
    member = router.rng.choice(candidates)
    logger.info("backup agent chosen", extra={"agent": member.instance})
    backup = open_agent_link(
        router, member.instance, member.routers_host, member.routers_port
    )
    # Gives the new link BACKUP_SILENCE_TIMEOUT_S to receive its first message.
    backup.last_message_at = now
    backup.task = await curio.spawn(backup.link.run, daemon=True)
    router.agents.append(backup)


def list_live_agents(router: Router, now: float) -> list[AgentLink]:
    """Return the agents heard from recently, that of the own instance first."""
    return [
        a for a in router.agents if now - a.last_message_at <= AGENT_SILENCE_TIMEOUT_S
    ]


def has_current_keys(router: Router, now: float) -> bool:
    """Report whether all key withdrawals up to a few seconds ago are known here.

    A recent fleet view must say so of its agent, at a configuration revision that the
    router has reached.  Just after a pause of this process the answer is False.
    """
    if not router.pause_detector.are_messages_recent(now):
        return False
    return any(
        agent.view is not None
        and agent.view.are_keys_current
        and agent.view.revision <= router.config.revision
        and now - agent.view_received_at <= FLEET_VIEW_MAX_AGE_S
        for agent in router.agents
    )


async def _dispatch_message(
    router: Router, agent: AgentLink, envelope: Envelope
) -> None:
    now = time.monotonic()
    agent.last_message_at = now
    handler = HANDLER_BY_TYPE.get(type(envelope.body))
    if handler is not None:
        await handler(router, agent, envelope.body, now)


async def handle_fleet_view(
    router: Router, agent: AgentLink, body: FleetView, now: float
) -> None:
    """Store an agent's fleet view and apply a change of members.

    After a pause of this process a view is ignored, because it may be old.
    """
    if not router.pause_detector.are_messages_recent(now):
        return
    agent.view = body
    agent.view_received_at = now
    leaving = frozenset(body.leaving_instances)
    member_count = len(body.members)
    if (leaving, member_count) != (
        router.leaving_instances,
        router.decisions.router_count,
    ):
        router.leaving_instances = leaving
        sync_decision_tables(router, member_count)


async def handle_config_changes(
    router: Router, agent: AgentLink, body: ConfigChanges, now: float
) -> None:
    """Apply an agent's configuration changes to the current configuration."""
    await activate_config(router, apply_changes(router.config, body.changes))


async def handle_config_snapshot(
    router: Router, agent: AgentLink, body: ConfigSnapshot, now: float
) -> None:
    """Apply an agent's configuration snapshot if it is newer."""
    match decode_snapshot(body.data):
        case Success(state):
            await activate_config(router, state)
        case Failure(error):
            logger.error(
                "configuration snapshot from an agent is malformed",
                extra={"reason": str(error)},
            )


async def activate_config(router: Router, state: ConfigState) -> None:
    """Activate a newer configuration and cancel the calls of withdrawn keys.

    A configuration that does not compile is logged and ignored.
    """
    if state.revision <= router.config.revision:
        return
    match compile_tables(state, router.config, router.tables):
        case Success(tables):
            router.config = state
            router.tables = tables
            router.metrics.revision.set({}, state.revision)
            sync_decision_tables(router, router.decisions.router_count)
            await cancel_withdrawn_calls(router)
            logger.info("configuration in force", extra={"revision": state.revision})
        case Failure(errors):
            reasons = [str(error) for error in errors]
            logger.error(
                "configuration rejected, keeping the active revision",
                extra={"reasons": reasons},
            )


def sync_decision_tables(router: Router, router_count: int) -> None:
    """Update the decision tables from the configuration and the fleet view."""
    sync_upstreams(
        router.decisions,
        router.tables,
        router.leaving_instances,
        router_count,
        time.monotonic(),
    )


async def handle_load_reports(
    router: Router, agent: AgentLink, body: LoadReports, now: float
) -> None:
    """Apply load reports, with their ages converted to local times."""
    rows = {
        report.upstream: LoadRow(
            report.incarnation,
            report.running,
            report.waiting,
            report.prefill_tokens,
            report.is_loading,
            now - report.age_s,
        )
        for report in body.reports
    }
    apply_load(router.decisions, rows, now)


async def handle_cache_events(
    router: Router, agent: AgentLink, body: CacheEvents, now: float
) -> None:
    """Apply KV cache events from the first live agent; ignore those from others."""
    active = list_live_agents(router, now)
    if active and active[0] is not agent:
        return
    apply_cache_events(
        router.decisions,
        body.upstream,
        body.incarnation,
        body.is_reset,
        body.stored,
        body.evicted,
        now,
    )


async def handle_remote_prefill(
    router: Router, agent: AgentLink, body: PrefillNews, now: float
) -> None:
    """Record a prefill started by another router."""
    record_remote_prefill(
        router.decisions,
        body.id,
        body.upstream,
        body.blocks,
        body.tokens,
        body.priority,
        now,
    )


async def handle_remote_prefill_end(
    router: Router, agent: AgentLink, body: PrefillEnd, now: float
) -> None:
    """Record the end of another router's prefill."""
    record_remote_prefill_end(router.decisions, body.id, body.incarnation, now)


async def announce_prefill(router: Router, body: PrefillNews | PrefillEnd) -> None:
    """Announce a prefill to other routers through the first live agent."""
    for agent in list_live_agents(router, time.monotonic())[:1]:
        await send_to_agent(router, agent, body)


async def handle_reply(
    router: Router,
    agent: AgentLink,
    body: ReserveAnswer | ClaimAnswer | ClaimFinished,
    now: float,
) -> None:
    """Pass a reply to the request that waits for it; ignore a late one."""
    is_reservation = isinstance(body, ReserveAnswer)
    request_id = body.reservation if is_reservation else body.request
    pending = router.pending_reply_by_id.get(request_id)
    if pending is not None:
        pending.reply = body
        await pending.done.set()


Handler = Callable[[Router, AgentLink, object, float], Awaitable[None]]

HANDLER_BY_TYPE: dict[type, Handler] = {
    FleetView: handle_fleet_view,
    ConfigChanges: handle_config_changes,
    ConfigSnapshot: handle_config_snapshot,
    LoadReports: handle_load_reports,
    CacheEvents: handle_cache_events,
    PrefillNews: handle_remote_prefill,
    PrefillEnd: handle_remote_prefill_end,
    ReserveAnswer: handle_reply,
    ClaimAnswer: handle_reply,
    ClaimFinished: handle_reply,
}


async def _send_request(
    router: Router,
    agent: AgentLink,
    make_request: Callable[[int], LinkMessage],
    timeout_s: float,
) -> LinkMessage | None:
    """Send a request to an agent; return its reply, or None on failure or timeout."""
    request_id = router.next_request_id
    router.next_request_id += 1
    pending = PendingReply()
    router.pending_reply_by_id[request_id] = pending
    try:
        if not await send_to_agent(router, agent, make_request(request_id)):
            return None
        await ignore_after(timeout_s, pending.done.wait)
        return pending.reply
    finally:
        del router.pending_reply_by_id[request_id]


async def reserve_tokens(router: Router, workspace: str, tokens: int) -> float | None:
    """Reserve tokens; return None, or the seconds to retry after if over the limit.

    Raise LimitsUnavailable if no agent decides.  Tokens granted by a lost or late
    reply stay spent, so that a workspace gets less than its limit rather than more.
    """
    for agent in list_live_agents(router, time.monotonic()):
        reply = await _send_request(
            router,
            agent,
            lambda request_id: ReserveRequest(request_id, workspace, tokens),
            RESERVE_TIMEOUT_S,
        )
        if not isinstance(reply, ReserveAnswer):
            continue
        if reply.outcome is ReserveOutcome.GRANTED:
            return None
        if reply.outcome is ReserveOutcome.OVER_LIMIT:
            return reply.retry_after_s
    raise LimitsUnavailable("no agent can reserve tokens now", LIMITS_RETRY_AFTER_S)


async def settle_tokens(router: Router, workspace: str, tokens: int) -> None:
    """Return unused reserved tokens; a negative number is charged to the workspace."""
    agents = list_live_agents(router, time.monotonic())
    if agents and tokens:
        await send_to_agent(router, agents[0], Settle(workspace, tokens))


async def request_claim(
    router: Router, name: str, owner: str, fingerprint: str
) -> tuple[ClaimVerdict, bytes]:
    """Request the claim to run a call at most once.

    Return the verdict and the stored response; UNAVAILABLE if no agent replies.
    """
    for agent in list_live_agents(router, time.monotonic()):
        reply = await _send_request(
            router,
            agent,
            lambda request_id: ClaimRequest(request_id, name, owner, fingerprint),
            CLAIM_TIMEOUT_S,
        )
        if isinstance(reply, ClaimAnswer):
            return ClaimVerdict(reply.verdict), reply.response
    return ClaimVerdict.UNAVAILABLE, b""


async def send_claim_outcome(
    router: Router, name: str, owner: str, has_run: bool, response: bytes
) -> None:
    """Let an agent store the outcome of a claimed call and its response.

    Return when it is stored, or after a time limit: the response is right without it.
    """
    for agent in list_live_agents(router, time.monotonic())[:1]:
        await _send_request(
            router,
            agent,
            lambda request_id: ClaimFinish(name, owner, has_run, response, request_id),
            RECORD_TIMEOUT_S,
        )

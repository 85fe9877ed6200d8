"""Keep links to one's own agent and a peer's, and ask them for tokens and claims."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio
from returns.result import Failure, Success

from catkintrack.claims import ClaimVerdict
from catkintrack.config import (
    State,
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

from .cutting import cut_withdrawn
from .refusals import LimitsUnavailable
from .state import AgentLink, PendingAnswer, Router

logger = logging.getLogger(__name__)

HELLO_INTERVAL_S = 0.25
# A hello before the link stands is dropped; the first is repeated at this pace.
FIRST_HELLO_INTERVAL_S = 0.02
AGENT_SILENCE_S = 0.75
BACKUP_SILENCE_S = 3.0
VIEW_LIFETIME_S = 3.0
# Longer than an agent may take to ask its peers for tokens.
RESERVE_TIMEOUT_S = 1.0
CLAIM_TIMEOUT_S = 8.0
LIMITS_RETRY_S = 1.0


def own_agent_link(router: Router) -> AgentLink:
    """Return the link to the agent on the same instance, opened now."""
    endpoint = router.settings.agent.routers
    return open_agent_link(
        router, router.settings.instance.id, str(endpoint.host), endpoint.port
    )


def open_agent_link(router: Router, instance: str, host: str, port: int) -> AgentLink:
    """Return a new link to an agent."""
    box: list[AgentLink] = []

    async def receive(_identity: bytes, data: bytes) -> None:
        envelope = decode_envelope(data)
        if envelope is None:
            logger.warning("agent sent a malformed message")
            return
        await _handle(router, box[0], envelope)

    identity = f"{router.name}/{router.incarnation}".encode()
    link = connect_link(
        router.context, router.keys, router.keys.public, host, port, receive, identity
    )
    box.append(AgentLink(instance, host, port, link))
    return box[0]


async def run_agent_links(router: Router) -> None:
    """Greet the agents and keep a backup until cancelled."""
    own = own_agent_link(router)
    own.task = await curio.spawn(own.link.run, daemon=True)
    router.agents.append(own)
    while True:
        now = time.monotonic()
        router.pause_guard.check(now)
        await _keep_backup(router, now)
        for agent in router.agents:
            await send_to_agent(router, agent, RouterHello(router.config.revision))
        await curio.sleep(find_hello_interval_s(router.agents))


def find_hello_interval_s(agents: list[AgentLink]) -> float:
    """Return the seconds until the next hello; a router that starts is in a hurry."""
    is_heard = any(agent.heard_at > 0 for agent in agents)
    return HELLO_INTERVAL_S if is_heard else FIRST_HELLO_INTERVAL_S


async def send_to_agent(router: Router, agent: AgentLink, body: LinkMessage) -> bool:
    """Send a message to one agent; report False when it can't be queued."""
    envelope = Envelope(router.name, router.incarnation, body)
    return await agent.link.send(encode_envelope(envelope))


async def _keep_backup(router: Router, now: float) -> None:
    """Hold a link to one other instance's agent, and replace a silent one."""
    own, *backups = router.agents
    for backup in backups:
        if now - backup.heard_at > BACKUP_SILENCE_S:
            router.agents.remove(backup)
            if backup.task is not None:
                await backup.task.cancel(blocking=False)
            backup.link.socket.close(linger=0)
    if len(router.agents) > 1:
        return
    view = own.view or next((b.view for b in backups if b.view), None)
    members = view.members if view else ()
    others = [row for row in members if row.instance != own.instance]
    if not others:
        return
    row = router.rng.choice(others)
    backup = open_agent_link(router, row.instance, row.routers_host, row.routers_port)
    backup.heard_at = now
    backup.task = await curio.spawn(backup.link.run, daemon=True)
    router.agents.append(backup)


def active_agents(router: Router, now: float) -> list[AgentLink]:
    """Return the agents heard lately, one's own first."""
    return [a for a in router.agents if now - a.heard_at <= AGENT_SILENCE_S]


def are_keys_known(router: Router, now: float) -> bool:
    """Report whether a key withdrawn some seconds ago would be known here."""
    if not router.pause_guard.check(now):
        return False
    return any(
        agent.view is not None
        and agent.view.are_keys_current
        and agent.view.revision <= router.config.revision
        and now - agent.view_at <= VIEW_LIFETIME_S
        for agent in router.agents
    )


async def _handle(router: Router, agent: AgentLink, envelope: Envelope) -> None:
    now = time.monotonic()
    agent.heard_at = now
    handler = HANDLER_BY_TYPE.get(type(envelope.body))
    if handler is not None:
        await handler(router, agent, envelope.body, now)


async def handle_view(
    router: Router, agent: AgentLink, body: FleetView, now: float
) -> None:
    """Take over the fleet view."""
    if not router.pause_guard.check(now):
        return
    agent.view = body
    agent.view_at = now
    leaving = frozenset(body.leaving_instances)
    count = len(body.members)
    if (leaving, count) != (router.leaving_instances, router.decisions.router_count):
        router.leaving_instances = leaving
        sync_tables(router, count)


async def handle_changes(
    router: Router, agent: AgentLink, body: ConfigChanges, now: float
) -> None:
    """Put an agent's changes in force, in order."""
    await put_in_force(router, apply_changes(router.config, body.changes))


async def handle_snapshot(
    router: Router, agent: AgentLink, body: ConfigSnapshot, now: float
) -> None:
    """Put an agent's whole state in force if it is newer."""
    match decode_snapshot(body.data):
        case Success(state):
            await put_in_force(router, state)
        case Failure(error):
            logger.error("snapshot refused", extra={"reason": str(error)})


async def put_in_force(router: Router, state: State) -> None:
    """Put a newer state in force and cut the calls of withdrawn keys."""
    if state.revision <= router.config.revision:
        return
    match compile_tables(state, router.config, router.tables):
        case Success(tables):
            router.config = state
            router.tables = tables
            router.metrics.revision.set({}, state.revision)
            sync_tables(router, router.decisions.router_count)
            await cut_withdrawn(router)
            logger.info("configuration in force", extra={"revision": state.revision})
        case Failure(errors):
            reasons = [str(error) for error in errors]
            logger.error("configuration refused", extra={"reasons": reasons})


def sync_tables(router: Router, router_count: int) -> None:
    """Bring the decision tables in line with the configuration and the fleet."""
    sync_upstreams(
        router.decisions,
        router.tables,
        router.leaving_instances,
        router_count,
        time.monotonic(),
    )


async def handle_loads(
    router: Router, agent: AgentLink, body: LoadReports, now: float
) -> None:
    """Take over load reports."""
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
    """Take over cache events, from one agent at a time."""
    active = active_agents(router, now)
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


async def handle_prefill_news(
    router: Router, agent: AgentLink, body: PrefillNews, now: float
) -> None:
    """Note a prefill that another router has begun."""
    record_remote_prefill(
        router.decisions,
        body.id,
        body.upstream,
        body.blocks,
        body.tokens,
        body.priority,
        now,
    )


async def handle_prefill_end(
    router: Router, agent: AgentLink, body: PrefillEnd, now: float
) -> None:
    """Note that another router's prefill has ended."""
    record_remote_prefill_end(router.decisions, body.id, body.incarnation, now)


async def tell_prefill(router: Router, body: PrefillNews | PrefillEnd) -> None:
    """Tell the other routers of a prefill, by one's own agent."""
    for agent in active_agents(router, time.monotonic())[:1]:
        await send_to_agent(router, agent, body)


async def handle_answer(
    router: Router,
    agent: AgentLink,
    body: ReserveAnswer | ClaimAnswer,
    now: float,
) -> None:
    """Hand an answer to the call that asked."""
    is_reservation = isinstance(body, ReserveAnswer)
    number = body.reservation if is_reservation else body.request
    pending = router.pending_by_number.get(number)
    if pending is not None:
        pending.answer = body
        await pending.done.set()


Handler = Callable[[Router, AgentLink, object, float], Awaitable[None]]

HANDLER_BY_TYPE: dict[type, Handler] = {
    FleetView: handle_view,
    ConfigChanges: handle_changes,
    ConfigSnapshot: handle_snapshot,
    LoadReports: handle_loads,
    CacheEvents: handle_cache_events,
    PrefillNews: handle_prefill_news,
    PrefillEnd: handle_prefill_end,
    ReserveAnswer: handle_answer,
    ClaimAnswer: handle_answer,
}


async def _ask(
    router: Router,
    agent: AgentLink,
    make_question: Callable[[int], LinkMessage],
    timeout_s: float,
) -> LinkMessage | None:
    number = router.next_number
    router.next_number += 1
    pending = PendingAnswer()
    router.pending_by_number[number] = pending
    try:
        if not await send_to_agent(router, agent, make_question(number)):
            return None
        await curio.ignore_after(timeout_s, pending.done.wait)
        return pending.answer
    finally:
        del router.pending_by_number[number]


async def reserve_tokens(router: Router, workspace: str, tokens: int) -> float | None:
    """Reserve tokens; return None, or the seconds after which to ask again.

    Raise LimitsUnavailable when no agent can tell.  Tokens granted by an answer that
    is lost or late stay spent, which is the safe side.
    """
    for agent in active_agents(router, time.monotonic()):
        answer = await _ask(
            router,
            agent,
            lambda number: ReserveRequest(number, workspace, tokens),
            RESERVE_TIMEOUT_S,
        )
        if not isinstance(answer, ReserveAnswer):
            continue
        if answer.outcome is ReserveOutcome.GRANTED:
            return None
        if answer.outcome is ReserveOutcome.OVER_LIMIT:
            return answer.retry_after_s
    raise LimitsUnavailable("no agent can reserve tokens now", LIMITS_RETRY_S)


async def settle_tokens(router: Router, workspace: str, tokens: int) -> None:
    """Give back reserved tokens that were not used; negative ones are owed."""
    agents = active_agents(router, time.monotonic())
    if agents and tokens:
        await send_to_agent(router, agents[0], Settle(workspace, tokens))


async def ask_claim(
    router: Router, name: str, owner: str, fingerprint: str
) -> tuple[ClaimVerdict, bytes]:
    """Claim a call that may run at most once; unavailable when nobody answers."""
    for agent in active_agents(router, time.monotonic()):
        answer = await _ask(
            router,
            agent,
            lambda number: ClaimRequest(number, name, owner, fingerprint),
            CLAIM_TIMEOUT_S,
        )
        if isinstance(answer, ClaimAnswer):
            return ClaimVerdict(answer.status), answer.response
    return ClaimVerdict.UNAVAILABLE, b""


async def finish_claim(
    router: Router, name: str, owner: str, has_run: bool, response: bytes
) -> None:
    """Have the end of a claimed call recorded."""
    body = ClaimFinish(name, owner, has_run, response)
    for agent in active_agents(router, time.monotonic())[:1]:
        await send_to_agent(router, agent, body)

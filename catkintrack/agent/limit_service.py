"""Reserve tokens, borrow from peers and keep the ledger of shares up to date."""

from __future__ import annotations

import logging
import time

import curio
from returns.result import Failure, Success

from catkintrack import limits
from catkintrack.limits import LEDGER_NAME, Ledger, LimitSpec
from catkintrack.links import (
    Envelope,
    Freeze,
    Grant,
    GrantAck,
    Heartbeat,
    Held,
    LedgerNews,
    LendRefusal,
    LendRequest,
    ReserveOutcome,
    Thaw,
)
from catkintrack.membership import list_alive, list_ring
from catkintrack.platform import (
    AnswerLost,
    NotFound,
    VersionMismatch,
    get_object,
    put_object,
)

from .mesh import MeshHandler, send_to_all, send_to_peer
from .state import Agent, Gather

logger = logging.getLogger(__name__)

GATHER_ROUNDS = 4
GATHER_TIMEOUT_S = 0.05
GATHER_SPACING_S = 0.02
# The first round asks each peer for its even part and a bit, the next for all.
FIRST_ROUND_EXCESS = 1.25
MIN_RETRY_AFTER_S = 0.05
# Joining the ledger or a recount takes less than this.
BORROWING_PATIENCE_S = 0.4
BORROWING_POLL_S = 0.02
BORROWING_RETRY_S = 1.0
REPEAT_GRANTS_S = 0.1
RECOUNT_CHECK_S = 0.2
RECOUNT_TIMEOUT_S = 0.3
RECOUNT_BACKOFF_MIN_S = 0.5
RECOUNT_BACKOFF_MAX_S = 15.0
LEDGER_RETRY_S = 0.3
HANDOVER_TIMEOUT_S = 1.0


def put_specs_in_force(agent: Agent) -> None:
    """Put the configuration's rates and bursts in force."""
    specs = {
        name: LimitSpec(workspace.rate_tokens_per_s, workspace.burst_tokens)
        for name, workspace in agent.tables.workspace_by_name.items()
    }
    limits.set_specs(agent.limits.holder.shares, specs, time.monotonic())


async def reserve(
    agent: Agent, workspace: str, tokens: int
) -> tuple[ReserveOutcome, float]:
    """Debit tokens; return the outcome and the seconds after which to ask again.

    UNAVAILABLE says that this agent can't borrow now, so that the limit may not be
    used up at all.
    """
    shares = agent.limits.holder.shares
    spec = shares.spec_by_workspace.get(workspace)
    if spec is None:
        return ReserveOutcome.UNAVAILABLE, MIN_RETRY_AFTER_S
    deadline = time.monotonic() + BORROWING_PATIENCE_S
    while True:
        missing = await _debit_or_gather(agent, workspace, tokens)
        if not missing:
            return ReserveOutcome.GRANTED, 0.0
        if _can_borrow(agent):
            break
        if time.monotonic() > deadline:
            return ReserveOutcome.UNAVAILABLE, BORROWING_RETRY_S
        await curio.sleep(BORROWING_POLL_S)
    agent.limits.fruitless_at_by_workspace[workspace] = time.monotonic()
    return ReserveOutcome.OVER_LIMIT, max(MIN_RETRY_AFTER_S, missing / spec.rate)


async def _debit_or_gather(agent: Agent, workspace: str, tokens: int) -> float:
    """Debit tokens, borrowing what is missing; return what is missing still."""
    shares = agent.limits.holder.shares
    missing = limits.debit(shares, workspace, tokens, time.monotonic())
    for round_number in range(GATHER_ROUNDS):
        if not missing:
            break
        await _gather(agent, workspace, missing, is_first=round_number == 0)
        missing = limits.debit(shares, workspace, tokens, time.monotonic())
    return missing


def _can_borrow(agent: Agent) -> bool:
    """Report whether peers may lend to this agent now."""
    holder = agent.limits.holder
    return holder.is_member and not holder.is_frozen


def settle_reservation(agent: Agent, workspace: str, tokens: int) -> None:
    """Give back reserved tokens that were not used; negative ones are owed."""
    now = time.monotonic()
    limits.settle(agent.limits.holder.shares, workspace, tokens, now)


async def _gather(agent: Agent, workspace: str, missing: float, is_first: bool) -> None:
    """Ask peers for tokens and wait for their answers, at most a short time."""
    state = agent.limits
    running = state.gather_by_workspace.get(workspace)
    if running is not None:
        await running.done.wait()
        return
    peers = [name for name in list_ring(agent.members) if _is_lender(agent, name)]
    if not peers:
        return
    gather = Gather(agent.rng.getrandbits(32), set(peers))
    state.gather_by_workspace[workspace] = gather
    try:
        await _wait_for_spacing(agent, workspace)
        wanted = missing * FIRST_ROUND_EXCESS / len(peers) if is_first else missing
        request = LendRequest(
            state.holder.ledger.generation, workspace, wanted, gather.ticket
        )
        for peer in peers:
            if not await send_to_peer(agent, peer, request):
                gather.waiting_for.discard(peer)
        if gather.waiting_for:
            await curio.ignore_after(GATHER_TIMEOUT_S, gather.done.wait)
    finally:
        del state.gather_by_workspace[workspace]
        await gather.done.set()


async def _wait_for_spacing(agent: Agent, workspace: str) -> None:
    """Space out the rounds for a workspace that has used up its limit."""
    fruitless_at = agent.limits.fruitless_at_by_workspace.get(workspace, -1e9)
    wait_s = fruitless_at + GATHER_SPACING_S - time.monotonic()
    if wait_s > 0:
        await curio.sleep(wait_s)


def _is_lender(agent: Agent, instance: str) -> bool:
    row = agent.members.row_by_instance[instance]
    members = agent.limits.holder.ledger.members
    return members.get(instance) == row.incarnation


async def _note_answer(agent: Agent, workspace: str, peer: str) -> None:
    gather = agent.limits.gather_by_workspace.get(workspace)
    if gather is None:
        return
    gather.waiting_for.discard(peer)
    if not gather.waiting_for:
        await gather.done.set()


async def handle_lend_request(agent: Agent, envelope: Envelope) -> None:
    """Lend what is asked for, unless this holder needs it first."""
    body: LendRequest = envelope.body
    own = agent.limits.gather_by_workspace.get(body.workspace)
    is_own_first = own is not None and own.ticket < body.ticket
    grant = None
    if not is_own_first:
        grant = limits.lend(
            agent.limits.holder,
            envelope.sender,
            body.workspace,
            body.tokens,
            body.ticket,
            time.monotonic(),
        )
    generation = agent.limits.holder.ledger.generation
    refusal = LendRefusal(generation, body.workspace, body.ticket)
    await send_to_peer(agent, envelope.sender, grant or refusal)


async def handle_lend_refusal(agent: Agent, envelope: Envelope) -> None:
    """Stop waiting for a peer that lends nothing."""
    body: LendRefusal = envelope.body
    await _note_answer(agent, body.workspace, envelope.sender)


async def handle_grant(agent: Agent, envelope: Envelope) -> None:
    """Take a grant and confirm it."""
    body: Grant = envelope.body
    ack = limits.accept(
        agent.limits.holder,
        envelope.sender,
        envelope.incarnation,
        body,
        time.monotonic(),
    )
    if ack is not None:
        await send_to_peer(agent, envelope.sender, ack)
    await _note_answer(agent, body.workspace, envelope.sender)


async def handle_grant_ack(agent: Agent, envelope: Envelope) -> None:
    """Drop the grants that a peer has confirmed."""
    limits.confirm(agent.limits.holder, envelope.sender, envelope.body)


async def repeat_grants(agent: Agent) -> None:
    """Send unconfirmed grants again until cancelled."""
    seen: set[tuple[str, int]] = set()
    while True:
        await curio.sleep(REPEAT_GRANTS_S)
        unconfirmed = limits.list_unconfirmed(agent.limits.holder)
        for peer, grant in unconfirmed:
            if (peer, grant.sequence) in seen:
                await send_to_peer(agent, peer, grant)
        seen = {(peer, grant.sequence) for peer, grant in unconfirmed}


async def handle_freeze(agent: Agent, envelope: Envelope) -> None:
    """Report what is held and stop lending."""
    held = limits.freeze(agent.limits.holder, envelope.body)
    if held is not None:
        await send_to_peer(agent, envelope.sender, held)


async def handle_held(agent: Agent, envelope: Envelope) -> None:
    """Take in a member's report to this agent's recount."""
    recount = agent.limits.recount
    if recount is None:
        return
    limits.record_held(recount, envelope.sender, envelope.incarnation, envelope.body)
    if not limits.find_missing(recount) & set(list_alive(agent.members)):
        await agent.limits.recount_reported.set()


async def handle_thaw(agent: Agent, envelope: Envelope) -> None:
    """Lend again after a recount was given up."""
    limits.thaw(agent.limits.holder, envelope.body)


async def handle_ledger_news(agent: Agent, envelope: Envelope) -> None:
    """Put a newer ledger in force."""
    body: LedgerNews = envelope.body
    ledger = limits.decode_ledger(body.data)
    if ledger is not None:
        adopt_ledger(agent, ledger)


async def handle_heartbeat_ledger(agent: Agent, envelope: Envelope) -> None:
    """Send the ledger to a peer that has an older one."""
    body: Heartbeat = envelope.body
    ledger = agent.limits.holder.ledger
    if body.ledger_generation < ledger.generation:
        news = LedgerNews(limits.encode_ledger(ledger))
        await send_to_peer(agent, envelope.sender, news)


LIMIT_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    LendRequest: handle_lend_request,
    LendRefusal: handle_lend_refusal,
    Grant: handle_grant,
    GrantAck: handle_grant_ack,
    Freeze: handle_freeze,
    Held: handle_held,
    Thaw: handle_thaw,
    LedgerNews: handle_ledger_news,
    Heartbeat: handle_heartbeat_ledger,
}


def adopt_ledger(agent: Agent, ledger: Ledger) -> None:
    """Put a ledger in force if it is newer."""
    agent.limits.is_ledger_known = True
    if limits.adopt(agent.limits.holder, ledger, time.monotonic()):
        logger.info(
            "ledger in force",
            extra={"generation": ledger.generation, "members": len(ledger.members)},
        )


async def keep_ledger(agent: Agent) -> None:
    """Run recounts where this agent is the one to do so, until cancelled."""
    while True:
        await curio.sleep(RECOUNT_CHECK_S)
        now = time.monotonic()
        if agent.is_stopping or now < agent.limits.next_recount_at:
            continue
        if _is_coordinator(agent) and _is_recount_due(agent):
            await run_recount(agent)
            _back_off(agent)


def _is_coordinator(agent: Agent) -> bool:
    return agent.instance == min(list_alive(agent.members))


def _alive_incarnations(agent: Agent) -> dict[str, int]:
    alive = list_alive(agent.members)
    return {name: news.incarnation for name, news in alive.items()}


def _is_recount_due(agent: Agent) -> bool:
    state = agent.limits
    if agent.config.revision == 0:
        return False
    return limits.is_recount_due(
        state.holder.ledger,
        _alive_incarnations(agent),
        agent.removed_instances,
        agent.tables.workspace_by_name,
    )


def _back_off(agent: Agent) -> None:
    """Wait longer before a recount that is due again at once."""
    state = agent.limits
    if _is_recount_due(agent):
        doubled = max(RECOUNT_BACKOFF_MIN_S, 2 * state.recount_backoff_s)
        state.recount_backoff_s = min(RECOUNT_BACKOFF_MAX_S, doubled)
    else:
        state.recount_backoff_s = 0.0
    state.next_recount_at = time.monotonic() + state.recount_backoff_s


async def run_recount(agent: Agent) -> None:
    """Recount the shares and have the next generation accepted."""
    state = agent.limits
    match await get_object(agent.platform, LEDGER_NAME):
        case Success(found):
            version = found.version
            ledger = limits.decode_ledger(found.value)
            if ledger is None:
                logger.error("ledger is damaged", extra={"version": version})
                return
        case Failure(NotFound()):
            version, ledger = 0, Ledger()
        case _:
            agent.metrics.recounts.inc({"outcome": "platform_unavailable"})
            return
    adopt_ledger(agent, ledger)
    await send_to_all(agent, LedgerNews(limits.encode_ledger(ledger)))
    recount = limits.start_recount(
        agent.rng.getrandbits(62),
        ledger,
        _alive_incarnations(agent),
        agent.removed_instances,
    )
    state.recount = recount
    state.recount_reported.clear()
    await _collect_reports(agent, recount)
    state.recount = None
    new = limits.finish_recount(recount, agent.tables.workspace_by_name)
    is_accepted = await _put_ledger(agent, new, version)
    outcome = "accepted" if is_accepted else "given_up"
    agent.metrics.recounts.inc({"outcome": outcome})
    if is_accepted:
        adopt_ledger(agent, new)
        await send_to_all(agent, LedgerNews(limits.encode_ledger(new)))


async def _collect_reports(agent: Agent, recount: limits.Recount) -> None:
    message = Freeze(recount.ledger.generation, recount.id)
    own = limits.freeze(agent.limits.holder, message)
    if own is not None:
        limits.record_held(recount, agent.instance, agent.incarnation, own)
    for instance in recount.members:
        if instance != agent.instance:
            await send_to_peer(agent, instance, message)
    alive = set(list_alive(agent.members))
    if limits.find_missing(recount) & alive:
        await curio.ignore_after(RECOUNT_TIMEOUT_S, agent.limits.recount_reported.wait)


async def _put_ledger(agent: Agent, ledger: Ledger, version: int) -> bool:
    """Have a ledger accepted; thaw the holders only when it never can be."""
    data = limits.encode_ledger(ledger)
    is_maybe_written = False
    while True:
        match await put_object(agent.platform, LEDGER_NAME, data, version):
            case Success(_):
                return True
            case Failure(AnswerLost()):
                # The same conditional write can take effect only once.
                is_maybe_written = True
            case Failure(VersionMismatch()):
                verdict = await _find_winner(agent, ledger)
                if verdict is not None:
                    return verdict
            case _ if not is_maybe_written:
                await _thaw_all(agent, ledger)
                return False
        await curio.sleep(LEDGER_RETRY_S)


async def _find_winner(agent: Agent, ledger: Ledger) -> bool | None:
    """Report whether `ledger` was the accepted one; None while that is unknown."""
    match await get_object(agent.platform, LEDGER_NAME):
        case Success(found):
            kept = limits.decode_ledger(found.value)
        case _:
            return None
    if kept is None or kept.generation < ledger.generation:
        return None
    if kept.generation > ledger.generation:
        # It may have been accepted and followed since; holders must not thaw.
        adopt_ledger(agent, kept)
        return False
    if kept.recount == ledger.recount:
        return True
    await _thaw_all(agent, ledger)
    return False


async def _thaw_all(agent: Agent, ledger: Ledger) -> None:
    thaw = Thaw(ledger.generation - 1, ledger.recount)
    limits.thaw(agent.limits.holder, thaw)
    await send_to_all(agent, thaw)


async def hand_over_shares(agent: Agent) -> None:
    """Lend everything to peers before a planned stop."""
    peers = [name for name in list_ring(agent.members) if _is_lender(agent, name)]
    if not peers:
        return
    now = time.monotonic()
    for grant in limits.lend_all(agent.limits.holder, peers[0], now):
        await send_to_peer(agent, peers[0], grant)
    deadline = now + HANDOVER_TIMEOUT_S
    while time.monotonic() < deadline:
        if not limits.list_unconfirmed(agent.limits.holder):
            return
        await curio.sleep(0.02)

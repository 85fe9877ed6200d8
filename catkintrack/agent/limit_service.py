"""Reserve tokens, borrow from peers and keep the ledger of shares up to date."""

from __future__ import annotations

import logging
import time
from collections import deque

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
from .state import Agent, Gather, Reservation

logger = logging.getLogger(__name__)

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
LEVEL_INTERVAL_S = 0.05
FULL_ENOUGH = 0.99
LEAST_LENT_TOKENS = 1.0
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
    state = agent.limits
    shares = state.holder.shares
    if workspace not in shares.spec_by_workspace:
        return ReserveOutcome.UNAVAILABLE, BORROWING_RETRY_S
    now = time.monotonic()
    waiting = state.waiting_by_workspace.get(workspace)
    was_full = _fill_of(agent, workspace, now) >= FULL_ENOUGH
    if waiting is None and not limits.debit(shares, workspace, tokens, now):
        if was_full:
            await _share_room(agent, workspace)
        return ReserveOutcome.GRANTED, 0.0
    reservation = Reservation(tokens, now)
    if waiting is None:
        state.waiting_by_workspace[workspace] = deque([reservation])
        await curio.spawn(_borrow, agent, workspace, daemon=True)
    else:
        waiting.append(reservation)
    await reservation.done.wait()
    return reservation.outcome, reservation.retry_after_s


async def _borrow(agent: Agent, workspace: str) -> None:
    """Borrow until every waiting reservation of a workspace has its answer."""
    state = agent.limits
    waiting = state.waiting_by_workspace[workspace]
    try:
        await _wait_for_spacing(agent, workspace)
        while waiting:
            is_exhausted = await _run_rounds(agent, workspace, waiting)
            await _grant_in_order(agent, workspace, waiting)
            if waiting and is_exhausted:
                state.exhausted_at_by_workspace[workspace] = time.monotonic()
                await _answer_exhausted(agent, workspace, waiting)
            elif waiting:
                await _give_up_late(waiting)
                await curio.sleep(BORROWING_POLL_S)
    finally:
        del state.waiting_by_workspace[workspace]
        for reservation in waiting:
            await reservation.done.set()


async def _run_rounds(
    agent: Agent, workspace: str, waiting: deque[Reservation]
) -> bool:
    """Ask peers for what is missing; report whether they have no more to lend."""
    for excess in (FIRST_ROUND_EXCESS, None):
        missing = _count_missing(agent, workspace, waiting)
        if missing <= 0:
            return False
        gather = await _gather(agent, workspace, missing, excess)
        if gather is None or gather.is_contended or gather.waiting_for:
            return False
        if not gather.has_full_grant:
            return True
    return False


def _count_missing(agent: Agent, workspace: str, waiting: deque[Reservation]) -> float:
    row = limits.find_share(agent.limits.holder.shares, workspace, time.monotonic())
    return sum(reservation.tokens for reservation in waiting) - row.tokens


async def _grant_in_order(
    agent: Agent, workspace: str, waiting: deque[Reservation]
) -> None:
    shares = agent.limits.holder.shares
    while waiting:
        tokens = waiting[0].tokens
        if limits.debit(shares, workspace, tokens, time.monotonic()):
            return
        reservation = waiting.popleft()
        reservation.outcome = ReserveOutcome.GRANTED
        await reservation.done.set()


async def _answer_exhausted(
    agent: Agent, workspace: str, waiting: deque[Reservation]
) -> None:
    """Grant the reservations that still fit and refuse the others at once."""
    shares = agent.limits.holder.shares
    rate = shares.spec_by_workspace[workspace].rate
    for _ in range(len(waiting)):
        reservation = waiting.popleft()
        now = time.monotonic()
        missing = limits.debit(shares, workspace, reservation.tokens, now)
        if missing:
            reservation.outcome = ReserveOutcome.OVER_LIMIT
            reservation.retry_after_s = max(MIN_RETRY_AFTER_S, missing / rate)
        else:
            reservation.outcome = ReserveOutcome.GRANTED
        await reservation.done.set()


async def _give_up_late(waiting: deque[Reservation]) -> None:
    """Answer the reservations that have waited too long to borrow."""
    oldest = time.monotonic() - BORROWING_PATIENCE_S
    while waiting and waiting[0].asked_at < oldest:
        reservation = waiting.popleft()
        reservation.retry_after_s = BORROWING_RETRY_S
        await reservation.done.set()


def _can_borrow(agent: Agent) -> bool:
    """Report whether peers may lend to this agent now."""
    holder = agent.limits.holder
    return holder.is_member and not holder.is_frozen


def settle_reservation(agent: Agent, workspace: str, tokens: int) -> None:
    """Give back reserved tokens that were not used; negative ones are owed."""
    now = time.monotonic()
    limits.settle(agent.limits.holder.shares, workspace, tokens, now)


async def _gather(
    agent: Agent, workspace: str, missing: float, excess: float | None
) -> Gather | None:
    """Ask every lender once and wait a short time; None when nobody may lend.

    With `excess` each is asked for its even part times that, else for everything.
    """
    state = agent.limits
    peers = [name for name in list_ring(agent.members) if _is_lender(agent, name)]
    if not _can_borrow(agent):
        return None
    wanted = missing if excess is None else missing * excess / max(1, len(peers))
    gather = Gather(agent.rng.getrandbits(32), wanted, set(peers))
    gather.is_contended = _has_unheard_members(agent)
    state.gather_by_workspace[workspace] = gather
    try:
        request = _make_request(agent, workspace, wanted, gather.ticket, len(peers))
        for peer in peers:
            if not await send_to_peer(agent, peer, request):
                gather.waiting_for.discard(peer)
        if gather.waiting_for:
            await curio.ignore_after(GATHER_TIMEOUT_S, gather.done.wait)
    finally:
        del state.gather_by_workspace[workspace]
    return gather


def _has_unheard_members(agent: Agent) -> bool:
    """Report whether the ledger names members that were not heard of yet."""
    members = set(agent.limits.holder.ledger.members) - {agent.instance}
    return not members <= set(agent.members.row_by_instance)


def _make_request(
    agent: Agent, workspace: str, tokens: float | None, ticket: int, lenders: int
) -> LendRequest:
    """Return a request to each of so many lenders, who share the room here."""
    holder = agent.limits.holder
    row = limits.find_share(holder.shares, workspace, time.monotonic())
    spec = holder.shares.spec_by_workspace[workspace]
    room = max(0.0, limits.burst_of(spec, row.parts) - row.tokens)
    return LendRequest(
        holder.ledger.generation,
        workspace,
        tokens,
        row.parts,
        row.tokens,
        room / max(1, lenders),
        ticket,
    )


async def level_shares(agent: Agent) -> None:
    """Ask fuller peers for tokens before they are needed, until cancelled.

    A holder that is full accrues nothing; while another is not, that would lose
    tokens which the workspace is entitled to.
    """
    while True:
        await curio.sleep(LEVEL_INTERVAL_S)
        peers = [name for name in list_ring(agent.members) if _is_lender(agent, name)]
        if not peers or not _can_borrow(agent):
            continue
        for workspace in _list_unfilled(agent):
            peer = agent.rng.choice(peers)
            request = _make_request(agent, workspace, None, 0, 1)
            await send_to_peer(agent, peer, request)


async def _share_room(agent: Agent, workspace: str) -> None:
    """Take an even part of a first debit from each peer, which may all be full."""
    peers = [name for name in list_ring(agent.members) if _is_lender(agent, name)]
    shares = agent.limits.holder.shares
    row = limits.find_share(shares, workspace, time.monotonic())
    room = limits.burst_of(shares.spec_by_workspace[workspace], row.parts) - row.tokens
    part = room / (len(peers) + 1)
    for peer in peers:
        request = _make_request(agent, workspace, part, 0, len(peers))
        await send_to_peer(agent, peer, request)


def _fill_of(agent: Agent, workspace: str, now: float) -> float:
    """Return how full the share is, from 0 to 1; 1 for a share without parts."""
    shares = agent.limits.holder.shares
    spec = shares.spec_by_workspace[workspace]
    row = limits.find_share(shares, workspace, now)
    capacity = limits.burst_of(spec, row.parts)
    return row.tokens / capacity if capacity else 1.0


def _list_unfilled(agent: Agent) -> list[str]:
    """Return the workspaces whose share has room."""
    shares = agent.limits.holder.shares
    now = time.monotonic()
    return [
        workspace
        for workspace in shares.share_by_workspace
        if workspace in shares.spec_by_workspace
        and _fill_of(agent, workspace, now) < FULL_ENOUGH
    ]


async def _wait_for_spacing(agent: Agent, workspace: str) -> None:
    """Space out the rounds for a workspace that has used up its limit."""
    exhausted_at = agent.limits.exhausted_at_by_workspace.get(workspace, -1e9)
    wait_s = exhausted_at + GATHER_SPACING_S - time.monotonic()
    if wait_s > 0:
        await curio.sleep(wait_s)


def _is_lender(agent: Agent, instance: str) -> bool:
    row = agent.members.row_by_instance[instance]
    members = agent.limits.holder.ledger.members
    return members.get(instance) == row.incarnation


def _find_gather(agent: Agent, workspace: str, ticket: int) -> Gather | None:
    """Return the round that an answer belongs to, or None when it is over."""
    gather = agent.limits.gather_by_workspace.get(workspace)
    if gather is None or gather.ticket != ticket:
        return None
    return gather


async def _note_answer(gather: Gather, peer: str) -> None:
    gather.waiting_for.discard(peer)
    if not gather.waiting_for:
        await gather.done.set()


async def handle_lend_request(agent: Agent, envelope: Envelope) -> None:
    """Lend what is asked for, unless this holder needs it first."""
    body: LendRequest = envelope.body
    grant = _lend(agent, envelope.sender, body)
    generation = agent.limits.holder.ledger.generation
    if grant is not None:
        await send_to_peer(agent, envelope.sender, grant)
    elif body.tokens is not None:
        is_contended = _may_lend_soon(agent, body.workspace)
        refusal = LendRefusal(generation, body.workspace, body.ticket, is_contended)
        await send_to_peer(agent, envelope.sender, refusal)


def _lend(agent: Agent, peer: str, body: LendRequest) -> Grant | None:
    holder = agent.limits.holder
    now = time.monotonic()
    own = agent.limits.gather_by_workspace.get(body.workspace)
    if own is not None and (body.tokens is None or own.ticket < body.ticket):
        return None
    tokens = body.tokens
    if tokens is None:
        tokens = limits.find_surplus(
            holder, body.workspace, body.held_parts, body.held_tokens, now
        )
    if tokens < LEAST_LENT_TOKENS:
        return None
    return limits.lend(
        holder, peer, body.workspace, tokens, body.ticket, now, body.headroom
    )


def _may_lend_soon(agent: Agent, workspace: str) -> bool:
    """Report whether tokens are held back here only for the moment."""
    if workspace in agent.limits.waiting_by_workspace:
        return True
    row = limits.find_share(agent.limits.holder.shares, workspace, time.monotonic())
    return row.tokens >= LEAST_LENT_TOKENS


async def handle_lend_refusal(agent: Agent, envelope: Envelope) -> None:
    """Stop waiting for a peer that lends nothing."""
    body: LendRefusal = envelope.body
    gather = _find_gather(agent, body.workspace, body.ticket)
    if gather is not None:
        gather.is_contended |= body.is_contended
        await _note_answer(gather, envelope.sender)


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
    gather = _find_gather(agent, body.workspace, body.ticket)
    if gather is not None:
        # A grant that could not be taken, as during a recount, comes again.
        gather.is_contended |= ack is None
        gather.has_full_grant |= body.tokens >= gather.wanted - LEAST_LENT_TOKENS
        await _note_answer(gather, envelope.sender)


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

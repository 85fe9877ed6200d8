"""Reserve tokens of the workspaces' limits, borrowing from peers what is missing."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Mapping

import curio

from catkintrack import limits
from catkintrack.limits import LimitSpec
from catkintrack.links import LendRequest, ReserveOutcome
from catkintrack.membership import list_ring

from .mesh import send_to_peer
from .state import Agent, Gather, Reservation

GATHER_TIMEOUT_S = 0.05
GATHER_SPACING_S = 0.02
# The first round asks each peer for its even part and a bit, the next for all.
FIRST_ROUND_EXCESS = 1.25
MIN_RETRY_AFTER_S = 0.05
# Joining the ledger or a recount takes less than this.
BORROWING_PATIENCE_S = 0.4
BORROWING_POLL_S = 0.02
BORROWING_RETRY_S = 1.0
SETTLING_S = 2.0
LEVEL_INTERVAL_S = 0.05
FULL_ENOUGH = 0.99


def put_specs_in_force(agent: Agent) -> None:
    """Put the configuration's rates and bursts in force."""
    specs = {
        name: LimitSpec(workspace.rate_tokens_per_s, workspace.burst_tokens)
        for name, workspace in agent.tables.workspace_by_name.items()
    }
    limits.set_limit_specs(agent.limits.holder.shares, specs, time.monotonic())


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
                await _give_up_late(agent, waiting)
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
    row = limits.refresh_share(agent.limits.holder.shares, workspace, time.monotonic())
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


async def _give_up_late(agent: Agent, waiting: deque[Reservation]) -> None:
    """Answer the reservations that have waited too long to borrow.

    Shares that are about to turn up are waited for a little longer.
    """
    patience_s = SETTLING_S if _is_settling(agent) else BORROWING_PATIENCE_S
    oldest = time.monotonic() - patience_s
    while waiting and waiting[0].asked_at < oldest:
        reservation = waiting.popleft()
        reservation.retry_after_s = BORROWING_RETRY_S
        await reservation.done.set()


def settle_reservation(agent: Agent, workspace: str, tokens: int) -> None:
    """Give back reserved tokens that were not used; negative ones are owed."""
    now = time.monotonic()
    limits.refund_tokens(agent.limits.holder.shares, workspace, tokens, now)


async def _gather(
    agent: Agent, workspace: str, missing: float, excess: float | None
) -> Gather | None:
    """Ask every lender once and wait a short time; None when nobody may lend.

    With `excess` each is asked for its even part times that, else for everything.
    """
    state = agent.limits
    if not state.holder.can_lend:
        return None
    peers = list_lenders(agent)
    wanted = missing if excess is None else missing * excess / max(1, len(peers))
    gather = Gather(agent.rng.getrandbits(32), wanted, set(peers))
    gather.is_contended = _is_settling(agent)
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


def is_recount_due(
    incarnation_by_member: Mapping[str, int], instance: str, incarnation: int
) -> bool:
    """Report whether the ledger still counts a share with this agent's earlier life."""
    return incarnation_by_member.get(instance, incarnation) != incarnation


def _is_settling(agent: Agent) -> bool:
    """Report whether shares may soon turn up that nobody here can lend yet.

    So it is before all members were heard of, and just after a recount that some of
    them did not answer, as when all instances restart together.
    """
    ledger = agent.limits.holder.ledger
    others = set(ledger.members) - {agent.instance}
    if not others <= set(agent.members.member_by_instance):
        return True
    if is_recount_due(ledger.members, agent.instance, agent.incarnation):
        return True
    age_s = time.monotonic() - agent.limits.ledger_adopted_at
    return bool(ledger.unresolved) and age_s < SETTLING_S


def _make_request(
    agent: Agent, workspace: str, tokens: float | None, ticket: int, lenders: int
) -> LendRequest:
    """Return a request to each of so many lenders, who share the room here."""
    holder = agent.limits.holder
    row = limits.refresh_share(holder.shares, workspace, time.monotonic())
    room = _room_of(agent, workspace)
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
        peers = list_lenders(agent)
        if not peers or not agent.limits.holder.can_lend:
            continue
        for workspace in _list_unfilled(agent):
            peer = agent.rng.choice(peers)
            request = _make_request(agent, workspace, None, 0, 1)
            await send_to_peer(agent, peer, request)


async def _share_room(agent: Agent, workspace: str) -> None:
    """Take an even part of a first debit from each peer, which may all be full."""
    peers = list_lenders(agent)
    part = _room_of(agent, workspace) / (len(peers) + 1)
    request = _make_request(agent, workspace, part, 0, len(peers))
    for peer in peers:
        await send_to_peer(agent, peer, request)


def _room_of(agent: Agent, workspace: str) -> float:
    """Return the tokens that the share can still hold."""
    shares = agent.limits.holder.shares
    row = limits.refresh_share(shares, workspace, time.monotonic())
    spec = shares.spec_by_workspace[workspace]
    return max(0.0, limits.compute_burst(spec, row.parts) - row.tokens)


def _fill_of(agent: Agent, workspace: str, now: float) -> float:
    """Return how full the share is, from 0 to 1; 1 for a share without parts."""
    shares = agent.limits.holder.shares
    spec = shares.spec_by_workspace[workspace]
    row = limits.refresh_share(shares, workspace, now)
    capacity = limits.compute_burst(spec, row.parts)
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


def list_lenders(agent: Agent) -> list[str]:
    """Return the live peers that the ledger lists."""
    return [name for name in list_ring(agent.members) if _is_lender(agent, name)]


def _is_lender(agent: Agent, instance: str) -> bool:
    row = agent.members.member_by_instance[instance]
    members = agent.limits.holder.ledger.members
    return members.get(instance) == row.incarnation


def find_gather(agent: Agent, workspace: str, ticket: int) -> Gather | None:
    """Return the round that an answer belongs to, or None when it is over."""
    gather = agent.limits.gather_by_workspace.get(workspace)
    if gather is None or gather.ticket != ticket:
        return None
    return gather


async def note_answer(gather: Gather, peer: str) -> None:
    """Note that a peer has answered a round."""
    gather.waiting_for.discard(peer)
    if not gather.waiting_for:
        await gather.done.set()

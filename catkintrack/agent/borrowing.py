"""Reserve tokens of workspace rate limits, borrowing any shortfall from peers."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Mapping

import curio

from catkintrack import limits
from catkintrack.limits import LimitSpec
from catkintrack.links import LendRequest, ReserveOutcome
from catkintrack.membership import list_ring
from catkintrack.timeouts import ignore_after

from .mesh import send_to_peer
from .state import Agent, BorrowRound, Reservation

BORROW_ROUND_TIMEOUT_S = 0.05
EXHAUSTED_ROUND_INTERVAL_S = 0.02
# The first round asks each of n lenders for 1/n of the shortfall times this ratio; the
# second asks each for the whole shortfall.
FIRST_ROUND_OVERREQUEST_RATIO = 1.25
MIN_RETRY_AFTER_S = 0.05
# Longer than joining the ledger or a recount takes.
BORROW_TIMEOUT_S = 0.4
BORROW_POLL_INTERVAL_S = 0.02
UNAVAILABLE_RETRY_AFTER_S = 1.0
CONVERGENCE_TIMEOUT_S = 2.0
# A call that fails once, or a few within the pauses between retries, is no outage.
PLATFORM_AWAY_AFTER_S = 0.5
REBALANCE_INTERVAL_S = 0.05
FULL_SHARE_RATIO = 0.99


def apply_limit_specs(agent: Agent) -> None:
    """Apply the configured rate and burst of each workspace."""
    specs = {
        name: LimitSpec(workspace.rate_tokens_per_s, workspace.burst_tokens)
        for name, workspace in agent.tables.workspace_by_name.items()
    }
    limits.set_limit_specs(agent.limits.holder.shares, specs, time.monotonic())


async def reserve_tokens(
    agent: Agent, workspace: str, tokens: int
) -> tuple[ReserveOutcome, float]:
    """Debit tokens; return the outcome and the delay in seconds before a retry.

    UNAVAILABLE means that this agent can't borrow now; the workspace's limit is not
    necessarily exhausted.
    """
    state = agent.limits
    shares = state.holder.shares
    if workspace not in shares.spec_by_workspace:
        return ReserveOutcome.UNAVAILABLE, UNAVAILABLE_RETRY_AFTER_S
    now = time.monotonic()
    waiting = state.waiting_reservations_by_workspace.get(workspace)
    was_full = _compute_fill_ratio(agent, workspace, now) >= FULL_SHARE_RATIO
    if waiting is None and not limits.debit(shares, workspace, tokens, now):
        if was_full:
            await _request_even_split(agent, workspace)
        return ReserveOutcome.GRANTED, 0.0
    reservation = Reservation(tokens, now)
    if waiting is None:
        state.waiting_reservations_by_workspace[workspace] = deque([reservation])
        await curio.spawn(
            _borrow_for_waiting_reservations, agent, workspace, daemon=True
        )
    else:
        waiting.append(reservation)
    await reservation.done.wait()
    return reservation.outcome, reservation.retry_after_s


async def _borrow_for_waiting_reservations(agent: Agent, workspace: str) -> None:
    """Borrow until every waiting reservation of a workspace is resolved."""
    state = agent.limits
    waiting = state.waiting_reservations_by_workspace[workspace]
    try:
        await _delay_exhausted_round(agent, workspace)
        while waiting:
            is_exhausted = await _borrow_shortfall(agent, workspace, waiting)
            await _grant_in_arrival_order(agent, workspace, waiting)
            if waiting and is_exhausted:
                state.exhausted_at_by_workspace[workspace] = time.monotonic()
                await _resolve_exhausted(agent, workspace, waiting)
            elif waiting:
                await _expire_reservations(agent, waiting)
                await curio.sleep(BORROW_POLL_INTERVAL_S)
    finally:
        del state.waiting_reservations_by_workspace[workspace]
        for reservation in waiting:
            await reservation.done.set()


async def _borrow_shortfall(
    agent: Agent, workspace: str, waiting: deque[Reservation]
) -> bool:
    """Borrow the shortfall; report whether the peers have no tokens left to lend."""
    for overrequest_ratio in (FIRST_ROUND_OVERREQUEST_RATIO, None):
        shortfall = _compute_shortfall(agent, workspace, waiting)
        if shortfall <= 0:
            return False
        borrow_round = await _run_borrow_round(
            agent, workspace, shortfall, overrequest_ratio
        )
        if (
            borrow_round is None
            or borrow_round.is_contended
            or borrow_round.pending_lenders
        ):
            return False
        if not borrow_round.has_full_grant:
            return True
    return False


def _compute_shortfall(
    agent: Agent, workspace: str, waiting: deque[Reservation]
) -> float:
    share = limits.refresh_share(
        agent.limits.holder.shares, workspace, time.monotonic()
    )
    return sum(reservation.tokens for reservation in waiting) - share.tokens


async def _grant_in_arrival_order(
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


async def _resolve_exhausted(
    agent: Agent, workspace: str, waiting: deque[Reservation]
) -> None:
    """Grant the reservations that the share covers and refuse the others."""
    shares = agent.limits.holder.shares
    rate = shares.spec_by_workspace[workspace].rate
    for _ in range(len(waiting)):
        reservation = waiting.popleft()
        now = time.monotonic()
        shortfall = limits.debit(shares, workspace, reservation.tokens, now)
        if shortfall:
            reservation.outcome = ReserveOutcome.OVER_LIMIT
            reservation.retry_after_s = max(MIN_RETRY_AFTER_S, shortfall / rate)
        else:
            reservation.outcome = ReserveOutcome.GRANTED
        await reservation.done.set()


async def _expire_reservations(agent: Agent, waiting: deque[Reservation]) -> None:
    """Resolve the reservations that timed out, as UNAVAILABLE.

    The timeout is longer while shares may still become available for lending, and
    there is none while they can't.
    """
    now = time.monotonic()
    timeout_s = BORROW_TIMEOUT_S
    if is_joining_blocked(agent, now):
        timeout_s = 0.0
    elif _is_ledger_converging(agent):
        timeout_s = CONVERGENCE_TIMEOUT_S
    oldest = now - timeout_s
    while waiting and waiting[0].asked_at < oldest:
        reservation = waiting.popleft()
        reservation.retry_after_s = UNAVAILABLE_RETRY_AFTER_S
        await reservation.done.set()


def settle_reservation(agent: Agent, workspace: str, tokens: int) -> None:
    """Return unused reserved tokens; a negative count debits an overrun."""
    now = time.monotonic()
    limits.refund_tokens(agent.limits.holder.shares, workspace, tokens, now)


async def _run_borrow_round(
    agent: Agent, workspace: str, shortfall: float, overrequest_ratio: float | None
) -> BorrowRound | None:
    """Ask every lender once and wait for answers; None when this agent can't borrow.

    With `overrequest_ratio` each lender is asked for an even split of the shortfall
    times the ratio, without it for the whole shortfall.
    """
    state = agent.limits
    if not state.holder.can_lend:
        return None
    peers = list_lenders(agent)
    requested_tokens = (
        shortfall
        if overrequest_ratio is None
        else shortfall * overrequest_ratio / max(1, len(peers))
    )
    borrow_round = BorrowRound(agent.rng.getrandbits(32), requested_tokens, set(peers))
    borrow_round.is_contended = _is_ledger_converging(agent)
    state.borrow_round_by_workspace[workspace] = borrow_round
    try:
        request = _make_lend_request(
            agent, workspace, requested_tokens, borrow_round.ticket, len(peers)
        )
        for peer in peers:
            if not await send_to_peer(agent, peer, request):
                # As after a start, before the link to the peer is connected.
                borrow_round.is_contended = True
                borrow_round.pending_lenders.discard(peer)
        if borrow_round.pending_lenders:
            await ignore_after(BORROW_ROUND_TIMEOUT_S, borrow_round.done.wait)
    finally:
        del state.borrow_round_by_workspace[workspace]
    return borrow_round


def is_ledger_entry_stale(
    incarnation_by_member: Mapping[str, int], instance: str, incarnation: int
) -> bool:
    """Report whether the ledger lists an earlier incarnation of this instance."""
    return incarnation_by_member.get(instance, incarnation) != incarnation


def _is_ledger_converging(agent: Agent) -> bool:
    """Report whether shares that can't be lent yet may soon become available.

    This holds until all ledger members are discovered and a recount includes this
    incarnation, and shortly after a recount that some members did not answer, as when
    all instances restart together.
    """
    ledger = agent.limits.holder.ledger
    others = set(ledger.members) - {agent.instance}
    if not others <= set(agent.members.member_by_instance):
        return True
    if is_ledger_entry_stale(ledger.members, agent.instance, agent.incarnation):
        return True
    age_s = time.monotonic() - agent.limits.ledger_adopted_at
    return bool(ledger.unresolved) and age_s < CONVERGENCE_TIMEOUT_S


def is_joining_blocked(agent: Agent, now: float) -> bool:
    """Report whether this agent can't take part in the limits until the platform is back.

    A recount must list its incarnation first, and no instance is known to have reached
    the platform since it failed here.
    """
    failing_since = agent.platform_failing_since
    if failing_since is None or agent.limits.holder.is_member:
        return False
    is_reached = agent.fleet_platform_contact_at >= failing_since
    return not is_reached and now - failing_since >= PLATFORM_AWAY_AFTER_S


def _make_lend_request(
    agent: Agent, workspace: str, tokens: float | None, ticket: int, lenders: int
) -> LendRequest:
    """Return a lend request that splits the headroom evenly over `lenders` lenders."""
    holder = agent.limits.holder
    share = limits.refresh_share(holder.shares, workspace, time.monotonic())
    headroom = _compute_headroom(agent, workspace)
    return LendRequest(
        holder.ledger.generation,
        workspace,
        tokens,
        share.parts,
        share.tokens,
        headroom / max(1, lenders),
        ticket,
    )


async def rebalance_shares(agent: Agent) -> None:
    """Equalize fill ratios by requests to random peers, until cancelled.

    Tokens move before they are needed because a full share accrues none: the
    workspace would get less than its rate while other shares have headroom.
    """
    while True:
        await curio.sleep(REBALANCE_INTERVAL_S)
        peers = list_lenders(agent)
        if not peers or not agent.limits.holder.can_lend or agent.is_stopping:
            continue
        for workspace in _list_workspaces_with_headroom(agent):
            peer = agent.rng.choice(peers)
            request = _make_lend_request(agent, workspace, None, 0, 1)
            await send_to_peer(agent, peer, request)


async def _request_even_split(agent: Agent, workspace: str) -> None:
    """Ask all peers for equal parts of the tokens just debited from a full share.

    The peers' shares may be full too, and then accrue no tokens until they lend some.
    """
    peers = list_lenders(agent)
    tokens_per_peer = _compute_headroom(agent, workspace) / (len(peers) + 1)
    request = _make_lend_request(agent, workspace, tokens_per_peer, 0, len(peers))
    for peer in peers:
        await send_to_peer(agent, peer, request)


def _compute_headroom(agent: Agent, workspace: str) -> float:
    """Return the number of tokens that the share can still accrue."""
    shares = agent.limits.holder.shares
    share = limits.refresh_share(shares, workspace, time.monotonic())
    spec = shares.spec_by_workspace[workspace]
    return max(0.0, limits.compute_burst(spec, share.parts) - share.tokens)


def _compute_fill_ratio(agent: Agent, workspace: str, now: float) -> float:
    """Return the share's tokens over its capacity; 1 for a share without parts."""
    shares = agent.limits.holder.shares
    spec = shares.spec_by_workspace[workspace]
    share = limits.refresh_share(shares, workspace, now)
    capacity = limits.compute_burst(spec, share.parts)
    return share.tokens / capacity if capacity else 1.0


def _list_workspaces_with_headroom(agent: Agent) -> list[str]:
    """Return the workspaces whose share is not full or far below an even one."""
    holder = agent.limits.holder
    shares = holder.shares
    now = time.monotonic()
    return [
        workspace
        for workspace in shares.spec_by_workspace
        if _compute_fill_ratio(agent, workspace, now) < FULL_SHARE_RATIO
        or limits.is_underprovided(
            holder, limits.refresh_share(shares, workspace, now).parts
        )
    ]


async def _delay_exhausted_round(agent: Agent, workspace: str) -> None:
    """Limit the frequency of borrow rounds for a workspace with an exhausted limit."""
    exhausted_at = agent.limits.exhausted_at_by_workspace.get(workspace, -1e9)
    wait_s = exhausted_at + EXHAUSTED_ROUND_INTERVAL_S - time.monotonic()
    if wait_s > 0:
        await curio.sleep(wait_s)


def list_lenders(agent: Agent) -> list[str]:
    """Return the live peers whose current incarnation is in the ledger."""
    return [name for name in list_ring(agent.members) if _is_lender(agent, name)]


def _is_lender(agent: Agent, instance: str) -> bool:
    member = agent.members.member_by_instance[instance]
    members = agent.limits.holder.ledger.members
    return members.get(instance) == member.incarnation


def find_borrow_round(agent: Agent, workspace: str, ticket: int) -> BorrowRound | None:
    """Return the round that an answer belongs to, or None when it has ended."""
    borrow_round = agent.limits.borrow_round_by_workspace.get(workspace)
    if borrow_round is None or borrow_round.ticket != ticket:
        return None
    return borrow_round


async def record_lender_answer(borrow_round: BorrowRound, peer: str) -> None:
    """Record that a lender has answered a round; end the round after the last."""
    borrow_round.pending_lenders.discard(peer)
    if not borrow_round.pending_lenders:
        await borrow_round.done.set()

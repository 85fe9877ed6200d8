"""Lend tokens of workspace limits to peers, and accept tokens that peers lend."""

from __future__ import annotations

import time

import curio

from catkintrack import limits
from catkintrack.links import (
    Envelope,
    Grant,
    GrantAck,
    LendRefusal,
    LendRequest,
)
from catkintrack.membership import list_alive

from .borrowing import find_borrow_round, list_lenders, record_lender_answer
from .mesh import MeshHandler, send_to_peer
from .state import Agent

MIN_LENT_TOKENS = 1.0
GRANT_RESEND_INTERVAL_S = 0.1
HANDOVER_TIMEOUT_S = 2.0
HANDOVER_POLL_INTERVAL_S = 0.02
# A grant that answers this agent's last request arrives within this time.
LATE_GRANT_S = 0.25


async def handle_lend_request(agent: Agent, envelope: Envelope) -> None:
    """Lend the requested tokens, unless a borrow round of this agent has priority.

    A request for a number of tokens that isn't granted is answered with a refusal.
    """
    body: LendRequest = envelope.body
    grant = _make_grant(agent, envelope.sender, body)
    generation = agent.limits.holder.ledger.generation
    if grant is not None:
        await send_to_peer(agent, envelope.sender, grant)
    elif body.tokens is not None:
        is_contended = _may_lend_after_retry(agent, body.workspace)
        refusal = LendRefusal(generation, body.workspace, body.ticket, is_contended)
        await send_to_peer(agent, envelope.sender, refusal)


def _make_grant(agent: Agent, peer: str, body: LendRequest) -> Grant | None:
    holder = agent.limits.holder
    now = time.monotonic()
    own_round = agent.limits.borrow_round_by_workspace.get(body.workspace)
    # Of two concurrent rounds the one with the lower ticket has priority.
    if own_round is not None and (
        body.tokens is None or own_round.ticket < body.ticket
    ):
        return None
    tokens = body.tokens
    if tokens is None:
        tokens = limits.compute_surplus_tokens(
            holder, body.workspace, body.held_parts, body.held_tokens, now
        ) or limits.compute_startup_tokens(holder, body.workspace, body.held_parts, now)
    if tokens < MIN_LENT_TOKENS:
        return None
    return limits.lend(
        holder, peer, body.workspace, tokens, body.ticket, now, body.headroom
    )


def _may_lend_after_retry(agent: Agent, workspace: str) -> bool:
    """Report whether this holder has tokens that it may lend shortly."""
    if workspace in agent.limits.waiting_reservations_by_workspace:
        return True
    share = limits.refresh_share(
        agent.limits.holder.shares, workspace, time.monotonic()
    )
    return share.tokens >= MIN_LENT_TOKENS


async def handle_lend_refusal(agent: Agent, envelope: Envelope) -> None:
    """Stop waiting for a lender that refused the request."""
    body: LendRefusal = envelope.body
    borrow_round = find_borrow_round(agent, body.workspace, body.ticket)
    if borrow_round is not None:
        borrow_round.is_contended |= body.is_contended
        await record_lender_answer(borrow_round, envelope.sender)


async def handle_grant(agent: Agent, envelope: Envelope) -> None:
    """Accept a grant and acknowledge it."""
    body: Grant = envelope.body
    ack = limits.accept_grant(
        agent.limits.holder,
        envelope.sender,
        envelope.incarnation,
        body,
        time.monotonic(),
    )
    if ack is not None:
        await send_to_peer(agent, envelope.sender, ack)
    borrow_round = find_borrow_round(agent, body.workspace, body.ticket)
    if borrow_round is not None:
        # A grant that could not be accepted, as during a recount, is resent.
        borrow_round.is_contended |= ack is None
        borrow_round.has_full_grant |= (
            body.tokens >= borrow_round.requested_tokens - MIN_LENT_TOKENS
        )
        await record_lender_answer(borrow_round, envelope.sender)


async def handle_grant_ack(agent: Agent, envelope: Envelope) -> None:
    """Discard the grants that a peer has acknowledged."""
    limits.drop_acknowledged_grants(agent.limits.holder, envelope.sender, envelope.body)


async def resend_unacknowledged_grants(agent: Agent) -> None:
    """Resend unacknowledged grants until cancelled."""
    already_sent: set[tuple[str, int]] = set()
    while True:
        await curio.sleep(GRANT_RESEND_INTERVAL_S)
        unacknowledged = limits.list_unacknowledged_grants(agent.limits.holder)
        for peer, grant in unacknowledged:
            if (peer, grant.sequence) in already_sent:
                await send_to_peer(agent, peer, grant)
        already_sent = {(peer, grant.sequence) for peer, grant in unacknowledged}


async def hand_over_shares(agent: Agent) -> None:
    """Lend all shares to one peer before a planned shutdown.

    Shares that peers lent to this agent shortly before may arrive meanwhile; they are
    passed on as well.  A recount is waited for: until its end nothing can be lent, and
    only then the ledger may have the peers.
    """
    if len(list_alive(agent.members)) < 2:
        return
    holder = agent.limits.holder
    started_at = time.monotonic()
    while (now := time.monotonic()) < started_at + HANDOVER_TIMEOUT_S:
        peers = list_lenders(agent)
        for peer in peers[:1]:
            for grant in limits.lend_all(holder, peer, now):
                await send_to_peer(agent, peer, grant)
        can_lend = bool(peers) and holder.can_lend
        has_settled = can_lend and now >= started_at + LATE_GRANT_S
        if has_settled and not limits.list_unacknowledged_grants(holder):
            return
        await curio.sleep(HANDOVER_POLL_INTERVAL_S)


LENDING_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    LendRequest: handle_lend_request,
    LendRefusal: handle_lend_refusal,
    Grant: handle_grant,
    GrantAck: handle_grant_ack,
}

"""Lend tokens to peers, and take what they lend."""

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

from .borrowing import find_gather, list_lenders, note_answer
from .mesh import MeshHandler, send_to_peer
from .state import Agent

LEAST_LENT_TOKENS = 1.0
REPEAT_GRANTS_S = 0.1
HANDOVER_TIMEOUT_S = 1.0


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
        tokens = limits.compute_surplus_tokens(
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
    row = limits.refresh_share(agent.limits.holder.shares, workspace, time.monotonic())
    return row.tokens >= LEAST_LENT_TOKENS


async def handle_lend_refusal(agent: Agent, envelope: Envelope) -> None:
    """Stop waiting for a peer that lends nothing."""
    body: LendRefusal = envelope.body
    gather = find_gather(agent, body.workspace, body.ticket)
    if gather is not None:
        gather.is_contended |= body.is_contended
        await note_answer(gather, envelope.sender)


async def handle_grant(agent: Agent, envelope: Envelope) -> None:
    """Take a grant and confirm it."""
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
    gather = find_gather(agent, body.workspace, body.ticket)
    if gather is not None:
        # A grant that could not be taken, as during a recount, comes again.
        gather.is_contended |= ack is None
        gather.has_full_grant |= body.tokens >= gather.wanted - LEAST_LENT_TOKENS
        await note_answer(gather, envelope.sender)


async def handle_grant_ack(agent: Agent, envelope: Envelope) -> None:
    """Drop the grants that a peer has confirmed."""
    limits.drop_acknowledged_grants(agent.limits.holder, envelope.sender, envelope.body)


async def repeat_grants(agent: Agent) -> None:
    """Send unconfirmed grants again until cancelled."""
    seen: set[tuple[str, int]] = set()
    while True:
        await curio.sleep(REPEAT_GRANTS_S)
        unconfirmed = limits.list_unacknowledged_grants(agent.limits.holder)
        for peer, grant in unconfirmed:
            if (peer, grant.sequence) in seen:
                await send_to_peer(agent, peer, grant)
        seen = {(peer, grant.sequence) for peer, grant in unconfirmed}


async def hand_over_shares(agent: Agent) -> None:
    """Lend everything to peers before a planned stop."""
    peers = list_lenders(agent)
    if not peers:
        return
    now = time.monotonic()
    for grant in limits.lend_all(agent.limits.holder, peers[0], now):
        await send_to_peer(agent, peers[0], grant)
    deadline = now + HANDOVER_TIMEOUT_S
    while time.monotonic() < deadline:
        if not limits.list_unacknowledged_grants(agent.limits.holder):
            return
        await curio.sleep(0.02)


LENDING_HANDLER_BY_TYPE: dict[type, MeshHandler] = {
    LendRequest: handle_lend_request,
    LendRefusal: handle_lend_refusal,
    Grant: handle_grant,
    GrantAck: handle_grant_ack,
}

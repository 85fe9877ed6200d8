"""Lend parts and tokens between holders without ever creating any.

The lender subtracts before it sends.  Grants to a receiver carry sequence numbers, are
resent until acknowledged, and are applied in order, exactly once.  A grant in flight
when either side dies is lost until the next recount.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from msgspec import structs

from catkintrack.links import Grant, GrantAck

from .ledger import Ledger
from .shares import PARTS_TOTAL, ShareTable, compute_burst, refresh_share

MAX_UNACKNOWLEDGED_GRANTS = 64
# A member with less than this part of an even split asks for parts.
MIN_EVEN_SHARE = 0.25
# Parts are moved for this only from a share that is mostly unused.
MIN_STARTUP_FILL = 0.5


@dataclass(slots=True)
class OutgoingChannel:
    """Track the unacknowledged grants to one incarnation of a peer."""

    peer_incarnation: int
    next_sequence: int = 1
    unacknowledged_grants: deque[Grant] = field(default_factory=deque)


@dataclass(slots=True)
class IncomingChannel:
    """Track the last grant applied from one incarnation of a peer."""

    peer_incarnation: int
    last_sequence: int = 0


@dataclass(slots=True)
class ShareHolder:
    """Hold one agent's shares, the ledger in force and the channels to peers."""

    instance: str
    incarnation: int
    shares: ShareTable = field(default_factory=ShareTable)
    ledger: Ledger = field(default_factory=Ledger)
    freezing_recount_ids: set[int] = field(default_factory=set)
    outgoing_channel_by_peer: dict[str, OutgoingChannel] = field(default_factory=dict)
    incoming_channel_by_peer: dict[str, IncomingChannel] = field(default_factory=dict)

    @property
    def is_frozen(self) -> bool:
        """Report whether a recount in progress forbids lending."""
        return bool(self.freezing_recount_ids)

    @property
    def is_member(self) -> bool:
        """Report whether the ledger lists this incarnation."""
        return self.ledger.members.get(self.instance) == self.incarnation

    @property
    def can_lend(self) -> bool:
        """Report whether this holder may send and apply grants now."""
        return self.is_member and not self.is_frozen


def lend(
    holder: ShareHolder,
    peer: str,
    workspace: str,
    tokens: float,
    ticket: int,
    now: float,
    headroom: float = 0.0,
) -> Grant | None:
    """Subtract up to `tokens` from the share; return the grant, None if nothing is lent.

    `ticket` is that of the borrower's request, 0 if no borrow round waits for it.
    `headroom` is the number of tokens the receiver can hold with its current parts.
    Parts are lent only for the tokens beyond it, since a lender that keeps its parts
    has room to refill and continues to accrue at the same rate.
    """
    peer_incarnation = holder.ledger.members.get(peer)
    if not holder.can_lend or peer_incarnation is None:
        return None
    spec = holder.shares.spec_by_workspace.get(workspace)
    channel = _get_outgoing_channel(holder, peer, peer_incarnation)
    if spec is None or len(channel.unacknowledged_grants) >= MAX_UNACKNOWLEDGED_GRANTS:
        return None
    share = refresh_share(holder.shares, workspace, now)
    lent_tokens = min(tokens, share.tokens)
    if lent_tokens <= 0:
        return None
    excess_tokens = max(0.0, lent_tokens - max(0.0, headroom))
    parts = min(share.parts, math.ceil(excess_tokens * PARTS_TOTAL / spec.burst))
    share.parts -= parts
    share.tokens = min(share.tokens - lent_tokens, compute_burst(spec, share.parts))
    grant = Grant(
        holder.ledger.generation,
        peer_incarnation,
        channel.next_sequence,
        workspace,
        parts,
        lent_tokens,
        ticket,
    )
    channel.next_sequence += 1
    channel.unacknowledged_grants.append(grant)
    return grant


def compute_surplus_tokens(
    holder: ShareHolder, workspace: str, held_parts: int, held_tokens: float, now: float
) -> float:
    """Return the tokens to lend so that both holders have equal tokens per part.

    `held_parts` and `held_tokens` are the borrower's.
    """
    share = refresh_share(holder.shares, workspace, now)
    parts = share.parts + held_parts
    if not parts:
        return 0.0
    return max(0.0, (share.tokens * held_parts - held_tokens * share.parts) / parts)


def is_underprovided(holder: ShareHolder, held_parts: int) -> bool:
    """Report whether a member holds far fewer parts than an even split gives it."""
    return held_parts < MIN_EVEN_SHARE * _count_even_parts(holder)


def compute_startup_tokens(
    holder: ShareHolder, workspace: str, held_parts: int, now: float
) -> float:
    """Return the tokens to lend, with their parts, to a member that holds few parts.

    A member that joins holds none.  If only demand moved them, an early death of the
    first member would take the whole limit with it.
    """
    spec = holder.shares.spec_by_workspace.get(workspace)
    if spec is None or not is_underprovided(holder, held_parts):
        return 0.0
    share = refresh_share(holder.shares, workspace, now)
    even_parts = _count_even_parts(holder)
    parts = min(share.parts - even_parts, even_parts - held_parts)
    burst_tokens = compute_burst(spec, share.parts)
    if parts <= 0 or share.tokens < MIN_STARTUP_FILL * burst_tokens:
        return 0.0
    return compute_burst(spec, parts)


def _count_even_parts(holder: ShareHolder) -> int:
    return PARTS_TOTAL // max(1, len(holder.ledger.members))


def lend_all(holder: ShareHolder, peer: str, now: float) -> list[Grant]:
    """Lend all shares with tokens to `peer` before a planned stop; return the grants."""
    grants = []
    for workspace, share in list(holder.shares.share_by_workspace.items()):
        grant = lend(holder, peer, workspace, max(share.tokens, 1e-9), 0, now)
        if grant is None:
            continue
        remaining_parts = share.parts
        share.parts = 0
        share.fresh_parts = 0
        share.tokens = 0.0
        full_grant = structs.replace(grant, parts=grant.parts + remaining_parts)
        channel = holder.outgoing_channel_by_peer[peer]
        channel.unacknowledged_grants[-1] = full_grant
        grants.append(full_grant)
    return grants


def accept_grant(
    holder: ShareHolder, sender: str, sender_incarnation: int, grant: Grant, now: float
) -> GrantAck | None:
    """Apply a grant if it is the next in sequence and return its acknowledgement.

    A grant to another incarnation, of another generation or during a recount is
    ignored.
    """
    if not holder.can_lend:
        return None
    if grant.receiver_incarnation != holder.incarnation:
        return None
    if grant.generation != holder.ledger.generation:
        return None
    if holder.ledger.members.get(sender) != sender_incarnation:
        return None
    channel = holder.incoming_channel_by_peer.get(sender)
    if channel is None or channel.peer_incarnation != sender_incarnation:
        channel = IncomingChannel(sender_incarnation)
        holder.incoming_channel_by_peer[sender] = channel
    if grant.sequence == channel.last_sequence + 1:
        channel.last_sequence = grant.sequence
        _apply_grant(holder, grant, now)
    return GrantAck(sender_incarnation, channel.last_sequence)


def drop_acknowledged_grants(holder: ShareHolder, peer: str, ack: GrantAck) -> None:
    """Drop the grants that the peer has applied."""
    channel = holder.outgoing_channel_by_peer.get(peer)
    if channel is None or ack.sender_incarnation != holder.incarnation:
        return
    while (
        channel.unacknowledged_grants
        and channel.unacknowledged_grants[0].sequence <= ack.sequence
    ):
        channel.unacknowledged_grants.popleft()


def list_unacknowledged_grants(holder: ShareHolder) -> list[tuple[str, Grant]]:
    """Return (peer, grant) pairs to resend, oldest first for each peer."""
    return [
        (peer, grant)
        for peer, channel in holder.outgoing_channel_by_peer.items()
        for grant in channel.unacknowledged_grants
    ]


def _apply_grant(holder: ShareHolder, grant: Grant, now: float) -> None:
    share = refresh_share(holder.shares, grant.workspace, now)
    share.parts += grant.parts
    spec = holder.shares.spec_by_workspace.get(grant.workspace)
    burst_tokens = compute_burst(spec, share.parts) if spec else 0.0
    share.tokens = min(share.tokens + grant.tokens, burst_tokens)


def _get_outgoing_channel(
    holder: ShareHolder, peer: str, incarnation: int
) -> OutgoingChannel:
    channel = holder.outgoing_channel_by_peer.get(peer)
    if channel is None or channel.peer_incarnation != incarnation:
        channel = OutgoingChannel(incarnation)
        holder.outgoing_channel_by_peer[peer] = channel
    return channel

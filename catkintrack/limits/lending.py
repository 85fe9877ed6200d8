"""Move parts and tokens between holders without ever making any.

The giver subtracts before it sends.  Grants to one receiver are numbered, kept and
sent again until confirmed, and taken in order, each once.  What is in flight when
either side dies is lost until a recount.
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


@dataclass(slots=True)
class OutgoingChannel:
    """Hold the grants to one peer's incarnation that are not confirmed yet."""

    peer_incarnation: int
    next_sequence: int = 1
    unacknowledged_grants: deque[Grant] = field(default_factory=deque)


@dataclass(slots=True)
class IncomingChannel:
    """Hold the last grant taken from one peer's incarnation."""

    peer_incarnation: int
    last_sequence: int = 0


@dataclass(slots=True)
class ShareHolder:
    """Hold what one agent has of the limits, and its channels to peers."""

    instance: str
    incarnation: int
    shares: ShareTable = field(default_factory=ShareTable)
    ledger: Ledger = field(default_factory=Ledger)
    freezing_recount_ids: set[int] = field(default_factory=set)
    outgoing_channel_by_peer: dict[str, OutgoingChannel] = field(default_factory=dict)
    incoming_channel_by_peer: dict[str, IncomingChannel] = field(default_factory=dict)

    @property
    def is_frozen(self) -> bool:
        """Report whether a recount forbids lending."""
        return bool(self.freezing_recount_ids)

    @property
    def is_member(self) -> bool:
        """Report whether the ledger lists this incarnation."""
        return self.ledger.members.get(self.instance) == self.incarnation

    @property
    def can_lend(self) -> bool:
        """Report whether this holder may lend and be lent to now."""
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
    """Subtract up to `tokens` and return the grant.

    Parts go along only for what the receiver's `headroom` (tokens) can't hold: a
    lender that keeps its parts has room again and goes on accruing.
    """
    peer_incarnation = holder.ledger.members.get(peer)
    if not holder.can_lend or peer_incarnation is None:
        return None
    spec = holder.shares.spec_by_workspace.get(workspace)
    channel = _find_out_channel(holder, peer, peer_incarnation)
    if spec is None or len(channel.unacknowledged_grants) >= MAX_UNACKNOWLEDGED_GRANTS:
        return None
    row = refresh_share(holder.shares, workspace, now)
    given = min(tokens, row.tokens)
    if given <= 0:
        return None
    homeless = max(0.0, given - max(0.0, headroom))
    parts = min(row.parts, math.ceil(homeless * PARTS_TOTAL / spec.burst))
    row.parts -= parts
    row.tokens = min(row.tokens - given, compute_burst(spec, row.parts))
    grant = Grant(
        holder.ledger.generation,
        peer_incarnation,
        channel.next_sequence,
        workspace,
        parts,
        given,
        ticket,
    )
    channel.next_sequence += 1
    channel.unacknowledged_grants.append(grant)
    return grant


def compute_surplus_tokens(
    holder: ShareHolder, workspace: str, held_parts: int, held_tokens: float, now: float
) -> float:
    """Return the tokens that make this holder and the asker equally full."""
    row = refresh_share(holder.shares, workspace, now)
    parts = row.parts + held_parts
    if not parts:
        return 0.0
    return max(0.0, (row.tokens * held_parts - held_tokens * row.parts) / parts)


def lend_all(holder: ShareHolder, peer: str, now: float) -> list[Grant]:
    """Subtract everything and return the grants, as a holder does that stops."""
    grants = []
    for workspace, row in list(holder.shares.share_by_workspace.items()):
        grant = lend(holder, peer, workspace, max(row.tokens, 1e-9), 0, now)
        if grant is None:
            continue
        rest = row.parts
        row.parts = 0
        row.fresh_parts = 0
        row.tokens = 0.0
        whole = structs.replace(grant, parts=grant.parts + rest)
        channel = holder.outgoing_channel_by_peer[peer]
        channel.unacknowledged_grants[-1] = whole
        grants.append(whole)
    return grants


def accept_grant(
    holder: ShareHolder, sender: str, sender_incarnation: int, grant: Grant, now: float
) -> GrantAck | None:
    """Add a grant that is next in order and return its confirmation.

    A grant for another life, of another generation or during a recount is ignored.
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
        _add(holder, grant, now)
    return GrantAck(sender_incarnation, channel.last_sequence)


def drop_acknowledged_grants(holder: ShareHolder, peer: str, ack: GrantAck) -> None:
    """Drop the grants that the peer has taken."""
    channel = holder.outgoing_channel_by_peer.get(peer)
    if channel is None or ack.sender_incarnation != holder.incarnation:
        return
    while (
        channel.unacknowledged_grants
        and channel.unacknowledged_grants[0].sequence <= ack.sequence
    ):
        channel.unacknowledged_grants.popleft()


def list_unacknowledged_grants(holder: ShareHolder) -> list[tuple[str, Grant]]:
    """Return (peer, grant) of each grant to send again, oldest first."""
    return [
        (peer, grant)
        for peer, channel in holder.outgoing_channel_by_peer.items()
        for grant in channel.unacknowledged_grants
    ]


def _add(holder: ShareHolder, grant: Grant, now: float) -> None:
    row = refresh_share(holder.shares, grant.workspace, now)
    row.parts += grant.parts
    spec = holder.shares.spec_by_workspace.get(grant.workspace)
    ceiling = compute_burst(spec, row.parts) if spec else 0.0
    row.tokens = min(row.tokens + grant.tokens, ceiling)


def _find_out_channel(
    holder: ShareHolder, peer: str, incarnation: int
) -> OutgoingChannel:
    channel = holder.outgoing_channel_by_peer.get(peer)
    if channel is None or channel.peer_incarnation != incarnation:
        channel = OutgoingChannel(incarnation)
        holder.outgoing_channel_by_peer[peer] = channel
    return channel

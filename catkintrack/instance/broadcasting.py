"""Tell all peers something; whoever is away misses it."""

from __future__ import annotations

import time

import msgspec

from .hubs import has_hubs, send_via_hub
from .messages import GossipMessage, PeerMessage, ZoneRelay, encode_peer_message
from .peers import choose_receivers, list_unconfirmed_peers, send_to
from .state import Instance


async def _announce_to_unconfirmed(
    instance: Instance, gossip: GossipMessage, now: float
) -> None:
    """Tell the peers that no hub may reach yet only that one is here.

    In a large fleet that starts all are strangers, and whatever each told all of them
    would cross the zones once for each pair.
    """
    greeting = msgspec.structs.replace(
        gossip,
        is_full=False,
        peers=(),
        named_weights={},
        version_by_upstream={},
        used_by_workspace={},
        level_by_workspace={},
        in_flight_by_upstream={},
        lease=None,
    )
    data = encode_peer_message(greeting)
    for peer in list_unconfirmed_peers(instance, now):
        await send_to(instance, peer, data)


async def broadcast(instance: Instance, message: PeerMessage) -> None:
    """Send a message to all peers, in a large fleet through the zones' hubs."""
    data = encode_peer_message(message)
    now = time.monotonic()
    if has_hubs(instance):
        await send_via_hub(instance, data, now)
        if isinstance(message, GossipMessage):
            await _announce_to_unconfirmed(instance, message, now)
        return
    # One peer of each other zone passes it on there, so that it crosses once.
    relayed = encode_peer_message(ZoneRelay(data))
    for peer, is_relay in choose_receivers(instance, now):
        await send_to(instance, peer, relayed if is_relay else data)

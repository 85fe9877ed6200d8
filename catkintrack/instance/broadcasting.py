"""Tell all peers something; whoever is away misses it."""

from __future__ import annotations

import time

from .hubs import hand_over, has_hubs
from .messages import PeerMessage, Relayed, encode_peer_message
from .peers import choose_receivers, list_unheard, send_to
from .state import Instance


async def broadcast(instance: Instance, message: PeerMessage) -> None:
    """Send a message to all peers, in a large fleet through the zones' hubs."""
    data = encode_peer_message(message)
    now = time.monotonic()
    if has_hubs(instance):
        await hand_over(instance, data, now)
        for peer in list_unheard(instance, now):
            await send_to(instance, peer, data)
        return
    # One peer of each other zone passes it on there, so that it crosses once.
    relayed = encode_peer_message(Relayed(data))
    for peer, is_relay in choose_receivers(instance, now):
        await send_to(instance, peer, relayed if is_relay else data)

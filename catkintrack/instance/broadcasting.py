"""Send messages to all peers; delivery is not guaranteed."""

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
    """Announce this instance, without its state, to peers that may not know it yet.

    While a large fleet starts, all peers are unconfirmed, and a message to them crosses
    between zones once for each pair of instances, so it must be short.
    """
    announcement = msgspec.structs.replace(
        gossip,
        is_full=False,
        peers=(),
        named_weights={},
        version_by_upstream={},
        used_by_workspace={},
        level_by_workspace={},
        in_flight_by_upstream={},
        lease=None,
        quarantined={},
        quarantined_contents={},
        load_by_upstream={},
    )
    data = encode_peer_message(announcement)
    for peer in list_unconfirmed_peers(instance, now):
        await send_to(instance, peer, data)


async def broadcast(instance: Instance, message: PeerMessage) -> None:
    """Send a message to all peers, in a large fleet through the hubs of the zones."""
    data = encode_peer_message(message)
    now = time.monotonic()
    if has_hubs(instance):
        await send_via_hub(instance, data, now)
        if isinstance(message, GossipMessage):
            await _announce_to_unconfirmed(instance, message, now)
        return
    # One peer of each other zone relays the message there, so that it crosses once.
    relayed = encode_peer_message(ZoneRelay(data))
    for peer, is_relay in choose_receivers(instance, now):
        await send_to(instance, peer, relayed if is_relay else data)

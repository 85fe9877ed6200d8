"""Know the other instances and send them messages."""

from __future__ import annotations

import time
import zlib
from collections import defaultdict

from catkintrack.transport import connect_link

from .state import Instance, Peer

PEER_TIMEOUT_S = 1.5
PEER_REMOVAL_S = 15.0


def get_or_add_peer(
    instance: Instance, name: str, zone: str, host: str, port: int
) -> Peer | None:
    """Return the peer at an address, new or known; None for oneself."""
    if (host, port) == (instance.site.mesh.host, instance.site.mesh.port):
        return None
    peer = instance.peer_by_address.get((host, port))
    if peer is None:
        peer = Peer(name, zone, host, port)
        peer.heard_at = time.monotonic() - PEER_TIMEOUT_S
        instance.peer_by_address[(host, port)] = peer
    return peer


async def send_to(instance: Instance, peer: Peer, data: bytes) -> None:
    """Send bytes to a peer, connecting to it first where need be."""
    if peer.link is None:

        async def ignore(identity: bytes, data: bytes) -> None:
            return None

        peer.link = connect_link(
            instance.context, None, b"", peer.host, peer.port, ignore
        )
    await peer.link.send(data)


def list_live_peers(instance: Instance, now: float) -> list[Peer]:
    """Return the peers that were heard of late."""
    return [p for p in instance.peer_by_address.values() if is_peer_live(p, now)]


def is_peer_live(peer: Peer, now: float) -> bool:
    """Report whether a peer was heard of late."""
    return peer.incarnation != 0 and now - peer.heard_at < PEER_TIMEOUT_S


def find_rank(instance: Instance, now: float) -> int:
    """Return this instance's place among those that are heard and stay.

    The widest links come first, then the names decide.
    """
    staying = [p for p in list_live_peers(instance, now) if not p.is_leaving]
    own = (-instance.site.link_mbps, instance.site.instance)
    return sum((-peer.link_mbps, peer.instance) < own for peer in staying)


def list_unconfirmed_peers(instance: Instance, now: float) -> list[Peer]:
    """Return the silent peers that may only not know of this instance yet."""
    return [
        peer
        for peer in instance.peer_by_address.values()
        if not is_peer_live(peer, now) and is_worth_contacting(instance, peer, now)
    ]


def choose_receivers(instance: Instance, now: float) -> list[tuple[Peer, bool]]:
    """Return the peers that a message goes to, and which of them pass it on.

    A peer that has not been heard is told directly, so that it hears of this one.
    """
    receivers = [(peer, False) for peer in list_unconfirmed_peers(instance, now)]
    heard_by_zone: dict[str, list[Peer]] = defaultdict(list)
    for peer in list_live_peers(instance, now):
        if peer.zone == instance.site.zone:
            receivers.append((peer, False))
        else:
            heard_by_zone[peer.zone].append(peer)
    for peers in heard_by_zone.values():
        relay = min(peers, key=lambda p: (p.is_leaving, _relay_score(instance, p)))
        receivers.append((relay, len(peers) > 1))
    return receivers


def _relay_score(instance: Instance, peer: Peer) -> int:
    """Spread the relaying of many senders over the peers of a zone."""
    return zlib.crc32(f"{instance.site.instance}/{peer.instance}".encode())


def is_worth_contacting(instance: Instance, peer: Peer, now: float) -> bool:
    """Report whether a silent peer may only not know of this instance yet."""
    is_young = now - instance.started_at < PEER_REMOVAL_S
    return is_young or now - peer.heard_at < PEER_REMOVAL_S / 2


def remove_dead_peers(instance: Instance, now: float) -> None:
    """Close the connections to peers that are gone for good, but for the seeds."""
    seeds = {(seed.host, seed.port) for seed in instance.site.seeds}
    for address, peer in list(instance.peer_by_address.items()):
        if now - peer.heard_at > PEER_REMOVAL_S and address not in seeds:
            if peer.link is not None:
                peer.link.socket.close()
            del instance.peer_by_address[address]

"""Track the other instances and send them messages."""

from __future__ import annotations

import logging
import time
import zlib
from collections import defaultdict

import curio

from catkintrack.transport import connect_link

from .state import Instance, Peer

logger = logging.getLogger(__name__)

PEER_TIMEOUT_S = 1.5
PEER_REMOVAL_S = 15.0
# Longer than a link pauses before it connects again.
CONNECT_WAIT_S = 0.6
CONNECT_CHECK_S = 0.02


def get_or_add_peer(
    instance: Instance, name: str, zone: str, host: str, port: int
) -> Peer | None:
    """Return the peer at an address, adding it if new; None for the own address."""
    if (host, port) == (instance.site.mesh.host, instance.site.mesh.port):
        return None
    peer = instance.peer_by_address.get((host, port))
    if peer is None:
        peer = Peer(name, zone, host, port)
        peer.heard_at = time.monotonic() - PEER_TIMEOUT_S
        instance.peer_by_address[(host, port)] = peer
    return peer


async def send_to(instance: Instance, peer: Peer, data: bytes) -> bool:
    """Send an encoded message to a peer, connecting first if necessary.

    Return False if it was dropped, which includes the first message on a new link.
    """
    if peer.link is None:

        async def ignore(identity: bytes, data: bytes) -> None:
            return None

        peer.link = connect_link(
            instance.context, None, b"", peer.host, peer.port, ignore
        )
    return await peer.link.send(data)


async def send_when_connected(instance: Instance, peer: Peer, data: bytes) -> None:
    """Send a message that nothing repeats, in the background if the link has to connect."""
    if not await send_to(instance, peer, data):
        await curio.spawn(_send_after_connecting, instance, peer, data, daemon=True)


async def _send_after_connecting(instance: Instance, peer: Peer, data: bytes) -> None:
    ends_at = time.monotonic() + CONNECT_WAIT_S
    while time.monotonic() < ends_at:
        await curio.sleep(CONNECT_CHECK_S)
        if await send_to(instance, peer, data):
            return
    logger.info("message to a peer dropped", extra={"peer": peer.instance})


def list_live_peers(instance: Instance, now: float) -> list[Peer]:
    """Return the peers that were heard from within PEER_TIMEOUT_S."""
    return [p for p in instance.peer_by_address.values() if is_peer_live(p, now)]


def is_peer_live(peer: Peer, now: float) -> bool:
    """Report whether a peer was heard from within PEER_TIMEOUT_S."""
    return peer.incarnation != 0 and now - peer.heard_at < PEER_TIMEOUT_S


def list_limit_sharers(instance: Instance, now: float) -> list[Peer]:
    """Return the peers that may send requests to replicas now.

    A silent peer may be slow or badly connected and go on serving; a stopping one
    serves until it ends.
    """
    return [
        peer
        for peer in instance.peer_by_address.values()
        if is_peer_live(peer, now)
        or peer.incarnation != 0
        and not peer.is_leaving
        and now - peer.heard_at < PEER_REMOVAL_S
    ]


def find_rank(instance: Instance, now: float) -> int:
    """Return this instance's rank among the live instances that are not leaving.

    Instances rank by link speed, the fastest first, then by name.
    """
    remaining = [p for p in list_live_peers(instance, now) if not p.is_leaving]
    own = (-instance.site.link_mbps, instance.site.instance)
    return sum((-peer.link_mbps, peer.instance) < own for peer in remaining)


def list_unconfirmed_peers(instance: Instance, now: float) -> list[Peer]:
    """Return the silent peers that may not know this instance yet."""
    return [
        peer
        for peer in instance.peer_by_address.values()
        if not is_peer_live(peer, now) and is_worth_contacting(instance, peer, now)
    ]


def choose_receivers(instance: Instance, now: float) -> list[tuple[Peer, bool]]:
    """Return the receivers of a message, and whether each relays it in its zone.

    An unconfirmed peer gets the message directly, so that it learns of this instance.
    """
    receivers = [(peer, False) for peer in list_unconfirmed_peers(instance, now)]
    live_by_zone: dict[str, list[Peer]] = defaultdict(list)
    for peer in list_live_peers(instance, now):
        if peer.zone == instance.site.zone:
            receivers.append((peer, False))
        else:
            live_by_zone[peer.zone].append(peer)
    for peers in live_by_zone.values():
        relay = min(peers, key=lambda p: (p.is_leaving, _relay_score(instance, p)))
        receivers.append((relay, len(peers) > 1))
    return receivers


def _relay_score(instance: Instance, peer: Peer) -> int:
    """Return a score that spreads the senders' relays over the peers of a zone."""
    return zlib.crc32(f"{instance.site.instance}/{peer.instance}".encode())


def is_worth_contacting(instance: Instance, peer: Peer, now: float) -> bool:
    """Report whether a silent peer may not know this instance yet.

    That holds while this process is young, or if the peer fell silent only recently.
    """
    is_young = now - instance.started_at < PEER_REMOVAL_S
    return is_young or now - peer.heard_at < PEER_REMOVAL_S / 2


def remove_dead_peers(instance: Instance, now: float) -> None:
    """Remove the peers that were silent for PEER_REMOVAL_S, except the seeds."""
    seeds = {(seed.host, seed.port) for seed in instance.site.seeds}
    for address, peer in list(instance.peer_by_address.items()):
        if now - peer.heard_at > PEER_REMOVAL_S and address not in seeds:
            if peer.link is not None:
                peer.link.socket.close()
            del instance.peer_by_address[address]

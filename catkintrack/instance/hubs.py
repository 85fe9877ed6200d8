"""Pass messages between the peers of a large fleet through one hub a zone.

Told directly, each message would wake each instance by itself, so that what an instance
spends on its peers would grow with the fleet.  A hub gathers what its zone says for a
moment and passes it on in one batch to its zone, and once to the hub of each other zone.
Any instance serves as hub for whoever picks it; a hub that falls silent is replaced.
"""

from __future__ import annotations

import logging
import zlib

from catkintrack.fleet import Site

from .messages import Batch, BatchedMessage, HubRelay, encode_peer_message
from .peers import list_live_peers, send_to
from .state import Instance, Peer

logger = logging.getLogger(__name__)

# Up to here each peer is told directly, which is the quickest.
HUB_MIN_PEERS = 16
# As long as a message may wait for others.  A prefill takes some hundred milliseconds,
# and a message crosses two hubs at most.
BATCH_INTERVAL_S = 0.05
# A hub passes on the news of its zone many times a second.  Its successor is at work
# before the peers whose news it lost count as silent.
HUB_TIMEOUT_S = 0.7
HUB_EXCLUSION_S = 5.0
# All start at once, connect to all others and hear them within this.
JOIN_S = 4.0


def has_hubs(instance: Instance) -> bool:
    """Report whether the fleet is too large to tell each peer directly."""
    return len(instance.peer_by_address) > HUB_MIN_PEERS


def rank_hub_candidates(instance: Instance, zone: str, now: float) -> list[Peer | None]:
    """Return who may be a zone's hub, best first; None stands for oneself."""
    peers = [p for p in list_live_peers(instance, now) if p.zone == zone]
    candidates: list[Peer | None] = [p for p in peers if not p.is_leaving]
    if zone == instance.site.zone and not instance.is_stopping:
        candidates.append(None)
    site = instance.site

    def order(peer: Peer | None) -> tuple[bool, float, int]:
        """Put those that serve first, then the widest links: a hub sends much."""
        link_mbps = site.link_mbps if peer is None else peer.link_mbps
        name = site.instance if peer is None else peer.instance
        return _is_deprioritized(site, peer, now), -link_mbps, zlib.crc32(name.encode())

    return sorted(candidates, key=order)


def _is_deprioritized(site: Site, peer: Peer | None, now: float) -> bool:
    """Report whether others of the zone go first.

    In the own zone that is a hub that fell silent.  Of another zone, whoever sends its
    batches serves as its hub; two hubs that each waited for the other's batches would
    never choose each other.
    """
    if peer is None:
        return False
    if peer.zone == site.zone:
        return peer.hub_excluded_until > now
    return now - peer.last_batch_at > HUB_TIMEOUT_S


def find_hub(instance: Instance, zone: str, now: float) -> Peer | None:
    """Return a zone's hub; None for oneself, or where nobody is heard."""
    candidates = rank_hub_candidates(instance, zone, now)
    return candidates[0] if candidates else None


def is_hub(instance: Instance, now: float) -> bool:
    """Report whether this instance is its own zone's hub."""
    return has_hubs(instance) and find_hub(instance, instance.site.zone, now) is None


def is_joining_fleet(instance: Instance, now: float) -> bool:
    """Report whether a process has just started and may not know its hub yet."""
    return has_hubs(instance) and now - instance.started_at < JOIN_S


def has_watching_hub(instance: Instance, now: float) -> bool:
    """Report whether another instance follows the store for this zone."""
    if not has_hubs(instance):
        return False
    hub = find_hub(instance, instance.site.zone, now)
    return hub is not None and hub.is_store_heard and hub.hub_excluded_until <= now


async def send_via_hub(instance: Instance, data: bytes, now: float) -> None:
    """Give a message to the hub of one's own zone."""
    origin = instance.site.instance
    hub = find_hub(instance, instance.site.zone, now)
    if hub is None:
        queue_for_batch(instance, BatchedMessage(origin, data), is_for_fleet=True)
    else:
        await send_to(instance, hub, encode_peer_message(HubRelay(origin, data)))


def queue_for_batch(
    instance: Instance, message: BatchedMessage, is_for_fleet: bool
) -> None:
    """Keep a message for the next batch to the zone, and to the fleet."""
    instance.batch_queue.append((message, is_for_fleet))


async def send_batches(instance: Instance, now: float) -> None:
    """Send one batch to each peer of the zone and to the hub of each other one."""
    batch_queue, instance.batch_queue = instance.batch_queue, []
    if not batch_queue:
        return
    origin = instance.site.instance
    for_zone = tuple(message for message, _ in batch_queue)
    batch = encode_peer_message(Batch(origin, False, for_zone))
    for peer in list_zone_peers(instance, now):
        await send_to(instance, peer, batch)
    for_fleet = tuple(message for message, is_for_fleet in batch_queue if is_for_fleet)
    if not for_fleet:
        return
    batch = encode_peer_message(Batch(origin, True, for_fleet))
    for hub in list_other_hubs(instance, now):
        await send_to(instance, hub, batch)


def list_zone_peers(instance: Instance, now: float) -> list[Peer]:
    """Return the peers of the own zone that a batch goes to."""
    heard = list_live_peers(instance, now)
    return [peer for peer in heard if peer.zone == instance.site.zone]


def list_other_hubs(instance: Instance, now: float) -> list[Peer]:
    """Return the hub of each other zone in which somebody is heard."""
    zones = {peer.zone for peer in list_live_peers(instance, now)} - {
        instance.site.zone
    }
    hubs = [find_hub(instance, zone, now) for zone in sorted(zones)]
    return [hub for hub in hubs if hub is not None]


def exclude_silent_hub(instance: Instance, now: float) -> str | None:
    """Pass over the own zone's hub if it was relied on and sent nothing; name it."""
    hub = find_hub(instance, instance.site.zone, now)
    name, since = instance.followed_hub
    if hub is None or hub.instance != name:
        chosen = hub.instance if hub else ""
        if chosen != name:
            logger.info("hub chosen", extra={"peer": chosen or instance.site.instance})
        instance.followed_hub = (chosen, now)
        return None
    if now - max(since, hub.last_batch_at) <= HUB_TIMEOUT_S:
        return None
    hub.hub_excluded_until = now + HUB_EXCLUSION_S
    return hub.instance

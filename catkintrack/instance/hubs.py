"""Relay messages in a large fleet through one hub per zone.

Sent directly, each message would wake each instance separately, and the cost of peers
to an instance would grow with the fleet.  A hub queues the messages of its zone for a
short time and sends them in one batch to its zone and to the hub of each other zone.
Any instance serves as hub for the peers that choose it; a silent hub is replaced.

Some hubs also watch the store for the whole fleet, so that the number of its calls does
not grow with the zones.
"""

from __future__ import annotations

import logging
import zlib

from catkintrack.fleet import Site

from .messages import Batch, BatchedMessage, HubRelay, encode_peer_message
from .peers import list_live_peers, send_to
from .state import Instance, Peer

logger = logging.getLogger(__name__)

# Up to this many peers, messages go to each directly, which has the lowest latency.
HUB_MIN_PEERS = 16
# Longest wait of a message for its batch.  A message crosses two hubs at most, and a
# prefill, which it may announce, takes some hundred milliseconds.
BATCH_INTERVAL_S = 0.05
# A hub relays the gossip of its zone many times a second.  If it falls silent, its
# successor takes over before the peers whose gossip was lost reach PEER_TIMEOUT_S.
HUB_TIMEOUT_S = 0.7
HUB_EXCLUSION_S = 5.0
# Hubs that watch the store for the fleet.  With two, the fleet still hears of changes
# while one is cut off from the store and has not noticed.
READER_COUNT = 2
# Instances that start at once have connected to and heard from all others after this.
JOIN_S = 4.0


def has_hubs(instance: Instance) -> bool:
    """Report whether the fleet is too large to send to each peer directly."""
    return len(instance.peer_by_address) > HUB_MIN_PEERS


def rank_hub_candidates(instance: Instance, zone: str, now: float) -> list[Peer | None]:
    """Return the candidates for a zone's hub, best first; None is this instance."""
    peers = [p for p in list_live_peers(instance, now) if p.zone == zone]
    candidates: list[Peer | None] = [p for p in peers if not p.is_leaving]
    if zone == instance.site.zone and not instance.is_stopping:
        candidates.append(None)
    site = instance.site

    def sort_key(peer: Peer | None) -> tuple[bool, float, int]:
        """Sort deprioritized ones last, then by link speed, because a hub sends much."""
        link_mbps = site.link_mbps if peer is None else peer.link_mbps
        name = site.instance if peer is None else peer.instance
        return _is_deprioritized(site, peer, now), -link_mbps, zlib.crc32(name.encode())

    return sorted(candidates, key=sort_key)


def _is_deprioritized(site: Site, peer: Peer | None, now: float) -> bool:
    """Report whether a candidate comes after the zone's other candidates.

    In the own zone this holds for a hub that went silent.  In another zone it holds for
    each peer that sends no batches, because the one that sends them is the hub.  If
    silent hubs were excluded there too, two hubs that each wait for the other's batches
    would never choose each other.
    """
    if peer is None:
        return False
    if peer.zone == site.zone:
        return peer.hub_excluded_until > now
    return now - peer.last_batch_at > HUB_TIMEOUT_S


def find_hub(instance: Instance, zone: str, now: float) -> Peer | None:
    """Return a zone's hub; None if it is this instance or the zone has no live peer."""
    candidates = rank_hub_candidates(instance, zone, now)
    return candidates[0] if candidates else None


def is_hub(instance: Instance, now: float) -> bool:
    """Report whether this instance is the hub of its zone."""
    return has_hubs(instance) and find_hub(instance, instance.site.zone, now) is None


def is_joining_fleet(instance: Instance, now: float) -> bool:
    """Report whether this process started so recently that it may not know its hub."""
    return has_hubs(instance) and now - instance.started_at < JOIN_S


def has_watching_hub(instance: Instance, now: float) -> bool:
    """Report whether other instances watch the store for this one."""
    if not has_hubs(instance):
        return False
    hub = find_hub(instance, instance.site.zone, now)
    if hub is None:
        return len(_list_readers_before(instance, now)) >= READER_COUNT
    if hub.hub_excluded_until > now:
        return False
    return hub.is_store_heard or any(
        peer.is_store_heard for peer in list_live_peers(instance, now)
    )


def _list_readers_before(instance: Instance, now: float) -> list[Peer]:
    """Return the other zones' hubs that watch the store and rank before this hub.

    The order is the same at all hubs, so two of them never wait for each other.
    """
    own = _rank_reader(instance.site.link_mbps, instance.site.instance)
    return [
        hub
        for hub in list_other_hubs(instance, now)
        if hub.is_store_heard
        and now - hub.last_batch_at <= HUB_TIMEOUT_S
        and _rank_reader(hub.link_mbps, hub.instance) < own
    ]


def _rank_reader(link_mbps: float, name: str) -> tuple[float, int, str]:
    return -link_mbps, zlib.crc32(name.encode()), name


async def send_via_hub(instance: Instance, data: bytes, now: float) -> None:
    """Send a message through the hub of the own zone."""
    origin = instance.site.instance
    hub = find_hub(instance, instance.site.zone, now)
    if hub is None:
        queue_for_batch(instance, BatchedMessage(origin, data), is_for_fleet=True)
    else:
        await send_to(instance, hub, encode_peer_message(HubRelay(origin, data)))


def queue_for_batch(
    instance: Instance, message: BatchedMessage, is_for_fleet: bool
) -> None:
    """Queue a message for the next batch to the zone, or to the whole fleet."""
    instance.batch_queue.append((message, is_for_fleet))


async def send_batches(instance: Instance, now: float) -> None:
    """Send the queue as one batch to each peer of the zone and each other zone's hub."""
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
    """Return the live peers of the own zone."""
    live = list_live_peers(instance, now)
    return [peer for peer in live if peer.zone == instance.site.zone]


def list_other_hubs(instance: Instance, now: float) -> list[Peer]:
    """Return the hub of each other zone that has a live peer."""
    zones = {peer.zone for peer in list_live_peers(instance, now)} - {
        instance.site.zone
    }
    hubs = [find_hub(instance, zone, now) for zone in sorted(zones)]
    return [hub for hub in hubs if hub is not None]


def exclude_silent_hub(instance: Instance, now: float) -> str | None:
    """Exclude the own zone's hub if it sent no batch in time, and return its name."""
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

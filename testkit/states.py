"""Build instance state and gossip messages for tests, without sockets."""

from __future__ import annotations

from random import Random
from typing import Any

from catkintrack.http import Pool
from catkintrack.instance.eras import follow_eras
from catkintrack.instance.messages import (
    GossipMessage,
    PeerMessage,
    decode_peer_message,
)
from catkintrack.instance.metrics import make_instance_metrics
from catkintrack.instance.state import Instance
from catkintrack.leases import Lease
from catkintrack.platform import StoreClient, decode_site
from catkintrack.pooling import PooledLimits

from .instances import SETTINGS_LINES


def make_instance() -> Instance:
    """Return an instance that has its site settings and no other state."""
    site = decode_site(SETTINGS_LINES).unwrap()
    instance = Instance(
        site=site,
        incarnation=1,
        started_at=0.0,
        context=None,
        store=StoreClient(site.store),
        pool=Pool(),
        rng=Random(1),
        metrics=make_instance_metrics(),
        limits=PooledLimits(0.0, 0.0),
        lease=Lease("n1", 1, 3.0),
    )
    follow_eras(instance)
    return instance


def make_gossip(**changes: Any) -> GossipMessage:
    """Return a full gossip message of peer n2, with `changes` to its fields."""
    fields: dict[str, Any] = {
        "instance": "n2",
        "zone": "z1",
        "incarnation": 5,
        "host": "127.0.0.1",
        "port": 9000,
        "is_store_heard": True,
        "is_leaving": False,
        "is_full": True,
        "is_asking": False,
        "link_mbps": 1000.0,
        "peers": (),
        "config_revision": 7,
        "upstreams_revision": 9,
        "named_weights": {},
        "version_by_upstream": {},
        "used_by_workspace": {},
        "level_by_workspace": {},
        "in_flight_by_upstream": {},
        "lease": None,
    }
    return GossipMessage(**(fields | changes))


class RecordingLink:
    """Record the messages that are sent to a peer."""

    def __init__(self) -> None:
        self.sent: list[PeerMessage] = []

    async def send(self, data: bytes) -> bool:
        """Decode and record a message; always succeeds."""
        self.sent.append(decode_peer_message(data))
        return True

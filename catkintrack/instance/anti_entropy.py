"""Pull newer configuration and discovery entries from peers (anti-entropy).

A discovery entry is the store's object for one upstream.
"""

from __future__ import annotations

import time

from catkintrack.platform import CONFIG_KIND, UPSTREAM_KIND, observe_era

from .config_history import merge_superseded
from .config_state import apply_configuration
from .feeds import is_current, make_stored_config, make_stored_upstreams
from .fleet_state import (
    LAPSE_GRACE_S,
    apply_upstream,
    apply_upstreams,
    remove_upstreams,
)
from .gossip import STORE_STALENESS_S
from .messages import (
    GossipMessage,
    Pull,
    StoredConfig,
    StoredUpstreams,
    UpstreamsChanged,
    encode_peer_message,
)
from .peers import get_or_add_peer, send_when_connected
from .state import ConfigStamp, Feed, Instance, Peer

# Long enough for a few batches of the hub, one of which may carry the change.
PULL_DELAY_S = 0.3


async def pull_newer(
    instance: Instance, peer: Peer, gossip: GossipMessage, now: float
) -> None:
    """Request the configuration or discovery entries if a peer has newer ones."""
    held = instance.held_config
    is_same = held.stamp != ConfigStamp() and held.stamp == gossip.replaced_config
    held.is_copied = held.is_copied or is_same
    if (gossip.config_era, gossip.config_revision) == instance.config_stamp:
        history, spec = instance.config_history, instance.config_spec
        merge_superseded(history, gossip.superseded_configs, spec)
    wants_config = _may_be_newer(instance, gossip)
    wants_config = wants_config and _is_pull_due(instance, CONFIG_KIND, now)
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    known = (feed.era, feed.changed_revision) if feed else (0, 0)
    offered = (gossip.upstreams_era, gossip.upstreams_revision)
    # An instance without any entries accepts a stale list; any other keeps its own.
    wants_upstreams = (
        (gossip.is_store_heard or not known[1])
        and offered > known
        and not is_current(feed, now, STORE_STALENESS_S)
        and _is_pull_due(instance, UPSTREAM_KIND, now)
    )
    for kind, is_wanted in (
        (CONFIG_KIND, wants_config),
        (UPSTREAM_KIND, wants_upstreams),
    ):
        if is_wanted:
            instance.metrics.pulls.inc({"kind": kind})
    if wants_config or wants_upstreams:
        mesh = instance.site.mesh
        pull = Pull(mesh.host, mesh.port, wants_config, wants_upstreams)
        await send_when_connected(instance, peer, encode_peer_message(pull))


def _may_be_newer(instance: Instance, gossip: GossipMessage) -> bool:
    """Report whether a peer's configuration may be newer than the one in force."""
    offered = ConfigStamp(gossip.config_era, gossip.config_revision)
    known = instance.config_stamp
    held = instance.held_config
    if offered == held.stamp and not gossip.is_config_written:
        return False
    if offered.era >= known.era:
        return offered > known
    # The peer has found that the one in force comes from a copy of the store.
    is_replaced = ConfigStamp(*gossip.replaced_config) == known
    return offered.era > 0 and is_replaced and not instance.is_config_written


def _is_pull_due(instance: Instance, kind: str, now: float) -> bool:
    """Report whether to pull a kind now; the hub first has PULL_DELAY_S to send it."""
    feed = instance.feed_by_kind.get(kind)
    if feed is None or not feed.is_delegated:
        return True
    if feed.stale_since is None:
        feed.stale_since = now
    # Another peer is asked only if this one does not answer within the delay.
    if now - max(feed.stale_since, feed.pulled_at) < PULL_DELAY_S:
        return False
    feed.pulled_at = now
    return True


async def handle_pull(instance: Instance, pull: Pull) -> None:
    """Send a peer the configuration or discovery entries that it requests."""
    peer = get_or_add_peer(instance, "", "", pull.host, pull.port)
    if peer is None:
        return
    if pull.wants_config and instance.config is not None:
        message = make_stored_config(instance)
        await send_when_connected(instance, peer, encode_peer_message(message))
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    if pull.wants_upstreams and feed is not None:
        answer = make_stored_upstreams(instance, feed)
        await send_when_connected(instance, peer, encode_peer_message(answer))


async def handle_stored_config(instance: Instance, message: StoredConfig) -> None:
    """Apply a configuration from a peer if it is newer."""
    observe_era(instance.store, message.era, "peer")
    known_stamp = instance.config_stamp
    is_applied = apply_configuration(
        instance,
        message.revision,
        message.spec,
        "peer",
        message.era,
        message.is_written,
        ConfigStamp(*message.replaced),
    )
    feed = instance.feed_by_kind.get(CONFIG_KIND)
    if is_applied:
        history = instance.config_history
        merge_superseded(history, message.superseded, message.spec)
    if feed is not None and instance.config_stamp > known_stamp:
        feed.stale_since = None


async def handle_stored_upstreams(instance: Instance, message: StoredUpstreams) -> None:
    """Apply a peer's full list of discovery entries if it is newer."""
    observe_era(instance.store, message.era, "peer")
    now = time.monotonic()
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    if feed is None or is_current(feed, now, STORE_STALENESS_S):
        return
    if (message.era, message.revision) > (feed.era, feed.changed_revision):
        _record_peer_update(feed, message.era, message.revision)
        apply_upstreams(instance, message.spec_by_id, now)


async def handle_upstream_changes(
    instance: Instance, message: UpstreamsChanged
) -> None:
    """Apply changes from the hub, unless earlier ones are missing; a pull gets those.

    In an era whose list is missing, all earlier ones are.
    """
    observe_era(instance.store, message.era, "peer")
    now = time.monotonic()
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    if feed is None or is_current(feed, now, STORE_STALENESS_S):
        return
    is_next = message.since <= feed.changed_revision < message.revision
    if message.era != feed.era or not is_next:
        return
    lapse_grace_s = LAPSE_GRACE_S if message.may_have_lapsed else 0.0
    remove_upstreams(instance, message.gone, now, lapse_grace_s)
    for id, spec in message.spec_by_id.items():
        apply_upstream(instance, id, spec, now)
    _record_peer_update(feed, message.era, message.revision)


def _record_peer_update(feed: Feed, era: int, revision: int) -> None:
    """Record that all changes up to a revision were received from a peer."""
    feed.revision = max(feed.revision, revision) if era == feed.era else revision
    feed.era = era
    feed.changed_revision = revision
    feed.stale_since = None

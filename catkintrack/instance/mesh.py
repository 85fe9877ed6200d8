"""Receive the messages of the other instances and gossip with them."""

from __future__ import annotations

import logging
import time

import curio
import msgspec

from catkintrack.decisions.cache_store import (
    add_stored_blocks,
    clear_stored_blocks,
    find_store,
    remove_stored_blocks,
)
from catkintrack.decisions.fleet_shares import record_peer_total
from catkintrack.decisions.named_limits import confirm_limits
from catkintrack.decisions.scheduler import record_remote_prefill
from catkintrack.fleet import ModelWeights
from catkintrack.leases import LeaseRecord, observe_fencing, observe_record
from catkintrack.platform import observe_era
from catkintrack.pooling import (
    adopt_level,
    compute_report_delay_s,
    forget_peer_usage,
    record_peer_usage,
)
from catkintrack.processes import run_restarting
from catkintrack.transport import bind_link

from .anti_entropy import (
    handle_pull,
    handle_stored_config,
    handle_stored_upstreams,
    handle_upstream_changes,
    pull_newer,
)
from .brittle_replicas import apply_gossiped_brittleness
from .clocks import read_boot_clock
from .fleet_state import (
    apply_replica_weights,
    apply_target_weights,
    record_load_result,
)
from .gossip import make_gossip, send_gossip
from .hubs import (
    BATCH_INTERVAL_S,
    exclude_silent_hub,
    has_hubs,
    is_hub,
    queue_for_batch,
    send_batches,
)
from .messages import (
    Batch,
    BatchedMessage,
    CacheStoreChanged,
    CacheStoreCleared,
    GossipMessage,
    HubRelay,
    LoadBegun,
    LoadEnded,
    PartsServed,
    PrefillBegun,
    PrefillEnded,
    Pull,
    ReplicaLost,
    RolloutNews,
    StoredConfig,
    StoredUpstreams,
    UpstreamsChanged,
    ZoneRelay,
    decode_peer_message,
    encode_peer_message,
)
from .peers import (
    get_or_add_peer,
    is_peer_live,
    list_live_peers,
    remove_dead_peers,
    send_to,
    send_when_connected,
)
from .quarantining import (
    adopt_gossiped_quarantine,
    handle_parts_served,
    handle_replica_lost,
)
from .replica_loads import apply_gossiped_loads, apply_prefill_ended
from .rollout_news import handle_rollout_news, send_rollout_news
from .state import Instance, Peer

logger = logging.getLogger(__name__)

GOSSIP_INTERVAL_S = 0.25
# Beyond this many peers the interval grows in proportion to them, but stays below half
# of PEER_TIMEOUT_S.
GOSSIP_BASE_PEERS = 16
GOSSIP_INTERVAL_MAX_S = 0.5
# Time of a message between two instances, with its processing.
TRANSIT_S = 0.05


async def run_mesh(instance: Instance) -> None:
    """Receive messages from peers and gossip with them, until cancelled."""
    site = instance.site

    async def handle_message(identity: bytes, data: bytes) -> None:
        await _handle_message(instance, data)

    link = bind_link(
        instance.context, None, site.mesh.host, site.mesh.port, handle_message
    )
    await curio.spawn(run_restarting, link.run, daemon=True)
    await curio.spawn(run_restarting, _run_hub, instance, daemon=True)
    for seed in site.seeds:
        get_or_add_peer(instance, "", "", seed.host, seed.port)
    await run_restarting(_run_gossip, instance)


async def _run_gossip(instance: Instance) -> None:
    while True:
        await send_gossip(instance)
        await send_rollout_news(instance)
        await curio.sleep(choose_gossip_interval_s(instance))
        remove_dead_peers(instance, time.monotonic())


def choose_gossip_interval_s(instance: Instance) -> float:
    """Return the seconds until the next gossip message."""
    scale = max(1.0, len(instance.peer_by_address) / GOSSIP_BASE_PEERS)
    return min(GOSSIP_INTERVAL_MAX_S, GOSSIP_INTERVAL_S * scale)


def estimate_report_delay_s(instance: Instance) -> float:
    """Return the seconds until all peers know of the usage of a call."""
    relay_s = 2 * BATCH_INTERVAL_S if has_hubs(instance) else 0.0
    return compute_report_delay_s(
        choose_gossip_interval_s(instance), relay_s + TRANSIT_S
    )


async def _run_hub(instance: Instance) -> None:
    """Send the queued batches and replace a silent hub, until cancelled."""
    while True:
        await curio.sleep(BATCH_INTERVAL_S)
        now = time.monotonic()
        silent_hub = exclude_silent_hub(instance, now) if has_hubs(instance) else None
        if silent_hub:
            logger.warning("hub silent", extra={"peer": silent_hub})
            await send_gossip(instance)
        await send_batches(instance, now)


async def _handle_message(instance: Instance, data: bytes) -> None:
    try:
        message = decode_peer_message(data)
    except (msgspec.DecodeError, RecursionError) as error:
        logger.warning("invalid message from a peer", extra={"reason": str(error)})
        return
    try:
        await _HANDLER_BY_TYPE[type(message)](instance, message)
    except Exception:
        # What one message holds must not end the task that receives all of them.
        logger.exception("message failed", extra={"type": type(message).__name__})


async def _handle_zone_relay(instance: Instance, message: ZoneRelay) -> None:
    """Relay a message to the peers of the own zone, and handle it."""
    now = time.monotonic()
    for peer in list_live_peers(instance, now):
        if peer.zone == instance.site.zone:
            await send_to(instance, peer, message.data)
    await _handle_message(instance, message.data)


async def _handle_hub_relay(instance: Instance, message: HubRelay) -> None:
    """As a hub, queue a message for the zone and the fleet, and handle it."""
    queued = BatchedMessage(message.origin, message.data)
    queue_for_batch(instance, queued, is_for_fleet=True)
    await _handle_message(instance, message.data)


async def _handle_batch(instance: Instance, batch: Batch) -> None:
    """Handle the messages of a batch; as a hub, queue them for the own zone."""
    now = time.monotonic()
    for peer in list_live_peers(instance, now):
        if peer.instance == batch.hub:
            peer.last_batch_at = now
    for message in batch.messages:
        if batch.is_for_hub:
            queue_for_batch(instance, message, is_for_fleet=False)
        if message.origin != instance.site.instance:
            await _handle_message(instance, message.data)


async def _handle_gossip(instance: Instance, gossip: GossipMessage) -> None:
    now = time.monotonic()
    peer = get_or_add_peer(
        instance, gossip.instance, gossip.zone, gossip.host, gossip.port
    )
    if peer is None:
        return
    if gossip.incarnation < peer.incarnation:
        if is_peer_live(peer, now):
            return
        # The time of day, from which incarnations are made, was set back meanwhile.
        forget_peer_usage(instance.limits, gossip.instance)
    if peer.incarnation != gossip.incarnation:
        logger.info("peer heard", extra={"peer": gossip.instance})
        peer.in_flight_by_upstream = {}
        await _send_full_state(instance, gossip, peer, now)
    peer.instance = gossip.instance
    peer.zone = gossip.zone
    peer.incarnation = gossip.incarnation
    peer.heard_at = now
    peer.is_leaving = gossip.is_leaving
    peer.link_mbps = gossip.link_mbps
    peer.is_store_heard = gossip.is_store_heard
    peer.callers_port = gossip.callers_port
    peer.is_cut_off = gossip.is_cut_off
    in_flight = peer.in_flight_by_upstream | gossip.in_flight_by_upstream
    peer.in_flight_by_upstream = {id: count for id, count in in_flight.items() if count}
    for row in gossip.peers:
        get_or_add_peer(instance, row.instance, row.zone, row.host, row.port)
    observe_era(instance.store, gossip.era, gossip.instance)
    _apply_gossiped_state(instance, gossip, now)
    apply_gossiped_loads(instance, gossip.load_by_upstream, now)
    confirm_limits(instance.decisions.named_limits, gossip.limited_upstreams, now)
    apply_gossiped_brittleness(
        instance, gossip.max_rejected_by_brittle, gossip.rejecting_brittle, now
    )
    await adopt_gossiped_quarantine(instance, gossip)
    await pull_newer(instance, peer, gossip, now)


async def _send_full_state(
    instance: Instance, gossip: GossipMessage, peer: Peer, now: float
) -> None:
    """Send the full state to a process that has just started.

    If it asks for the state, every peer that receives its gossip sends it.  Otherwise
    the peers of its zone do, in a large fleet only the hubs.
    """
    if has_hubs(instance):
        is_responsible = is_hub(instance, now)
    else:
        is_responsible = not gossip.peers or gossip.zone == instance.site.zone
    if gossip.is_asking or is_responsible:
        full = make_gossip(instance, now, True)
        await send_when_connected(instance, peer, encode_peer_message(full))


def _apply_gossiped_state(
    instance: Instance, gossip: GossipMessage, now: float
) -> None:
    for model, rows in gossip.named_weights.items():
        for version, age_s in rows:
            weights = ModelWeights(model, version)
            apply_target_weights(instance, weights, age_s, now, gossip.instance)
    for id, (model, version) in gossip.version_by_upstream.items():
        apply_replica_weights(instance, id, ModelWeights(model, version), now)
    if gossip.incarnation < instance.incarnation:
        for workspace, level in gossip.level_by_workspace.items():
            adopt_level(instance.limits, workspace, level, now)
    admission = instance.decisions.admission
    for workspace, total in gossip.used_by_workspace.items():
        record_peer_usage(
            instance.limits, gossip.instance, gossip.incarnation, workspace, total, now
        )
        if admission is not None:
            record_peer_total(
                admission.shares,
                gossip.instance,
                gossip.incarnation,
                workspace,
                total,
                now,
            )
    if gossip.lease is not None:
        row = gossip.lease
        observe_era(instance.store, row.era, gossip.instance)
        record = LeaseRecord(
            row.holder, row.incarnation, row.fencing, row.revision, row.era
        )
        observe_fencing(instance.lease, row.highest_fencing)
        observe_record(instance.lease, record, read_boot_clock())


async def _handle_load_begun(instance: Instance, message: LoadBegun) -> None:
    row = instance.decisions.upstream_by_name.get(message.upstream)
    if row is not None and row.weights_version < message.version:
        row.loading_until = time.monotonic() + message.ready_in_s
        row.load_fencing = message.fencing


async def _handle_load_ended(instance: Instance, message: LoadEnded) -> None:
    weights = ModelWeights(message.model, message.version)
    now = time.monotonic()
    record_load_result(instance, message.upstream, weights, message.fencing, now)


async def _handle_prefill_begun(instance: Instance, message: PrefillBegun) -> None:
    record_remote_prefill(
        instance.decisions,
        message.id,
        message.upstream,
        message.blocks,
        message.tokens,
        message.priority,
        time.monotonic(),
        message.held_tokens,
        message.max_tokens,
    )


async def _handle_prefill_ended(instance: Instance, message: PrefillEnded) -> None:
    now = time.monotonic()
    apply_prefill_ended(instance, message, now)
    store = find_store(instance.decisions, message.store)
    if store is not None:
        add_stored_blocks(store, message.version, message.kept)


async def _handle_cache_store_cleared(
    instance: Instance, message: CacheStoreCleared
) -> None:
    store = find_store(instance.decisions, message.store)
    if store is not None:
        clear_stored_blocks(store)
        store.is_absent = message.is_absent


async def _handle_cache_store_changed(
    instance: Instance, message: CacheStoreChanged
) -> None:
    store = find_store(instance.decisions, message.store)
    if store is not None:
        apply_change = add_stored_blocks if message.is_stored else remove_stored_blocks
        apply_change(store, message.version, message.blocks)
        if message.incarnation is not None:
            store.incarnation = message.incarnation
        # Its events have been read, which may show its return.
        store.is_absent = False


_HANDLER_BY_TYPE = {
    GossipMessage: _handle_gossip,
    Pull: handle_pull,
    ZoneRelay: _handle_zone_relay,
    HubRelay: _handle_hub_relay,
    Batch: _handle_batch,
    StoredConfig: handle_stored_config,
    StoredUpstreams: handle_stored_upstreams,
    UpstreamsChanged: handle_upstream_changes,
    LoadBegun: _handle_load_begun,
    LoadEnded: _handle_load_ended,
    PrefillBegun: _handle_prefill_begun,
    PrefillEnded: _handle_prefill_ended,
    ReplicaLost: handle_replica_lost,
    PartsServed: handle_parts_served,
    RolloutNews: handle_rollout_news,
    CacheStoreCleared: _handle_cache_store_cleared,
    CacheStoreChanged: _handle_cache_store_changed,
}

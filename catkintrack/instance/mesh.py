"""Take what the other instances tell."""

from __future__ import annotations

import logging
import time

import curio
import msgspec

from catkintrack.decisions.kept import clear_kept, note_dropped, note_kept
from catkintrack.decisions.systems import (
    note_remote_prefill,
    note_remote_prefill_end,
)
from catkintrack.fleet import ModelWeights
from catkintrack.leases import LeaseRecord, observe_record
from catkintrack.pooling import adopt_level, note_peer_use
from catkintrack.transport import bind_link

from .beliefs import (
    apply_named_weights,
    apply_version,
)
from .clocks import read_boot_clock
from .hearsay import (
    pull_newer,
    take_config,
    take_pull,
    take_upstream_changes,
    take_upstreams,
)
from .hubs import (
    GATHER_S,
    gather,
    has_hubs,
    is_hub,
    mute_silent_hub,
    send_gathered,
)
from .messages import (
    Batch,
    GatheredMessage,
    Handed,
    LoadBegun,
    News,
    PrefillBegun,
    PrefillEnded,
    Pull,
    Relayed,
    StoreChanged,
    StoredConfig,
    StoredUpstreams,
    StoreEmptied,
    UpstreamsChanged,
    decode_peer_message,
    encode_peer_message,
)
from .news import make_news, send_news
from .peers import forget_silent, list_heard, meet_peer, send_to
from .state import Instance, Peer

logger = logging.getLogger(__name__)

NEWS_INTERVAL_S = 0.25
# The interval grows with the fleet, up to less than half of the time after which a
# peer counts as silent.
NEWS_PEERS_AT_BASE = 16
NEWS_INTERVAL_MAX_S = 0.5


async def run_mesh(instance: Instance) -> None:
    """Listen to peers and tell them the news, until cancelled."""
    site = instance.site

    async def take(identity: bytes, data: bytes) -> None:
        await _take(instance, data)

    link = bind_link(instance.context, None, site.mesh.host, site.mesh.port, take)
    await curio.spawn(link.run, daemon=True)
    await curio.spawn(_run_hub, instance, daemon=True)
    for seed in site.seeds:
        meet_peer(instance, "", "", seed.host, seed.port)
    while True:
        await send_news(instance)
        await curio.sleep(choose_news_interval_s(instance))
        forget_silent(instance, time.monotonic())


def choose_news_interval_s(instance: Instance) -> float:
    """Return the seconds until the next news."""
    scale = max(1.0, len(instance.peer_by_address) / NEWS_PEERS_AT_BASE)
    return min(NEWS_INTERVAL_MAX_S, NEWS_INTERVAL_S * scale)


async def _run_hub(instance: Instance) -> None:
    """Send what was gathered and replace a silent hub, until cancelled."""
    while True:
        await curio.sleep(GATHER_S)
        now = time.monotonic()
        silent = mute_silent_hub(instance, now) if has_hubs(instance) else None
        if silent:
            logger.warning("hub silent", extra={"peer": silent})
            await send_news(instance)
        await send_gathered(instance, now)


async def _take(instance: Instance, data: bytes) -> None:
    try:
        message = decode_peer_message(data)
    except msgspec.DecodeError as error:
        logger.warning("unreadable message of a peer", extra={"reason": str(error)})
        return
    await _HANDLER_BY_TYPE[type(message)](instance, message)


async def _take_relayed(instance: Instance, message: Relayed) -> None:
    """Pass a message on to the peers of one's own zone, and take it."""
    now = time.monotonic()
    for peer in list_heard(instance, now):
        if peer.zone == instance.site.zone:
            await send_to(instance, peer, message.data)
    await _take(instance, message.data)


async def _take_handed(instance: Instance, message: Handed) -> None:
    """Serve as hub: keep a message for the zone and the fleet, and take it."""
    gathered = GatheredMessage(message.origin, message.data)
    gather(instance, gathered, is_for_fleet=True)
    await _take(instance, message.data)


async def _take_batch(instance: Instance, batch: Batch) -> None:
    """Take what a hub has gathered, and as a hub pass it on to one's own zone."""
    now = time.monotonic()
    for peer in list_heard(instance, now):
        if peer.instance == batch.hub:
            peer.batch_at = now
    for message in batch.messages:
        if batch.is_for_hub:
            gather(instance, message, is_for_fleet=False)
        if message.origin != instance.site.instance:
            await _take(instance, message.data)


async def _take_news(instance: Instance, news: News) -> None:
    now = time.monotonic()
    peer = meet_peer(instance, news.instance, news.zone, news.host, news.port)
    if peer is None:
        return
    if news.incarnation < peer.incarnation:
        return
    if peer.incarnation < news.incarnation:
        logger.info("peer heard", extra={"peer": news.instance})
        peer.in_flight_by_upstream = {}
        await _welcome(instance, news, peer, now)
    peer.instance = news.instance
    peer.zone = news.zone
    peer.incarnation = news.incarnation
    peer.heard_at = now
    peer.is_leaving = news.is_leaving
    peer.link_mbps = news.link_mbps
    peer.is_store_heard = news.is_store_heard
    peer.in_flight_by_upstream |= news.in_flight_by_upstream
    for row in news.peers:
        meet_peer(instance, row.instance, row.zone, row.host, row.port)
    _take_shared(instance, news, now)
    await pull_newer(instance, peer, news, now)


async def _welcome(instance: Instance, news: News, peer: Peer, now: float) -> None:
    """Tell a process that has just started all that is known.

    Whoever it asks as a seed does, and those of its zone; in a large fleet the hubs.
    """
    if has_hubs(instance):
        is_near = is_hub(instance, now)
    else:
        is_near = not news.peers or news.zone == instance.site.zone
    if news.is_asking or is_near:
        full = make_news(instance, now, True)
        await send_to(instance, peer, encode_peer_message(full))


def _take_shared(instance: Instance, news: News, now: float) -> None:
    for model, rows in news.named_weights.items():
        for version, age_s in rows:
            weights = ModelWeights(model, version)
            apply_named_weights(instance, weights, age_s, now, news.instance)
    for id, (model, version) in news.version_by_upstream.items():
        apply_version(instance, id, ModelWeights(model, version), now)
    for workspace, level in news.level_by_workspace.items():
        adopt_level(instance.limits, workspace, level, now)
    for workspace, total in news.used_by_workspace.items():
        note_peer_use(
            instance.limits, news.instance, news.incarnation, workspace, total
        )
    if news.lease is not None:
        row = news.lease
        record = LeaseRecord(row.holder, row.incarnation, row.fencing, row.revision)
        observe_record(instance.lease, record, read_boot_clock())


async def _take_load(instance: Instance, message: LoadBegun) -> None:
    row = instance.decisions.upstream_by_name.get(message.upstream)
    if row is not None and row.weights_version < message.version:
        row.loading_until = time.monotonic() + message.ready_in_s


async def _take_prefill(instance: Instance, message: PrefillBegun) -> None:
    note_remote_prefill(
        instance.decisions,
        message.id,
        message.upstream,
        message.blocks,
        message.tokens,
        message.priority,
        time.monotonic(),
    )


async def _take_prefill_end(instance: Instance, message: PrefillEnded) -> None:
    now = time.monotonic()
    note_remote_prefill_end(instance.decisions, message.id, message.incarnation, now)
    store = instance.decisions.kept_store
    if store is not None:
        note_kept(store, message.version, message.kept)


async def _take_emptied(instance: Instance, message: StoreEmptied) -> None:
    store = instance.decisions.kept_store
    if store is not None:
        clear_kept(store)


async def _take_changed(instance: Instance, message: StoreChanged) -> None:
    store = instance.decisions.kept_store
    if store is not None:
        note = note_kept if message.is_stored else note_dropped
        note(store, message.version, message.blocks)


_HANDLER_BY_TYPE = {
    News: _take_news,
    Pull: take_pull,
    Relayed: _take_relayed,
    Handed: _take_handed,
    Batch: _take_batch,
    StoredConfig: take_config,
    StoredUpstreams: take_upstreams,
    UpstreamsChanged: take_upstream_changes,
    LoadBegun: _take_load,
    PrefillBegun: _take_prefill,
    PrefillEnded: _take_prefill_end,
    StoreEmptied: _take_emptied,
    StoreChanged: _take_changed,
}

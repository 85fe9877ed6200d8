"""Gossip this instance's state: always the changes, at intervals the full state."""

from __future__ import annotations

import time
from typing import Any

from catkintrack.decisions.brittleness import list_announced, list_rejecting
from catkintrack.decisions.named_limits import list_own_limits
from catkintrack.platform import CONFIG_KIND, UPSTREAM_KIND

from .broadcasting import broadcast
from .feeds import find_replaced_config, is_current
from .messages import GossipMessage, LeaseRow, PeerRow
from .peers import list_live_peers
from .quarantining import make_gossiped_quarantine
from .replica_loads import list_gossiped_loads
from .state import Instance

STORE_STALENESS_S = 1.0
FULL_GOSSIP_INTERVAL_S = 2.0
# Beyond this many peers the interval of full gossip grows in proportion to them.
FULL_GOSSIP_BASE_PEERS = 16
# New target weights are repeated for this long, in case a message is lost.
TARGET_WEIGHTS_RESEND_S = 1.0
MAX_GOSSIPED_EARLIER_VERSIONS = 3


def is_store_heard(instance: Instance, now: float) -> bool:
    """Report whether this instance's own view of the stored configuration is current."""
    feed = instance.feed_by_kind.get(CONFIG_KIND)
    return is_current(feed, now, STORE_STALENESS_S)


async def send_gossip(instance: Instance) -> None:
    """Send gossip to all peers, at intervals with the full state."""
    now = time.monotonic()
    scale = max(1.0, len(instance.peer_by_address) / FULL_GOSSIP_BASE_PEERS)
    is_full = now - instance.full_gossip_at >= FULL_GOSSIP_INTERVAL_S * scale
    if is_full:
        instance.full_gossip_at = now
    await broadcast(instance, make_gossip(instance, now, is_full))


def make_gossip(instance: Instance, now: float, is_full: bool) -> GossipMessage:
    """Return a gossip message with the changes since the last one, or everything."""
    site = instance.site
    live = list_live_peers(instance, now)
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    instance.metrics.peers.set({}, len(live))
    tables = _make_tables(instance, now)
    changed = {
        name: table
        if is_full
        else _drop_unchanged(table, instance.gossiped_tables.get(name, {}))
        for name, table in tables.items()
    }
    instance.gossiped_tables = tables
    levels = instance.limits.bucket_by_workspace if is_full else {}
    return GossipMessage(
        instance=site.instance,
        zone=site.zone,
        incarnation=instance.incarnation,
        host=site.mesh.host,
        port=site.mesh.port,
        is_store_heard=is_store_heard(instance, now),
        is_leaving=instance.is_stopping,
        is_full=is_full,
        is_asking=not live,
        link_mbps=site.link_mbps,
        peers=tuple(PeerRow(p.instance, p.zone, p.host, p.port) for p in live)
        if is_full
        else (),
        config_revision=instance.config_stamp.revision,
        upstreams_revision=feed.changed_revision if feed else 0,
        named_weights={
            model: tuple(
                (row.version, round(now - row.set_at, 3))
                for row in (target, *target.earlier[:MAX_GOSSIPED_EARLIER_VERSIONS])
            )
            for model, target in instance.weights.target_by_model.items()
            if is_full or now - target.set_at < TARGET_WEIGHTS_RESEND_S
        },
        version_by_upstream=changed["versions"],
        used_by_workspace=changed["used"],
        level_by_workspace={name: round(row.level) for name, row in levels.items()},
        in_flight_by_upstream=changed["in_flight"],
        lease=_make_lease_row(instance, is_full),
        quarantined=make_gossiped_quarantine(instance, False, now),
        era=instance.store.era,
        config_era=instance.config_stamp.era,
        upstreams_era=feed.era if feed else 0,
        is_config_written=instance.is_config_written,
        superseded_configs=tuple(instance.config_history.superseded) if is_full else (),
        replaced_config=find_replaced_config(instance),
        limited_upstreams=list_own_limits(instance.decisions.named_limits),
        quarantined_contents=make_gossiped_quarantine(instance, True, now),
        callers_port=site.callers.port,
        is_cut_off=instance.partition.is_cut_off,
        load_by_upstream=list_gossiped_loads(instance, now),
        max_rejected_by_brittle=list_announced(instance.decisions.brittle, now),
        rejecting_brittle=list_rejecting(instance.decisions.brittle, now),
    )


def _make_tables(instance: Instance, now: float) -> dict[str, dict[str, Any]]:
    """Return the tables of which gossip carries only the changes."""
    rows = instance.decisions.upstream_by_name
    return {
        "versions": {
            id: next(iter(replica.version_by_model.items()))
            for id, replica in instance.weights.replica_by_upstream.items()
            if replica.version_by_model and id in rows
        },
        "used": {
            name: round(row.local_total)
            for name, row in instance.limits.bucket_by_workspace.items()
        },
        "in_flight": {name: row.in_flight for name, row in rows.items()},
    }


def _drop_unchanged(table: dict[str, Any], previous: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in table.items() if previous.get(key) != value}


def _make_lease_row(instance: Instance, is_full: bool) -> LeaseRow | None:
    """Return the lease record; only its holder sends it in every message."""
    lease = instance.lease
    record = lease.record
    is_known = record.revision > 0 or lease.highest_fencing > 0
    if not is_known or not (is_full or lease.renewed_at is not None):
        return None
    return LeaseRow(
        record.holder,
        record.incarnation,
        record.fencing,
        record.revision,
        record.era,
        lease.highest_fencing,
    )

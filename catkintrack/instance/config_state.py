"""Apply stored configurations to the state of an instance."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import Any

from returns.result import Failure, Success

from catkintrack.decisions.cache_store import CacheStoreIndex
from catkintrack.decisions.transfers import TransferRates
from catkintrack.fleet import CacheStore, EngineProfile
from catkintrack.platform import decode_configuration

from .config_history import is_superseded, record_superseded
from .config_order import (
    Judgement,
    OfferedConfig,
    is_written_again,
    judge_configuration,
)
from .fleet_state import resync_upstreams, update_memory_sizes
from .state import ConfigStamp, HeldConfig, Instance

logger = logging.getLogger(__name__)

# Latency of a KV cache transfer before its first byte.
TRANSFER_SETUP_S = 0.002


def apply_configuration(
    instance: Instance,
    revision: int,
    spec: Any,
    source: str,
    era: int = 0,
    is_written: bool = False,
    replaced: ConfigStamp | None = None,
) -> bool:
    """Apply a configuration if it is valid and newer; report whether it was applied.

    `era` is the store's, 0 if it has none; `is_written` says that the configuration was
    certainly written in it, and does not come from an older copy of the store.
    `replaced` is where the peer that sent it has found one that does.
    """
    stamp = ConfigStamp(era, revision)
    if stamp == instance.config_stamp:
        return False
    if stamp == instance.held_config.stamp and not is_written:
        return False
    match decode_configuration(spec):
        case Failure(error):
            logger.error(
                "invalid configuration; the previous one stays in force",
                extra={"revision": revision, "reason": error.reason},
            )
            return False
        case Success(config):
            pass
    history = instance.config_history
    offered = OfferedConfig(
        stamp,
        config.revision,
        spec,
        is_written,
        is_superseded(history, spec),
        replaced or ConfigStamp(),
    )
    is_newer = _judge_and_record_config(instance, offered)
    is_held_back = instance.held_config.stamp > instance.config_stamp
    instance.metrics.config_held_back.set({}, int(is_held_back))
    if not is_newer:
        return False
    if instance.config is not None:
        record_superseded(history, instance.config_spec, spec)
    instance.config = config
    instance.config_spec = spec
    instance.metrics.config_revision.set({}, config.revision)
    _update_server_limits(instance)
    _update_transfer_rates(instance)
    resync_upstreams(instance)
    update_memory_sizes(instance)
    logger.info(
        "configuration in force",
        extra={
            "config": config.revision,
            "era": era,
            "object_revision": revision,
            "routes": sum(len(rows) for rows in config.routes_by_host.values()),
            "source": source,
        },
    )
    return True


def _judge_and_record_config(instance: Instance, offered: OfferedConfig) -> bool:
    """Record where a configuration is stored; report whether to apply it."""
    known = None
    if instance.config is not None:
        known = OfferedConfig(
            instance.config_stamp,
            instance.config.revision,
            instance.config_spec,
            instance.is_config_written,
        )
    held_back = instance.held_config.stamp
    judgement = judge_configuration(known, offered, held_back)
    if judgement is Judgement.HOLD_BACK:
        instance.held_config = HeldConfig(offered.stamp, offered.is_superseded)
        logger.warning(
            "older configuration held back",
            extra={
                "config": offered.version,
                "is_copied": offered.is_superseded,
                "era": offered.stamp.era,
                "object_revision": offered.stamp.revision,
            },
        )
    if judgement not in (Judgement.CONFIRM, Judgement.APPLY):
        return False
    if known is None:
        instance.is_config_written = offered.is_written
    elif offered.stamp.era < known.stamp.era:
        # The one in force so far comes from an older copy.
        instance.held_config = HeldConfig(known.stamp, is_copied=True)
        instance.is_config_written = offered.is_written
    elif offered.stamp.era == known.stamp.era:
        instance.is_config_written = True
    else:
        instance.is_config_written = is_written_again(offered, held_back)
    instance.config_stamp = offered.stamp
    return judgement is Judgement.APPLY


def _update_server_limits(instance: Instance) -> None:
    """Set the HTTP server's limits to those of the configuration."""
    if instance.server is None or instance.config is None:
        return
    limits = instance.config.limits
    instance.server.limits = replace(
        instance.server.limits,
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


def _update_transfer_rates(instance: Instance) -> None:
    """Derive the transfer time per cached token from the engines' profiles."""
    services = instance.config.service_by_name.values() if instance.config else ()
    profiles = [s.engine for s in services if s.engine and s.engine.link_mbps > 0]
    if profiles:
        slowest = max(profiles, key=lambda p: _find_token_s(p, p.link_mbps))
        token_s = _find_token_s(slowest, slowest.link_mbps)
        instance.decisions.transfer_rates = TransferRates(TRANSFER_SETUP_S, token_s)
        _update_cache_stores(instance, slowest)


def _find_token_s(profile: EngineProfile, link_mbps: float) -> float:
    """Return the seconds that a link takes for one cached token."""
    return profile.kv_bytes_per_token * 8 / (link_mbps * 1e6)


def _update_cache_stores(instance: Instance, profile: EngineProfile) -> None:
    """Use the cache stores that the configuration names."""
    services = instance.config.service_by_name.values() if instance.config else ()
    stores = [s.cache_store for s in services if s.cache_store is not None]
    # Several services may name the same store.
    store_by_name = {str(store.address): store for store in stores}
    known_by_name = {index.name: index for index in instance.decisions.cache_stores}
    indexes = []
    for name, store in sorted(store_by_name.items()):
        index = known_by_name.get(name) or CacheStoreIndex(name, store.zone, 0.0)
        index.zone = store.zone
        index.token_s = _find_store_token_s(store, profile)
        indexes.append(index)
    instance.decisions.cache_stores = indexes
    instance.store_address_by_name = {n: s.address for n, s in store_by_name.items()}


def _find_store_token_s(store: CacheStore, profile: EngineProfile) -> float:
    """Return the seconds for one token; it crosses two links, one after the other."""
    token_s = _find_token_s(profile, profile.link_mbps)
    return token_s + _find_token_s(profile, store.link_mbps or profile.link_mbps)

"""Apply changed settings to a running instance."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path

from returns.result import Failure, Success

from catkintrack.fleet import Site
from catkintrack.platform import StoreClient, load_site
from catkintrack.processes import (
    log_changes,
    log_invalid_settings,
    make_safe_reload,
)

from .peers import get_or_add_peer
from .retry_budgets import share_retry_budgets
from .state import Instance


def make_site_reload(instance: Instance, path: Path) -> Callable[[], None]:
    """Return a function that loads the settings file and applies it to the instance."""

    def reload() -> None:
        match load_site(path):
            case Failure(error):
                log_invalid_settings(f"{error.subject}: {error.reason}")
            case Success(wanted):
                apply_site(instance, wanted)

    return make_safe_reload(reload)


def apply_site(instance: Instance, wanted: Site) -> None:
    """Apply the settings that a running instance can change, and log all changes."""
    old = instance.site
    merged = merge_reloadable_site(old, wanted)
    log_changes(asdict(old), asdict(merged), asdict(wanted))
    instance.site = merged
    if merged.store != old.store:
        # Eras only grow, wherever the store is reached.
        instance.store = StoreClient(
            merged.store,
            era=instance.store.era,
            on_new_era=instance.store.on_new_era,
        )
    share_retry_budgets(instance, time.monotonic())
    for seed in set(merged.seeds) - set(old.seeds):
        get_or_add_peer(instance, "", "", seed.host, seed.port)


def merge_reloadable_site(old: Site, wanted: Site) -> Site:
    """Return `old` with those values of `wanted` that a running instance can apply.

    The lease's duration is not among them: while instances disagree on it, one may
    acquire a lease that its holder still relies on.
    """
    return replace(
        old,
        seeds=wanted.seeds,
        store=wanted.store,
        store_writes_per_s=wanted.store_writes_per_s,
        store_reads_per_s=wanted.store_reads_per_s,
        is_bootstrap=wanted.is_bootstrap,
        link_mbps=wanted.link_mbps,
        bounds=replace(wanted.bounds, lease_s=old.bounds.lease_s),
    )

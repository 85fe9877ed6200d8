"""Tell the replicas that have ended from those that lose answers or are slow."""

from __future__ import annotations

import time

import curio

from catkintrack.fleet import Upstream
from catkintrack.http import UpstreamUnreachable, open_exchange

from .state import Instance, LossCheck

# Calls that break off at a replica within this time share one check.
SHARED_CHECK_S = 0.5
# A process that ends closes its newest sockets first, so that it may still accept a
# connection, and resets it.  A replica at its limit of connections does so as well, again
# and again.
RESET_WAIT_S = 0.02
MAX_CONNECTIONS_TRIED = 4
# A replica that had not ended when it was checked is checked again after this time.
RECHECK_S = 0.25
MAX_CHECKS = 256
# A replica that ends later than this after an attempt was given up ends for another reason.
ABANDONED_S = 2.0


async def has_ended(instance: Instance, upstream: Upstream) -> bool:
    """Report whether a replica accepts no connection any more.

    A replica that loses or spoils an answer also breaks connections off, but still runs.
    """
    checks = instance.loss_check_by_replica
    replica = name_incarnation(upstream)
    check = checks.get(replica)
    now = time.monotonic()
    if check is None or now - check.started_at > SHARED_CHECK_S:
        check = LossCheck(now)
        checks[replica] = check
        if len(checks) > MAX_CHECKS:
            del checks[min(checks, key=lambda name: checks[name].started_at)]
        # A task of its own, since other calls wait for it if the caller leaves.
        await curio.spawn(_run_check, instance, upstream, check, daemon=True)
    await check.is_done.wait()
    return check.has_ended


def record_abandoned(instance: Instance, upstream: Upstream, content: int) -> None:
    """Remember that a call's attempt was given up, in case its replica ends."""
    now = time.monotonic()
    by_replica = instance.abandoned_at_by_replica
    for replica, abandoned_at in list(by_replica.items()):
        for old in [c for c, at in abandoned_at.items() if now - at > ABANDONED_S]:
            del abandoned_at[old]
        if not abandoned_at:
            del by_replica[replica]
    by_replica.setdefault(name_incarnation(upstream), {})[content] = now


def take_abandoned(instance: Instance, replica: str) -> list[int]:
    """Return the contents of the attempts at a replica that were given up of late."""
    now = time.monotonic()
    abandoned_at = instance.abandoned_at_by_replica.pop(replica, {})
    return [c for c, at in abandoned_at.items() if now - at <= ABANDONED_S]


def name_incarnation(upstream: Upstream) -> str:
    """Return the name of a replica's incarnation."""
    return f"{upstream.id}/{upstream.incarnation}"


async def _run_check(instance: Instance, upstream: Upstream, check: LossCheck) -> None:
    try:
        check.has_ended = await refuses_connections(instance, upstream)
    finally:
        await check.is_done.set()


async def refuses_connections(instance: Instance, upstream: Upstream) -> bool:
    """Report whether a replica accepts no connection, or resets one and then does so."""
    for _ in range(MAX_CONNECTIONS_TRIED):
        try:
            async with open_exchange(
                instance.pool, upstream.address, force_new=True
            ) as exchange:
                await curio.sleep(RESET_WAIT_S)
                if not exchange.has_unread_input():
                    return False
        except UpstreamUnreachable:
            return True
    return False

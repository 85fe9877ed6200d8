"""Record the loads that replicas name, and share them between the instances.

Each instance sends a replica few calls, so what it learns from one is sent to all: with
the message that ends a long prefill, or with gossip for calls without a prompt.
"""

from __future__ import annotations

import logging

import msgspec

from catkintrack.decisions.load import record_load_report
from catkintrack.decisions.memory import estimate_memory_tokens
from catkintrack.decisions.scheduler import record_remote_prefill_end
from catkintrack.decisions.speeds import (
    TimedPrefill,
    find_prefill_rate,
    find_slowdown,
    record_prefill_end,
)
from catkintrack.decisions.tables import UpstreamRow
from catkintrack.fleet import ReplicaLoad

from .messages import GossipedLoad, PrefillEnded, SharedLoad
from .state import Instance

logger = logging.getLogger(__name__)

# Time from a replica's response until a peer's message about it has been handled.
MESSAGE_DELAY_S = 0.05
# Older loads of replicas without engines are not gossiped.
GOSSIPED_LOAD_MAX_AGE_S = 0.5


def record_load(
    instance: Instance, row: UpstreamRow, load: ReplicaLoad, at: float
) -> None:
    """Record a load that a replica named `at` a time."""
    was_uneven = instance.decisions.has_uneven_replicas
    record_load_report(
        instance.decisions, row, load.running, load.waiting, load.slowdown, at
    )
    if instance.decisions.has_uneven_replicas and not was_uneven:
        logger.info("replicas are uneven", extra={"upstream": row.name})


def record_service_load(
    instance: Instance, row: UpstreamRow, load: ReplicaLoad, at: float
) -> None:
    """Record the load of a replica without an engine, to be gossiped."""
    record_load(instance, row, load, at)
    if instance.decisions.speeds is not None:
        instance.own_load_by_upstream[row.name] = (load, at)


def list_gossiped_loads(instance: Instance, now: float) -> dict[str, GossipedLoad]:
    """Return the loads to gossip, each with its age in milliseconds."""
    own = instance.own_load_by_upstream
    for id in [id for id, (_, at) in own.items() if now - at > GOSSIPED_LOAD_MAX_AGE_S]:
        del own[id]
    return {
        id: (load.running, load.waiting, load.slowdown or 0.0, round((now - at) * 1e3))
        for id, (load, at) in own.items()
    }


def apply_gossiped_loads(
    instance: Instance, load_by_upstream: dict[str, GossipedLoad], now: float
) -> None:
    """Record the loads that a peer has seen, unless newer ones are known."""
    for id, (running, waiting, slowdown, age_ms) in load_by_upstream.items():
        row = instance.services.row_by_name.get(id)
        if row is not None:
            load = ReplicaLoad(running, waiting, slowdown=slowdown or None)
            age_s = max(0, age_ms) / 1e3
            record_load(instance, row, load, now - MESSAGE_DELAY_S - age_s)


def add_shared_load(
    instance: Instance,
    message: PrefillEnded,
    load: ReplicaLoad | None,
) -> PrefillEnded:
    """Return the message with the load that its call has shown, and the rate sample."""
    tables = instance.decisions
    if tables.speeds is None or load is None:
        return message
    shared = SharedLoad(load.running, load.waiting, load.slowdown or 0.0)
    running = tables.running_by_id.get(message.id)
    timed = running.timed_prefill if running else None
    if timed is not None:
        shared = msgspec.structs.replace(
            shared,
            prefill_s=timed.ended_at - timed.began_at,
            mean_slowdown=timed.slowdown,
            error=timed.slowdown_error,
        )
    return msgspec.structs.replace(message, load=shared)


def apply_prefill_ended(instance: Instance, message: PrefillEnded, now: float) -> None:
    """Record the end of a peer's prefill and what it has shown of its replica."""
    tables = instance.decisions
    prefill = tables.prefills.prefill_by_id.get(message.id)
    record_remote_prefill_end(tables, message.id, message.incarnation, now)
    row = tables.upstream_by_name.get(prefill.upstream) if prefill else None
    shared = message.load
    if prefill is None or row is None or shared is None:
        return
    ended_at = now - MESSAGE_DELAY_S
    load = ReplicaLoad(shared.running, shared.waiting, slowdown=shared.slowdown or None)
    record_load(instance, row, load, ended_at)
    timed = None
    if shared.prefill_s > 0:
        timed = TimedPrefill(
            prefill.tokens,
            ended_at - shared.prefill_s,
            ended_at,
            shared.mean_slowdown,
            shared.error,
        )
    record_prefill_end(tables, row, timed, ended_at, now)


def observe_replicas(instance: Instance, now: float) -> None:
    """Set the metrics of the replicas' speeds and memory, where these are learned."""
    tables = instance.decisions
    rows = tables.upstream_by_name.values()
    if tables.speeds is None or not rows:
        return
    metrics = instance.metrics
    rates = [find_prefill_rate(tables, row, now) for row in rows]
    metrics.prefill_rates.set({"stat": "min"}, round(min(rates)))
    metrics.prefill_rates.set({"stat": "mean"}, round(sum(rates) / len(rates)))
    metrics.prefill_rates.set({"stat": "max"}, round(max(rates)))
    shares = [
        estimate_memory_tokens(row, now) / row.memory_tokens
        for row in rows
        if row.memory_tokens
    ]
    if shares:
        mean = sum(shares) / len(shares)
        metrics.held_memory.set({"stat": "mean"}, round(mean, 3))
        metrics.held_memory.set({"stat": "max"}, round(max(shares), 3))


def describe_replica(row: UpstreamRow, now: float) -> dict[str, float]:
    """Return what is known of a replica's speed and memory, for the state dump."""
    if row.speed is None:
        return {}
    return {
        "prefill_tokens_per_s": round(row.prefill_tokens_per_s),
        "rate_samples": row.speed.samples,
        "slowdown": round(find_slowdown(row, now), 2),
        "held_tokens": round(estimate_memory_tokens(row, now)),
        "memory_tokens": row.memory_tokens,
    }

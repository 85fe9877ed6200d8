"""Describe an instance's state for operators."""

from __future__ import annotations

import time
from typing import Any

from catkintrack.decisions.decode_pace import estimate_token_s
from catkintrack.decisions.leaving import has_announced_leaving
from catkintrack.decisions.named_limits import find_limit
from catkintrack.decisions.pacing import estimate_own_share, estimate_pacing_s
from catkintrack.decisions.zones import describe_table
from catkintrack.fleet import Upstream

from .peers import list_live_peers
from .replica_loads import describe_replica
from .replica_signals import may_send
from .rollouts import describe_rollouts
from .state import Instance


def _find_limit_per_s(instance: Instance, upstream: Upstream) -> float | None:
    limit = find_limit(instance.decisions.named_limits, upstream)
    return None if limit is None else limit.per_s


def _describe_health(instance: Instance, id: str, now: float) -> dict[str, Any]:
    row = instance.decisions.upstream_by_name.get(id)
    row = row or instance.services.row_by_name.get(id)
    if row is None:
        return {"in_flight": None}
    return {
        "in_flight": row.in_flight,
        "failures": row.consecutive_failures,
        "ejections": row.ejections,
        "ejected_for_s": round(max(0.0, row.ejected_until - now), 3),
        **describe_replica(row, now),
    }


def _describe_admission(instance: Instance, now: float) -> dict[str, Any] | None:
    """Return what admission estimates, None if it is switched off."""
    tables = instance.decisions
    if tables.admission is None:
        return None
    return {
        "token_s": round(estimate_token_s(tables.admission.pace, now), 4),
        "own_share": round(estimate_own_share(tables, now), 4),
        "usage": {
            name: round(usage.read(now))
            for name, usage in tables.admission.shares.usage_by_workspace.items()
        },
        "ahead_s": {
            name: round(estimate_pacing_s(tables, row, now, 0), 3)
            for name, row in tables.upstream_by_name.items()
        },
    }


def _describe_slow_readers(instance: Instance) -> dict[str, Any] | None:
    readers = instance.slow_readers
    if readers is None:
        return None
    return {
        "max_bytes": readers.max_bytes,
        "held_bytes": readers.held_bytes,
        "held_by_workspace": dict(readers.held_by_workspace),
        "held_by_upstream": dict(readers.held_by_upstream),
    }


def dump_instance(instance: Instance) -> dict[str, Any]:
    """Return the instance's view of its feeds, peers, lease, upstreams and limits."""
    now = time.monotonic()
    zones = instance.decisions.zones
    return {
        "instance": instance.site.instance,
        "incarnation": instance.incarnation,
        "is_stopping": instance.is_stopping,
        "era": instance.store.era,
        "config": instance.config.revision if instance.config else None,
        "config_stamp": list(instance.config_stamp),
        "config_held_back": list(instance.held_config.stamp),
        "feeds": {
            kind: {
                "era": feed.era,
                "revision": feed.revision,
                "heard_s_ago": round(now - feed.last_success_at, 3),
                "asked_s_ago": round(now - feed.asked_at, 3),
                "is_broken": feed.last_failure_at > feed.last_success_at,
            }
            for kind, feed in instance.feed_by_kind.items()
        },
        "slow_readers": _describe_slow_readers(instance),
        "peers": [peer.instance for peer in list_live_peers(instance, now)],
        "lease": {
            "holder": instance.lease.record.holder,
            "fencing": instance.lease.record.fencing,
            "era": instance.lease.record.era,
            "is_own": instance.lease.renewed_at is not None,
        },
        "upstreams": {
            id: {
                "service": upstream.service,
                "address": str(upstream.address),
                "is_draining": upstream.is_draining,
                "has_announced_leaving": has_announced_leaving(
                    instance.decisions.leaving, upstream
                ),
                "accepts_requests": may_send(instance, upstream, now),
                "limit_per_s": _find_limit_per_s(instance, upstream),
                "weights": [w.version for w in upstream.weights],
                **_describe_health(instance, id, now),
            }
            for id, upstream in instance.upstream_by_id.items()
        },
        "retry_budgets": {
            service: {"cap": round(budget.cap, 2), "level": round(budget.level, 2)}
            for service, budget in instance.retry_budget_by_service.items()
        },
        "limits": {
            name: round(row.level)
            for name, row in instance.limits.bucket_by_workspace.items()
        },
        "quarantined": {
            f"{suspect:016x}": round(row.until - now, 1)
            for suspect, row in instance.quarantine.row_by_suspect.items()
        },
        "zones": describe_table(zones) if zones is not None else None,
        "rollouts": describe_rollouts(instance, now),
        "is_cut_off": instance.partition.is_cut_off,
        "waiting": instance.decisions.waiting_count,
        "admission": _describe_admission(instance, now),
        "store_calls": dict(instance.store.count_by_call),
    }

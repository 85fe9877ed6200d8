"""Apply what the store, peers and replicas report to the state of the fleet."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Collection, Mapping
from typing import Any

from returns.result import Failure, Success

from catkintrack.decisions import load
from catkintrack.decisions.leaving import forget_unknown_life
from catkintrack.decisions.scheduler import (
    drop_upstream,
    put_upstream,
    set_incarnation,
)
from catkintrack.decisions.services import ensure_service_row
from catkintrack.decisions.speeds import reset_precision
from catkintrack.decisions.stream_origins import (
    name_unconfirmed_version,
    resolve_version,
)
from catkintrack.decisions.tables import UpstreamRow
from catkintrack.fleet import ModelWeights, Upstream
from catkintrack.platform import (
    UPSTREAM_KIND,
    decode_upstream,
)
from catkintrack.weights import (
    find_version,
    forget_replica,
    record_replica_version,
    record_target_weights,
)

from .departures import (
    forget_old_departures,
    is_carried_over,
    list_held_entries,
    record_departure,
    record_return,
    record_unlisted,
)
from .eras import is_after_new_era
from .replica_signals import update_signals
from .rollout_orders import observe_cold_start, observe_version
from .state import Instance, KnownLife, PendingRemoval

logger = logging.getLogger(__name__)

# The platform restores lapsed entries of live replicas within two seconds.
LAPSE_GRACE_S = 2.5
# Share of a service's ready replicas above which a joint removal may be a lapse.
MASS_REMOVAL_SHARE = 0.5
MASS_REMOVAL_MIN_COUNT = 2
# Part of the operators' bound for leaving replicas that such replicas are kept for.
MASS_REMOVAL_GRACE_SHARE = 0.75
# Used until the prefill rate of a replica has been learned.
INITIAL_PREFILL_TOKENS_PER_S = 85_000.0


def apply_upstream(instance: Instance, id: str, spec: Any, now: float) -> None:
    """Apply one discovery entry; if it is invalid, drop its upstream."""
    names = frozenset(instance.config.service_by_name) if instance.config else None
    instance.spec_by_upstream[id] = spec
    observe_cold_start(instance, id, spec, now)
    match decode_upstream(id, spec, names or frozenset()):
        case Failure(error):
            logger.warning(
                "invalid discovery entry; its upstream is not used",
                extra={"upstream": id, "reason": error.reason},
            )
            _drop_upstream(instance, id, "unreadable")
        case Success(upstream):
            instance.pending_removal_by_upstream.pop(id, None)
            record_unlisted(instance, id)
            observe_version(instance, upstream, now)
            known = instance.upstream_by_id.get(id)
            if _is_of_past_life(instance, upstream):
                return
            resolve_version(
                instance.stream_origins,
                upstream.service,
                name_unconfirmed_version(id, upstream.incarnation),
                upstream.software_version,
            )
            if upstream.is_draining:
                _record_departure(instance, upstream, now)
            elif known is not None and known.incarnation != upstream.incarnation:
                _record_departure(instance, known, now)
            else:
                record_return(instance, upstream)
            _put_upstream(instance, upstream, now)


def _is_of_past_life(instance: Instance, upstream: Upstream) -> bool:
    """Report whether an entry is of an incarnation that the replica has ended."""
    life = instance.life_by_upstream.get(upstream.id)
    return life is not None and life.past_incarnation == upstream.incarnation


def replace_life(instance: Instance, upstream: Upstream, now: float) -> None:
    """Replace a replica's known incarnation by a later one that it has reported."""
    known = instance.upstream_by_id[upstream.id]
    _record_departure(instance, known, now)
    _put_upstream(instance, upstream, now)
    instance.life_by_upstream[upstream.id] = KnownLife(
        upstream.incarnation, now, known.incarnation
    )


def _record_departure(instance: Instance, upstream: Upstream, now: float) -> None:
    """Remember that a replica leaves, and where the store was then."""
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    if feed is not None:
        record_departure(instance, feed, upstream, now)


def _put_upstream(instance: Instance, upstream: Upstream, now: float) -> None:
    known = instance.upstream_by_id.get(upstream.id)
    if known == upstream:
        return
    if known is None or known.is_draining != upstream.is_draining:
        logger.info(
            "upstream draining" if upstream.is_draining else "upstream ready",
            extra={
                "upstream": upstream.id,
                "service": upstream.service,
                "address": str(upstream.address),
                "zone": upstream.zone,
            },
        )
    instance.upstream_by_id[upstream.id] = upstream
    if known is None or known.incarnation != upstream.incarnation:
        life = KnownLife(upstream.incarnation, now)
        instance.life_by_upstream[upstream.id] = life
    if upstream.weights:
        row = put_upstream(
            instance.decisions,
            upstream.id,
            upstream.zone,
            frozenset(w.model for w in upstream.weights),
            upstream.slots,
            upstream.is_draining,
            INITIAL_PREFILL_TOKENS_PER_S,
        )
        row.software_version = upstream.software_version
        row.memory_tokens = _find_memory_tokens(instance, upstream)
        _update_incarnation(instance, row, upstream, now)
        for weights in upstream.weights:
            apply_replica_weights(instance, upstream.id, weights, now)
    else:
        row = ensure_service_row(instance.services, upstream.id)
        row.zone = upstream.zone
        row.max_running = upstream.slots
        row.is_leaving = upstream.is_draining
    update_signals(instance, upstream.id, now)


def _find_memory_tokens(instance: Instance, upstream: Upstream) -> int:
    """Return the KV cache's capacity that the configuration names; 0 if it names none."""
    config = instance.config
    service = config.service_by_name.get(upstream.service) if config else None
    return service.engine.kv_cache_tokens if service and service.engine else 0


def update_memory_sizes(instance: Instance) -> None:
    """Set the replicas' memory to that of the configuration in force."""
    for upstream in instance.upstream_by_id.values():
        row = instance.decisions.upstream_by_name.get(upstream.id)
        if row is not None:
            row.memory_tokens = _find_memory_tokens(instance, upstream)


def _update_incarnation(
    instance: Instance, row: UpstreamRow, upstream: Upstream, now: float
) -> None:
    """Set a replica's incarnation; a new one clears its cached blocks and order count."""
    incarnation = str(upstream.incarnation)
    if row.incarnation and row.incarnation != incarnation:
        logger.info("upstream restarted", extra={"upstream": upstream.id})
        instance.weights.order_count_by_upstream.pop(upstream.id, None)
        reset_precision(row)
    set_incarnation(instance.decisions, row, incarnation, now, now)


def apply_replica_weights(
    instance: Instance, id: str, weights: ModelWeights, now: float
) -> None:
    """Record the weights that a replica runs; a newer version has emptied its cache."""
    row = instance.decisions.upstream_by_name.get(id)
    if row is None:
        return
    record_replica_version(instance.weights, id, weights)
    version = find_version(instance.weights, id, weights.model)
    if row.weights_version == version:
        return
    if row.weights_version:
        load.reset_cache(instance.decisions, row)
    row.weights_version = version
    row.loading_until = min(row.loading_until, now)
    logger.info(
        "upstream runs new weights",
        extra={"upstream": id, "version": version},
    )


def record_load_result(
    instance: Instance, id: str, weights: ModelWeights, fencing: int, now: float
) -> None:
    """Record that a replica has ended a load of weights, and which ones it runs.

    One without effect does not end the load that a later holder has begun meanwhile.
    """
    apply_replica_weights(instance, id, weights, now)
    row = instance.decisions.upstream_by_name.get(id)
    if row is None or fencing < row.load_fencing:
        return
    if row.weights_version <= weights.version:
        row.loading_until = min(row.loading_until, now)


def apply_target_weights(
    instance: Instance, weights: ModelWeights, age_s: float, now: float, source: str
) -> bool:
    """Record weights that operators set as target; report whether they are newer.

    They were set `age_s` before `now`.
    """
    is_new = record_target_weights(instance.weights, weights, now - age_s)
    instance.decisions.target_by_model = instance.weights.target_by_model
    if not is_new:
        return False
    logger.info(
        "weights named",
        extra={"model": weights.model, "version": weights.version, "source": source},
    )
    return True


def remove_upstreams(
    instance: Instance,
    ids: Collection[str],
    now: float,
    lapse_grace_s: float = 0.0,
) -> None:
    """Remove upstreams whose discovery entries went missing together.

    If the entries may have lapsed in a store outage, the upstreams stay for
    `lapse_grace_s`, in which the entries may be restored.  If most replicas
    of a service are missing, an outage may have gone unnoticed; they then stay for as
    long as the operators' bound for leaving replicas allows.
    """
    gone_services = _find_mass_removals(instance, ids)
    mass_grace_s = MASS_REMOVAL_GRACE_SHARE * instance.site.bounds.drain_s
    for id in ids:
        record_unlisted(instance, id)
        instance.spec_by_upstream.pop(id, None)
        upstream = instance.upstream_by_id.get(id)
        if upstream is None:
            continue
        if lapse_grace_s > 0:
            grace_s = lapse_grace_s
        elif upstream.service in gone_services and not upstream.is_draining:
            grace_s = mass_grace_s
        else:
            _record_departure(instance, upstream, now)
            _drop_upstream(instance, id, "entry removed")
            continue
        removal = PendingRemoval(id, now + grace_s)
        instance.pending_removal_by_upstream.setdefault(id, removal)


def _find_mass_removals(instance: Instance, ids: Collection[str]) -> set[str]:
    """Return the services of whose ready replicas more than half are in `ids`."""
    ready = [u for u in instance.upstream_by_id.values() if not u.is_draining]
    count_by_service = Counter(u.service for u in ready)
    gone_by_service = Counter(u.service for u in ready if u.id in ids)
    return {
        service
        for service, gone in gone_by_service.items()
        if gone >= MASS_REMOVAL_MIN_COUNT
        and gone > MASS_REMOVAL_SHARE * count_by_service[service]
    }


def remove_lapsed_upstreams(instance: Instance, now: float) -> None:
    """Remove the upstreams whose lapsed entries were not restored in time.

    A new era gives them time again.  Of upstreams that left, the entries that only a
    live one can have apply again.
    """
    forget_old_departures(instance, now)
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    for id, spec in list_held_entries(instance, feed.era if feed else 0, now).items():
        apply_upstream(instance, id, spec, now)
    if is_after_new_era(instance, now):
        return
    due = [d for d in instance.pending_removal_by_upstream.values() if d.due_at <= now]
    for removal in due:
        upstream = instance.upstream_by_id.get(removal.upstream)
        if upstream is not None:
            _record_departure(instance, upstream, now)
        _drop_upstream(instance, removal.upstream, "entry lapsed")


def _drop_upstream(instance: Instance, id: str, reason: str) -> None:
    """Forget all that is known of an upstream but its unreadable entry."""
    instance.pending_removal_by_upstream.pop(id, None)
    if instance.upstream_by_id.pop(id, None) is None:
        return
    drop_upstream(instance.decisions, id)
    forget_unknown_life(instance.decisions.leaving, id)
    forget_replica(instance.weights, id)
    instance.services.row_by_name.pop(id, None)
    instance.life_by_upstream.pop(id, None)
    instance.report_requested_at_by_upstream.pop(id, None)
    instance.probed_at_by_upstream.pop(id, None)
    logger.info("upstream gone", extra={"upstream": id, "reason": reason})


def apply_upstreams(
    instance: Instance,
    spec_by_id: Mapping[str, Any],
    now: float,
    lapse_grace_s: float = 0.0,
    revision_by_id: Mapping[str, int] | None = None,
) -> None:
    """Apply a full list of discovery entries and remove the upstreams not in it.

    In a new era replicas may still have to write their entries again, and entries of
    replicas that left are skipped until they were certainly written in that era.
    """
    gone = set(instance.spec_by_upstream) - set(spec_by_id)
    if is_after_new_era(instance, now):
        lapse_grace_s = LAPSE_GRACE_S
    remove_upstreams(instance, gone, now, lapse_grace_s)
    for id in set(instance.departure_by_upstream) - set(spec_by_id):
        record_unlisted(instance, id)
    for id, spec in spec_by_id.items():
        revision = revision_by_id.get(id) if revision_by_id else None
        if _is_carried_over(instance, id, spec, revision, now):
            continue
        if instance.spec_by_upstream.get(id) != spec:
            apply_upstream(instance, id, spec, now)
        else:
            instance.pending_removal_by_upstream.pop(id, None)


def _is_carried_over(
    instance: Instance, id: str, spec: Any, revision: int | None, now: float
) -> bool:
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    has_history = id in instance.departure_by_upstream or id in instance.upstream_by_id
    if feed is None or not has_history or instance.spec_by_upstream.get(id) == spec:
        return False
    match decode_upstream(id, spec, frozenset()):
        case Success(upstream):
            return is_carried_over(instance, feed.era, upstream, spec, revision, now)
    return False


def resync_upstreams(instance: Instance) -> None:
    """Apply the entries without an upstream again: their service may now be defined."""
    missing = set(instance.spec_by_upstream) - set(instance.upstream_by_id)
    for id in missing:
        apply_upstream(instance, id, instance.spec_by_upstream[id], 0.0)

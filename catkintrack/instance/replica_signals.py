"""Apply what replicas say of themselves in their answers.

They may leave, rest, name a limit for the requests that they get, or be brittle.

What an instance learns here it does not tell its peers: each of them meets the replica
itself, and a peer that is wrong can't take replicas out of use elsewhere.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from catkintrack.decisions.leaving import has_announced_leaving, record_leaving
from catkintrack.decisions.named_limits import (
    compute_wait_s,
    end_unnamed_limit,
    find_limit,
    find_supply,
    forget_limits_of_gone,
    forget_unconfirmed_limits,
    has_token,
    is_usable_limit,
    record_limit,
    reserve_token,
    set_sharers,
    take_token,
)
from catkintrack.decisions.rest import (
    Rest,
    begin_rest,
    choose_return_s,
    end_answered_rest,
    end_rest_of_earlier_life,
    find_earliest_return,
    find_rest,
    has_returned,
    is_held,
    is_resting,
    is_usable_time,
    record_placed,
    record_word_of_earlier_life,
)
from catkintrack.fleet import Upstream
from catkintrack.platform import ResponseFields

from .brittle_replicas import (
    adopt_life,
    apply_brittleness,
    may_place,
    may_send_to,
)
from .state import Instance

logger = logging.getLogger(__name__)

REST_STATUS = 503


def apply_signals(
    instance: Instance,
    upstream: Upstream,
    request_id: bytes | None,
    fields: ResponseFields,
    sent_at: float,
    now: float,
) -> None:
    """Apply what a replica says of itself in its answer to a request sent at `sent_at`.

    `request_id` is None if the connection can carry no answer to another request.
    """
    if not _is_from(upstream, request_id, fields):
        return
    if fields.is_leaving:
        _apply_leaving(instance, upstream, now)
    _apply_limit(instance, upstream, request_id, fields, sent_at, now)
    apply_brittleness(instance, upstream, request_id, fields, sent_at, now)
    rest = end_answered_rest(instance.decisions.rests, upstream, sent_at)
    if rest is not None:
        update_signals(instance, upstream.id, now)
        _record_rest_over(instance, upstream.id, rest, "answer")
    if fields.status == REST_STATUS and fields.retry_after_s is not None:
        _apply_rest(instance, upstream, fields, now)


def may_send(instance: Instance, upstream: Upstream, now: float) -> bool:
    """Report whether a replica accepts anything, as far as its answers tell."""
    if has_announced_leaving(instance.decisions.leaving, upstream):
        return False
    return not is_resting(find_rest(instance.decisions.rests, upstream), now)


def admit(instance: Instance, upstream: Upstream, now: float) -> bool:
    """Report whether a call may be sent to a replica now, and count it if so.

    Both the replica's answers and its limit may have changed since the call was placed.
    """
    if not may_send(instance, upstream, now):
        return False
    if not may_send_to(instance, upstream, now):
        return False
    limit = find_limit(instance.decisions.named_limits, upstream)
    if not take_token(limit, now):
        return False
    if limit is not None:
        instance.metrics.limited_requests.inc({"upstream": upstream.id})
    return True


def may_choose(instance: Instance, upstream: Upstream, now: float) -> bool:
    """Report whether a replica may be chosen for a call.

    After its rest it gets one first.
    """
    return may_place(instance, upstream, now) and _may_choose_with_room(
        instance, upstream, now
    )


def only_lacks_room(instance: Instance, upstream: Upstream, now: float) -> bool:
    """Report whether a replica could be chosen if this instance had room there."""
    if may_place(instance, upstream, now):
        return False
    return _may_choose_with_room(instance, upstream, now)


def _may_choose_with_room(instance: Instance, upstream: Upstream, now: float) -> bool:
    rest = find_rest(instance.decisions.rests, upstream)
    limit = find_limit(instance.decisions.named_limits, upstream)
    is_free = not is_held(rest, now) and has_token(limit, now)
    return is_free and may_send(instance, upstream, now)


def record_chosen(instance: Instance, upstream: Upstream, now: float) -> None:
    """Record that a replica was chosen for a call."""
    record_placed(find_rest(instance.decisions.rests, upstream), now)
    reserve_token(find_limit(instance.decisions.named_limits, upstream), now)


def find_return_s(
    instance: Instance, service: str, deadline_at: float, now: float
) -> float | None:
    """Return when a refused caller should come back, or None unless all replicas rest."""
    rests = [
        find_rest(instance.decisions.rests, upstream)
        for upstream in _list_staying(instance, service)
    ]
    returns_at = find_earliest_return(rests, now)
    if returns_at is None:
        return None
    return choose_return_s(returns_at, deadline_at, now, instance.rng)


def find_limit_wait_s(instance: Instance, service: str, now: float) -> float | None:
    """Return when a limit leaves room for a call.

    Return None unless each replica of the service names a limit or rests.
    """
    tables = instance.decisions
    signals = [
        (find_limit(tables.named_limits, upstream), find_rest(tables.rests, upstream))
        for upstream in _list_staying(instance, service)
    ]
    supply = find_supply(signals, now)
    return None if supply is None else compute_wait_s(supply, 1)


def _list_staying(instance: Instance, service: str) -> list[Upstream]:
    """Return the replicas of a service that do not leave."""
    leaving = instance.decisions.leaving
    return [
        upstream
        for upstream in instance.upstream_by_id.values()
        if upstream.service == service
        and not upstream.is_draining
        and not has_announced_leaving(leaving, upstream)
    ]


def share_limits(instance: Instance, sharer_names: Iterable[str], now: float) -> None:
    """Divide the limits among the sharing instances; forget those that are over."""
    table = instance.decisions.named_limits
    set_sharers(table, instance.site.instance, sharer_names, now)
    forget_limits_of_gone(table, instance.upstream_by_id, now)
    for id in forget_unconfirmed_limits(table, now):
        update_signals(instance, id, now)
    instance.metrics.named_limits.set({}, len(table.limit_by_upstream))


def end_returned_rests(instance: Instance, now: float) -> None:
    """End the rests after which no answer came in the time for a first request."""
    rest_by_upstream = instance.decisions.rests.rest_by_upstream
    for id, rest in list(rest_by_upstream.items()):
        if has_returned(rest, now):
            del rest_by_upstream[id]
            update_signals(instance, id, now)
            _record_rest_over(instance, id, rest, "time")


def _is_from(
    upstream: Upstream, request_id: bytes | None, fields: ResponseFields
) -> bool:
    """Report whether an answer is this replica's own, to this request.

    At the address of a replica that has ended another one may answer; it says so by its
    ID, or by rejecting the request as meant for another.
    """
    if None not in (request_id, fields.request_id) and request_id != fields.request_id:
        return False
    if fields.upstream_id is not None:
        return fields.upstream_id == upstream.id
    return not fields.is_misdirected


def _apply_leaving(instance: Instance, upstream: Upstream, now: float) -> None:
    if not record_leaving(instance.decisions.leaving, upstream):
        return
    update_signals(instance, upstream.id, now)
    instance.metrics.leaving_replicas.inc({"service": upstream.service})
    logger.info(
        "upstream leaves by its answer",
        extra={
            "upstream": upstream.id,
            "service": upstream.service,
            "incarnation": upstream.incarnation,
        },
    )


def _apply_limit(
    instance: Instance,
    upstream: Upstream,
    request_id: bytes | None,
    fields: ResponseFields,
    sent_at: float,
    now: float,
) -> None:
    """Apply the limit in an answer, or its absence in a signed answer to a call."""
    table = instance.decisions.named_limits
    per_s = fields.limit_per_s
    if per_s is None:
        is_evidence = request_id is not None and fields.is_signed
        if is_evidence and end_unnamed_limit(table, upstream, sent_at) is not None:
            update_signals(instance, upstream.id, now)
            _log_limit(upstream, "upstream's limit is over", None)
        return
    if not is_usable_limit(per_s):
        logger.warning(
            "upstream names a limit that is no number; it gets none",
            extra={"upstream": upstream.id},
        )
        return
    if record_limit(table, upstream, per_s, sent_at, now):
        update_signals(instance, upstream.id, now)
        _log_limit(upstream, "upstream names a limit", per_s)


def _log_limit(upstream: Upstream, message: str, per_s: float | None) -> None:
    logger.info(
        message,
        extra={
            "upstream": upstream.id,
            "service": upstream.service,
            "incarnation": upstream.incarnation,
            "limit_per_s": per_s,
        },
    )


def _apply_rest(
    instance: Instance, upstream: Upstream, fields: ResponseFields, now: float
) -> None:
    asked_s = fields.retry_after_s
    if not is_usable_time(asked_s):
        logger.warning(
            "upstream asks for rest without a usable time; it gets none",
            extra={"upstream": upstream.id},
        )
        return
    rests = instance.decisions.rests
    known = instance.upstream_by_id.get(upstream.id)
    if known is not None and known.incarnation > upstream.incarnation:
        record_word_of_earlier_life(rests, known, now)
        update_signals(instance, upstream.id, now)
        return
    is_new = begin_rest(rests, upstream, asked_s, now, instance.rng)
    update_signals(instance, upstream.id, now)
    if not is_new:
        return
    returns_at = rests.rest_by_upstream[upstream.id].returns_at
    instance.metrics.rests.inc({"event": "begun"})
    logger.info(
        "upstream rests",
        extra={
            "upstream": upstream.id,
            "service": upstream.service,
            "incarnation": upstream.incarnation,
            "asked_s": asked_s,
            "returns_in_s": round(returns_at - now, 3),
            "was_not_run": fields.is_not_run,
        },
    )


def _record_rest_over(
    instance: Instance, id: str, rest: Rest | None, decided_by: str
) -> None:
    """Log and count the end of a rest, an inherited one only when it was inherited."""
    if rest is not None and rest.is_inherited:
        return
    instance.metrics.rests.inc({"event": "over"})
    logger.info(
        "upstream's rest is over", extra={"upstream": id, "decided_by": decided_by}
    )


def update_signals(instance: Instance, id: str, now: float) -> None:
    """Apply to a replica's present life what its answers have said."""
    upstream = instance.upstream_by_id.get(id)
    if upstream is None:
        return
    tables = instance.decisions
    if end_rest_of_earlier_life(tables.rests, upstream, now):
        _record_rest_over(instance, id, None, "new life")
    row = tables.upstream_by_name.get(id)
    if row is not None:
        row.has_announced_leaving = has_announced_leaving(tables.leaving, upstream)
        row.rest = find_rest(tables.rests, upstream)
        row.limit = find_limit(tables.named_limits, upstream)
    adopt_life(instance, upstream, now)

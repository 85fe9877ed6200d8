"""Apply what replicas say of themselves in their answers: that they leave.

What an instance learns here it does not tell its peers: each of them meets the replica
itself, and a peer that is wrong can't take replicas out of use elsewhere.
"""

from __future__ import annotations

import logging

from catkintrack.decisions.leaving import has_announced_leaving, record_leaving
from catkintrack.fleet import Upstream
from catkintrack.platform import ResponseFields

from .state import Instance

logger = logging.getLogger(__name__)


def apply_signals(
    instance: Instance,
    upstream: Upstream,
    request_id: bytes | None,
    fields: ResponseFields,
) -> None:
    """Apply what a replica says of itself in its answer to a request.

    `request_id` is None if the connection can carry no answer to another request.
    """
    if not _is_from(upstream, request_id, fields):
        return
    if fields.is_leaving:
        _apply_leaving(instance, upstream)


def may_send(instance: Instance, upstream: Upstream) -> bool:
    """Report whether a replica accepts anything new, as far as its answers tell."""
    return not has_announced_leaving(instance.decisions.leaving, upstream)


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


def _apply_leaving(instance: Instance, upstream: Upstream) -> None:
    if not record_leaving(instance.decisions.leaving, upstream):
        return
    update_leaving(instance, upstream.id)
    instance.metrics.leaving_replicas.inc({"service": upstream.service})
    logger.info(
        "upstream leaves by its answer",
        extra={
            "upstream": upstream.id,
            "service": upstream.service,
            "incarnation": upstream.incarnation,
        },
    )


def update_leaving(instance: Instance, id: str) -> None:
    """Set the scheduler's mark of a replica to what its present life has announced."""
    row = instance.decisions.upstream_by_name.get(id)
    upstream = instance.upstream_by_id.get(id)
    if row is not None and upstream is not None:
        row.has_announced_leaving = has_announced_leaving(
            instance.decisions.leaving, upstream
        )

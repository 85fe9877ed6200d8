"""Fetch status reports from replicas."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from returns.result import Failure, Success

from catkintrack.fleet import Upstream, UpstreamReport
from catkintrack.http import (
    Request,
    ResponseHead,
    UpstreamExchangeError,
    UpstreamUnreachable,
    fetch,
)
from catkintrack.platform import (
    decode_report,
    make_report_request,
    parse_response_headers,
)

from .fleet_state import apply_replica_weights, apply_target_weights
from .replica_signals import apply_signals
from .replica_signals import may_send as accepts_requests
from .state import Instance

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 0.6
# A replica that rejects many requests at once is asked for its report once.
REPORT_MIN_INTERVAL_S = 0.3


async def refresh_report(
    instance: Instance, upstream: Upstream
) -> UpstreamReport | None:
    """Fetch a replica's report and record its weights and its order count."""
    report = await fetch_report(instance, upstream)
    if report is not None:
        record_report(instance, upstream, report, time.monotonic())
    return report


def record_report(
    instance: Instance, upstream: Upstream, report: UpstreamReport, now: float
) -> None:
    """Record a report, unless its replica has left or restarted meanwhile."""
    known = instance.upstream_by_id.get(upstream.id)
    if known is None or known.incarnation != report.incarnation:
        return
    instance.weights.order_count_by_upstream[upstream.id] = report.order_count
    for weights in report.weights:
        apply_replica_weights(instance, upstream.id, weights, now)


async def learn_weights(instance: Instance, upstream: Upstream) -> None:
    """Fetch the report of a replica that runs other weights than expected.

    Its weights are also recorded as target weights: an instance that is cut off from the
    store and its peers has no other source for these.
    """
    now = time.monotonic()
    if (
        now - instance.report_requested_at_by_upstream.get(upstream.id, -1e9)
        < REPORT_MIN_INTERVAL_S
    ):
        return
    instance.report_requested_at_by_upstream[upstream.id] = now
    report = await refresh_report(instance, upstream)
    for weights in report.weights if report else ():
        apply_target_weights(instance, weights, 0.0, now, upstream.id)


async def fetch_report(instance: Instance, upstream: Upstream) -> UpstreamReport | None:
    """Return a replica's report, or None if it sends no valid one in time."""
    request = make_report_request(upstream, make_request_id(instance))
    answer = await exchange_with(instance, upstream, request)
    return None if answer is None else read_report(upstream, *answer)


def read_report(
    upstream: Upstream, head: ResponseHead, body: bytes
) -> UpstreamReport | None:
    """Return the report in a replica's response, or None if there is no valid one."""
    if head.status != 200:
        return None
    match decode_report(body):
        case Success(report):
            return report
        case Failure(error):
            logger.warning(
                "invalid status report from a replica",
                extra={"upstream": upstream.id, "reason": error.reason},
            )
            return None


async def exchange_with(
    instance: Instance,
    upstream: Upstream,
    request: Request,
    may_send: Callable[[], bool] = lambda: True,
) -> tuple[ResponseHead, bytes] | None:
    """Return a replica's response, or None if it sends none in time.

    Nothing is sent to a replica that accepts nothing new, or if `may_send` is false
    once the connection is open.
    """
    sent_at = time.monotonic()
    if not accepts_requests(instance, upstream, sent_at):
        return None
    try:
        head, body = await fetch(
            instance.pool,
            upstream.address,
            request,
            ANSWER_TIMEOUT_S,
            force_new=True,
            may_send=lambda: (
                may_send() and accepts_requests(instance, upstream, time.monotonic())
            ),
        )
    except (UpstreamUnreachable, UpstreamExchangeError) as error:
        logger.warning(
            "replica did not respond",
            extra={"upstream": upstream.id, "reason": str(error)},
        )
        return None
    # A new connection carries no answer to another request.
    fields = parse_response_headers(head)
    apply_signals(instance, upstream, None, fields, sent_at, time.monotonic())
    return head, body


def make_request_id(instance: Instance) -> bytes:
    """Return a new id for a request that this instance itself makes."""
    instance.next_request_number += 1
    return f"{instance.site.instance}-{instance.next_request_number}".encode()

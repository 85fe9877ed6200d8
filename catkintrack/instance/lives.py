"""Confirm that a replica still runs in the incarnation that its entry describes.

A replica may start again under its ID and address at another software version.  Its entry
changes later, or not at all while the store is unavailable.
"""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from enum import StrEnum

from catkintrack.decisions.stream_origins import name_unconfirmed_version
from catkintrack.fleet import Upstream, UpstreamReport
from catkintrack.http import (
    Exchange,
    UpstreamDisconnected,
    UpstreamExchangeError,
    UpstreamTimeout,
    record_lost,
)
from catkintrack.platform import UPSTREAM_KIND, make_report_request

from .feeds import is_current
from .fleet_state import replace_life
from .hubs import has_watching_hub
from .reports import ANSWER_TIMEOUT_S, fetch_report, make_request_id, read_report
from .state import Instance, KnownLife

logger = logging.getLogger(__name__)

# Longest time without an answer of the store in which entries are taken for current.
MAX_SILENCE_S = 1.0


class Doubt(StrEnum):
    """Name why a replica's incarnation has to be confirmed."""

    CONNECTION_LOST = "connection lost"
    ENTRIES_LATE = "entries late"
    REQUIRED = "required"


async def confirm_life(
    instance: Instance,
    upstream: Upstream,
    exchange: Exchange,
    is_required: bool,
    request_id: bytes = b"",
) -> bool:
    """Report whether a connection leads to the known incarnation of a replica.

    If that is in doubt, or `is_required`, the replica's report is fetched over the
    connection itself.  Another incarnation replaces the known one.  `request_id` is that
    of the call, for the log.
    """
    known = instance.upstream_by_id.get(upstream.id)
    if known is None or not upstream.incarnation:
        return True
    if exchange.peer_incarnation is None:
        doubt = find_doubt(instance, known)
        if doubt is None:
            if not is_required:
                return True
            doubt = Doubt.REQUIRED
        asked_at = time.monotonic()
        report = await _fetch_report(instance, known, exchange, doubt, request_id)
        if report is None:
            return False
        if not report.incarnation:
            return True
        exchange.peer_incarnation = report.incarnation
        _record_life(instance, known, report, asked_at)
    return exchange.peer_incarnation == upstream.incarnation


async def ask_life(instance: Instance, upstream: Upstream) -> UpstreamReport | None:
    """Return a replica's report over a new connection, None if it is of another life.

    Another incarnation replaces the known one.
    """
    report = await _ask(instance, upstream)
    return None if report is None or _is_other(report, upstream) else report


async def has_other_life(instance: Instance, upstream: Upstream) -> bool:
    """Report whether a replica reports another incarnation than the known one."""
    report = await _ask(instance, upstream)
    return report is not None and _is_other(report, upstream)


def is_version_unconfirmed(upstream: Upstream) -> bool:
    """Report whether a replica's incarnation is known from its report, by no entry yet."""
    name = name_unconfirmed_version(upstream.id, upstream.incarnation)
    return upstream.software_version == name


async def _ask(instance: Instance, upstream: Upstream) -> UpstreamReport | None:
    asked_at = time.monotonic()
    report = await fetch_report(instance, upstream)
    if report is None or instance.upstream_by_id.get(upstream.id) != upstream:
        return None
    if report.incarnation:
        _record_life(instance, upstream, report, asked_at)
    return report


def _is_other(report: UpstreamReport, upstream: Upstream) -> bool:
    return report.incarnation not in (0, upstream.incarnation)


def find_doubt(instance: Instance, upstream: Upstream) -> Doubt | None:
    """Return why a replica may have started again since its last report or entry."""
    life = instance.life_by_upstream.get(upstream.id)
    reported_at = -1e9 if life is None else life.at
    lost_at = instance.pool.lost_at_by_address.get(upstream.address, -1e9)
    if lost_at > reported_at:
        return Doubt.CONNECTION_LOST
    return None if is_discovery_current(instance) else Doubt.ENTRIES_LATE


def is_in_doubt(instance: Instance, upstream: Upstream) -> bool:
    """Report whether a replica may have started again since its last report or entry."""
    return find_doubt(instance, upstream) is not None


def is_discovery_current(instance: Instance) -> bool:
    """Report whether this instance knows each entry soon after it is written."""
    feed = instance.feed_by_kind.get(UPSTREAM_KIND)
    now = time.monotonic()
    if feed is None:
        return True
    if feed.is_delegated:
        return has_watching_hub(instance, now)
    return is_current(feed, now, MAX_SILENCE_S)


async def _fetch_report(
    instance: Instance,
    upstream: Upstream,
    exchange: Exchange,
    doubt: Doubt,
    request_id: bytes,
) -> UpstreamReport | None:
    request = make_report_request(upstream, make_request_id(instance))
    asked_at = time.monotonic()
    try:
        await exchange.send(request)
        # Replicas name no request in their reports.  A report over this connection tells
        # of the life that the connection leads to, even if it comes late.
        head = await exchange.read_head(ANSWER_TIMEOUT_S, may_lack_echo=True)
        body = await exchange.read_body(ANSWER_TIMEOUT_S)
    except UpstreamExchangeError as error:
        outcome, found = _describe_failure(error)
        if not isinstance(error, UpstreamTimeout):
            # A replica that has started again does not keep its connections.
            record_lost(instance.pool, upstream.address)
        _count_check(instance, doubt, outcome)
        # The message tells the failures apart, since long lines are cut.
        logger.warning(
            f"life of a replica not confirmed: {found}",
            extra={
                "request_id": request_id.decode("latin-1"),
                "upstream": upstream.id,
                "reason": str(error),
                "doubt": doubt,
                "waited_s": round(time.monotonic() - asked_at, 4),
                "is_reused": exchange.is_reused,
            },
        )
        return None
    report = read_report(upstream, head, body)
    if report is None or not exchange.is_complete():
        _count_check(instance, doubt, "invalid")
        return None
    _count_check(instance, doubt, "reported")
    exchange.reuse()
    return report


def _describe_failure(error: UpstreamExchangeError) -> tuple[str, str]:
    """Return a failure's label in the metric and its text in the log."""
    if isinstance(error, UpstreamTimeout):
        return "silent", "no report in time"
    if isinstance(error, UpstreamDisconnected):
        return "lost", "connection lost"
    return "invalid", "no valid report"


def _count_check(instance: Instance, doubt: Doubt, outcome: str) -> None:
    instance.metrics.life_checks.inc({"doubt": doubt.value, "outcome": outcome})


def _record_life(
    instance: Instance, upstream: Upstream, report: UpstreamReport, asked_at: float
) -> None:
    """Record a reported incarnation; a new one has an unknown version."""
    if report.incarnation == upstream.incarnation:
        past = instance.life_by_upstream.get(upstream.id)
        instance.life_by_upstream[upstream.id] = KnownLife(
            report.incarnation, asked_at, past.past_incarnation if past else None
        )
        return
    logger.info(
        "upstream restarted before its entry changed",
        extra={"upstream": upstream.id, "incarnation": report.incarnation},
    )
    version = name_unconfirmed_version(upstream.id, report.incarnation)
    changed = replace(
        upstream,
        incarnation=report.incarnation,
        software_version=version,
        weights=report.weights or upstream.weights,
    )
    replace_life(instance, changed, asked_at)

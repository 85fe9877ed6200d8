"""Log the ejections of replicas and count the retries that their budget allows."""

from __future__ import annotations

import logging
import time

from catkintrack.decisions import ejection
from catkintrack.decisions.retries import take_retry
from catkintrack.decisions.tables import UpstreamRow

from .fleet_state import find_retry_budget
from .state import Instance

logger = logging.getLogger(__name__)


def record_replica_failure(row: UpstreamRow, is_unreachable: bool, cause: str) -> None:
    """Record a failure of a replica, and log it if it ejects the replica."""
    if ejection.record_failure(row, time.monotonic(), is_unreachable):
        log_ejection(row, cause)


def log_ejection(row: UpstreamRow, cause: str) -> None:
    """Log that a replica is ejected, for how long and why."""
    logger.warning(
        "upstream ejected",
        extra={
            "upstream": row.name,
            "cause": cause,
            "duration_s": round(row.ejected_until - time.monotonic(), 3),
            "ejections": row.ejections,
            "in_flight": row.in_flight,
        },
    )


def may_retry(instance: Instance, service: str) -> bool:
    """Take one retry from a service's budget; report False if none is left."""
    is_allowed = take_retry(find_retry_budget(instance, service))
    outcome = "allowed" if is_allowed else "refused"
    instance.metrics.retries.inc({"service": service, "outcome": outcome})
    return is_allowed

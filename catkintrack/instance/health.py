"""Record the failures of replicas and log their ejections."""

from __future__ import annotations

import logging
import time

from catkintrack.decisions import ejection
from catkintrack.decisions.tables import UpstreamRow

logger = logging.getLogger(__name__)


def record_replica_failure(
    row: UpstreamRow, sent_at: float, is_unreachable: bool, cause: str
) -> None:
    """Record a failure of a replica, and log it if it ejects the replica."""
    if ejection.record_failure(row, sent_at, time.monotonic(), is_unreachable):
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

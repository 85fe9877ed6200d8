"""Enforce a workspace's rate limit over all instances from reported usage."""

from .buckets import (
    PooledLimits,
    TokenBucket,
    adopt_level,
    compute_report_delay_s,
    ensure_bucket,
    forget_peer_usage,
    limit_after_pause,
    record_peer_usage,
    refund,
    take,
)
from .reporting import PeerReports, find_reporting

__all__ = [
    "PeerReports",
    "PooledLimits",
    "TokenBucket",
    "adopt_level",
    "compute_report_delay_s",
    "ensure_bucket",
    "find_reporting",
    "forget_peer_usage",
    "limit_after_pause",
    "refund",
    "record_peer_usage",
    "take",
]

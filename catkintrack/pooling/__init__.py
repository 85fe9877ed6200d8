"""Keep a workspace's limit over all instances by the use that each reports."""

from .buckets import (
    PooledLimits,
    TokenBucket,
    adopt_level,
    ensure_bucket,
    record_peer_usage,
    refund,
    take,
)

__all__ = [
    "PooledLimits",
    "TokenBucket",
    "adopt_level",
    "ensure_bucket",
    "refund",
    "record_peer_usage",
    "take",
]

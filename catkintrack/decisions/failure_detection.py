"""Suspect upstreams that stop sending while they have requests in flight.

A replica can vanish without closing its connections.  Without detection its requests
would wait until their deadlines, and new ones would be sent there.
"""

from __future__ import annotations

from .ejection import is_ejected
from .tables import UpstreamRow

# A busy engine sends a token of some stream every few tens of milliseconds.
SUSPECT_AFTER_S = 0.6
# Longer, since a single long prefill or a preempted stream also sends nothing.
FAIL_OVER_AFTER_S = 2.0
# Shorter when new connections fail as well.
FAIL_OVER_UNREACHABLE_S = 0.4


def record_request_sent(row: UpstreamRow, now: float) -> None:
    """Start the silence timer if this is the only request in flight."""
    if row.in_flight <= 1:
        row.last_heard_at = now


def record_bytes_received(row: UpstreamRow, now: float) -> None:
    """Reset the silence timer on bytes from the upstream."""
    row.last_heard_at = now


def is_suspect(row: UpstreamRow, now: float, after_s: float = SUSPECT_AFTER_S) -> bool:
    """Report whether an upstream with requests in flight has been silent too long."""
    return row.in_flight > 0 and now - row.last_heard_at > after_s


def should_fail_over(row: UpstreamRow, now: float) -> bool:
    """Report whether requests at a silent upstream should be retried elsewhere."""
    limit_s = FAIL_OVER_UNREACHABLE_S if is_ejected(row, now) else FAIL_OVER_AFTER_S
    return now - row.last_heard_at > limit_s

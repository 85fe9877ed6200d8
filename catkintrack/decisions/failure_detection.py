"""Tell upstreams that have fallen silent from those that are only busy.

Answers a replica that vanishes without closing its connections: what was sent there
would wait until its deadline, and new requests would follow.
"""

from __future__ import annotations

from .ejection import is_ejected
from .tables import UpstreamRow

# A busy engine sends a token of some stream each few tens of milliseconds.
SUSPECT_AFTER_S = 0.6
# A lone long prefill, or a preempted stream, can be silent for longer.
FAIL_OVER_AFTER_S = 2.0
# Shorter where new connections fail as well.
FAIL_OVER_UNREACHABLE_S = 0.4


def record_request_sent(row: UpstreamRow, now: float) -> None:
    """Note a request that is on its way to the upstream."""
    if row.in_flight <= 1:
        row.last_heard_at = now


def record_bytes_received(row: UpstreamRow, now: float) -> None:
    """Note bytes from the upstream."""
    row.last_heard_at = now


def is_suspect(row: UpstreamRow, now: float) -> bool:
    """Report whether an upstream that owes answers has sent nothing of late."""
    return row.in_flight > 0 and now - row.last_heard_at > SUSPECT_AFTER_S


def should_fail_over(row: UpstreamRow, now: float) -> bool:
    """Report whether what runs at a silent upstream should go on elsewhere."""
    limit_s = FAIL_OVER_UNREACHABLE_S if is_ejected(row, now) else FAIL_OVER_AFTER_S
    return now - row.last_heard_at > limit_s

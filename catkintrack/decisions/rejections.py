"""Send nothing for a moment to a replica that rejects requests while it has free slots.

Load: a replica that loads weights, or sheds for another reason that its load doesn't show,
looks idle, so that all instances prefer it, and each call that it rejects costs a retry.
The pause doubles with each rejection after the last one, as the cause is unknown.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tables import Tables, UpstreamRow

# A rejection is known to all instances in about this time.
FIRST_PAUSE_S = 0.1
# Bounds how long a replica that accepts again stays without work.
MAX_PAUSE_S = 0.4


def record_rejection(
    tables: Tables, row: UpstreamRow, running: int, now: float
) -> None:
    """Pause a replica that has rejected a request though it names only `running` ones.

    Rejections during a pause were sent before it.
    """
    if tables.speeds is None or running >= row.max_running or now < row.rejecting_until:
        return
    pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**row.rejections)
    row.rejecting_until = now + pause_s
    row.rejections += 1


def record_acceptance(row: UpstreamRow) -> None:
    """End the pause of a replica that has accepted a request."""
    row.rejecting_until = 0.0
    row.rejections = 0

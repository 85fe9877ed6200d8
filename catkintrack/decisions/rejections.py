"""Send nothing for a moment to a replica that rejects requests while it has free slots.

Load: a replica that loads weights, or sheds for another reason that its load doesn't show,
looks idle, so that all instances prefer it, and each call that it rejects costs a retry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tables import Tables, UpstreamRow

# About the time in which all instances know of a rejection.  The pause doesn't grow with
# each one: a replica that accepts again would stay without work when it is needed most.
PAUSE_S = 0.1


def record_rejection(
    tables: Tables, row: UpstreamRow, running: int, now: float
) -> None:
    """Pause a replica that has rejected a request though it names only `running` ones.

    Rejections during a pause were sent before it.
    """
    if tables.speeds is None or running >= row.max_running:
        return
    if now >= row.rejecting_until:
        row.rejecting_until = now + PAUSE_S


def record_acceptance(row: UpstreamRow) -> None:
    """End the pause of a replica that has accepted a request."""
    row.rejecting_until = 0.0

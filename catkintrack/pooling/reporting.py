"""Count the instances that may use a limit, and those whose usage is known."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# A peer that has been silent for so long, in seconds, may use a limit unnoticed.
REPORT_TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class PeerReports:
    """Hold how long a peer has been silent, and whether it has announced its stop."""

    silent_s: float
    is_stopping: bool


def find_reporting(peers: Iterable[PeerReports]) -> tuple[int, int]:
    """Return the reporting instances and all that may use a limit, both with this one.

    A stopping peer reports until it ends, and uses nothing afterwards.
    """
    rows = list(peers)
    reporting = [row for row in rows if row.silent_s < REPORT_TIMEOUT_S]
    ended = [
        row for row in rows if row.is_stopping and row.silent_s >= REPORT_TIMEOUT_S
    ]
    return len(reporting) + 1, len(rows) - len(ended) + 1

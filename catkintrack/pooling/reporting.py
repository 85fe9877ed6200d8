"""Count the instances that may use a limit, and those whose usage is known."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerReports:
    """Hold whether a peer is heard, and whether it has announced its stop."""

    is_heard: bool
    is_stopping: bool


def find_reporting(peers: Iterable[PeerReports]) -> tuple[int, int]:
    """Return the reporting instances and all that may use a limit, both with this one.

    A stopping peer reports until it ends, and uses nothing afterwards.  A silent one
    that has announced nothing may use a limit unnoticed.
    """
    rows = list(peers)
    reporting = sum(row.is_heard for row in rows)
    ended = sum(row.is_stopping and not row.is_heard for row in rows)
    return reporting + 1, len(rows) - ended + 1

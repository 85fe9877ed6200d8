"""Count a call's tries and choose the replicas that its next one skips.

A try in which nothing was sent says little of a replica: it may close new connections, or
send no report, for a moment only.  A call that may have run can't be refused any more, so
that such tries don't count for it: it goes round the replicas until its time is over.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random

from .placement import is_eligible
from .tables import ModelRequest, Tables

MAX_TRIES = 5
# Pause after a try in which nothing was sent; doubled in each further round.
UNSENT_PAUSE_S = 0.05
UNSENT_PAUSE_MAX_S = 0.4
# Pause after a begun call was rejected; tripled by each further rejection.
REJECTED_PAUSE_S = 0.1
REJECTED_PAUSE_MAX_S = 0.9


class TryOutcome(Enum):
    """Name how a try ended that did not serve the call."""

    UNSENT = "unsent"
    REJECTED = "rejected"
    SILENT = "silent"
    BROKEN = "broken"


@dataclass(slots=True)
class Tries:
    """Hold how many tries a call has used up, and the replicas that it has tried.

    `tried` are those of the present round, `broken` those that broke off.
    """

    count: int = 0
    rounds: int = 0
    rejections: int = 0
    tried: frozenset[str] = frozenset()
    broken: frozenset[str] = frozenset()


def may_try(tries: Tries) -> bool:
    """Report whether the call may be placed once more."""
    return tries.count < MAX_TRIES


def record_try(
    tries: Tries, upstream: str, outcome: TryOutcome, has_started: bool
) -> None:
    """Record a try that did not serve the call."""
    tries.count += outcome is not TryOutcome.UNSENT or not has_started
    tries.rejections += outcome is TryOutcome.REJECTED
    tries.tried |= {upstream}
    if outcome is TryOutcome.BROKEN:
        tries.broken |= {upstream}


def find_excluded(
    tries: Tries, tables: Tables, request: ModelRequest, now: float
) -> frozenset[str]:
    """Return the replicas that the next try skips.

    Another round begins once each replica that may get the call has been tried.
    """
    untried = replace(request, excluded=tries.tried | tries.broken)
    rows = tables.upstream_by_name.values()
    if not any(is_eligible(tables, row, untried, now) for row in rows):
        tries.tried = frozenset()
        tries.rounds += 1
    return tries.tried | tries.broken


def choose_pause_s(tries: Tries, outcome: TryOutcome, rng: Random) -> float:
    """Return how long a begun call waits after a try, in seconds.

    Replicas that take nothing, or have no room, may do so a moment later.
    """
    if outcome is TryOutcome.UNSENT:
        return _spread(UNSENT_PAUSE_S * 2**tries.rounds, UNSENT_PAUSE_MAX_S, rng)
    if outcome is TryOutcome.REJECTED:
        pause_s = REJECTED_PAUSE_S * 3 ** (tries.rejections - 1)
        return _spread(pause_s, REJECTED_PAUSE_MAX_S, rng)
    return 0.0


def _spread(pause_s: float, max_s: float, rng: Random) -> float:
    """Return a random pause, so that the calls of one incident don't come together."""
    return min(max_s, pause_s) * (0.75 + rng.random() / 4)

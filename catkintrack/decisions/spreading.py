"""Spread the requests that many instances place at once on almost equal replicas.

Load: 8 to 195 instances that all know the same loads, some tenths of a second old, and
would all send their next requests to the fastest idle replica.  What they have sent
meanwhile is not known, but how much work that is on average: a replica is chosen at
random on the scale of that time, so that the chance of a choice falls exponentially with
its cost (softmin).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# Time until all instances know of a prefill that one of them has sent.
ANNOUNCED_AFTER_S = 0.15
# Span over which the fleet's prefills are averaged.
RATE_SPAN_S = 1.0
MIN_SPREAD_S = 0.005
MAX_SPREAD_S = 0.1


@dataclass(slots=True)
class SentTokens:
    """Hold the prompt tokens that all instances have sent, decayed over RATE_SPAN_S."""

    tokens: float = 0.0
    at: float = -math.inf


def add_sent_tokens(sent: SentTokens, tokens: int, now: float) -> None:
    """Count a prefill that this instance or a peer has sent."""
    sent.tokens = _decay(sent, now) + tokens
    sent.at = max(sent.at, now)


def _decay(sent: SentTokens, now: float) -> float:
    return sent.tokens * math.exp(-max(0.0, now - sent.at) / RATE_SPAN_S)


def estimate_spread_s(
    sent: SentTokens, capacity_per_s: float, instances: int, now: float
) -> float:
    """Return the mean work in seconds at a replica that peers have sent unseen.

    `capacity_per_s` is the tokens/s of all replicas together.
    """
    if instances <= 1 or capacity_per_s <= 0:
        return 0.0
    load = _decay(sent, now) / RATE_SPAN_S / capacity_per_s
    unseen_s = load * ANNOUNCED_AFTER_S * (instances - 1) / instances
    return min(MAX_SPREAD_S, max(MIN_SPREAD_S, unseen_s))


def choose_cost(costs: Sequence[float], spread: float, rng: Random) -> int:
    """Return the index of a low cost; each further `spread` makes it e times rarer."""
    lowest = min(costs)
    if spread <= 0:
        return costs.index(lowest)
    weights = [math.exp((lowest - cost) / spread) for cost in costs]
    return rng.choices(range(len(costs)), weights)[0]

"""State the users' rule on the limits that replicas name; times in seconds.

In any span of SPAN_S that ends STABLE_S or more after the first answer with a limit, a
replica gets at most LIMIT_FACTOR of what it allows and EXTRA_REQUESTS more, from the
instances that have passed on such an answer NOTICE_S before.
"""

from __future__ import annotations

SPAN_S = 4.0
STABLE_S = 3.0
NOTICE_S = 0.5
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5


def compute_allowed(limit_per_s: float) -> float:
    """Return how many requests a replica may get in a span."""
    return LIMIT_FACTOR * limit_per_s * SPAN_S + EXTRA_REQUESTS


def count_most_arrivals(arrived_at: list[float]) -> int:
    """Return the most arrivals in a span; times are since the first answer."""
    return max(
        (
            sum(end - SPAN_S < at <= end for at in arrived_at)
            for end in arrived_at
            if end >= STABLE_S
        ),
        default=0,
    )

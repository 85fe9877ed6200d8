"""Define Hypothesis settings under which each run generates the same examples."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

DETERMINISTIC = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    suppress_health_check=list(HealthCheck),
)

"""Define the outcomes of scheduling a request: a dispatch or a refusal."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .tables import ModelRequest

MIN_RETRY_AFTER_S = 1.0


class RefusalReason(Enum):
    """Name the reason for a refusal; the values are sent to callers and logged."""

    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry_budget"
    RESTING = "resting"
    LIMITED = "limited"
    ADMISSION = "admission"


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Direct a request to an upstream.

    `fetch_from` names the upstream or cache store to fetch cached blocks from.
    """

    request: ModelRequest
    upstream: str
    uncached_tokens: int
    best_cached_tokens: int
    fetch_from: str | None = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a request that has not run; it may be retried after `retry_after_s`.

    `wait_s` is the estimated wait on which the refusal is based, None if there is none.
    """

    request: ModelRequest
    reason: RefusalReason
    retry_after_s: float
    wait_s: float | None = None


Decision = Dispatch | Refusal

"""Eject failing upstreams with exponential backoff, as a circuit breaker does."""

from __future__ import annotations

from .tables import UpstreamRow

FAILURES_TO_EJECT = 3
EJECTION_S = 0.5
EJECTION_MAX_S = 15.0


def is_ejected(row: UpstreamRow, now: float) -> bool:
    """Report whether the upstream is ejected or its trial request is in flight."""
    if now < row.ejected_until:
        return True
    # Half-open: a single trial request at a time until one succeeds.
    return row.consecutive_failures > 0 and row.trial_sent_at is not None


def begin_trial(row: UpstreamRow, now: float) -> None:
    """Record a request that is sent now, which is the trial if an ejection has ended."""
    if row.ejections and now >= row.ejected_until:
        row.trial_sent_at = now


def end_trial(row: UpstreamRow, sent_at: float) -> None:
    """Record that a request has ended; another one may be the trial if it was."""
    if row.trial_sent_at == sent_at:
        row.trial_sent_at = None


def record_failure(
    row: UpstreamRow, sent_at: float, now: float, is_unreachable: bool
) -> bool:
    """Count the failure of a request sent at `sent_at`; report whether it ejects.

    An unreachable upstream is ejected at once.  Requests that were under way when an
    ejection began failed in the same incident, and don't lengthen it.
    """
    if sent_at <= row.ejected_at:
        return False
    row.consecutive_failures += 1
    row.is_unreachable = is_unreachable
    if not is_unreachable and row.consecutive_failures < FAILURES_TO_EJECT:
        return False
    duration_s = min(EJECTION_MAX_S, EJECTION_S * 2**row.ejections)
    row.ejections += 1
    row.ejected_at = now
    row.ejected_until = now + duration_s
    return True


def record_success(row: UpstreamRow, now: float) -> None:
    """Count a success; an upstream that was ejected begins its slow start."""
    if row.ejections:
        row.ramp_started_at = now
    row.consecutive_failures = 0
    row.is_unreachable = False
    row.trial_sent_at = None
    row.ejections = 0
    row.ejected_until = 0.0

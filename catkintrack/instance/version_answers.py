"""Count what the answers of calls show of a software version during its order."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from catkintrack.fleet import (
    Call,
    RolloutState,
    Upstream,
)
from catkintrack.http import UpstreamExchangeError
from catkintrack.rollouts import (
    ServiceRollout,
    add_answer,
)

from .rollout_orders import is_new_version
from .state import Instance

# A call that its caller gave up counts as an answer once it took this many targets.
GIVEN_UP_TARGETS = 1.0


@dataclass(slots=True)
class Answer:
    """Hold an attempt's answer so far; it counts once `sent_at` is set."""

    sent_at: float | None = None
    is_failed: bool = False


@contextmanager
def count_answer(
    instance: Instance, call: Call, upstream: Upstream, prefilled_tokens: int
) -> Iterator[Answer]:
    """Count the answer of an attempt for the verdict on its version."""
    answer = Answer()
    rollout = instance.rollouts.rollout_by_service.get(call.service)
    if rollout is None or rollout.plan.state is not RolloutState.RUNNING:
        yield answer
        return
    is_whole = False
    try:
        yield answer
        is_whole = True
    except UpstreamExchangeError:
        answer.is_failed = True
        raise
    finally:
        if answer.sent_at is not None:
            taken_s = time.monotonic() - answer.sent_at
            is_late = taken_s >= GIVEN_UP_TARGETS * call.route.target_s
            if is_whole or answer.is_failed or is_late:
                taken_s -= _estimate_prefill_s(instance, prefilled_tokens)
                _count(instance, rollout, call, upstream, answer, taken_s)


def _count(
    instance: Instance,
    rollout: ServiceRollout,
    call: Call,
    upstream: Upstream,
    answer: Answer,
    taken_s: float,
) -> None:
    is_new = is_new_version(upstream, rollout.order)
    cold_until = instance.rollouts.cold_until_by_upstream.get(upstream.id, 0.0)
    if not answer.is_failed and answer.sent_at < cold_until:
        # A replica that has just started is slow at any version.
        return
    seconds = None if answer.is_failed else taken_s
    add_answer(rollout.own_counts, call.route.name, is_new, seconds)
    add_answer(rollout.total_counts, call.route.name, is_new, seconds)
    instance.metrics.rollout_answers.inc(
        {
            "service": upstream.service,
            "version": upstream.software_version,
            "outcome": "failed" if answer.is_failed else "whole",
        }
    )


def _estimate_prefill_s(instance: Instance, tokens: int) -> float:
    """Return what a prefill takes: the caches of new replicas are empty at first."""
    rows = instance.decisions.upstream_by_name.values()
    rate = max((row.prefill_tokens_per_s for row in rows), default=0.0)
    return tokens / rate if tokens > 0 and rate else 0.0

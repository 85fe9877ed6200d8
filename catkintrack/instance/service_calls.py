"""Serve calls to services without models, and calls without a prompt to others."""

from __future__ import annotations

import logging
import time

import curio

from catkintrack.decisions import ejection
from catkintrack.decisions.failure_detection import (
    SUSPECT_AFTER_S,
    record_bytes_received,
    record_request_sent,
)
from catkintrack.decisions.services import (
    choose_replica,
    ensure_service_row,
    has_healthy_replica,
    observe_service,
    record_service_time,
)
from catkintrack.fleet import Call, Upstream
from catkintrack.http import (
    Connection,
    UpstreamDisconnected,
    UpstreamExchangeError,
    UpstreamTimeout,
    UpstreamUnreachable,
)
from catkintrack.platform import Dispatch, ResponseFields
from catkintrack.timeouts import timeout_after

from .attempts import (
    AttemptCallbacks,
    CallProgress,
    ReplicaErrorResponse,
    ReplicaRejected,
    ReplicaUnavailable,
    forward_response,
    run_attempt,
)
from .health import record_replica_failure
from .late_calls import DEADLINE_MARGIN_S
from .quarantining import (
    check_quarantine,
    record_given_up,
    report_completed,
    report_lost_replica,
    report_unreachable,
    start_trial,
)
from .refusals import NotServed, OutcomeUnknown
from .replica_loads import record_service_load
from .replica_signals import (
    find_limit_wait_s,
    find_return_s,
    may_choose,
    only_lacks_room,
    record_chosen,
)
from .retry_budgets import (
    credit_request,
    has_retry_left,
    reserve_retry,
    take_next_attempt,
)
from .room_waits import choose_with_room, find_room_wait_s, wake_next
from .state import Instance
from .version_choice import (
    NO_CHOICE,
    VersionChoice,
    allows,
    choose_version,
    describe_version,
    release,
)
from .zone_choices import record_zone_answer, record_zone_choice, record_zone_loss

logger = logging.getLogger(__name__)

MAX_TRIES = 4
RETRY_AFTER_S = 0.2
# Another instance, to which a caller comes back, has a share of the limits of its own.
LIMIT_RETRY_MAX_S = 1.0
# A retryable call is retried elsewhere if it has no complete response after this many
# times the route's latency target.
ATTEMPT_TIMEOUT_TARGETS = 2.0
# Shorter than for streams: whole calls take some tens of milliseconds.
CALL_CHECK_INTERVAL_S = 0.05


async def serve_service_call(
    instance: Instance, call: Call, progress: CallProgress, connection: Connection
) -> None:
    """Serve a call, and retry it on other replicas after a rejection or failure."""
    credit_request(instance, call)
    excluded: frozenset[str] = frozenset()
    error_response: ReplicaErrorResponse | None = None
    for _ in range(MAX_TRIES):
        if not take_next_attempt(instance, call, progress):
            progress.reason = "the retry budget is used up"
            break
        check_quarantine(instance, call, progress)
        choice = choose_version(instance, call.service, None, excluded=excluded)
        upstream = None
        try:
            upstream = await _wait_for_upstream(instance, call, excluded, choice)
        finally:
            if upstream is None:
                release(choice)
        if upstream is None:
            break
        excluded |= {upstream.id}
        start_trial(instance, call)
        try:
            await _run(instance, call, progress, upstream, excluded, connection)
            return
        except ReplicaErrorResponse as error:
            error_response = error
            progress.record_outcome(str(error))
        except ReplicaRejected as error:
            progress.record_outcome(f"not run: {error}")
            continue
        except ReplicaUnavailable as error:
            progress.record_outcome(f"not sent: {error}")
            continue
        except UpstreamUnreachable as error:
            progress.unreachable_attempts += 1
            progress.record_outcome(f"unreachable: {error}")
            continue
        except UpstreamExchangeError as error:
            progress.record_outcome(f"broken: {error}")
            if connection.has_response_started:
                raise OutcomeUnknown("the answer was cut") from error
        finally:
            release(choice)
        if (
            not call.route.is_retryable
            or progress.executions >= call.route.max_attempts
        ):
            break
    if error_response is not None:
        await forward_response(
            progress, error_response.head, error_response.body, connection
        )
        return
    if progress.may_have_run:
        raise OutcomeUnknown(progress.reason or "every replica failed")
    wait_s = find_return_s(instance, call.service, call.deadline_at, time.monotonic())
    if wait_s is not None:
        raise NotServed("all replicas rest", wait_s)
    wait_s = find_limit_wait_s(instance, call.service, time.monotonic())
    if wait_s:
        raise NotServed(
            "all replicas have reached their limits", min(wait_s, LIMIT_RETRY_MAX_S)
        )
    wait_s = find_room_wait_s(instance, call.service)
    if wait_s is not None:
        wait_s = min(max(wait_s, RETRY_AFTER_S), LIMIT_RETRY_MAX_S)
        reason = progress.reason or "brittle replicas have no room in time"
        raise NotServed(reason, wait_s)
    raise NotServed(progress.reason or "no replica can take the call", RETRY_AFTER_S)


async def _wait_for_upstream(
    instance: Instance, call: Call, excluded: frozenset[str], choice: VersionChoice
) -> Upstream | None:
    """Return the replica that gets a call, if any, once a brittle one has room."""

    def choose() -> Upstream | None:
        return choose_upstream(
            instance,
            call.service,
            excluded,
            time.monotonic(),
            _find_attempt_timeout_s(call),
            choice,
        )

    def lacks_room() -> bool:
        now = time.monotonic()
        return any(
            upstream.service == call.service
            and upstream.id not in excluded
            and not upstream.is_draining
            and allows(choice, upstream)
            and only_lacks_room(instance, upstream, now)
            for upstream in instance.upstream_by_id.values()
        )

    return await choose_with_room(instance, call, choose, lacks_room)


def choose_upstream(
    instance: Instance,
    service: str,
    excluded: frozenset[str],
    now: float,
    silent_after_s: float = SUSPECT_AFTER_S,
    choice: VersionChoice = NO_CHOICE,
) -> Upstream | None:
    """Return the replica that gets a call to a service now, if any.

    Those that were silent for `silent_after_s` come last.
    """
    names = _list_replicas(instance, service, excluded, now, choice)
    if not excluded:
        observe_service(instance.services, service, names, now)
    name = choose_replica(
        instance.services,
        names,
        now,
        instance.rng,
        instance.site.zone,
        silent_after_s,
        service,
    )
    if name is None:
        return None
    upstream = instance.upstream_by_id[name]
    record_chosen(instance, upstream, now)
    return upstream


def _find_attempt_timeout_s(call: Call) -> float:
    return ATTEMPT_TIMEOUT_TARGETS * call.route.target_s


def _list_replicas(
    instance: Instance,
    service: str,
    excluded: frozenset[str],
    now: float,
    choice: VersionChoice = NO_CHOICE,
) -> list[str]:
    """Return the names of the replicas that may get a call, whatever their health."""
    return [
        upstream.id
        for upstream in instance.upstream_by_id.values()
        if upstream.service == service
        and not upstream.is_draining
        and upstream.id not in excluded
        and allows(choice, upstream)
        and may_choose(instance, upstream, now)
    ]


async def _run(
    instance: Instance,
    call: Call,
    progress: CallProgress,
    upstream: Upstream,
    excluded: frozenset[str],
    connection: Connection,
) -> None:
    row = ensure_service_row(instance.services, upstream.id)
    row.in_flight += 1
    is_retryable = call.route.is_retryable
    executions = progress.executions + 1
    connected_before = progress.connected_attempts
    is_last_attempt = executions >= call.route.max_attempts

    def try_reserve_move() -> bool:
        if not is_retryable or is_last_attempt or connection.has_response_started:
            return False
        if not has_retry_left(instance, call, progress):
            return False
        now = time.monotonic()
        others = _list_replicas(instance, call.service, excluded, now)
        if not has_healthy_replica(instance.services, others, now, attempt_timeout_s):
            return False
        return reserve_retry(instance, call, progress)

    async def handle_response_head(fields: ResponseFields) -> None:
        if fields.load is not None:
            record_service_load(instance, row, fields.load, time.monotonic())
        if not fields.is_not_run:
            progress.executions = executions
        record_zone_answer(instance, call.service, row, fields)

    async def handle_completion() -> None:
        await report_completed(instance, call)

    progress.record_attempt(
        upstream.id,
        in_flight=row.in_flight,
        reported=row.reported_running + row.reported_waiting,
        zone=row.zone,
        **record_zone_choice(instance, call.service, row),
        **describe_version(instance, call.service, upstream),
    )
    sent_at = time.monotonic()
    remaining_s = call.deadline_at - sent_at - DEADLINE_MARGIN_S
    dispatch = Dispatch(upstream.id, remaining_s)
    attempt_timeout_s = _find_attempt_timeout_s(call)
    callbacks = AttemptCallbacks(
        handle_response_head,
        on_data=lambda: record_bytes_received(row, time.monotonic()),
        on_completed=handle_completion,
        should_abandon=lambda: time.monotonic() >= sent_at + attempt_timeout_s,
        try_reserve_move=try_reserve_move,
        check_interval_s=CALL_CHECK_INTERVAL_S,
    )
    record_request_sent(row, sent_at)
    ejection.begin_trial(row, sent_at)
    try:
        async with timeout_after(max(0.02, remaining_s)):
            await run_attempt(
                instance,
                call,
                progress,
                upstream,
                dispatch,
                connection,
                callbacks,
                is_retryable and not is_last_attempt,
            )
        ejection.record_success(row, time.monotonic())
        duration_s = time.monotonic() - sent_at
        record_service_time(instance.services, call.service, duration_s)
    except curio.TaskTimeout as error:
        progress.executions = executions
        if progress.connected_attempts > connected_before:
            record_given_up(instance, upstream, call)
        record_replica_failure(row, sent_at, False, "no answer in time")
        record_zone_loss(instance, call.service, row)
        raise UpstreamTimeout("no answer in time") from error
    except curio.CancelledError:
        if progress.connected_attempts > connected_before:
            record_given_up(instance, upstream, call)
        raise
    except UpstreamUnreachable as error:
        record_replica_failure(row, sent_at, True, f"unreachable: {error}")
        record_zone_loss(instance, call.service, row)
        await report_unreachable(instance, upstream)
        raise
    except UpstreamExchangeError as error:
        progress.executions = executions
        if isinstance(error, UpstreamTimeout):
            record_given_up(instance, upstream, call)
        if isinstance(error, UpstreamDisconnected):
            await report_lost_replica(instance, upstream, call, False)
        record_replica_failure(row, sent_at, False, str(error))
        record_zone_loss(instance, call.service, row)
        raise
    finally:
        row.in_flight -= 1
        ejection.end_trial(row, sent_at)
        if instance.room_queue_by_service:
            await wake_next(instance, call.service)

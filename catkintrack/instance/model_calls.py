"""Serve model calls: choose a replica, relay its stream, resume it on another replica."""

from __future__ import annotations

import logging
import time
from dataclasses import replace
from typing import NoReturn

import curio

from catkintrack.calls import (
    CallWithdrawn,
    allow_withdrawal,
    run_tick,
    wait_for_decision,
)
from catkintrack.decisions import (
    Decision,
    ModelRequest,
    Refusal,
    RefusalReason,
    record_answer,
    record_end,
    record_failure,
    record_first_token,
)
from catkintrack.decisions import Dispatch as DispatchDecision
from catkintrack.decisions.admission import record_completion
from catkintrack.decisions.cache_store import (
    CacheStoreIndex,
    add_stored_blocks,
    choose_store,
    should_store_prefix,
)
from catkintrack.decisions.engine_priority import (
    compute_engine_priority,
    compute_urgency,
)
from catkintrack.decisions.failure_detection import (
    record_bytes_received,
    should_fail_over,
)
from catkintrack.decisions.memory import count_held_tokens
from catkintrack.decisions.moves import (
    choose_target,
    list_others,
    record_moved,
    record_not_served,
)
from catkintrack.decisions.placement import may_run
from catkintrack.decisions.prefills import ANNOUNCED_MIN_TOKENS
from catkintrack.decisions.speeds import find_prefill_rate
from catkintrack.decisions.tables import UpstreamRow
from catkintrack.decisions.tries import (
    Tries,
    TryOutcome,
    choose_pause_s,
    find_excluded,
    may_try,
    record_try,
)
from catkintrack.fleet import (
    Call,
    Feature,
    ModelWeights,
    Prompt,
    ReplicaLoad,
    Upstream,
)
from catkintrack.http import (
    Address,
    Connection,
    UpstreamDisconnected,
    UpstreamExchangeError,
    UpstreamTimeout,
    UpstreamUnreachable,
)
from catkintrack.platform import Dispatch, ResponseFields

from .attempts import (
    AttemptCallbacks,
    CallProgress,
    ReplicaRejected,
    ReplicaUnavailable,
    find_last_event_id,
    run_attempt,
)
from .broadcasting import broadcast
from .fleet_state import apply_replica_weights
from .health import log_ejection
from .late_calls import DEADLINE_MARGIN_S
from .lives import has_other_life
from .messages import PrefillBegun, PrefillEnded
from .moves import ask_others, ask_silent
from .prompts import hash_prompt_blocks, make_cache_salt
from .quarantining import (
    check_quarantine,
    record_given_up,
    report_completed,
    report_lost_replica,
    report_served,
    report_unreachable,
    start_trial,
)
from .refusals import NotServed, OutcomeUnknown
from .relaying import should_relay
from .replica_loads import add_shared_load, record_load
from .replica_signals import find_return_s
from .reports import learn_weights
from .retry_budgets import (
    credit_request,
    has_retry_left,
    reserve_retry,
    take_next_attempt,
)
from .state import Instance
from .stream_origins import (
    check_version_served,
    find_resumption_version,
    flush_origins,
    forget_origin,
    is_version_awaited,
    record_begun_stream,
)
from .version_choice import (
    VersionChoice,
    choose_version,
    place_at,
    release,
    release_unplaced,
)
from .zone_choices import record_zone_answer, record_zone_choice, record_zone_loss

logger = logging.getLogger(__name__)

# Lower bound of the time from sending a request to its first token, for its priority in
# the engine.  The scheduler has a longer one from its decision to the first token.
MIN_FIRST_TOKEN_S = 0.02
# Requests with less time than this before their deadline are not dispatched.
MIN_SERVICE_S = 0.15
RETRY_AFTER_S = 0.3
MAX_LOGGED_PARTS = 16


class NoFurtherTry(Exception):
    """Report that no other replica may serve a call."""


async def serve_model_call(
    instance: Instance, call: Call, progress: CallProgress, connection: Connection
) -> None:
    """Serve a model call on the replica where it costs least; retry it on others."""
    prompt = call.prompt
    assert prompt is not None
    credit_request(instance, call)
    progress.software_version = await find_resumption_version(instance, call)
    request = _make_request(instance, call, prompt)
    tries = Tries()
    while may_try(tries):
        if not take_next_attempt(instance, call, progress):
            progress.reason = "the retry budget is used up"
            break
        check_quarantine(instance, call, progress)
        version = progress.software_version
        has_begun = progress.last_event_id is not None
        if has_begun and is_version_awaited(instance, call, version):
            await _pause(instance, tries, TryOutcome.UNSENT)
            continue
        check_version_served(instance, call, version, progress)
        choice = choose_version(instance, call.service, version, request)
        placed = place_at(request, choice)
        with release_unplaced(choice):
            decision = await _wait_for_decision(instance, call, progress, placed)
        if isinstance(decision, Refusal):
            release(choice)
            _apply_refusal(instance, call, progress, decision)
            break
        try:
            outcome = await _try_replica(
                instance, call, progress, placed, decision, connection
            )
        except NoFurtherTry:
            break
        finally:
            release(choice)
            record_end(instance.decisions, request.id, time.monotonic())
            await run_tick(instance.call_queue)
        if outcome is None:
            return
        has_started = progress.may_have_run
        _record_try(instance, tries, decision.upstream, outcome, has_started)
        if has_started:
            await _pause(instance, tries, outcome)
        request = replace(request, is_retry=True, has_started=has_started)
        request = _exclude_tried(instance, tries, request, progress, choice)
    await _raise_not_served(instance, call, progress)


async def _try_replica(
    instance: Instance,
    call: Call,
    progress: CallProgress,
    placed: ModelRequest,
    decision: DispatchDecision,
    connection: Connection,
) -> TryOutcome | None:
    """Run a call on the chosen replica; return None if it was served.

    Raise NoFurtherTry if it was not, and no other replica may serve it.
    """
    upstream = instance.upstream_by_id.get(decision.upstream)
    try:
        check_quarantine(instance, call, progress)
        start_trial(instance, call)
        await _run(instance, call, progress, placed, decision, connection)
        return None
    except ReplicaRejected as error:
        progress.record_outcome(f"not run: {error}")
        if error.fields.is_misdirected:
            await _query_weights(instance, decision.upstream)
        return TryOutcome.REJECTED
    except ReplicaUnavailable as error:
        progress.record_outcome(f"not sent: {error}")
        return TryOutcome.UNSENT
    except UpstreamUnreachable as error:
        progress.unreachable_attempts += 1
        progress.record_outcome(f"unreachable: {error}")
        if should_relay(instance, call, progress):
            # Waiting for a replica would only delay the relay through a peer.
            raise NoFurtherTry from error
        return TryOutcome.UNSENT
    except UpstreamExchangeError as error:
        progress.record_outcome(f"broken: {error}")
        is_exhausted = progress.executions >= call.route.max_attempts
        if not call.route.is_retryable or is_exhausted:
            raise NoFurtherTry from error
        if progress.has_unnumbered_event:
            progress.reason = "an event without an id can't be gone on after"
            raise NoFurtherTry from error
        is_silent = isinstance(error, UpstreamTimeout)
        outcome = TryOutcome.SILENT if is_silent else TryOutcome.BROKEN
        await _check_origin(instance, call, progress, upstream, outcome)
        return outcome


def _record_try(
    instance: Instance,
    tries: Tries,
    name: str,
    outcome: TryOutcome,
    has_started: bool,
) -> None:
    record_try(tries, name, outcome, has_started)
    row = instance.decisions.upstream_by_name.get(name)
    if row is not None:
        record_not_served(row, time.monotonic())


async def _pause(instance: Instance, tries: Tries, outcome: TryOutcome) -> None:
    await curio.sleep(choose_pause_s(tries, outcome, instance.rng))


def _exclude_tried(
    instance: Instance,
    tries: Tries,
    request: ModelRequest,
    progress: CallProgress,
    choice: VersionChoice,
) -> ModelRequest:
    """Return the request without the replicas that its next try skips."""
    allowed = replace(
        request,
        software_version=progress.software_version,
        barred_versions=choice.barred,
    )
    now = time.monotonic()
    excluded = find_excluded(tries, instance.decisions, allowed, now)
    return replace(request, excluded=excluded)


def _apply_refusal(
    instance: Instance, call: Call, progress: CallProgress, refusal: Refusal
) -> None:
    """Record why a call is refused; raise NotServed unless it may have run."""
    progress.reason = refusal.reason.value
    progress.expected_wait_s = refusal.wait_s
    _count_admission_refusal(instance, call, refusal)
    if not progress.may_have_run:
        raise NotServed(progress.reason, refusal.retry_after_s)


async def _raise_not_served(
    instance: Instance, call: Call, progress: CallProgress
) -> NoReturn:
    """Raise the error with which a call ends that no replica has served."""
    if progress.may_have_run:
        if progress.last_event_id is not None:
            await flush_origins(instance, call)
        raise OutcomeUnknown(progress.reason or "every replica failed")
    wait_s = find_return_s(instance, call.service, call.deadline_at, time.monotonic())
    if wait_s is not None:
        raise NotServed("all replicas rest", wait_s)
    raise NotServed(progress.reason or "no replica can take the call", RETRY_AFTER_S)


async def _wait_for_decision(
    instance: Instance, call: Call, progress: CallProgress, request: ModelRequest
) -> Decision:
    """Queue a call; raise NotServed if a peer is to serve it meanwhile."""
    queue = instance.call_queue
    narrowed = replace(request, excluded=request.excluded | progress.skipped)
    progress.skipped = frozenset()
    queued_at = time.monotonic()
    try:
        with allow_withdrawal(
            queue, request.id, lambda: should_relay(instance, call, progress)
        ):
            return await wait_for_decision(queue, narrowed)
    except CallWithdrawn as error:
        raise NotServed("no replica is in reach", RETRY_AFTER_S) from error
    finally:
        progress.waited_s += time.monotonic() - queued_at


def _count_admission_refusal(instance: Instance, call: Call, refusal: Refusal) -> None:
    if refusal.reason is not RefusalReason.ADMISSION:
        return
    instance.metrics.admission_refusals.inc(
        {"priority": str(call.priority), "workspace": refusal.request.workspace}
    )


async def _check_origin(
    instance: Instance,
    call: Call,
    progress: CallProgress,
    upstream: Upstream | None,
    outcome: TryOutcome,
) -> None:
    """Forget the version of a begun stream if its replica was in another life.

    It may be known from an entry only, which can be older than the incarnation.
    """
    if progress.is_version_confirmed or progress.last_event_id is None:
        return
    if upstream is not None and await _has_restarted(instance, upstream, outcome):
        progress.software_version = await forget_origin(instance, call)
    progress.is_version_confirmed = True


async def _has_restarted(
    instance: Instance, upstream: Upstream, outcome: TryOutcome
) -> bool:
    """Report whether a replica may run another version than when it got the call."""
    known = instance.upstream_by_id.get(upstream.id)
    if known is None:
        return False
    if known.incarnation != upstream.incarnation:
        return known.software_version != upstream.software_version
    # A silent one was asked while its stream waited, and has not answered.
    is_silent = outcome is TryOutcome.SILENT
    return not is_silent and await has_other_life(instance, known)


async def _query_weights(instance: Instance, name: str) -> None:
    upstream = instance.upstream_by_id.get(name)
    if upstream is not None:
        await learn_weights(instance, upstream)


def _find_priority(instance: Instance, call: Call) -> int:
    """Return the priority by which a call competes with others for room."""
    if Feature.ADMISSION not in instance.site.features or call.workspace is None:
        return call.priority
    return compute_urgency(call.workspace.priority, call.route.priority)


def _make_request(instance: Instance, call: Call, prompt: Prompt) -> ModelRequest:
    blocks, block_ends = hash_prompt_blocks(call, prompt)
    return ModelRequest(
        id=call.id.decode("latin-1"),
        workspace=call.workspace.name if call.workspace else "",
        model=prompt.model,
        blocks=blocks,
        prompt_tokens=prompt.prompt_tokens,
        max_tokens=prompt.max_output_tokens,
        priority=_find_priority(instance, call),
        arrived_at=call.arrived_at,
        deadline=call.deadline_at - MIN_SERVICE_S,
        block_ends=block_ends,
        target_at=call.target_at,
    )


async def _run(
    instance: Instance,
    call: Call,
    progress: CallProgress,
    request: ModelRequest,
    decision: DispatchDecision,
    connection: Connection,
) -> None:
    """Run a call on the chosen replica and update the scheduler's tables."""
    prompt = call.prompt
    assert prompt is not None
    tables = instance.decisions
    row = tables.upstream_by_name.get(decision.upstream)
    upstream = instance.upstream_by_id.get(decision.upstream)
    if row is None or upstream is None or not may_run(row, request):
        raise UpstreamUnreachable("the replica is gone")
    progress.cached_tokens = prompt.prompt_tokens - decision.uncached_tokens
    is_long_prefill = decision.uncached_tokens >= ANNOUNCED_MIN_TOKENS
    has_response_head = False
    named_load: ReplicaLoad | None = None
    version = row.weights_version
    connected_before = progress.connected_attempts
    store = choose_store(tables, request)
    saved_blocks = _find_blocks_to_save(instance, store, request, version)

    async def handle_response_head(fields: ResponseFields) -> None:
        nonlocal has_response_head, named_load
        now = time.monotonic()
        if fields.load is not None:
            named_load = fields.load
            record_load(instance, row, fields.load, now)
        wait_s = 0.0
        # The time of a fetch is no sign of a queue.
        if decision.fetch_from is None:
            prefill_s = decision.uncached_tokens / find_prefill_rate(tables, row, now)
            wait_s = now - sent_at - prefill_s
        record_zone_answer(instance, request.model, row, fields, wait_s)
        if fields.weights_version is not None:
            weights = ModelWeights(prompt.model, fields.weights_version)
            apply_replica_weights(instance, upstream.id, weights, now)
        if not fields.is_not_run:
            has_response_head = True
            progress.executions += 1
            record_first_token(tables, request.id, row.incarnation, now)
            if is_long_prefill or saved_blocks:
                await _broadcast_prefill_ended(
                    instance, request, row, version, saved_blocks, store, fields.load
                )

    has_event = False

    async def handle_answer() -> None:
        nonlocal has_event
        has_event = True
        record_answer(tables, request.id, time.monotonic())
        if progress.software_version is None:
            progress.software_version = upstream.software_version
        if call.route.is_resumable:
            await record_begun_stream(instance, call, upstream)
        await report_served(instance, prompt)

    async def handle_completion() -> None:
        record_completion(tables, request.id)
        await report_completed(instance, call)

    executions = progress.executions + 1
    others = replace(request, excluded=request.excluded | {upstream.id})

    def may_move() -> bool:
        if not call.route.is_retryable or executions >= call.route.max_attempts:
            return False
        return has_retry_left(instance, call, progress)

    def try_reserve_move() -> bool:
        if not may_move():
            return False
        target = choose_target(tables, find_wanted(), time.monotonic())
        if target is None or not reserve_retry(instance, call, progress):
            return False
        record_moved(target)
        progress.skipped = list_others(tables, target)
        return True

    def find_wanted() -> ModelRequest:
        return replace(others, software_version=progress.software_version)

    async def prepare_move() -> None:
        if may_move():
            await ask_others(instance, find_wanted())
            if not progress.is_version_confirmed:
                await ask_silent(instance, upstream, row)

    callbacks = AttemptCallbacks(
        on_response_head=handle_response_head,
        on_answered=handle_answer,
        on_completed=handle_completion,
        on_data=lambda: record_bytes_received(row, time.monotonic()),
        # The bound on a pause ends a stream that has begun.
        should_abandon=lambda: (
            not has_event and should_fail_over(row, time.monotonic())
        ),
        try_reserve_move=try_reserve_move,
        prepare_move=prepare_move,
    )
    remaining_s = call.deadline_at - time.monotonic() - DEADLINE_MARGIN_S
    dispatch = Dispatch(
        upstream_id=upstream.id,
        deadline_s=remaining_s,
        cache_salt=make_cache_salt(call, prompt.model, row.weights_version),
        weights_version=row.weights_version or None,
        fetch_from=_find_address(instance, decision.fetch_from),
        save_to=_find_address(instance, store.name)
        if store is not None and saved_blocks
        else None,
        last_event_id=find_last_event_id(call, progress),
        rank=compute_engine_priority(
            request.priority, call.target_at, MIN_FIRST_TOKEN_S, time.monotonic()
        ),
    )
    progress.record_attempt(
        upstream.id,
        version=version,
        software=upstream.software_version,
        found=progress.cached_tokens,
        fetch_from=decision.fetch_from,
        keeps=bool(saved_blocks),
        in_flight=row.in_flight,
        reported=row.reported_running + row.reported_waiting,
        reported_s_ago=round(time.monotonic() - row.reported_at, 3),
        rank=dispatch.rank,
        zone=row.zone,
        **record_zone_choice(instance, request.model, row),
    )
    sent_at = time.monotonic()
    try:
        if is_long_prefill:
            await _broadcast_prefill_begun(instance, request, decision)
        await run_attempt(
            instance, call, progress, upstream, dispatch, connection, callbacks, False
        )
        record_answer(tables, request.id, time.monotonic())
    except UpstreamUnreachable as error:
        if record_failure(tables, request.id, time.monotonic(), True):
            log_ejection(row, f"unreachable: {error}")
        record_zone_loss(instance, request.model, row)
        await report_unreachable(instance, upstream)
        raise
    except curio.CancelledError:
        if progress.connected_attempts > connected_before:
            record_given_up(instance, upstream, call)
        raise
    except UpstreamExchangeError as error:
        if not has_response_head:
            progress.executions += 1
        if isinstance(error, UpstreamTimeout):
            record_given_up(instance, upstream, call)
        if isinstance(error, UpstreamDisconnected):
            # Parts that another replica has begun to answer are not the cause.
            has_begun_prompt = has_response_head and progress.last_event_id is None
            await report_lost_replica(instance, upstream, call, has_begun_prompt)
        parts = [part.id for part in prompt.parts[:MAX_LOGGED_PARTS]]
        progress.record_break(has_response_head, has_event, parts)
        if record_failure(tables, request.id, time.monotonic(), False):
            log_ejection(row, str(error))
        # A replica that breaks off its response was reached.
        if not has_response_head:
            record_zone_loss(instance, request.model, row)
        raise
    finally:
        record_end(tables, request.id, time.monotonic())
        if is_long_prefill and not has_response_head:
            ended = PrefillEnded(request.id, "")
            ended = add_shared_load(instance, ended, named_load)
            await broadcast(instance, ended)


def _find_address(instance: Instance, name: str | None) -> Address | None:
    address = instance.store_address_by_name.get(name or "")
    if address is not None:
        return address
    upstream = instance.upstream_by_id.get(name or "")
    return upstream.address if upstream else None


def _find_blocks_to_save(
    instance: Instance,
    store: CacheStoreIndex | None,
    request: ModelRequest,
    version: int,
) -> tuple[int, ...]:
    """Return the blocks that the replica should save to the cache store, if any.

    Return none while the weights are being replaced: a prefill during which the replica
    changes weights would be stored under the old version.
    """
    target = instance.weights.target_by_model.get(request.model)
    if store is None or (target is not None and target.version != version):
        return ()
    if not should_store_prefix(store, version, request):
        return ()
    return request.blocks[:-1]


async def _broadcast_prefill_ended(
    instance: Instance,
    request: ModelRequest,
    row: UpstreamRow,
    version: int,
    saved_blocks: tuple[int, ...],
    store: CacheStoreIndex | None,
    load: ReplicaLoad | None,
) -> None:
    if row.weights_version != version:
        saved_blocks = ()
    if store is not None:
        add_stored_blocks(store, version, saved_blocks)
    name = store.name if store is not None else ""
    message = PrefillEnded(request.id, row.incarnation, version, saved_blocks, name)
    await broadcast(instance, add_shared_load(instance, message, load))


async def _broadcast_prefill_begun(
    instance: Instance, request: ModelRequest, decision: DispatchDecision
) -> None:
    message = PrefillBegun(
        request.id,
        decision.upstream,
        request.blocks,
        decision.uncached_tokens,
        decision.request.priority,
        count_held_tokens(request),
        request.max_tokens,
    )
    await broadcast(instance, message)

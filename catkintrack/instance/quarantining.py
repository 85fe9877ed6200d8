"""Share what instances learn of calls that crash replicas, and keep it in the store.

Each loss is reported to the peers, and the store holds the quarantine, so that a fleet
whose instances all restart keeps to it.
"""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass

import curio
import msgspec
from returns.result import Failure, Success

from catkintrack.decisions.quarantine import (
    MAX_PARTS_PER_PROMPT,
    QUARANTINE_S,
    adopt_quarantine,
    begin_trial,
    find_quarantine_end,
    hash_content,
    list_suspect_parts,
    list_unannounced,
    record_announced,
    record_completed,
    record_lost_replica,
    record_served,
)
from catkintrack.fleet import Call, Prompt, Upstream
from catkintrack.platform import (
    StoreConflict,
    StoredObject,
    create_object,
    delete_object,
    get_object,
    list_objects,
    replace_object,
)

from .attempts import CallProgress
from .broadcasting import broadcast
from .hubs import has_hubs
from .loss_checks import (
    RECHECK_S,
    has_ended,
    name_incarnation,
    record_abandoned,
    refuses_connections,
    take_abandoned,
)
from .messages import GossipMessage, PartsServed, ReplicaLost
from .partitions import record_contact
from .peers import find_rank
from .refusals import (
    RETRY_AFTER_JITTER,
    CallError,
    CrashingCall,
    CrashingPrompt,
    OutcomeUnknown,
)
from .state import Instance

logger = logging.getLogger(__name__)

QUARANTINE_KIND = "catkintrack-quarantine"
LOAD_RETRY_S = 1.0
STORE_RETRY_S = 0.5
STORE_TRIES = 6
STORE_SOURCE = "store"
# Instances that know a part's answers spread their announcements over this time.
ANNOUNCEMENT_SPREAD_S = 0.2


class QuarantineSpec(msgspec.Struct):
    """Represent a quarantined suspect as stored, until its trial clears it.

    No time of day is stored: a fleet that restarts begins the quarantine anew. `part` is
    the suspect in hexadecimal, since not all readers of JSON keep numbers of 64 bits.
    """

    part: str
    duration_s: float = QUARANTINE_S
    is_content: bool = False


@dataclass(frozen=True, slots=True)
class FoundQuarantine:
    """Hold a quarantine that a peer or the store reports; times in seconds."""

    suspect: int
    remaining_s: float
    duration_s: float
    is_content: bool


def find_parts(prompt: Prompt) -> tuple[int, ...]:
    """Return the hashes of the parts that may be held responsible for a lost replica."""
    return list_suspect_parts([part.id for part in prompt.parts])


def find_content(call: Call) -> int:
    """Return the hash of a call's content, which a repeated call shares."""
    workspace = call.workspace.name if call.workspace else ""
    return hash_content(workspace, call.method, call.target, call.body)


def check_quarantine(instance: Instance, call: Call, progress: CallProgress) -> None:
    """Raise CallError if a call's content or a part of its prompt is quarantined.

    A prompt that has got events is not the cause, and its parts are not looked at.
    """
    quarantine = instance.quarantine
    if not quarantine.row_by_suspect:
        return
    now = time.monotonic()
    rank = find_rank(instance, now)
    error: type[CallError] = CrashingCall
    reason = "the call crashes replicas"
    end = find_quarantine_end(quarantine, (find_content(call),), rank, now)
    if end is None and call.prompt is not None and progress.last_event_id is None:
        error = CrashingPrompt
        reason = "a part of the prompt crashes replicas"
        end = find_quarantine_end(quarantine, find_parts(call.prompt), rank, now)
    if end is None:
        return
    if progress.may_have_run:
        raise OutcomeUnknown(reason)
    jitter = 1.0 + RETRY_AFTER_JITTER * instance.rng.random()
    raise error(reason, (end - now) * jitter)


def start_trial(instance: Instance, call: Call) -> None:
    """Make a call the trial of its suspects whose quarantine is over, if any."""
    if instance.quarantine.row_by_suspect:
        parts = find_parts(call.prompt) if call.prompt is not None else ()
        suspects = (*parts, find_content(call))
        begin_trial(instance.quarantine, suspects, time.monotonic())


async def report_lost_replica(
    instance: Instance, upstream: Upstream, call: Call, has_begun_prompt: bool
) -> None:
    """Hold a replica that broke a call off against it, here and at all peers.

    With `has_begun_prompt` the answer to a prompt had begun and had no event: only then
    its parts are held responsible.  The content is if the replica has ended.
    """
    parts: tuple[int, ...] = ()
    if has_begun_prompt and call.prompt is not None:
        parts = find_parts(call.prompt)
    content = find_content(call)
    if not await has_ended(instance, upstream):
        record_given_up(instance, upstream, call)
        await curio.spawn(_check_again, instance, upstream, daemon=True)
        content = 0
    if not parts and not content:
        return
    replica = name_incarnation(upstream)
    logger.warning(
        "replica lost before it had answered",
        extra={
            "upstream": upstream.id,
            "incarnation": upstream.incarnation,
            "request_id": call.id.decode("latin-1"),
            "content": f"{content:016x}",
            "parts": [f"{part:016x}" for part in parts],
        },
    )
    await broadcast(instance, ReplicaLost(replica, parts, content))
    await _record_lost_replica(instance, replica, parts, content)
    if content:
        await _report_abandoned(instance, replica)


async def _check_again(instance: Instance, upstream: Upstream) -> None:
    """Report the calls that broke off at a replica that took a while to end."""
    replica = name_incarnation(upstream)
    await curio.sleep(RECHECK_S)
    is_due = replica in instance.abandoned_at_by_replica
    if is_due and await refuses_connections(instance, upstream):
        await _report_abandoned(instance, replica)


async def report_unreachable(instance: Instance, upstream: Upstream) -> None:
    """Hold a replica that accepts no connection against the calls given up there."""
    record_contact(instance, upstream, is_reached=False)
    await _report_abandoned(instance, name_incarnation(upstream))


async def _report_abandoned(instance: Instance, replica: str) -> None:
    for content in take_abandoned(instance, replica):
        await broadcast(instance, ReplicaLost(replica, (), content))
        await _record_lost_replica(instance, replica, (), content)


def record_given_up(instance: Instance, upstream: Upstream, call: Call) -> None:
    """Remember that an attempt was given up before the replica answered."""
    record_abandoned(instance, upstream, find_content(call))


async def handle_replica_lost(instance: Instance, message: ReplicaLost) -> None:
    """Hold a replica that a peer saw lost against what the peer names."""
    parts = message.parts[:MAX_PARTS_PER_PROMPT]
    await _record_lost_replica(instance, message.replica, parts, message.content)
    if message.content:
        await _report_abandoned(instance, message.replica)


async def _record_lost_replica(
    instance: Instance, replica: str, parts: tuple[int, ...], content: int
) -> None:
    now = time.monotonic()
    quarantine = instance.quarantine
    culprit = record_lost_replica(quarantine, replica, parts, now, content or None)
    if culprit is not None:
        row = quarantine.row_by_suspect[culprit]
        logger.error(
            "content quarantined" if row.is_content else "part of prompts quarantined",
            extra={
                "suspect": f"{culprit:016x}",
                "duration_s": row.duration_s,
                "last_replica": replica,
            },
        )
        await _record_quarantined(instance, culprit)
    suspects = (*parts, content) if content else parts
    if list_unannounced(quarantine, suspects, now):
        await curio.spawn(_announce_served, instance, suspects, daemon=True)


async def _announce_served(instance: Instance, suspects: tuple[int, ...]) -> None:
    """Tell the peers which suspects of a lost request were answered, if none has done so.

    In a large fleet many instances know a shared part, so each waits a random time.
    """
    if has_hubs(instance):
        await curio.sleep(ANNOUNCEMENT_SPREAD_S * instance.rng.random())
    now = time.monotonic()
    served = list_unannounced(instance.quarantine, suspects, now)
    if served:
        record_announced(instance.quarantine, served, now)
        await broadcast(instance, PartsServed(served))


async def report_served(instance: Instance, prompt: Prompt) -> None:
    """Clear the parts of a prompt that was answered, at all peers if under suspicion."""
    await _clear(instance, find_parts(prompt))


async def report_completed(instance: Instance, call: Call) -> None:
    """Remember that a call was answered; clear its content at all peers if suspect."""
    content = find_content(call)
    if record_completed(instance.quarantine, content, time.monotonic()):
        await _clear(instance, (content,))


async def _clear(instance: Instance, suspects: tuple[int, ...]) -> None:
    now = time.monotonic()
    rows = instance.quarantine.row_by_suspect
    was_quarantined = [suspect for suspect in suspects if suspect in rows]
    cleared = record_served(instance.quarantine, suspects, now)
    if not cleared:
        return
    record_announced(instance.quarantine, cleared, now)
    await broadcast(instance, PartsServed(cleared))
    for suspect in was_quarantined:
        _log_cleared(instance, suspect, "served")
        await curio.spawn(_delete_stored, instance, suspect, daemon=True)


async def handle_parts_served(instance: Instance, message: PartsServed) -> None:
    """Clear what a peer's replica has answered."""
    now = time.monotonic()
    rows = instance.quarantine.row_by_suspect
    was_quarantined = [suspect for suspect in message.parts if suspect in rows]
    record_served(instance.quarantine, message.parts, now)
    record_announced(instance.quarantine, message.parts, now)
    for suspect in was_quarantined:
        _log_cleared(instance, suspect, "peer")


async def adopt_gossiped_quarantine(instance: Instance, gossip: GossipMessage) -> None:
    """Adopt a peer's quarantined suspects; tell it of those that were answered."""
    for is_content, remaining_by_suspect in (
        (False, gossip.quarantined),
        (True, gossip.quarantined_contents),
    ):
        for suspect, (remaining_s, duration_s) in remaining_by_suspect.items():
            found = FoundQuarantine(suspect, remaining_s, duration_s, is_content)
            await _adopt(instance, found, gossip.instance)
        if remaining_by_suspect:
            await _announce_served(instance, tuple(remaining_by_suspect))


def make_gossiped_quarantine(
    instance: Instance, is_content: bool, now: float
) -> dict[int, tuple[float, float]]:
    """Return the remaining and whole seconds of each quarantine, by part or content."""
    return {
        suspect: (round(row.until - now, 3), row.duration_s)
        for suspect, row in instance.quarantine.row_by_suspect.items()
        if row.until > now and row.is_content == is_content
    }


async def _adopt(instance: Instance, found: FoundQuarantine, source: str) -> None:
    now = time.monotonic()
    is_new = adopt_quarantine(
        instance.quarantine,
        found.suspect,
        found.remaining_s,
        found.duration_s,
        now,
        found.is_content,
    )
    if not is_new:
        return
    logger.warning(
        "quarantine adopted",
        extra={
            "suspect": f"{found.suspect:016x}",
            "for_s": found.remaining_s,
            "source": source,
        },
    )
    if source == STORE_SOURCE:
        _update_metric(instance)
    else:
        await _record_quarantined(instance, found.suspect)


async def _record_quarantined(instance: Instance, suspect: int) -> None:
    """Update the metric; the first live instance also writes the suspect to the store."""
    _update_metric(instance)
    if find_rank(instance, time.monotonic()) == 0:
        await curio.spawn(_store, instance, suspect, daemon=True)


def _log_cleared(instance: Instance, suspect: int, source: str) -> None:
    logger.info(
        "quarantine ended", extra={"suspect": f"{suspect:016x}", "source": source}
    )
    _update_metric(instance)


def _update_metric(instance: Instance) -> None:
    instance.metrics.quarantined_parts.set({}, len(instance.quarantine.row_by_suspect))


async def load_quarantine(instance: Instance) -> None:
    """Adopt the quarantined parts in the store, retrying until it answers."""
    while True:
        # A list that is seconds old is enough: peers report what is newer.
        match await list_objects(instance.store, QUARANTINE_KIND, allows_stale=True):
            case Success(listing):
                break
            case Failure(_):
                await curio.sleep(LOAD_RETRY_S * (0.5 + instance.rng.random()))
    for row in listing.objects:
        await _load_object(instance, row)


async def _load_object(instance: Instance, row: StoredObject) -> None:
    try:
        spec = msgspec.convert(row.spec, QuarantineSpec)
        suspect = int(spec.part, 16)
    except (msgspec.ValidationError, ValueError) as error:
        logger.error(
            "stored quarantine invalid; it is not used",
            extra={"object": row.name, "reason": str(error)},
        )
        return
    found = FoundQuarantine(suspect, spec.duration_s, spec.duration_s, spec.is_content)
    await _adopt(instance, found, STORE_SOURCE)


async def _store(instance: Instance, suspect: int) -> None:
    """Write a quarantined suspect to the store, retrying while the store is away."""
    name = f"{suspect:016x}"
    for number in range(STORE_TRIES):
        row = instance.quarantine.row_by_suspect.get(suspect)
        if row is None:
            return
        spec = msgspec.to_builtins(QuarantineSpec(name, row.duration_s, row.is_content))
        outcome = await create_object(instance.store, QUARANTINE_KIND, name, spec)
        match outcome:
            case Failure(StoreConflict(revision=revision)):
                outcome = await replace_object(
                    instance.store, QUARANTINE_KIND, name, spec, revision
                )
        match outcome:
            case Success(_):
                return
            case Failure(error):
                extra = {"suspect": name, "reason": repr(error)}
                logger.warning("quarantine not stored", extra=extra)
        await curio.sleep(STORE_RETRY_S * 2**number)


async def store_quarantine_of_new_era(instance: Instance) -> None:
    """Write the quarantine again if the store has come back from an older copy.

    Only the first live instance does so.
    """
    era = instance.store.era
    if instance.quarantine_era >= era:
        return
    instance.quarantine_era = era
    if find_rank(instance, time.monotonic()) == 0:
        for suspect in instance.quarantine.row_by_suspect:
            await curio.spawn(_store, instance, suspect, daemon=True)


async def _delete_stored(instance: Instance, suspect: int) -> None:
    match await get_object(instance.store, QUARANTINE_KIND, f"{suspect:016x}"):
        case Success(found):
            await delete_object(
                instance.store, QUARANTINE_KIND, found.name, found.revision
            )

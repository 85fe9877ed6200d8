"""Share what instances learn of prompts that crash replicas, and keep it in the store.

Peers hear of each lost replica, the store holds the quarantined parts, so that a fleet
whose instances all restart still refuses them.
"""

from __future__ import annotations

import logging
import time

import curio
import msgspec
from returns.result import Failure, Success

from catkintrack.decisions import ModelRequest
from catkintrack.decisions.quarantine import (
    QUARANTINE_S,
    adopt_quarantine,
    begin_trial,
    find_quarantine_end,
    list_suspect_parts,
    record_lost_replica,
    record_served,
)
from catkintrack.fleet import Upstream
from catkintrack.platform import (
    StoredObject,
    create_object,
    delete_object,
    list_objects,
)

from .broadcasting import broadcast
from .messages import GossipMessage, PartsServed, ReplicaLost
from .peers import find_rank
from .refusals import RETRY_AFTER_JITTER, CrashingPrompt, OutcomeUnknown
from .state import Instance

logger = logging.getLogger(__name__)

QUARANTINE_KIND = "catkintrack-quarantine"
LOAD_RETRY_S = 1.0


class QuarantineSpec(msgspec.Struct):
    """Represent a quarantined part as stored; `at` is the time of day, in seconds."""

    part: int
    at: float
    duration_s: float = QUARANTINE_S


def check_quarantine(
    instance: Instance, request: ModelRequest, may_have_run: bool
) -> None:
    """Raise CallError if a part of the request's prompt is quarantined."""
    quarantine = instance.quarantine
    if not quarantine.row_by_part:
        return
    now = time.monotonic()
    parts = list_suspect_parts(request.blocks)
    end = find_quarantine_end(quarantine, parts, find_rank(instance, now), now)
    if end is None:
        return
    reason = "a part of the prompt crashes replicas"
    if may_have_run:
        raise OutcomeUnknown(reason)
    jitter = 1.0 + RETRY_AFTER_JITTER * instance.rng.random()
    raise CrashingPrompt(reason, (end - now) * jitter)


def start_trial(instance: Instance, request: ModelRequest) -> None:
    """Make a request the trial of its parts whose quarantine is over, if any."""
    parts = list_suspect_parts(request.blocks)
    begin_trial(instance.quarantine, parts, time.monotonic())


async def report_lost_replica(
    instance: Instance, upstream: Upstream, request: ModelRequest
) -> None:
    """Hold a lost replica against the parts of a request, here and at all peers."""
    parts = list_suspect_parts(request.blocks)
    if not parts:
        return
    replica = f"{upstream.id}/{upstream.incarnation}"
    logger.warning(
        "replica lost as it began to answer",
        extra={
            "upstream": upstream.id,
            "incarnation": upstream.incarnation,
            "request_id": request.id,
            "parts": [f"{part:016x}" for part in parts],
        },
    )
    culprit = _record_lost_replica(instance, replica, parts)
    await broadcast(instance, ReplicaLost(replica, parts))
    if culprit is not None:
        await curio.spawn(_store_part, instance, culprit, daemon=True)


async def handle_replica_lost(instance: Instance, message: ReplicaLost) -> None:
    """Hold a replica that a peer saw lost against the parts that the peer names."""
    _record_lost_replica(instance, message.replica, message.parts)


def _record_lost_replica(
    instance: Instance, replica: str, parts: tuple[int, ...]
) -> int | None:
    now = time.monotonic()
    culprit = record_lost_replica(instance.quarantine, replica, parts, now)
    if culprit is not None:
        duration_s = instance.quarantine.row_by_part[culprit].duration_s
        logger.error(
            "part of prompts quarantined",
            extra={
                "part": f"{culprit:016x}",
                "duration_s": duration_s,
                "last_replica": replica,
            },
        )
        _update_metric(instance)
    return culprit


async def report_served(instance: Instance, request: ModelRequest) -> None:
    """Clear the parts of a request that got an event, at all peers if under suspicion."""
    now = time.monotonic()
    parts = list_suspect_parts(request.blocks)
    was_quarantined = [p for p in parts if p in instance.quarantine.row_by_part]
    cleared = record_served(instance.quarantine, parts, now)
    if not cleared:
        return
    await broadcast(instance, PartsServed(cleared))
    for part in was_quarantined:
        _log_cleared(instance, part, "served")
        await curio.spawn(_delete_stored_part, instance, part, daemon=True)


async def handle_parts_served(instance: Instance, message: PartsServed) -> None:
    """Clear the parts that a peer's replica has answered."""
    was_quarantined = [p for p in message.parts if p in instance.quarantine.row_by_part]
    record_served(instance.quarantine, message.parts, time.monotonic())
    for part in was_quarantined:
        _log_cleared(instance, part, "peer")


async def adopt_gossiped_quarantine(instance: Instance, gossip: GossipMessage) -> None:
    """Adopt a peer's quarantined parts, unless they were served since."""
    now = time.monotonic()
    served = []
    for part, (remaining_s, duration_s) in gossip.quarantined.items():
        began_at = now - max(0.0, duration_s - remaining_s)
        if instance.quarantine.served_at_by_part.get(part, -1e9) > began_at:
            served.append(part)
            continue
        _adopt(instance, part, remaining_s, duration_s, now, gossip.instance)
    if served:
        await broadcast(instance, PartsServed(tuple(served)))


def make_gossiped_quarantine(
    instance: Instance, now: float
) -> dict[int, tuple[float, float]]:
    """Return the remaining and whole duration of each quarantine, in seconds, by part."""
    return {
        part: (round(row.until - now, 3), row.duration_s)
        for part, row in instance.quarantine.row_by_part.items()
        if row.until > now
    }


def _adopt(
    instance: Instance,
    part: int,
    remaining_s: float,
    duration_s: float,
    now: float,
    source: str,
) -> None:
    if adopt_quarantine(instance.quarantine, part, remaining_s, duration_s, now):
        logger.warning(
            "quarantined part adopted",
            extra={"part": f"{part:016x}", "for_s": remaining_s, "source": source},
        )
        _update_metric(instance)


def _log_cleared(instance: Instance, part: int, source: str) -> None:
    logger.info(
        "part of prompts cleared", extra={"part": f"{part:016x}", "source": source}
    )
    _update_metric(instance)


def _update_metric(instance: Instance) -> None:
    instance.metrics.quarantined_parts.set({}, len(instance.quarantine.row_by_part))


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
    except msgspec.ValidationError as error:
        logger.error(
            "stored quarantine invalid; it is not used",
            extra={"object": row.name, "reason": str(error)},
        )
        return
    # Times of day of two machines differ by seconds, which a quarantine outlasts.
    remaining_s = spec.at + spec.duration_s - time.time()
    if remaining_s <= 0:
        await delete_object(instance.store, QUARANTINE_KIND, row.name, row.revision)
        return
    now = time.monotonic()
    _adopt(instance, spec.part, remaining_s, spec.duration_s, now, "store")


async def _store_part(instance: Instance, part: int) -> None:
    """Write a quarantined part to the store; an existing object is left as it is."""
    row = instance.quarantine.row_by_part.get(part)
    if row is None:
        return
    spec = QuarantineSpec(part, time.time(), row.duration_s)
    outcome = await create_object(
        instance.store, QUARANTINE_KIND, f"{part:016x}", msgspec.to_builtins(spec)
    )
    if isinstance(outcome, Failure):
        logger.warning(
            "quarantined part not stored",
            extra={"part": f"{part:016x}", "reason": repr(outcome.failure())},
        )


async def _delete_stored_part(instance: Instance, part: int) -> None:
    match await list_objects(instance.store, QUARANTINE_KIND):
        case Success(listing):
            pass
        case Failure(_):
            return
    for row in listing.objects:
        if row.name == f"{part:016x}":
            await delete_object(instance.store, QUARANTINE_KIND, row.name, row.revision)

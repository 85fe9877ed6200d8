"""Take, renew and give up the lease for orders to replicas."""

from __future__ import annotations

import logging
import time
from typing import Any

import curio
import msgspec
from returns.result import Failure, Success

from catkintrack.leases import (
    LeaseAction,
    LeaseRecord,
    choose_action,
    drop_lease,
    is_held,
    observe_record,
    record_acquisition,
    record_renewal,
)
from catkintrack.platform import (
    ObjectMissing,
    StoreAnswerLost,
    StoreConflict,
    StoredObject,
    create_object,
    get_object,
    replace_object,
)

from .clocks import read_boot_clock
from .peers import find_rank
from .state import Instance

logger = logging.getLogger(__name__)

LEASE_KIND = "catkintrack-leases"
LEASE_NAME = "weights"
TICK_S = 0.1


class LeaseSpec(msgspec.Struct):
    """Hold the lease as it is stored."""

    holder: str
    incarnation: int
    fencing: int
    # Renewals would change nothing else, and a change is what candidates look for.
    renewals: int = 0


async def run_lease_keeper(instance: Instance) -> None:
    """Do what the lease asks for, until cancelled."""
    while True:
        if not instance.is_stopping:
            await keep_lease(instance)
        await curio.sleep(TICK_S)


async def keep_lease(instance: Instance) -> None:
    """Do what the lease asks for now."""
    lease = instance.lease
    was_held = lease.renewed_at is not None
    now = read_boot_clock()
    action = choose_action(lease, find_rank(instance, time.monotonic()), now)
    if was_held and lease.renewed_at is None:
        logger.warning("lease lost", extra={"reason": "not renewed in time"})
    if action is LeaseAction.READ:
        await _read(instance)
    elif action is LeaseAction.TAKE:
        await _take(instance)
    elif action is LeaseAction.RENEW:
        await _renew(instance)


def holds_lease(instance: Instance) -> bool:
    """Report whether this instance may send orders now."""
    return not instance.is_stopping and is_held(instance.lease, read_boot_clock())


async def _read(instance: Instance) -> None:
    lease = instance.lease
    match await get_object(instance.store, LEASE_KIND, LEASE_NAME):
        case Success(found):
            observe_record(lease, _decode_record(found), read_boot_clock())
            lease.last_read_at = read_boot_clock()
            await _reclaim(instance)
        case Failure(ObjectMissing()):
            await _create(instance)
        case Failure(error):
            _log_failure("lease not read", error)


async def _reclaim(instance: Instance) -> None:
    """Renew a lease that is stored under one's own name.

    Only an accepted write shows that nobody else has taken it meanwhile.
    """
    lease = instance.lease
    if not _is_own(instance, lease.record):
        return
    if lease.record.fencing == lease.refused_fencing:
        await _take(instance)
    else:
        await _renew(instance)


async def release_lease(instance: Instance) -> None:
    """Let another take over at once, when this instance stops by plan."""
    lease = instance.lease
    if lease.renewed_at is None:
        return
    drop_lease(lease)
    record = lease.record
    outcome = await replace_object(
        instance.store,
        LEASE_KIND,
        LEASE_NAME,
        msgspec.to_builtins(LeaseSpec("", 0, record.fencing)),
        record.revision,
    )
    match outcome:
        case Success(StoredObject(revision=revision)):
            lease.record = LeaseRecord("", 0, record.fencing, revision)
            logger.info("lease released", extra={"fencing": record.fencing})
        case Failure(error):
            _log_failure("lease not released", error)


def _is_own(instance: Instance, record: LeaseRecord) -> bool:
    lease = instance.lease
    return (record.holder, record.incarnation) == (lease.owner, lease.incarnation)


def _decode_record(found: StoredObject) -> LeaseRecord:
    try:
        row = msgspec.convert(found.spec, LeaseSpec)
    except msgspec.ValidationError as error:
        # Whoever wrote it, a higher fencing number replaces it in time.
        logger.error("lease unreadable", extra={"reason": str(error)})
        row = LeaseSpec("", 0, 0)
    return LeaseRecord(row.holder, row.incarnation, row.fencing, found.revision)


async def _create(instance: Instance) -> None:
    spec = _make_spec(instance, 1)
    asked_at = read_boot_clock()
    outcome = await create_object(
        instance.store, LEASE_KIND, LEASE_NAME, msgspec.to_builtins(spec)
    )
    _settle(instance, outcome, spec, asked_at)


async def _take(instance: Instance) -> None:
    record = instance.lease.record
    spec = _make_spec(instance, record.fencing + 1)
    asked_at = read_boot_clock()
    instance.lease.last_attempt_at = asked_at
    outcome = await replace_object(
        instance.store,
        LEASE_KIND,
        LEASE_NAME,
        msgspec.to_builtins(spec),
        record.revision,
    )
    _settle(instance, outcome, spec, asked_at)


async def _renew(instance: Instance) -> None:
    lease = instance.lease
    record = lease.record
    spec = LeaseSpec(record.holder, record.incarnation, record.fencing, record.revision)
    asked_at = read_boot_clock()
    lease.last_attempt_at = asked_at
    outcome = await replace_object(
        instance.store,
        LEASE_KIND,
        LEASE_NAME,
        msgspec.to_builtins(spec),
        record.revision,
    )
    match outcome:
        case Success(StoredObject(revision=revision)):
            record_renewal(lease, revision, asked_at)
        case Failure(StoreConflict(revision=revision, spec=found)):
            _note_conflict(instance, StoredObject(LEASE_NAME, revision, found))
        case Failure(StoreAnswerLost() as error):
            _log_failure("lease renewal without an answer", error)
        case Failure(error):
            _log_failure("lease not renewed", error)


def _note_conflict(instance: Instance, found: StoredObject) -> None:
    """Tell one's own earlier renewal, whose answer was lost, from another holder."""
    lease = instance.lease
    record = _decode_record(found)
    if _is_own(instance, record) and record.fencing == lease.record.fencing:
        lease.record = record
        lease.last_attempt_at = -1e9
        return
    logger.warning(
        "lease lost", extra={"reason": "another holder", "to": record.holder}
    )
    drop_lease(lease)
    observe_record(lease, record, read_boot_clock())


def _settle(instance: Instance, outcome: Any, spec: LeaseSpec, asked_at: float) -> None:
    match outcome:
        case Success(StoredObject(revision=revision)):
            record = LeaseRecord(spec.holder, spec.incarnation, spec.fencing, revision)
            record_acquisition(instance.lease, record, asked_at)
            logger.info(
                "lease taken", extra={"fencing": spec.fencing, "revision": revision}
            )
        case Failure(StoreConflict(revision=revision, spec=found)):
            record = _decode_record(StoredObject(LEASE_NAME, revision, found))
            observe_record(instance.lease, record, read_boot_clock())
            # One's own earlier write may have taken effect.
            instance.lease.last_read_at = -1e9
        case Failure(error):
            # What became of the write shows in the next read.
            instance.lease.last_read_at = -1e9
            _log_failure("lease not taken", error)


def _make_spec(instance: Instance, fencing: int) -> LeaseSpec:
    return LeaseSpec(instance.site.instance, instance.incarnation, fencing)


def _log_failure(message: str, error: Any) -> None:
    reason = getattr(error, "reason", type(error).__name__)
    logger.warning(message, extra={"reason": reason})

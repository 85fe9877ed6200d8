"""Acquire, renew and release the lease that permits orders to replicas."""

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
    StoreConflict,
    StoredObject,
    StoreOutcomeUnknown,
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
    """Represent the lease as stored."""

    holder: str
    incarnation: int
    fencing: int
    # Changes with each renewal: candidates take a changed record as a sign that the
    # holder is alive.
    renewals: int = 0


async def run_lease_keeper(instance: Instance) -> None:
    """Acquire and renew the lease when due, until cancelled or stopping."""
    while True:
        if not instance.is_stopping:
            await update_lease(instance)
        await curio.sleep(TICK_S)


async def update_lease(instance: Instance) -> None:
    """Read, acquire or renew the lease if that is due."""
    lease = instance.lease
    was_held = lease.renewed_at is not None
    now = read_boot_clock()
    action = choose_action(lease, find_rank(instance, time.monotonic()), now)
    if was_held and lease.renewed_at is None:
        logger.warning("lease lost", extra={"reason": "not renewed in time"})
    if action is LeaseAction.READ:
        await _read_lease(instance)
    elif action is LeaseAction.TAKE:
        await _acquire(instance)
    elif action is LeaseAction.RENEW:
        await _renew_lease(instance)


def holds_lease(instance: Instance) -> bool:
    """Report whether this instance holds the lease and may send orders."""
    return not instance.is_stopping and is_held(instance.lease, read_boot_clock())


async def _read_lease(instance: Instance) -> None:
    lease = instance.lease
    match await get_object(instance.store, LEASE_KIND, LEASE_NAME):
        case Success(found):
            observe_record(lease, _decode_record(found), read_boot_clock())
            lease.last_read_at = read_boot_clock()
            await _renew_own_record(instance)
        case Failure(ObjectMissing()):
            await _create_lease(instance)
        case Failure(error):
            _log_failure("lease read failed", error)


async def _renew_own_record(instance: Instance) -> None:
    """Renew a lease whose stored record names this instance as the holder.

    Only an accepted write shows that no other instance has acquired it since.
    """
    lease = instance.lease
    if not _is_own_record(instance, lease.record):
        return
    if lease.record.fencing == lease.refused_fencing:
        await _acquire(instance)
    else:
        await _renew_lease(instance)


async def release_lease(instance: Instance) -> None:
    """Release the lease on a planned stop; others can then acquire it at once."""
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
            _log_failure("lease release failed", error)


def _is_own_record(instance: Instance, record: LeaseRecord) -> bool:
    lease = instance.lease
    return (record.holder, record.incarnation) == (lease.owner, lease.incarnation)


def _decode_record(found: StoredObject) -> LeaseRecord:
    try:
        spec = msgspec.convert(found.spec, LeaseSpec)
    except msgspec.ValidationError as error:
        # An invalid record counts as a free lease, whatever wrote it; the next holder
        # replaces it.
        logger.error("stored lease record invalid", extra={"reason": str(error)})
        spec = LeaseSpec("", 0, 0)
    return LeaseRecord(spec.holder, spec.incarnation, spec.fencing, found.revision)


async def _create_lease(instance: Instance) -> None:
    spec = _make_spec(instance, 1)
    requested_at = read_boot_clock()
    outcome = await create_object(
        instance.store, LEASE_KIND, LEASE_NAME, msgspec.to_builtins(spec)
    )
    _apply_acquisition(instance, outcome, spec, requested_at)


async def _acquire(instance: Instance) -> None:
    record = instance.lease.record
    spec = _make_spec(instance, record.fencing + 1)
    requested_at = read_boot_clock()
    instance.lease.last_attempt_at = requested_at
    outcome = await replace_object(
        instance.store,
        LEASE_KIND,
        LEASE_NAME,
        msgspec.to_builtins(spec),
        record.revision,
    )
    _apply_acquisition(instance, outcome, spec, requested_at)


async def _renew_lease(instance: Instance) -> None:
    lease = instance.lease
    record = lease.record
    spec = LeaseSpec(record.holder, record.incarnation, record.fencing, record.revision)
    requested_at = read_boot_clock()
    lease.last_attempt_at = requested_at
    outcome = await replace_object(
        instance.store,
        LEASE_KIND,
        LEASE_NAME,
        msgspec.to_builtins(spec),
        record.revision,
    )
    match outcome:
        case Success(StoredObject(revision=revision)):
            record_renewal(lease, revision, requested_at)
        case Failure(StoreConflict(revision=revision, spec=found)):
            _handle_renewal_conflict(
                instance, StoredObject(LEASE_NAME, revision, found)
            )
        case Failure(StoreOutcomeUnknown() as error):
            _log_failure("lease renewal outcome unknown", error)
        case Failure(error):
            _log_failure("lease renewal failed", error)


def _handle_renewal_conflict(instance: Instance, found: StoredObject) -> None:
    """Tell an own renewal whose response was lost from another holder's write."""
    lease = instance.lease
    record = _decode_record(found)
    if _is_own_record(instance, record) and record.fencing == lease.record.fencing:
        lease.record = record
        lease.last_attempt_at = -1e9
        return
    logger.warning(
        "lease lost", extra={"reason": "held by another instance", "to": record.holder}
    )
    drop_lease(lease)
    observe_record(lease, record, read_boot_clock())


def _apply_acquisition(
    instance: Instance, outcome: Any, spec: LeaseSpec, requested_at: float
) -> None:
    match outcome:
        case Success(StoredObject(revision=revision)):
            record = LeaseRecord(spec.holder, spec.incarnation, spec.fencing, revision)
            record_acquisition(instance.lease, record, requested_at)
            logger.info(
                "lease taken", extra={"fencing": spec.fencing, "revision": revision}
            )
        case Failure(StoreConflict(revision=revision, spec=found)):
            record = _decode_record(StoredObject(LEASE_NAME, revision, found))
            observe_record(instance.lease, record, read_boot_clock())
            # An earlier write of this instance may have taken effect.
            instance.lease.last_read_at = -1e9
        case Failure(error):
            # The next read shows whether the write took effect.
            instance.lease.last_read_at = -1e9
            _log_failure("lease acquisition failed", error)


def _make_spec(instance: Instance, fencing: int) -> LeaseSpec:
    return LeaseSpec(instance.site.instance, instance.incarnation, fencing)


def _log_failure(message: str, error: Any) -> None:
    reason = getattr(error, "reason", type(error).__name__)
    logger.warning(message, extra={"reason": reason})

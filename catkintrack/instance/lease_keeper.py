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
    choose_fencing,
    drop_lease,
    forget_record,
    is_held,
    is_own_record,
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
# Stands for the holder in a record that was written in an earlier era: it is neither
# released nor this process's own, whatever it says.
EARLIER_ERA_HOLDER = "-"


class LeaseSpec(msgspec.Struct):
    """Represent the lease as stored."""

    holder: str
    incarnation: int
    fencing: int
    # Changes with each renewal: candidates take a changed record as a sign that the
    # holder is alive.
    renewals: int = 0
    # The store's era as the writer knew it.  A record of a later era that names an
    # earlier one comes from a copy of the store or from a late write.
    era: int = 0


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
    lease.last_attempt_at = read_boot_clock()
    match await get_object(instance.store, LEASE_KIND, LEASE_NAME):
        case Success(found):
            observe_record(lease, _decode_record(found), read_boot_clock())
            lease.last_read_at = read_boot_clock()
            await _renew_own_record(instance)
        case Failure(ObjectMissing()):
            forget_record(lease)
            lease.last_read_at = read_boot_clock()
        case Failure(error):
            _log_failure("lease read failed", error)


async def _renew_own_record(instance: Instance) -> None:
    """Renew a lease whose stored record names this instance as the holder.

    Only an accepted write shows that no other instance has acquired it since.
    """
    lease = instance.lease
    if not is_own_record(lease, lease.record):
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
        msgspec.to_builtins(LeaseSpec("", 0, record.fencing, era=record.era)),
        record.revision,
    )
    match outcome:
        case Success(StoredObject(revision=revision, era=era)):
            lease.record = LeaseRecord("", 0, record.fencing, revision, era)
            logger.info("lease released", extra={"fencing": record.fencing})
        case Failure(error):
            _log_failure("lease release failed", error)


def _decode_record(found: StoredObject) -> LeaseRecord:
    try:
        spec = msgspec.convert(found.spec, LeaseSpec)
    except msgspec.ValidationError as error:
        # An invalid record counts as a free lease, whatever wrote it; the next holder
        # replaces it.
        logger.error("stored lease record invalid", extra={"reason": str(error)})
        spec = LeaseSpec("", 0, 0)
    if spec.era != found.era:
        return LeaseRecord(
            EARLIER_ERA_HOLDER, 0, spec.fencing, found.revision, found.era
        )
    return LeaseRecord(
        spec.holder, spec.incarnation, spec.fencing, found.revision, found.era
    )


async def _acquire(instance: Instance) -> None:
    """Take the lease, creating its record if there is none."""
    lease = instance.lease
    spec = LeaseSpec(
        instance.site.instance,
        instance.incarnation,
        choose_fencing(lease),
        era=lease.era,
    )
    fields = msgspec.to_builtins(spec)
    requested_at = read_boot_clock()
    lease.last_attempt_at = requested_at
    revision = lease.record.revision
    if revision:
        outcome = await replace_object(
            instance.store, LEASE_KIND, LEASE_NAME, fields, revision
        )
    else:
        outcome = await create_object(instance.store, LEASE_KIND, LEASE_NAME, fields)
    _apply_acquisition(instance, outcome, spec, requested_at)


async def _renew_lease(instance: Instance) -> None:
    lease = instance.lease
    record = lease.record
    spec = LeaseSpec(
        record.holder, record.incarnation, record.fencing, record.revision, record.era
    )
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
        case Success(StoredObject() as found) if found.era != spec.era:
            _handle_write_in_other_era(instance, found)
        case Success(StoredObject(revision=revision, era=era)):
            record_renewal(lease, revision, requested_at, era)
        case Failure(StoreConflict(revision=revision, spec=found, era=era)):
            _handle_renewal_conflict(
                instance, StoredObject(LEASE_NAME, revision, found, era=era)
            )
        case Failure(ObjectMissing()):
            logger.warning("lease lost", extra={"reason": "record missing"})
            drop_lease(lease)
        case Failure(StoreOutcomeUnknown() as error):
            _log_failure("lease renewal outcome unknown", error)
        case Failure(error):
            _log_failure("lease renewal failed", error)


def _handle_renewal_conflict(instance: Instance, found: StoredObject) -> None:
    """Tell an own renewal whose response was lost from another holder's write."""
    lease = instance.lease
    record = _decode_record(found)
    if is_own_record(lease, record) and record.fencing == lease.record.fencing:
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
        case Success(StoredObject() as found) if found.era != spec.era:
            _handle_write_in_other_era(instance, found)
        case Success(StoredObject(revision=revision, era=era)):
            record = LeaseRecord(
                spec.holder, spec.incarnation, spec.fencing, revision, era
            )
            record_acquisition(instance.lease, record, requested_at)
            logger.info(
                "lease taken", extra={"fencing": spec.fencing, "revision": revision}
            )
        case Failure(StoreConflict(revision=revision, spec=found, era=era)):
            record = _decode_record(StoredObject(LEASE_NAME, revision, found, era=era))
            observe_record(instance.lease, record, read_boot_clock())
            # An earlier write of this instance may have taken effect.
            instance.lease.last_read_at = -1e9
        case Failure(error):
            # The next read shows whether the write took effect.
            instance.lease.last_read_at = -1e9
            _log_failure("lease acquisition failed", error)


def _handle_write_in_other_era(instance: Instance, found: StoredObject) -> None:
    """Treat a write that a new era accepted by chance as one of an earlier era.

    Its condition named a revision that the new era has given out again, perhaps to a
    new holder, who notices with its next renewal.
    """
    logger.warning("lease write fell into a new era", extra={"era": found.era})
    observe_record(instance.lease, _decode_record(found), read_boot_clock())


def _log_failure(message: str, error: Any) -> None:
    reason = getattr(error, "reason", type(error).__name__)
    logger.warning(message, extra={"reason": reason})

"""Elect a single holder by a lease stored as an object with conditional writes."""

from .lease import (
    Lease,
    LeaseAction,
    LeaseRecord,
    choose_action,
    drop_lease,
    is_held,
    mark_fencing_refused,
    observe_record,
    record_acquisition,
    record_renewal,
)

__all__ = [
    "LeaseAction",
    "Lease",
    "LeaseRecord",
    "choose_action",
    "drop_lease",
    "is_held",
    "record_acquisition",
    "observe_record",
    "record_renewal",
    "mark_fencing_refused",
]

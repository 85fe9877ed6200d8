"""Elect a single holder by a lease stored as an object with conditional writes."""

from .lease import (
    Lease,
    LeaseAction,
    LeaseRecord,
    begin_lease_era,
    choose_action,
    choose_fencing,
    drop_lease,
    forget_record,
    is_held,
    is_own_record,
    mark_fencing_refused,
    observe_fencing,
    observe_record,
    record_acquisition,
    record_renewal,
)

__all__ = [
    "LeaseAction",
    "Lease",
    "LeaseRecord",
    "begin_lease_era",
    "choose_action",
    "choose_fencing",
    "drop_lease",
    "forget_record",
    "is_held",
    "is_own_record",
    "record_acquisition",
    "observe_fencing",
    "observe_record",
    "record_renewal",
    "mark_fencing_refused",
]

"""Share out the workspaces' token limits over the fleet."""

from .ledger import LEDGER_NAME, Ledger, build_ledger, decode_ledger, encode_ledger
from .lending import Holder, accept, confirm, lend, lend_all, list_unconfirmed
from .recount import (
    Recount,
    adopt,
    find_missing,
    finish_recount,
    freeze,
    is_recount_due,
    record_held,
    start_recount,
    thaw,
)
from .shares import (
    PARTS_TOTAL,
    LimitSpec,
    ShareRow,
    Shares,
    burst_of,
    debit,
    find_share,
    set_specs,
    settle,
)

__all__ = [
    "LEDGER_NAME",
    "PARTS_TOTAL",
    "Holder",
    "Ledger",
    "LimitSpec",
    "Recount",
    "ShareRow",
    "Shares",
    "accept",
    "adopt",
    "build_ledger",
    "burst_of",
    "confirm",
    "debit",
    "decode_ledger",
    "encode_ledger",
    "find_missing",
    "find_share",
    "finish_recount",
    "freeze",
    "is_recount_due",
    "lend",
    "lend_all",
    "list_unconfirmed",
    "record_held",
    "set_specs",
    "settle",
    "start_recount",
    "thaw",
]

"""Schedule model requests and place them on upstreams, without any I/O."""

from .placement import POLICY_BY_NAME, Placement, Policy
from .prefix import CacheScope, estimate_tokens, hash_prefix
from .residency import Residency
from .scheduler import (
    LoadRow,
    apply_cache_events,
    apply_load,
    record_answer,
    record_end,
    record_failure,
    record_first_token,
    record_remote_prefill,
    record_remote_prefill_end,
    remove_waiting,
    submit,
    sync_upstreams,
    tick,
)
from .tables import ModelRequest, RunningRow, Tables, UpstreamRow, WorkspaceRow
from .verdicts import Decision, Dispatch, Refusal, RefusalReason

__all__ = [
    "POLICY_BY_NAME",
    "CacheScope",
    "Decision",
    "Dispatch",
    "LoadRow",
    "ModelRequest",
    "Placement",
    "Policy",
    "Refusal",
    "RefusalReason",
    "Residency",
    "RunningRow",
    "Tables",
    "UpstreamRow",
    "WorkspaceRow",
    "apply_cache_events",
    "apply_load",
    "estimate_tokens",
    "hash_prefix",
    "record_remote_prefill",
    "record_remote_prefill_end",
    "record_answer",
    "record_end",
    "record_failure",
    "record_first_token",
    "submit",
    "sync_upstreams",
    "tick",
    "remove_waiting",
]

"""Define the tables that the decision systems run over."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from catkintrack.weights import TargetWeights

from .prefills import Prefills
from .prefix import BLOCK_TOKENS
from .residency import Residency
from .retries import RetryBudget, make_router_budget

if TYPE_CHECKING:
    from .kept import KvStoreIndex
    from .shedding import LateQueue
    from .transfers import TransferRates

# How much prefilling may stand before an upstream that is sent another request.
MAX_PREFILL_WAIT_S = 0.5
PAST_INCARNATIONS = 16


@dataclass(slots=True)
class UpstreamRow:
    """Hold what is known of one model replica; times in seconds.

    `held` counts the requests that wait here for this replica, `service_s` is how
    long a request takes there of late.
    """

    name: str
    bit_index: int
    zone: str
    models: frozenset[str]
    max_running: int
    prefill_tokens_per_s: float = 10_000.0
    configured_prefill_tokens_per_s: float = 0.0
    is_leaving: bool = False
    is_loading: bool = False
    loading_until: float = -1e9
    weights_version: int = 0
    incarnation: str = ""
    incarnation_seen_at: float = -1e9
    past_incarnations: deque[str] = field(
        default_factory=lambda: deque(maxlen=PAST_INCARNATIONS)
    )
    reported_at: float = -1.0
    reported_running: int = 0
    reported_waiting: int = 0
    reported_prefill_tokens: int = 0
    sent_since_report: int = 0
    in_flight: int = 0
    queued_count: int = 0
    service_s: float = 1.0
    small_prefill_tokens: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    ramp_started_at: float = -1e9
    last_heard_at: float = 0.0


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """Describe a model request; `blocks` are its prefix hashes.

    `block_ends` are the tokens up to the end of each block, where blocks differ in
    length; without it they are those of `prefix.py`.  `target_at` is when the first
    token is due.
    """

    id: str
    workspace: str
    model: str
    blocks: tuple[int, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int
    arrived_at: float
    deadline: float
    excluded: frozenset[str] = frozenset()
    is_retry: bool = False
    block_ends: tuple[int, ...] = ()
    target_at: float = math.inf

    def count_tokens(self, depth: int) -> int:
        """Return the prompt tokens in the first `depth` blocks."""
        if depth and self.block_ends:
            return min(self.block_ends[depth - 1], self.prompt_tokens)
        return min(depth * BLOCK_TOKENS, self.prompt_tokens)


@dataclass(slots=True)
class WorkspaceRow:
    """Hold a workspace's waiting requests and its place in the fair order."""

    name: str
    weight: float = 1.0
    waiting: deque[ModelRequest] = field(default_factory=deque)
    virtual_finish: float = 0.0
    dispatch_interval_s: float = 0.0
    last_backlog_dispatch_at: float | None = None


@dataclass(slots=True)
class RunningRow:
    """Hold one dispatched request."""

    request: ModelRequest
    upstream: str
    dispatched_at: float
    uncached_tokens: int
    has_first_token: bool = False
    was_prefilled_alone: bool = False


@dataclass(slots=True)
class Tables:
    """Hold everything that the decisions depend on."""

    upstream_by_name: dict[str, UpstreamRow] = field(default_factory=dict)
    upstream_by_bit_index: dict[int, UpstreamRow] = field(default_factory=dict)
    workspace_by_name: dict[str, WorkspaceRow] = field(default_factory=dict)
    running_by_id: dict[str, RunningRow] = field(default_factory=dict)
    residency: Residency = field(default_factory=Residency)
    prefills: Prefills = field(default_factory=Prefills)
    retries: deque[ModelRequest] = field(default_factory=deque)
    router_count: int = 1
    virtual_time: float = 0.0
    retry_budget: RetryBudget | None = field(default_factory=make_router_budget)
    round_robin_next: int = 0
    max_prefill_wait_s: float = MAX_PREFILL_WAIT_S
    late_queue: LateQueue | None = None
    target_by_model: dict[str, TargetWeights] = field(default_factory=dict)
    zone: str = ""
    transfer_rates: TransferRates | None = None
    kv_store: KvStoreIndex | None = None

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait."""
        rows = self.workspace_by_name.values()
        return len(self.retries) + sum(len(row.waiting) for row in rows)


def add_upstream(tables: Tables, row: UpstreamRow) -> None:
    """Add `row` in the lowest free slot."""
    bit_index = 0
    while bit_index in tables.upstream_by_bit_index:
        bit_index += 1
    row.bit_index = bit_index
    tables.upstream_by_bit_index[bit_index] = row
    tables.upstream_by_name[row.name] = row


def ensure_workspace(tables: Tables, name: str) -> WorkspaceRow:
    """Return the row of a workspace, made when it is new."""
    row = tables.workspace_by_name.get(name)
    if row is None:
        row = WorkspaceRow(name)
        tables.workspace_by_name[name] = row
    return row

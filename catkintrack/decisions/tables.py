"""Define the state that request scheduling and placement work on."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from catkintrack.weights import TargetWeights

from .brittleness import Brittleness, BrittleTable
from .leaving import LeavingTable
from .memory import MemoryTable, ReplicaMemory
from .named_limits import NamedLimit, NamedLimitTable
from .prefills import Prefills
from .prefix import BLOCK_TOKENS
from .residency import Residency
from .rest import Rest, RestTable
from .retries import RetryBudget, make_router_budget

if TYPE_CHECKING:
    from .admission import AdmissionTable
    from .cache_store import CacheStoreIndex
    from .shedding import LateQueue
    from .speeds import Speed, SpeedTable, TimedPrefill
    from .transfers import TransferRates
    from .zones import ZoneTable

# Prefill backlog, in seconds, above which an upstream is sent no further requests.
# Routers use this default; an instance sets a shorter one of the same name.
MAX_PREFILL_WAIT_S = 0.5
PAST_INCARNATIONS = 16


@dataclass(slots=True)
class UpstreamRow:
    """Hold the known state of one replica; times in seconds.

    `bit_index` is its bit in the masks of `Residency`.  `queued_count` is the number
    of requests queued in this process for the replica.  `service_s` is the moving
    average of a request's duration there.  `is_leaving` is what discovery says,
    `has_announced_leaving`, `rest`, `limit` and `brittleness` what the replica's
    answers say.
    `is_unreachable` is set while the last failure was to connect, `trial_sent_at` while the
    request that was sent after an ejection is under way.  `asked_at` and `answered_at` are
    when its report was last asked for, and received, for a stream that may move there,
    `moved_there` how many have been moved since.
    `small_prefill_tokens` sums the prefills in progress that are too short to be
    announced to peers.  `memory_tokens` is its KV cache's capacity, 0 if unknown;
    `speed` is set while speeds are learned, `prefill_tokens_per_s` is its usual one.
    """

    name: str
    bit_index: int
    zone: str
    models: frozenset[str]
    max_running: int
    prefill_tokens_per_s: float = 10_000.0
    configured_prefill_tokens_per_s: float = 0.0
    is_leaving: bool = False
    has_announced_leaving: bool = False
    rest: Rest | None = None
    limit: NamedLimit | None = None
    brittleness: Brittleness | None = None
    is_loading: bool = False
    loading_until: float = -1e9
    load_fencing: int = 0
    weights_version: int = 0
    software_version: str = ""
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
    ejected_at: float = -math.inf
    ejected_until: float = 0.0
    is_unreachable: bool = False
    trial_sent_at: float | None = None
    ramp_started_at: float = -1e9
    last_heard_at: float = 0.0
    asked_at: float = -math.inf
    answered_at: float = -math.inf
    moved_there: int = 0
    memory_tokens: int = 0
    memory: ReplicaMemory = field(default_factory=ReplicaMemory)
    speed: Speed | None = None


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """Describe a model request; `blocks` are the hashes of its prompt's blocks.

    `block_ends` is the number of tokens up to the end of each block; if it is empty,
    each block has BLOCK_TOKENS.  `target_at` is when the first token is due.
    `has_started` is set if a replica may have run part of it.  `software_version` is the
    one at which it must run, None if any; `barred_versions` are those at which it may not.
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
    has_started: bool = False
    software_version: str | None = None
    barred_versions: frozenset[str] = frozenset()

    def count_tokens(self, depth: int) -> int:
        """Return the prompt tokens in the first `depth` blocks."""
        if depth and self.block_ends:
            return min(self.block_ends[depth - 1], self.prompt_tokens)
        return min(depth * BLOCK_TOKENS, self.prompt_tokens)


@dataclass(slots=True)
class WorkspaceRow:
    """Hold a workspace's queue and its state in start-time fair queueing.

    `dispatch_interval_s` is the moving average of the time between dispatches from a
    backlog, `last_backlog_dispatch_at` the time of the last dispatch if it left
    requests queued.
    """

    name: str
    weight: float = 1.0
    waiting: deque[ModelRequest] = field(default_factory=deque)
    virtual_finish: float = 0.0
    dispatch_interval_s: float = 0.0
    last_backlog_dispatch_at: float | None = None


@dataclass(slots=True)
class RunningRow:
    """Hold one request that was dispatched and has not ended.

    `was_prefilled_alone` is set if no other prefill was in progress at its dispatch.
    `is_measurable` is set if its prefill may show the replica's speed, `timed_prefill`
    once it has ended; `slowdown_at_dispatch` is what the replica had named of late.
    `first_token_at` is None until it has a first token.
    """

    request: ModelRequest
    upstream: str
    dispatched_at: float
    uncached_tokens: int
    has_first_token: bool = False
    was_prefilled_alone: bool = False
    first_token_at: float | None = None
    is_complete: bool = False
    is_measurable: bool = False
    slowdown_at_dispatch: float | None = None
    timed_prefill: TimedPrefill | None = None


@dataclass(slots=True)
class Tables:
    """Hold all state that scheduling and placement depend on.

    `router_count` is the number of processes that share the upstreams, this one
    included. Requests that are not dispatched at `dispatches_until`, in seconds, are
    refused. `zones` is set where calls leave their zone by its load.  `speeds` is set where what is known of each replica is shared, and
    `has_uneven_replicas` once a replica has named a slowdown.
    """

    upstream_by_name: dict[str, UpstreamRow] = field(default_factory=dict)
    upstream_by_bit_index: dict[int, UpstreamRow] = field(default_factory=dict)
    workspace_by_name: dict[str, WorkspaceRow] = field(default_factory=dict)
    running_by_id: dict[str, RunningRow] = field(default_factory=dict)
    residency: Residency = field(default_factory=Residency)
    prefills: Prefills = field(default_factory=Prefills)
    retries: deque[ModelRequest] = field(default_factory=deque)
    router_count: int = 1
    dispatches_until: float = math.inf
    virtual_time: float = 0.0
    retry_budget: RetryBudget | None = field(default_factory=make_router_budget)
    round_robin_next: int = 0
    max_prefill_wait_s: float = MAX_PREFILL_WAIT_S
    late_queue: LateQueue | None = None
    target_by_model: dict[str, TargetWeights] = field(default_factory=dict)
    zone: str = ""
    transfer_rates: TransferRates | None = None
    cache_stores: list[CacheStoreIndex] = field(default_factory=list)
    leaving: LeavingTable = field(default_factory=LeavingTable)
    rests: RestTable = field(default_factory=RestTable)
    named_limits: NamedLimitTable = field(default_factory=NamedLimitTable)
    brittle: BrittleTable = field(default_factory=BrittleTable)
    zones: ZoneTable | None = None
    has_uneven_replicas: bool = False
    admission: AdmissionTable | None = None
    speeds: SpeedTable | None = None
    memory: MemoryTable = field(default_factory=MemoryTable)

    @property
    def cache_store(self) -> CacheStoreIndex | None:
        """Return the first cache store, if any."""
        return self.cache_stores[0] if self.cache_stores else None

    @cache_store.setter
    def cache_store(self, store: CacheStoreIndex | None) -> None:
        """Use one cache store, or none."""
        self.cache_stores = [] if store is None else [store]

    @property
    def waiting_count(self) -> int:
        """Return the number of queued requests, retries included."""
        rows = self.workspace_by_name.values()
        return len(self.retries) + sum(len(row.waiting) for row in rows)


def add_upstream(tables: Tables, row: UpstreamRow) -> None:
    """Add `row` with the lowest free bit index."""
    bit_index = 0
    while bit_index in tables.upstream_by_bit_index:
        bit_index += 1
    row.bit_index = bit_index
    tables.upstream_by_bit_index[bit_index] = row
    tables.upstream_by_name[row.name] = row


def ensure_workspace(tables: Tables, name: str) -> WorkspaceRow:
    """Return the row of a workspace, creating it if it is missing."""
    row = tables.workspace_by_name.get(name)
    if row is None:
        row = WorkspaceRow(name)
        tables.workspace_by_name[name] = row
    return row

"""Define the state of an instance."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import curio
import zmq

from catkintrack.calls import CallQueue
from catkintrack.decisions import Tables
from catkintrack.decisions.engine_priority import MaxTimeoutTable
from catkintrack.decisions.partition import Partition
from catkintrack.decisions.quarantine import Quarantine
from catkintrack.decisions.retries import RetryBudget
from catkintrack.decisions.services import ServiceTables
from catkintrack.decisions.slow_readers import SlowReaders
from catkintrack.decisions.stream_origins import DEFAULT_LIFETIME_S, StreamOrigins
from catkintrack.fleet import Call, Configuration, ReplicaLoad, Site, Upstream
from catkintrack.http import Address, Connection, Pool, Server
from catkintrack.leases import Lease
from catkintrack.platform import StoreClient
from catkintrack.pooling import PooledLimits
from catkintrack.rollouts import RolloutTables
from catkintrack.transport import Link
from catkintrack.weights import WeightsTables

from .messages import BatchedMessage
from .metrics import InstanceMetrics

POLICY = "catkintrack"


class ConfigStamp(NamedTuple):
    """Locate a stored configuration by the store's era and the object's revision."""

    era: int = 0
    revision: int = 0


@dataclass(slots=True)
class HeldConfig:
    """Hold where an older configuration was found, which is not in force.

    `is_copied` says that it was certainly in force before the present one, so that it
    comes from an older copy of the store.
    """

    stamp: ConfigStamp = ConfigStamp()
    is_copied: bool = False


@dataclass(slots=True)
class ConfigHistory:
    """Hold digests of all configurations since one was listed in an era, by revision.

    `superseded` are those that were in force before the present one, the newest last.
    """

    era: int = 0
    digest_by_revision: dict[int, bytes] = field(default_factory=dict)
    superseded: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Feed:
    """Hold the watch state of one kind of object; times in seconds.

    The store's `revision` grows with each change of any kind within an `era`,
    `changed_revision` is that of this kind's last change.  While `is_delegated` other instances watch the
    kind instead.  `stale_since` is when a peer first reported a newer revision, None if no
    peer has a newer one; `pulled_at` is when a peer was last asked for it.  `asked_at` is
    when the last call was sent, `regained_at` when the store first answered after its last
    failure, None if it has not yet.
    """

    kind: str
    revision: int = 0
    changed_revision: int = 0
    last_success_at: float = -1e9
    last_failure_at: float = -1e9
    is_delegated: bool = False
    stale_since: float | None = None
    pulled_at: float = -1e9
    era: int = 0
    asked_at: float = -1e9
    regained_at: float | None = -1e9


@dataclass(slots=True)
class Peer:
    """Hold the connection to a peer and its last gossip; times in seconds.

    `last_batch_at` is when it last sent a batch as a hub.  Until `hub_excluded_until`
    the zone's other candidates for its hub come first.  `callers_port` is where it takes
    calls, `is_cut_off` says that it reaches no replica, `refused_at_by_service` when it
    last refused a relayed call.
    """

    instance: str
    zone: str
    host: str
    port: int
    link: Link | None = None
    heard_at: float = -1e9
    incarnation: int = 0
    is_leaving: bool = False
    is_store_heard: bool = False
    link_mbps: float = 0.0
    last_batch_at: float = -1e9
    hub_excluded_until: float = -1e9
    in_flight_by_upstream: dict[str, int] = field(default_factory=dict)
    callers_port: int = 0
    is_cut_off: bool = False
    refused_at_by_service: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class PendingRemoval:
    """Hold an upstream whose entry lapsed in a store outage, and when to remove it."""

    upstream: str
    due_at: float


@dataclass(slots=True)
class Departure:
    """Hold a replica that left: the store's era and revision then, and the time.

    `listed_spec` is the entry that `listed_era` lists for it nevertheless, since
    `listed_at`.
    """

    incarnation: int
    era: int
    revision: int
    at: float
    listed_era: int = -1
    listed_spec: Any = None
    listed_at: float = -1e9


@dataclass(frozen=True, slots=True)
class KnownLife:
    """Hold a replica's incarnation, when it was last reported, and the one before it."""

    incarnation: int
    at: float
    past_incarnation: int | None = None


@dataclass(slots=True)
class LossCheck:
    """Hold when the check of a replica began, and its outcome once it is done."""

    started_at: float
    has_ended: bool = False
    is_done: curio.Event = field(default_factory=curio.Event)


@dataclass(slots=True)
class OriginStore:
    """Hold how far the origins of streams are loaded from and written to the store.

    `revision` is that of this instance's object, 0 if there is none, `era` that in which it
    was last written; `has_objects` says that any instance may have one.  `listed_at` is when the last read that
    succeeded began, `revision_by_object` what it found,
    `mixed_at` when versions were last mixed,
    `lifetime_s` how long after its first event a stream may be resumed.
    """

    is_loaded: curio.Event = field(default_factory=curio.Event)
    wake: curio.Event = field(default_factory=curio.Event)
    write_lock: curio.Lock = field(default_factory=curio.Lock)
    read_lock: curio.Lock = field(default_factory=curio.Lock)
    revision: int = 0
    era: int = 0
    read_at: float = -1e9
    listed_at: float = -1e9
    mixed_at: float = -1e9
    lifetime_s: float = DEFAULT_LIFETIME_S
    is_mixed: bool = False
    revision_by_object: dict[str, int] = field(default_factory=dict)
    has_changes: bool = False
    has_objects: bool = False


@dataclass(slots=True, eq=False)
class OpenCall:
    """Hold a call that runs; `is_ended` is set once a stop has ended it."""

    call: Call
    connection: Connection
    task: curio.Task
    is_ended: bool = False


@dataclass(slots=True)
class RoomWaiter:
    """Hold a plain call that waits for room; `may_try` is set when it may look for it."""

    may_try: curio.Event = field(default_factory=curio.Event)


@dataclass(slots=True)
class Instance:
    """Hold the whole state of an instance.

    `decisions` holds the scheduler's tables, `services` those of other calls.
    `batch_queue` says of each message whether it also goes to the other zones.
    `followed_hub` is the name of the own zone's hub and when it was chosen.
    `running_at` is when the process last ran its housekeeping, on the boot clock,
    `quarantine_era` the era in which the quarantine was last written.
    `is_config_written` says that the configuration was certainly written in the era of
    its stamp; `held_config` is one that may come from an older copy of the store.
    `era_seen_at` is when the store's era last rose while something was known.
    `room_queue_by_service` holds the plain calls that wait for room at brittle replicas.
    `own_load_by_upstream` holds the loads that replicas without engines have named to this
    instance of late, and when.
    """

    site: Site
    incarnation: int
    started_at: float
    context: zmq.Context
    store: StoreClient
    pool: Pool
    rng: Random
    metrics: InstanceMetrics
    limits: PooledLimits
    lease: Lease
    config: Configuration | None = None
    config_spec: Any = None
    config_stamp: ConfigStamp = ConfigStamp()
    is_config_written: bool = False
    held_config: HeldConfig = field(default_factory=HeldConfig)
    config_history: ConfigHistory = field(default_factory=ConfigHistory)
    era_seen_at: float = -1e9
    upstream_by_id: dict[str, Upstream] = field(default_factory=dict)
    spec_by_upstream: dict[str, Any] = field(default_factory=dict)
    pending_removal_by_upstream: dict[str, PendingRemoval] = field(default_factory=dict)
    departure_by_upstream: dict[str, Departure] = field(default_factory=dict)
    weights: WeightsTables = field(default_factory=WeightsTables)
    decisions: Tables = field(default_factory=Tables)
    services: ServiceTables = field(default_factory=ServiceTables)
    rollouts: RolloutTables = field(default_factory=RolloutTables)
    quarantine: Quarantine = field(default_factory=Quarantine)
    partition: Partition = field(default_factory=Partition)
    slow_readers: SlowReaders | None = None
    relay_refused_at_by_service: dict[str, float] = field(default_factory=dict)
    relay_served_at_by_service: dict[str, float] = field(default_factory=dict)
    quarantine_era: int = 0
    life_by_upstream: dict[str, KnownLife] = field(default_factory=dict)
    loss_check_by_replica: dict[str, LossCheck] = field(default_factory=dict)
    abandoned_at_by_replica: dict[str, dict[int, float]] = field(default_factory=dict)
    stream_origins: StreamOrigins = field(default_factory=StreamOrigins)
    origin_store: OriginStore = field(default_factory=OriginStore)
    own_load_by_upstream: dict[str, tuple[ReplicaLoad, float]] = field(
        default_factory=dict
    )
    room_queue_by_service: dict[str, deque[RoomWaiter]] = field(default_factory=dict)
    retry_budget_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    feed_by_kind: dict[str, Feed] = field(default_factory=dict)
    peer_by_address: dict[tuple[str, int], Peer] = field(default_factory=dict)
    store_address_by_name: dict[str, Address] = field(default_factory=dict)
    max_timeouts: MaxTimeoutTable = field(default_factory=MaxTimeoutTable)
    gossiped_tables: dict[str, dict[str, Any]] = field(default_factory=dict)
    full_gossip_at: float = -1e9
    running_at: float | None = None
    batch_queue: list[tuple[BatchedMessage, bool]] = field(default_factory=list)
    followed_hub: tuple[str, float] = ("", -1e9)
    report_requested_at_by_upstream: dict[str, float] = field(default_factory=dict)
    probed_at_by_upstream: dict[str, float] = field(default_factory=dict)
    server: Server | None = None
    is_stopping: bool = False
    calls_end_at: float = math.inf
    open_calls: set[OpenCall] = field(default_factory=set)
    next_request_number: int = 0
    call_queue: CallQueue = field(init=False)

    def __post_init__(self) -> None:
        """Create the queue of model calls over the scheduler's tables."""
        self.call_queue = CallQueue(
            self.decisions,
            self.rng,
            POLICY,
            lambda count: self.metrics.waiting_calls.set({}, count),
        )

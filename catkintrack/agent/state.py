"""Define the in-memory state of an agent."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
import zmq

from catkintrack.config import ConfigChange, ConfigState, ConfigTables
from catkintrack.http import Pool
from catkintrack.limits import Recount, ShareHolder
from catkintrack.links import Link, LinkKeys, LoadReport, Message, ReserveOutcome
from catkintrack.membership import MemberTable
from catkintrack.objects import InstanceRow, PlatformClient
from catkintrack.processes import PauseDetector
from catkintrack.settings import Settings

from .metrics import AgentMetrics

MAX_RETAINED_CHANGES = 128


@dataclass(slots=True)
class PeerLink:
    """Hold the link to one peer's mesh address and the task that runs it."""

    host: str
    port: int
    link: Link
    task: curio.Task


@dataclass(slots=True)
class RouterSession:
    """Hold the session of one router that this agent serves."""

    identity: bytes
    name: str
    incarnation: int
    revision: int
    last_message_at: float


@dataclass(slots=True)
class EngineFeed:
    """Hold the last known load and cached blocks of one engine."""

    upstream: str
    incarnation: str = ""
    sequence: int = 0
    blocks: set[int] = field(default_factory=set)
    load: LoadReport | None = None
    load_received_at: float = 0.0
    next_request_id: int = 0
    tasks: list[curio.Task] = field(default_factory=list)


@dataclass(slots=True)
class Reservation:
    """Hold a reservation that waits for tokens borrowed from peers."""

    tokens: int
    asked_at: float
    done: curio.Event = field(default_factory=curio.Event)
    outcome: ReserveOutcome = ReserveOutcome.UNAVAILABLE
    retry_after_s: float = 0.0


@dataclass(slots=True)
class BorrowRound:
    """Hold one round of lend requests to all lenders for a workspace's tokens.

    `requested_tokens` is the number asked of each lender.  `is_contended` means that
    a retry may succeed, `has_full_grant` that some lender granted the whole request
    and may have more tokens.
    """

    ticket: int
    requested_tokens: float
    pending_lenders: set[str]
    is_contended: bool = False
    has_full_grant: bool = False
    done: curio.Event = field(default_factory=curio.Event)


@dataclass(slots=True)
class LimitState:
    """Hold the agent's limit shares, its borrow rounds and its recounts."""

    holder: ShareHolder
    waiting_reservations_by_workspace: dict[str, deque[Reservation]] = field(
        default_factory=dict
    )
    borrow_round_by_workspace: dict[str, BorrowRound] = field(default_factory=dict)
    exhausted_at_by_workspace: dict[str, float] = field(default_factory=dict)
    recount: Recount | None = None
    recount_reports_received: curio.Event = field(default_factory=curio.Event)
    next_recount_at: float = 0.0
    recount_backoff_s: float = 0.0
    ledger_adopted_at: float = -1e9


@dataclass(slots=True)
class Agent:
    """Hold the whole state of an agent.

    `fleet_platform_contact_at` is when any instance last reached the platform, as far
    as heartbeats tell; `own_platform_contact_at` is when this agent did, and
    `platform_failing_since` when the first of its calls failed that it has made since.
    """

    settings: Settings
    incarnation: int
    context: zmq.Context
    keys: LinkKeys
    platform: PlatformClient
    members: MemberTable
    limits: LimitState
    rng: Random
    metrics: AgentMetrics
    upstream_pool: Pool
    config: ConfigState = field(default_factory=ConfigState)
    tables: ConfigTables = field(default_factory=ConfigTables)
    changes: deque[ConfigChange] = field(
        default_factory=lambda: deque(maxlen=MAX_RETAINED_CHANGES)
    )
    head_version: int = 0
    fleet_platform_contact_at: float = -1e9
    own_platform_contact_at: float = -1e9
    platform_failing_since: float | None = None
    highest_seen_revision: int = 0
    instance_row_by_id: dict[str, InstanceRow] = field(default_factory=dict)
    removed_instances: set[str] = field(default_factory=set)
    mesh: Link | None = None
    routers: Link | None = None
    peer_link_by_instance: dict[str, PeerLink] = field(default_factory=dict)
    session_by_identity: dict[bytes, RouterSession] = field(default_factory=dict)
    feed_by_upstream: dict[str, EngineFeed] = field(default_factory=dict)
    is_stopping: bool = False
    pause_detector: PauseDetector = field(default_factory=lambda: PauseDetector(0.0))
    last_peer_heartbeat_at: float = -1e9
    started_at: float = 0.0

    @property
    def instance(self) -> str:
        """Return the ID of the agent's instance."""
        return self.settings.instance.id


MessageBody = Message | Any

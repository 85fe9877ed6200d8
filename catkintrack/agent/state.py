"""Hold an agent's state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
import zmq

from catkintrack.config import Change, ConfigTables, State
from catkintrack.http import Pool
from catkintrack.limits import Recount, ShareHolder
from catkintrack.links import Link, LinkKeys, LoadReport, Message, ReserveOutcome
from catkintrack.membership import MemberTable
from catkintrack.objects import InstanceRow, PlatformClient
from catkintrack.processes import PauseGuard
from catkintrack.settings import Settings

from .metrics import AgentMetrics

KEPT_CHANGES = 128


@dataclass(slots=True)
class PeerLink:
    """Hold the connection to one peer's mesh address."""

    host: str
    port: int
    link: Link
    task: curio.Task


@dataclass(slots=True)
class RouterSession:
    """Hold one router that this agent serves."""

    identity: bytes
    name: str
    incarnation: int
    revision: int
    heard_at: float


@dataclass(slots=True)
class EngineFeed:
    """Hold what the agent follows of one engine."""

    upstream: str
    incarnation: str = ""
    sequence: int = 0
    blocks: set[int] = field(default_factory=set)
    load: LoadReport | None = None
    load_at: float = 0.0
    next_request_id: int = 0
    tasks: list[curio.Task] = field(default_factory=list)


@dataclass(slots=True)
class Reservation:
    """Hold a reservation that waits for tokens of other holders."""

    tokens: int
    asked_at: float
    done: curio.Event = field(default_factory=curio.Event)
    outcome: ReserveOutcome = ReserveOutcome.UNAVAILABLE
    retry_after_s: float = 0.0


@dataclass(slots=True)
class Gather:
    """Hold one round of asking peers for a workspace's tokens.

    `has_full_grant` says that some peer gave all it was asked for, and may have more.
    """

    ticket: int
    wanted: float
    waiting_for: set[str]
    is_contended: bool = False
    has_full_grant: bool = False
    done: curio.Event = field(default_factory=curio.Event)


@dataclass(slots=True)
class LimitState:
    """Hold the agent's part in the limits."""

    holder: ShareHolder
    waiting_by_workspace: dict[str, deque[Reservation]] = field(default_factory=dict)
    gather_by_workspace: dict[str, Gather] = field(default_factory=dict)
    exhausted_at_by_workspace: dict[str, float] = field(default_factory=dict)
    recount: Recount | None = None
    recount_reported: curio.Event = field(default_factory=curio.Event)
    next_recount_at: float = 0.0
    recount_backoff_s: float = 0.0
    ledger_adopted_at: float = -1e9


@dataclass(slots=True)
class Agent:
    """Hold everything that an agent knows."""

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
    config: State = field(default_factory=State)
    tables: ConfigTables = field(default_factory=ConfigTables)
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=KEPT_CHANGES))
    head_version: int = 0
    platform_ok_at: float = -1e9
    own_platform_ok_at: float = -1e9
    newest_revision_heard: int = 0
    listed_by_instance: dict[str, InstanceRow] = field(default_factory=dict)
    removed_instances: set[str] = field(default_factory=set)
    mesh: Link | None = None
    routers: Link | None = None
    peer_link_by_instance: dict[str, PeerLink] = field(default_factory=dict)
    session_by_identity: dict[bytes, RouterSession] = field(default_factory=dict)
    feed_by_upstream: dict[str, EngineFeed] = field(default_factory=dict)
    is_stopping: bool = False
    pause_guard: PauseGuard = field(default_factory=lambda: PauseGuard(0.0))
    peer_heard_at: float = -1e9
    started_at: float = 0.0

    @property
    def instance(self) -> str:
        """Return the id of the instance that the agent runs on."""
        return self.settings.instance.id


Body = Message | Any

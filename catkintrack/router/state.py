"""Define the state of a router process."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import curio
import zmq

from catkintrack.calls import CallQueue
from catkintrack.config import ConfigState, ConfigTables
from catkintrack.decisions import Tables
from catkintrack.decisions.services import ServiceTables
from catkintrack.http import Connection, Pool, Server
from catkintrack.links import FleetView, Link, LinkKeys, Message
from catkintrack.processes import PauseDetector
from catkintrack.settings import Settings

from .metrics import RouterMetrics


@dataclass(slots=True)
class AgentLink:
    """Hold the link to one agent and its last fleet view.

    Times are in seconds on the monotonic clock.
    """

    instance: str
    host: str
    port: int
    link: Link
    task: curio.Task | None = None
    last_message_at: float = -1e9
    view: FleetView | None = None
    view_received_at: float = -1e9


@dataclass(slots=True)
class PendingReply:
    """Hold the reply to one request to an agent and the event that signals it."""

    done: curio.Event = field(default_factory=curio.Event)
    reply: Message | None = None


@dataclass(slots=True, eq=False)
class OpenCall:
    """Hold a call in progress, to cancel it when its API key is withdrawn."""

    request_id: str
    key_id: str | None
    workspace: str | None
    connection: Connection
    task: curio.Task
    is_cancelled: bool = False


@dataclass(slots=True)
class Router:
    """Hold the state of one router process."""

    settings: Settings
    name: str
    incarnation: int
    context: zmq.Context
    keys: LinkKeys
    pool: Pool
    rng: Random
    metrics: RouterMetrics
    pause_detector: PauseDetector
    config: ConfigState = field(default_factory=ConfigState)
    tables: ConfigTables = field(default_factory=ConfigTables)
    decisions: Tables = field(default_factory=Tables)
    services: ServiceTables = field(default_factory=ServiceTables)
    leaving_instances: frozenset[str] = frozenset()
    agents: list[AgentLink] = field(default_factory=list)
    pending_reply_by_id: dict[int, PendingReply] = field(default_factory=dict)
    next_request_id: int = 1
    open_calls: set[OpenCall] = field(default_factory=set)
    is_stopping: bool = False
    server: Server | None = None
    call_queue: CallQueue = field(init=False)

    def __post_init__(self) -> None:
        """Create the call queue on the decision tables."""
        self.call_queue = CallQueue(
            self.decisions,
            self.rng,
            self.settings.router.placement.policy,
            lambda count: self.metrics.waiting_calls.set({}, count),
        )

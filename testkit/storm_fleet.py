"""Replay storms of model calls against the scheduler's tables of some instances.

Time is virtual.  A replica reads prompts in pieces, by rank, and makes one token of each
running stream after each piece.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random

from catkintrack.decisions import (
    ModelRequest,
    Tables,
    UpstreamRow,
    record_end,
    record_first_token,
    record_remote_prefill,
    record_remote_prefill_end,
    submit,
    tick,
)
from catkintrack.decisions.admission import AdmissionTable, record_completion
from catkintrack.decisions.engine_priority import compute_engine_priority
from catkintrack.decisions.failure_detection import record_bytes_received
from catkintrack.decisions.fleet_shares import record_peer_total
from catkintrack.decisions.shedding import LateQueue
from catkintrack.decisions.tables import add_upstream
from catkintrack.decisions.verdicts import Dispatch

PREFILL_TOKENS_PER_S = 56_900.0
CHUNK_TOKENS = 4_096
STEP_S = 0.0035
STEP_S_PER_CALL = 0.0001
MEMORY_TOKENS = 247_000
# A prompt takes this many times the memory of the part that has to be read.
MEMORY_FACTOR = 1.5
SLOTS = 64
MAX_PREFILL_WAIT_S = 0.2
TICK_S = 0.01
ANNOUNCEMENT_DELAY_S = 0.12
GOSSIP_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class CallKind:
    """Describe a kind of call; `per_s` is its rate for each replica."""

    per_s: float
    prompt_tokens: int
    max_tokens: int
    priority: int
    target_s: float
    deadline_s: float
    spread: float = 0.8


SHORT = CallKind(4.4, 1_900, 21, 0, 0.52, 3.1)
LONG = CallKind(1.25, 8_000, 385, 2, 2.0, 15.0)


@dataclass(slots=True)
class RunningCall:
    """Hold a call at a replica."""

    request: ModelRequest
    rank: int
    unread: float
    tokens_left: int
    is_active: bool = False

    @property
    def memory(self) -> float:
        """Return the tokens of memory that the call takes."""
        request = self.request
        return MEMORY_FACTOR * request.prompt_tokens + request.max_tokens


@dataclass(slots=True)
class StormReplica:
    """Hold the calls at a replica and the time at which its next step begins."""

    name: str
    calls: list[RunningCall] = field(default_factory=list)
    step_at: float = 0.0


@dataclass(slots=True)
class Outcome:
    """Hold what a caller got; times in seconds after its first attempt."""

    request: ModelRequest
    kind: CallKind
    workspace: str
    first_token_s: float | None = None
    ended_s: float | None = None
    refused_at: list[float] = field(default_factory=list)
    retry_after_s: list[float] = field(default_factory=list)
    asked_at: float = 0.0

    @property
    def is_served(self) -> bool:
        """Report whether the response was complete in time."""
        return self.ended_s is not None

    @property
    def is_on_time(self) -> bool:
        """Report whether it was complete and its first token came in time."""
        first_s = self.first_token_s
        return self.is_served and first_s is not None and first_s <= self.kind.target_s


class StormFleet:
    """Replay arrivals over instances and replicas."""

    def __init__(
        self, instances: int, replicas: int, has_admission: bool, seed: int = 1
    ) -> None:
        self.rng = Random(seed)
        self.replica_by_name = {f"u{n}": StormReplica(f"u{n}") for n in range(replicas)}
        self.tables = [
            self._make_tables(instances, has_admission) for _ in range(instances)
        ]
        self.outcome_by_id: dict[str, Outcome] = {}
        self.used_by_instance = [Counter[str]() for _ in range(instances)]
        self.home_by_id: dict[str, int] = {}
        self.events: list[tuple[float, int, object]] = []
        self.silent: set[str] = set()

    def _make_tables(self, instances: int, has_admission: bool) -> Tables:
        tables = Tables(router_count=instances, retry_budget=None)
        tables.max_prefill_wait_s = MAX_PREFILL_WAIT_S
        for name in self.replica_by_name:
            row = UpstreamRow(name, 0, "", frozenset({"m1"}), SLOTS)
            row.prefill_tokens_per_s = PREFILL_TOKENS_PER_S
            row.incarnation = "life"
            add_upstream(tables, row)
        if has_admission:
            tables.admission = AdmissionTable()
        else:
            tables.late_queue = LateQueue()
        return tables

    def add_calls(
        self,
        kind: CallKind,
        factor: float,
        begin: float,
        end: float,
        workspaces: dict[str, float],
    ) -> None:
        """Add arrivals of a kind of call at `factor` times its rate."""
        now = begin
        rate = kind.per_s * factor * len(self.replica_by_name)
        names, weights = list(workspaces), list(workspaces.values())
        while True:
            now += self.rng.expovariate(rate)
            if now >= end:
                return
            size = self.rng.lognormvariate(-(kind.spread**2) / 2, kind.spread)
            workspace = self.rng.choices(names, weights)[0]
            id = f"r{len(self.outcome_by_id)}"
            request = ModelRequest(
                id,
                workspace,
                "m1",
                (),
                max(100, round(kind.prompt_tokens * min(size, 4.0))),
                kind.max_tokens,
                kind.priority,
                now,
                now + kind.deadline_s,
                target_at=now + kind.target_s,
            )
            self.outcome_by_id[id] = Outcome(request, kind, workspace, asked_at=now)
            self._schedule(now, request)

    def _schedule(self, at: float, event: object) -> None:
        self.events.append((at, len(self.events), event))

    def run(self, until: float) -> StormFleet:
        """Replay all arrivals until a time."""
        now, gossip_at = 0.0, 0.0
        while now < until:
            now += TICK_S
            due = sorted(event for event in self.events if event[0] <= now)
            self.events = [event for event in self.events if event[0] > now]
            for at, _, event in due:
                if isinstance(event, ModelRequest):
                    self._arrive(event, at)
                else:
                    event()  # type: ignore[operator]
            for name, replica in self.replica_by_name.items():
                self._run_replica(name, replica, now)
            for number in range(len(self.tables)):
                self._tick(number, now)
            if now >= gossip_at:
                gossip_at = now + GOSSIP_INTERVAL_S
                self._gossip(now)
        return self

    def _arrive(self, request: ModelRequest, now: float) -> None:
        number = self.rng.randrange(len(self.tables))
        self.home_by_id[request.id] = number
        refusal = submit(self.tables[number], request, now)
        if refusal is not None:
            self._refuse(refusal, now)
        self._tick(number, now)

    def _tick(self, number: int, now: float) -> None:
        tables = self.tables[number]
        if not tables.waiting_count:
            return
        for decision in tick(tables, now, self.rng, "catkintrack"):
            if isinstance(decision, Dispatch):
                self._dispatch(number, decision, now)
            else:
                self._refuse(decision, now)

    def _dispatch(self, number: int, decision: Dispatch, now: float) -> None:
        request = decision.request
        self.used_by_instance[number][request.workspace] += (
            request.prompt_tokens + request.max_tokens
        )
        rank = compute_engine_priority(request.priority, request.target_at, 0.02, now)
        call = RunningCall(
            request, rank, float(decision.uncached_tokens), request.max_tokens
        )
        self.replica_by_name[decision.upstream].calls.append(call)

        def announce() -> None:
            for other, tables in enumerate(self.tables):
                if other != number:
                    record_remote_prefill(
                        tables,
                        request.id,
                        decision.upstream,
                        (),
                        decision.uncached_tokens,
                        decision.request.priority,
                        now + ANNOUNCEMENT_DELAY_S,
                    )

        self._schedule(now + ANNOUNCEMENT_DELAY_S, announce)

    def _refuse(self, refusal, now: float) -> None:  # type: ignore[no-untyped-def]
        request = refusal.request
        outcome = self.outcome_by_id[request.id]
        outcome.refused_at.append(now - request.arrived_at)
        outcome.retry_after_s.append(refusal.retry_after_s)
        returns_at = now + refusal.retry_after_s
        if len(outcome.refused_at) == 1 and returns_at < request.deadline:
            returned = replace(request, arrived_at=returns_at)
            self._schedule(returns_at, returned)

    def _gossip(self, now: float) -> None:
        for sender, used in enumerate(self.used_by_instance):
            for receiver, tables in enumerate(self.tables):
                if receiver == sender or tables.admission is None:
                    continue
                for workspace, total in used.items():
                    record_peer_total(
                        tables.admission.shares, str(sender), 1, workspace, total, now
                    )

    def _run_replica(self, name: str, replica: StormReplica, now: float) -> None:
        if name in self.silent:
            replica.step_at = now + 1e-9
        while replica.step_at <= now:
            at = replica.step_at
            for call in [c for c in replica.calls if c.request.deadline <= at]:
                self._end(replica, call, at)
            if not replica.calls:
                replica.step_at = now + 1e-9
                return
            budget = float(CHUNK_TOKENS)
            ranked = sorted(replica.calls, key=lambda c: c.rank)
            _activate(ranked)
            active = [call for call in ranked if call.is_active]
            for call in active:
                read = min(budget, call.unread)
                budget -= read
                call.unread -= read
            at += STEP_S + STEP_S_PER_CALL * len(active)
            at += (CHUNK_TOKENS - budget) / PREFILL_TOKENS_PER_S
            replica.step_at = at
            for call in active:
                if call.unread <= 0:
                    self._make_token(replica, call, at)

    def _make_token(self, replica: StormReplica, call: RunningCall, at: float) -> None:
        outcome = self.outcome_by_id[call.request.id]
        tables = self.tables[self.home_by_id[call.request.id]]
        record_bytes_received(tables.upstream_by_name[replica.name], at)
        if call.tokens_left == call.request.max_tokens:
            outcome.first_token_s = at - outcome.asked_at
            record_first_token(tables, call.request.id, "life", at)
            self._schedule(
                at + ANNOUNCEMENT_DELAY_S,
                lambda: self._end_remote(call.request.id, at),
            )
        call.tokens_left -= 1
        if call.tokens_left <= 0:
            outcome.ended_s = at - outcome.asked_at
            record_completion(tables, call.request.id)
            self._end(replica, call, at)

    def _end_remote(self, id: str, now: float) -> None:
        for tables in self.tables:
            record_remote_prefill_end(tables, id, "life", now)

    def _end(self, replica: StormReplica, call: RunningCall, at: float) -> None:
        replica.calls.remove(call)
        record_end(self.tables[self.home_by_id[call.request.id]], call.request.id, at)


def _activate(ranked: list[RunningCall]) -> None:
    """Begin the calls that fit into a replica's memory, in order of rank."""
    used = sum(call.memory for call in ranked if call.is_active)
    count = sum(call.is_active for call in ranked)
    for call in ranked:
        if call.is_active:
            continue
        if count >= SLOTS or (count and used + call.memory > MEMORY_TOKENS):
            return
        call.is_active = True
        used += call.memory
        count += 1


def count_fraction(outcomes: list[Outcome], attribute: str = "is_served") -> float:
    """Return the share of outcomes of which an attribute is true."""
    if not outcomes:
        return math.nan
    return sum(getattr(outcome, attribute) for outcome in outcomes) / len(outcomes)

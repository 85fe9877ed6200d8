"""Simulate instances before replicas that name limits, in virtual time.

The instances' own state and decisions run; callers, connections and replicas are
simulated.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from random import Random

from catkintrack.decisions import (
    Dispatch,
    record_end,
    record_first_token,
    submit,
    tick,
)
from catkintrack.decisions.named_limits import confirm_limits, list_own_limits
from catkintrack.fleet import Upstream
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import apply_upstream
from catkintrack.instance.peers import get_or_add_peer, list_limit_sharers
from catkintrack.instance.replica_signals import (
    admit,
    apply_signals,
    share_limits,
)
from catkintrack.instance.service_calls import choose_upstream
from catkintrack.instance.state import Instance

from .decision_tables import make_request
from .instances import make_config_spec, make_entry_spec
from .limit_rule import NOTICE_S, SPAN_S, STABLE_S, compute_allowed
from .states import make_instance
from .upstreams import make_response_fields
from .virtual_time import Action, run_until, schedule_in

TICK_S = 0.05
GOSSIP_S = 0.5
MAX_CONNECT_S = 0.03
MAX_TRANSIT_S = 0.02
MAX_RUN_S = 0.3
SLOW_RUN_SHARE = 0.05
SLOW_RUN_S = 2.0
CALL_TIMEOUT_S = 2.5


@dataclass(frozen=True, slots=True)
class LimitedPlan:
    """Describe one simulation; times in seconds.

    The first `limited` replicas name `limit_per_s` from `begins_s` to `ends_s`.  At each
    of `restarts_s` an instance starts again.  `skew` is the share of the callers that
    come to the first instance.  From each of `silences_s` on, the instances hear nothing
    of each other for `silence_s`, and go on serving.
    """

    instances: int = 8
    replicas: int = 5
    limited: int = 2
    limit_per_s: float = 2.0
    begins_s: float = 4.0
    ends_s: float = 24.0
    duration_s: float = 30.0
    calls_per_s: float = 40.0
    service: str = "models"
    skew: float = 0.0
    restarts_s: tuple[float, ...] = ()
    silences_s: tuple[float, ...] = ()
    silence_s: float = 3.0


@dataclass(slots=True)
class Node:
    """Hold an instance, its life, which a restart ends, and its queued calls."""

    number: int
    instance: Instance
    life: int = 0
    queued: set[str] = field(default_factory=set)


@dataclass(slots=True)
class LimitedFleet:
    """Hold a simulation and what was seen of it.

    `arrivals_by_replica` are the times and senders of all requests, `told_at` when a
    life of an instance first received an answer with a replica's limit.
    """

    plan: LimitedPlan
    rng: Random
    now: float = 100.0
    events: list[tuple[float, int, Action]] = field(default_factory=list)
    event_count: int = 0
    nodes: list[Node] = field(default_factory=list)
    arrivals_by_replica: dict[str, list[tuple[float, tuple]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    told_at: dict[tuple, float] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)
    retry_after_s: list[float] = field(default_factory=list)


def simulate_limits(plan: LimitedPlan, seed: int) -> LimitedFleet:
    """Run one simulation to its end and return it."""
    fleet = LimitedFleet(plan, Random(seed))
    for number in range(plan.instances):
        fleet.nodes.append(Node(number, _start_instance(fleet, number)))
        schedule_in(
            fleet, fleet.rng.random() * TICK_S, lambda n=number: _run_ticks(fleet, n)
        )
        schedule_in(
            fleet, fleet.rng.random() * GOSSIP_S, lambda n=number: _gossip(fleet, n)
        )
    schedule_in(fleet, 0.0, lambda: _arrive(fleet))
    for at_s in plan.restarts_s:
        schedule_in(fleet, at_s, lambda: _restart(fleet))
    end = fleet.now + plan.duration_s
    run_until(fleet, end)
    return fleet


def _start_instance(fleet: LimitedFleet, number: int) -> Instance:
    plan = fleet.plan
    instance = make_instance()
    instance.rng = Random(f"{number}/{fleet.rng.random()}")
    instance.decisions.retry_budget = None
    instance.site = replace(instance.site, instance=f"n{number}")
    instance.decisions.router_count = plan.instances
    apply_configuration(instance, 5, make_config_spec(7), "store")
    for replica in range(plan.replicas):
        models = [{"name": "m1", "version": 1}] if plan.service == "models" else []
        spec = make_entry_spec(
            service=plan.service, models=models, address=f"127.0.0.1:{9000 + replica}"
        )
        apply_upstream(instance, f"r{replica}", spec, fleet.now)
    for other in range(plan.instances):
        if other != number:
            _hear(fleet, instance, other)
    return instance


def _gossip(fleet: LimitedFleet, number: int) -> None:
    """Let an instance tell its peers that it is alive, and of the limits."""
    node = fleet.nodes[number]
    sharers = list_limit_sharers(node.instance, fleet.now)
    share_limits(node.instance, [peer.instance for peer in sharers], fleet.now)
    ids = list_own_limits(node.instance.decisions.named_limits)
    for other in fleet.nodes:
        if other is not node and not _is_silent(fleet):
            _hear(fleet, other.instance, number)
            confirm_limits(other.instance.decisions.named_limits, ids, fleet.now)
    schedule_in(fleet, GOSSIP_S, lambda: _gossip(fleet, number))


def _is_silent(fleet: LimitedFleet) -> bool:
    plan, since_s = fleet.plan, fleet.now - 100.0
    return any(at <= since_s < at + plan.silence_s for at in plan.silences_s)


def _hear(fleet: LimitedFleet, instance: Instance, number: int) -> None:
    """Let an instance hear of another one."""
    peer = get_or_add_peer(instance, f"n{number}", "z1", "127.0.0.1", 10_000 + number)
    peer.incarnation, peer.heard_at = 1, fleet.now


def _restart(fleet: LimitedFleet) -> None:
    node = fleet.rng.choice(fleet.nodes)
    node.life += 1
    node.queued.clear()
    node.instance = _start_instance(fleet, node.number)


def _run_ticks(fleet: LimitedFleet, number: int) -> None:
    _tick(fleet, fleet.nodes[number])
    schedule_in(fleet, TICK_S, lambda: _run_ticks(fleet, number))


def _arrive(fleet: LimitedFleet) -> None:
    """Let a caller's request arrive at an instance, and the next one later."""
    plan, rng = fleet.plan, fleet.rng
    is_first = rng.random() < plan.skew
    node = fleet.nodes[0] if is_first else rng.choice(fleet.nodes)
    request = make_request(
        f"c{fleet.event_count}", arrived_at=fleet.now, queue_timeout_s=CALL_TIMEOUT_S
    )
    fleet.outcomes["arrived"] += 1
    if plan.service == "models":
        node.queued.add(request.id)
        refusal = submit(node.instance.decisions, request, fleet.now)
        if refusal is not None:
            _refuse(fleet, node, request.id, refusal.retry_after_s)
        _tick(fleet, node)
    else:
        upstream = choose_upstream(node.instance, plan.service, frozenset(), fleet.now)
        if upstream is None:
            fleet.outcomes["refused"] += 1
        else:
            _connect(fleet, node, request.id, upstream)
    schedule_in(fleet, rng.expovariate(plan.calls_per_s), lambda: _arrive(fleet))


def _refuse(fleet: LimitedFleet, node: Node, id: str, retry_after_s: float) -> None:
    node.queued.discard(id)
    fleet.outcomes["refused"] += 1
    fleet.retry_after_s.append(retry_after_s)


def _tick(fleet: LimitedFleet, node: Node) -> None:
    instance = node.instance
    for decision in tick(instance.decisions, fleet.now, instance.rng, "catkintrack"):
        id = decision.request.id
        if isinstance(decision, Dispatch):
            node.queued.discard(id)
            upstream = instance.upstream_by_id[decision.upstream]
            _connect(fleet, node, id, upstream)
        else:
            _refuse(fleet, node, id, decision.retry_after_s)


def _connect(fleet: LimitedFleet, node: Node, id: str, upstream: Upstream) -> None:
    """Open a connection, ask again whether the replica accepts work, and send."""
    life = node.life

    def send() -> None:
        if node.life != life:
            return
        if not admit(node.instance, upstream, fleet.now):
            record_end(node.instance.decisions, id, fleet.now)
            fleet.outcomes["not sent"] += 1
            return
        sent_at = fleet.now
        transit_s = fleet.rng.random() * MAX_TRANSIT_S
        schedule_in(
            fleet, transit_s, lambda: _reach(fleet, node, life, id, upstream, sent_at)
        )

    schedule_in(fleet, fleet.rng.random() * MAX_CONNECT_S, send)


def _find_named_limit(fleet: LimitedFleet, id: str) -> float | None:
    plan = fleet.plan
    since = fleet.now - 100.0
    is_limited = int(id[1:]) < plan.limited and plan.begins_s <= since < plan.ends_s
    return plan.limit_per_s if is_limited else None


def _reach(
    fleet: LimitedFleet,
    node: Node,
    life: int,
    id: str,
    upstream: Upstream,
    sent_at: float,
) -> None:
    """Let a request reach the replica, which answers later."""
    fleet.arrivals_by_replica[upstream.id].append((fleet.now, (node.number, life)))
    rng = fleet.rng
    run_s = rng.random() * MAX_RUN_S
    if rng.random() < SLOW_RUN_SHARE:
        run_s += rng.random() * SLOW_RUN_S

    def begin() -> None:
        limit = _find_named_limit(fleet, upstream.id)
        transit_s = rng.random() * MAX_TRANSIT_S
        schedule_in(fleet, transit_s, lambda: answer(limit))

    def answer(limit: float | None) -> None:
        if node.life != life:
            return
        if limit is not None:
            key = (node.number, life, upstream.id)
            fleet.told_at.setdefault(key, fleet.now)
        fields = make_response_fields(limit_per_s=limit)
        apply_signals(node.instance, upstream, b"r1", fields, sent_at, fleet.now)
        tables = node.instance.decisions
        if id in tables.running_by_id:
            record_first_token(tables, id, "1000", fleet.now)
            record_end(tables, id, fleet.now)
        fleet.outcomes["served"] += 1

    schedule_in(fleet, run_s, begin)


def find_excesses(fleet: LimitedFleet) -> list[str]:
    """Return the spans in which a replica got more than its limit allows."""
    plan = fleet.plan
    allowed = compute_allowed(plan.limit_per_s)
    faults = []
    for number in range(plan.limited):
        id = f"r{number}"
        counted: list[float] = []
        for at, sender in fleet.arrivals_by_replica[id]:
            told_at = fleet.told_at.get((*sender, id))
            if told_at is None or at < told_at + NOTICE_S:
                continue
            if at >= 100.0 + plan.ends_s:
                break
            counted = [c for c in counted if c > at - SPAN_S] + [at]
            is_bound = at >= 100.0 + plan.begins_s + STABLE_S
            if is_bound and len(counted) > allowed:
                faults.append(
                    f"{at:.3f}: {id} got {len(counted)}, {allowed:.0f} allowed"
                )
    return faults


def count_arrivals(fleet: LimitedFleet, id: str, since_s: float, until_s: float) -> int:
    """Return the requests that reached a replica in a span."""
    times = [at - 100.0 for at, _ in fleet.arrivals_by_replica[id]]
    return sum(since_s <= at < until_s for at in times)

"""Simulate instances and replicas that leave, rest and restart, in virtual time.

The instances' own state and decisions run; connections, replicas and the delivery of
discovery entries are simulated.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from catkintrack.decisions import (
    Dispatch,
    ModelRequest,
    Refusal,
    RefusalReason,
    record_end,
    record_failure,
    record_first_token,
    submit,
    tick,
)
from catkintrack.decisions.leaving import has_announced_leaving
from catkintrack.decisions.rest import (
    RETURN_TRIAL_S,
    find_earliest_return,
    find_rest,
    is_resting,
)
from catkintrack.decisions.retries import add_retry_credit, take_retry
from catkintrack.fleet import Upstream
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import (
    apply_upstream,
    remove_upstreams,
)
from catkintrack.instance.replica_signals import (
    apply_signals,
    end_returned_rests,
    find_return_s,
    may_send,
)
from catkintrack.instance.retry_budgets import find_retry_budget
from catkintrack.instance.service_calls import choose_upstream
from catkintrack.instance.state import Instance

from .decision_tables import make_request
from .instances import make_config_spec, make_entry_spec
from .states import make_instance
from .upstreams import make_response_fields
from .virtual_time import Action, run_until, schedule

SERVICES = ("models", "app")
TICK_S = 0.01
HOUSEKEEPING_S = 0.25
MAX_TRIES = 5
CALL_TIMEOUT_S = 4.0
MAX_CONNECT_S = 0.03
MAX_TRANSIT_S = 0.02
MAX_RUN_S = 0.3
# Time between a replica's change and the arrival of its entry at an instance.
MAX_ENTRY_DELAY_S = 3.0
DRAIN_S = 3.0
MAX_REST_S = 4.0
# Lives that begin with a rest, which is asked for before their entry is known.
RESTING_START_SHARE = 0.5
# A crashed replica starts again under its ID, before its entry is removed.
CRASH_S = 0.1
# The users' rule: from this long after the answer that asks for rest, and how many may
# still arrive until its end.
REST_NOTICE_S = 0.5
MAX_ARRIVALS_IN_REST = 2
# Calls that must be served while one replica of each service neither leaves nor rests.
MIN_SERVED_SHARE = 0.99


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Describe one simulation; times in seconds.

    With `can_all_rest` all replicas of a service may rest at once, otherwise one of
    each service neither rests nor leaves.  Nothing happens to replicas in the last
    `calm_s`.
    """

    instances: int = 3
    replicas: int = 4
    calls_per_s: float = 30.0
    duration_s: float = 22.0
    calm_s: float = 6.0
    can_all_rest: bool = False


@dataclass(slots=True)
class Replica:
    """Hold a replica; its present life is its incarnation."""

    id: str
    service: str
    incarnation: int = 1000
    is_leaving: bool = False
    is_up: bool = True
    rest_until: float = 0.0
    hides_run: bool = False


@dataclass(slots=True)
class RestAnswer:
    """Hold an answer that asked one instance for rest, and what arrived in that time."""

    begins_at: float
    ends_at: float
    arrivals: int = 0


@dataclass(slots=True)
class Node:
    """Hold an instance, its queued calls and its life, which a restart ends."""

    number: int
    instance: Instance
    life: int = 0
    queued_by_id: dict[str, SimulatedCall] = field(default_factory=dict)


@dataclass(slots=True)
class SimulatedCall:
    """Hold a call that is being served, and its attempts."""

    node: Node
    life: int
    service: str
    request: ModelRequest
    connected: int = 0
    tries: int = 0


@dataclass(slots=True)
class SignalFleet:
    """Hold a simulation, its clock and what went wrong.

    `told_at` is when a life of an instance first received the announcement of a life
    of a replica, `asked_until` the end of the longest rest that it has been asked for,
    until an answer ends it, and `first_requests` what was sent since; `rests` are the
    answers that asked for rest, by the same key.
    """

    plan: FleetPlan
    rng: Random
    now: float = 100.0
    events: list[tuple[float, int, Action]] = field(default_factory=list)
    event_count: int = 0
    nodes: list[Node] = field(default_factory=list)
    replica_by_id: dict[str, Replica] = field(default_factory=dict)
    told_at: dict[tuple, float] = field(default_factory=dict)
    asked_until: dict[tuple, float] = field(default_factory=dict)
    first_requests: Counter = field(default_factory=Counter)
    rests: dict[tuple, list[RestAnswer]] = field(
        default_factory=lambda: defaultdict(list)
    )
    outcomes: Counter = field(default_factory=Counter)
    calm_outcomes: Counter = field(default_factory=Counter)
    calm_runs: Counter = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    kinds: Counter = field(default_factory=Counter)

    @property
    def calm_at(self) -> float:
        """Return when the last time without changes begins."""
        return 100.0 + self.plan.duration_s - self.plan.calm_s


def simulate_signals(plan: FleetPlan, seed: int) -> SignalFleet:
    """Run one simulation to its end and return it."""
    fleet = SignalFleet(plan, Random(seed))
    for service in SERVICES:
        for number in range(plan.replicas):
            id = f"{service[0]}{number}"
            fleet.replica_by_id[id] = Replica(id, service)
    for number in range(plan.instances):
        fleet.nodes.append(Node(number, _start_instance(fleet, number)))
        schedule(fleet, fleet.now, lambda number=number: _run_ticks(fleet, number))
        schedule(fleet, fleet.now, lambda number=number: _keep_house(fleet, number))
        schedule(fleet, fleet.now, lambda number=number: _arrive(fleet, number))
    schedule(fleet, fleet.now + 1.0, lambda: _disturb(fleet))
    end = 100.0 + plan.duration_s
    run_until(fleet, end)
    _check_rests(fleet)
    return fleet


def _start_instance(fleet: SignalFleet, number: int) -> Instance:
    """Return an instance that knows the configuration and the present entries."""
    instance = make_instance()
    instance.rng = Random(f"{number}/{fleet.rng.random()}")
    instance.decisions.retry_budget = None
    instance.decisions.router_count = fleet.plan.instances
    apply_configuration(instance, 5, make_config_spec(7), "store")
    for replica in fleet.replica_by_id.values():
        if replica.is_up:
            apply_upstream(instance, replica.id, _make_entry(replica), fleet.now)
    return instance


def _make_entry(replica: Replica, state: str = "ready") -> dict[str, Any]:
    models = [{"name": "m1", "version": 1}] if replica.service == "models" else []
    return make_entry_spec(
        service=replica.service,
        born=replica.incarnation,
        models=models,
        state=state,
        address=f"127.0.0.1:{9000 + int(replica.id[1:])}",
    )


def _deliver(fleet: SignalFleet, id: str, spec: dict[str, Any] | None) -> None:
    """Let an entry, or its removal if None, reach each instance after a time."""
    for number in range(len(fleet.nodes)):
        delay_s = fleet.rng.random() ** 2 * MAX_ENTRY_DELAY_S
        schedule(
            fleet, fleet.now + delay_s, lambda n=number: _receive(fleet, n, id, spec)
        )


def _receive(
    fleet: SignalFleet, number: int, id: str, spec: dict[str, Any] | None
) -> None:
    instance = fleet.nodes[number].instance
    known = instance.upstream_by_id.get(id)
    if spec is None:
        remove_upstreams(instance, [id], fleet.now)
    elif known is None or known.incarnation <= spec["born"]:
        # The store's revisions keep entries of an earlier life from coming later.
        apply_upstream(instance, id, spec, fleet.now)


def _disturb(fleet: SignalFleet) -> None:
    """Let something happen to a replica or an instance, again and again."""
    if fleet.now >= fleet.calm_at - DRAIN_S - MAX_ENTRY_DELAY_S / 2:
        return
    rng = fleet.rng
    ids = [
        id
        for id in sorted(fleet.replica_by_id)
        if fleet.plan.can_all_rest or not id.endswith("0")
    ]
    replica = fleet.replica_by_id[rng.choice(ids)]
    kinds = (
        "rest",
        "rest",
        "hidden rest",
        "leave",
        "stale entry",
        "lapse",
        "restart",
        "crash",
    )
    kind = rng.choice(kinds)
    if replica.is_up and not replica.is_leaving:
        fleet.kinds[kind] += 1
        _apply_disturbance(fleet, kind, replica)
    schedule(fleet, fleet.now + rng.uniform(0.05, 0.3), lambda: _disturb(fleet))


def _apply_disturbance(fleet: SignalFleet, kind: str, replica: Replica) -> None:
    rng = fleet.rng
    if kind in ("rest", "hidden rest"):
        replica.rest_until = max(
            replica.rest_until, fleet.now + rng.uniform(0.2, MAX_REST_S)
        )
        replica.hides_run = kind == "hidden rest"
    elif kind == "leave" and not replica.id.endswith("0"):
        replica.is_leaving = True
        if rng.random() < 0.5:
            _deliver(fleet, replica.id, _make_entry(replica, "draining"))
        else:
            _deliver(fleet, replica.id, _make_entry(replica))
        schedule(fleet, fleet.now + DRAIN_S, lambda: _end_life(fleet, replica))
    elif kind == "crash" and not replica.id.endswith("0"):
        replica.is_up = False
        schedule(fleet, fleet.now + CRASH_S, lambda: _begin_life(fleet, replica))
    elif kind == "stale entry":
        _deliver(
            fleet, replica.id, _make_entry(replica) | {"slots": rng.randint(8, 32)}
        )
    elif kind == "lapse":
        number = rng.randrange(len(fleet.nodes))
        spec = _make_entry(replica)
        _receive(fleet, number, replica.id, None)
        schedule(
            fleet, fleet.now + 0.3, lambda: _receive(fleet, number, replica.id, spec)
        )
    elif kind == "restart":
        node = rng.choice(fleet.nodes)
        node.life += 1
        node.queued_by_id.clear()
        node.instance = _start_instance(fleet, node.number)


def _end_life(fleet: SignalFleet, replica: Replica) -> None:
    replica.is_up = False
    _deliver(fleet, replica.id, None)
    schedule(fleet, fleet.now + 0.5, lambda: _begin_life(fleet, replica))


def _begin_life(fleet: SignalFleet, replica: Replica) -> None:
    replica.incarnation += 1000
    replica.is_leaving, replica.is_up, replica.rest_until = False, True, 0.0
    if fleet.rng.random() < RESTING_START_SHARE:
        replica.rest_until = fleet.now + fleet.rng.uniform(0.2, MAX_REST_S)
        replica.hides_run = False
    _deliver(fleet, replica.id, _make_entry(replica))
    # Entries reach the instances out of order; the last one stands.
    schedule(
        fleet,
        fleet.now + MAX_ENTRY_DELAY_S,
        lambda: _deliver(fleet, replica.id, _make_entry(replica)),
    )


def _run_ticks(fleet: SignalFleet, number: int) -> None:
    _tick(fleet, fleet.nodes[number])
    schedule(fleet, fleet.now + TICK_S, lambda: _run_ticks(fleet, number))


def _keep_house(fleet: SignalFleet, number: int) -> None:
    end_returned_rests(fleet.nodes[number].instance, fleet.now)
    schedule(fleet, fleet.now + HOUSEKEEPING_S, lambda: _keep_house(fleet, number))


def _arrive(fleet: SignalFleet, number: int) -> None:
    """Let a caller's request arrive at an instance, and the next one later."""
    node = fleet.nodes[number]
    service = fleet.rng.choice(SERVICES)
    request = make_request(
        f"{number}-{fleet.event_count}",
        arrived_at=fleet.now,
        queue_timeout_s=CALL_TIMEOUT_S,
    )
    call = SimulatedCall(node, node.life, service, request)
    add_retry_credit(find_retry_budget(node.instance, service))
    _serve(fleet, call)
    wait_s = fleet.rng.expovariate(fleet.plan.calls_per_s)
    schedule(fleet, fleet.now + wait_s, lambda: _arrive(fleet, number))


def _serve(fleet: SignalFleet, call: SimulatedCall) -> None:
    """Choose a replica for a call, or queue it; end it if it may not be tried again."""
    instance = call.node.instance
    call.tries += 1
    budget = find_retry_budget(instance, call.service)
    if call.tries > MAX_TRIES or (call.connected and not take_retry(budget)):
        _refuse(fleet, call)
        return
    if call.service == "models":
        call.node.queued_by_id[call.request.id] = call
        refusal = submit(instance.decisions, call.request, fleet.now)
        if refusal is not None:
            del call.node.queued_by_id[call.request.id]
            _end(fleet, call, refusal.reason.value)
        _tick(fleet, call.node)
        return
    upstream = choose_upstream(instance, "app", call.request.excluded, fleet.now)
    if upstream is None:
        _refuse(fleet, call)
    else:
        _connect(fleet, call, upstream)


def _refuse(fleet: SignalFleet, call: SimulatedCall) -> None:
    instance, now = call.node.instance, fleet.now
    wait_s = find_return_s(instance, call.service, call.request.deadline, now)
    if wait_s is not None:
        _check_return(fleet, call, wait_s)
    _end(fleet, call, "refused" if wait_s is None else RefusalReason.RESTING.value)


def _check_return(fleet: SignalFleet, call: SimulatedCall, wait_s: float) -> None:
    """Check that a refused caller comes back when a replica has returned."""
    instance = call.node.instance
    rests = instance.decisions.rests.rest_by_upstream.values()
    if all(is_resting(rest, fleet.now + wait_s) for rest in rests):
        fleet.faults.append(f"{fleet.now:.3f}: a refused caller comes back too early")


def _tick(fleet: SignalFleet, node: Node) -> None:
    instance = node.instance
    for decision in tick(instance.decisions, fleet.now, instance.rng, "catkintrack"):
        call = node.queued_by_id.pop(decision.request.id)
        if isinstance(decision, Refusal):
            if decision.reason is RefusalReason.RESTING:
                _check_return(fleet, call, decision.retry_after_s)
            _end(fleet, call, decision.reason.value)
        else:
            assert isinstance(decision, Dispatch)
            _connect(fleet, call, instance.upstream_by_id[decision.upstream])
    _check_queue(fleet, node)


def _check_queue(fleet: SignalFleet, node: Node) -> None:
    """Check that no request waits while all replicas that could serve it rest."""
    tables = node.instance.decisions
    rests = [
        find_rest(tables.rests, upstream)
        for upstream in node.instance.upstream_by_id.values()
        if upstream.service == "models"
        and not upstream.is_draining
        and not has_announced_leaving(tables.leaving, upstream)
    ]
    if node.queued_by_id and find_earliest_return(rests, fleet.now) is not None:
        fleet.faults.append(f"{fleet.now:.3f}: calls wait while all replicas rest")


def _connect(fleet: SignalFleet, call: SimulatedCall, upstream: Upstream) -> None:
    """Open a connection, ask again whether the replica accepts work, and send."""

    def send() -> None:
        if call.node.life != call.life:
            return
        replica = fleet.replica_by_id[upstream.id]
        if not may_send(call.node.instance, upstream, fleet.now):
            _try_again(fleet, call, upstream)
        elif not replica.is_up:
            _fail(fleet, call, upstream)
        else:
            call.connected += 1
            sent_at = fleet.now
            life = replica.incarnation
            _check_sending(fleet, call, upstream, life)
            transit_s = fleet.rng.random() * MAX_TRANSIT_S
            schedule(
                fleet,
                fleet.now + transit_s,
                lambda: _reach(fleet, call, upstream, life, sent_at),
            )

    schedule(fleet, fleet.now + fleet.rng.random() * MAX_CONNECT_S, send)


def _make_key(call: SimulatedCall, id: str, incarnation: int) -> tuple:
    return call.node.number, call.life, id, incarnation


def _check_sending(
    fleet: SignalFleet, call: SimulatedCall, upstream: Upstream, life: int
) -> None:
    """Check that nothing is sent to a life that has told this instance to send nothing.

    A request for an earlier life is no fault: the instance can't know of the new one.
    """
    key = _make_key(call, upstream.id, life)
    line = f"{fleet.now:.3f}: instance {call.node.number} sends to {upstream.id}, "
    told_at = fleet.told_at.get(key, fleet.now)
    if told_at < fleet.now:
        fleet.faults.append(f"{line}told at {told_at:.3f} that it leaves")
    until = fleet.asked_until.get(key, fleet.now)
    if until > fleet.now:
        fleet.faults.append(f"{line}asked for rest until {until:.3f}")
    elif key in fleet.asked_until and fleet.now < until + RETURN_TRIAL_S:
        # Until an answer shows that the rest is over, one request goes first.
        fleet.first_requests[key] += 1
        if fleet.first_requests[key] > 1:
            fleet.faults.append(f"{line}all at once after its rest until {until:.3f}")


def _reach(
    fleet: SignalFleet,
    call: SimulatedCall,
    upstream: Upstream,
    life: int,
    sent_at: float,
) -> None:
    """Let a request reach the replica, which answers later."""
    replica = fleet.replica_by_id[upstream.id]
    if not replica.is_up or replica.incarnation != life:
        _fail(fleet, call, upstream)
        return
    key = _make_key(call, upstream.id, life)
    for rest in fleet.rests[key]:
        rest.arrivals += rest.begins_at < fleet.now < rest.ends_at
    fields: dict[str, Any] = {"is_leaving": replica.is_leaving}
    run_s = 0.0
    if fleet.now < replica.rest_until:
        left_s = replica.rest_until - fleet.now
        is_not_run = not replica.hides_run
        fields |= {"status": 503, "retry_after_s": left_s, "is_not_run": is_not_run}
        answer = RestAnswer(fleet.now + REST_NOTICE_S, replica.rest_until)
        fleet.rests[key].append(answer)
    else:
        run_s = fleet.rng.random() * MAX_RUN_S
        if fleet.now >= fleet.calm_at:
            fleet.calm_runs[upstream.id] += 1
    when = fleet.now + run_s + fleet.rng.random() * MAX_TRANSIT_S
    schedule(fleet, when, lambda: _answer(fleet, call, upstream, life, sent_at, fields))


def _answer(
    fleet: SignalFleet,
    call: SimulatedCall,
    upstream: Upstream,
    life: int,
    sent_at: float,
    changes: dict[str, Any],
) -> None:
    """Let an answer reach the instance, which ends or repeats the call."""
    if call.node.life != call.life:
        return
    instance = call.node.instance
    fields = make_response_fields(**changes)
    apply_signals(instance, upstream, b"r1", fields, sent_at, fleet.now)
    key = _make_key(call, upstream.id, life)
    if sent_at >= fleet.asked_until.get(key, sent_at):
        fleet.asked_until.pop(key, None)
    if fields.is_leaving and upstream.incarnation == life:
        fleet.told_at.setdefault(key, fleet.now)
    if fields.retry_after_s and upstream.incarnation == life:
        until = fleet.now + fields.retry_after_s
        fleet.asked_until[key] = max(until, fleet.asked_until.get(key, until))
        fleet.first_requests[key] = 0
    if not fields.is_not_run and call.service == "models":
        row = instance.decisions.upstream_by_name.get(upstream.id)
        if row is not None:
            record_first_token(
                instance.decisions, call.request.id, row.incarnation, fleet.now
            )
    record_end(instance.decisions, call.request.id, fleet.now)
    if fields.is_not_run:
        _try_again(fleet, call, upstream)
    else:
        _end(fleet, call, "served" if fields.status == 200 else "forwarded")
    _tick(fleet, call.node)


def _fail(fleet: SignalFleet, call: SimulatedCall, upstream: Upstream) -> None:
    """End an attempt at a replica that is gone."""
    record_failure(call.node.instance.decisions, call.request.id, fleet.now, True)
    _try_again(fleet, call, upstream)


def _try_again(fleet: SignalFleet, call: SimulatedCall, upstream: Upstream) -> None:
    if call.node.life != call.life:
        return
    record_end(call.node.instance.decisions, call.request.id, fleet.now)
    excluded = call.request.excluded | {upstream.id}
    call.request = replace(call.request, excluded=excluded, is_retry=True)
    _serve(fleet, call)


def _end(fleet: SignalFleet, call: SimulatedCall, outcome: str) -> None:
    fleet.outcomes[outcome] += 1
    if call.request.arrived_at >= fleet.calm_at:
        fleet.calm_outcomes[outcome] += 1


def _check_rests(fleet: SignalFleet) -> None:
    for key, answers in fleet.rests.items():
        most = max((answer.arrivals for answer in answers), default=0)
        if most > MAX_ARRIVALS_IN_REST:
            fleet.faults.append(f"{most} requests reached {key} in its rest")


def make_plan(seed: int) -> FleetPlan:
    """Return the plan of a seed: in every second one all replicas may rest at once."""
    if seed % 2:
        return FleetPlan()
    return FleetPlan(replicas=2, can_all_rest=True)


def check_fleet(fleet: SignalFleet) -> list[str]:
    """Return what went wrong in a simulation, the work that did not go on included."""
    faults = list(fleet.faults)
    served = fleet.outcomes["served"] + fleet.outcomes["forwarded"]
    total = sum(fleet.outcomes.values())
    if not fleet.plan.can_all_rest and served < MIN_SERVED_SHARE * total:
        faults.append(f"only {served} of {total} calls served")
    if set(fleet.calm_outcomes) != {"served"}:
        faults.append(f"calls after the last change: {dict(fleet.calm_outcomes)}")
    unused = set(fleet.replica_by_id) - set(fleet.calm_runs)
    faults += [f"{id} got no request after the last change" for id in sorted(unused)]
    return faults

"""Simulate instances before replicas that are brittle for a time, in virtual time.

The instances' own state and decisions run; callers, connections and replicas are
simulated.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field, replace
from random import Random

from catkintrack.decisions import (
    Dispatch,
    record_end,
    record_failure,
    record_first_token,
    submit,
    tick,
)
from catkintrack.decisions.brittleness import (
    count_places,
    estimate_wait_s,
    list_announced,
    list_rejecting,
)
from catkintrack.decisions.ejection import (
    begin_trial,
    end_trial,
    record_success,
)
from catkintrack.decisions.ejection import record_failure as record_replica_failure
from catkintrack.decisions.services import (
    ensure_service_row,
    find_service_s,
    record_service_time,
)
from catkintrack.decisions.tables import UpstreamRow
from catkintrack.fleet import ReplicaLoad, Upstream
from catkintrack.instance.brittle_replicas import (
    apply_gossiped_brittleness,
    find_records,
    share_brittle_room,
)
from catkintrack.instance.config_state import apply_configuration
from catkintrack.instance.fleet_state import apply_upstream
from catkintrack.instance.late_calls import DEADLINE_MARGIN_S
from catkintrack.instance.model_calls import MIN_SERVICE_S
from catkintrack.instance.peers import get_or_add_peer
from catkintrack.instance.replica_loads import record_load
from catkintrack.instance.replica_signals import admit, apply_signals
from catkintrack.instance.service_calls import choose_upstream
from catkintrack.instance.state import Instance

from .decision_tables import make_request
from .instances import make_config_spec, make_entry_spec
from .states import make_instance
from .upstreams import make_response_fields
from .virtual_time import Action, run_until, schedule_in

START = 100.0
TICK_S = 0.02
HOUSEKEEPING_S = 0.25
GOSSIP_S = 0.5
MAX_CONNECT_S = 0.004
MAX_TRANSIT_S = 0.004
MAX_ENTRY_DELAY_S = 0.5
MAX_TRIES = 4
RESTART_S = 1.0
# The users' rule: from this long after the first word replicas let fewer wait and may
# end, and how often they may.
STABLE_S = 3.0
FALL_SPAN_S = 1.0
BASE_FALLS = 2
FALLS_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class BrittlePlan:
    """Describe one simulation; times in seconds.

    From `begins_s` to `ends_s` the replicas are brittle; they bear `max_rejected` rejections
    a second, which `changed_max_rejected` replaces half-way, and let `brittle_queue`
    requests wait, `queue` before.  With `says_brittle` off they do not say so.  Callers
    ask for `load` of the capacity, in groups of `group`; in each of `bursts_s` for one
    second `burst_load` in addition.  At each of `restarts_s` an instance starts again, at
    `killed_s` one ends for good.
    """

    instances: int = 4
    replicas: int = 3
    slots: int = 6
    work_s: float = 0.1
    queue: int = 24
    brittle_queue: int = 4
    max_rejected: int = 10
    changed_max_rejected: int | None = None
    says_brittle: bool = True
    begins_s: float = 2.0
    ends_s: float = 15.0
    duration_s: float = 16.0
    load: float = 0.85
    group: int = 3
    bursts_s: tuple[float, ...] = ()
    burst_load: float = 1.0
    deadline_s: float = 1.0
    back_after_s: float = 3.0
    service: str = "app"
    restarts_s: tuple[float, ...] = ()
    killed_s: float | None = None
    names_load: bool = True


@dataclass(slots=True)
class Replica:
    """Hold a replica: its present life, what runs and waits there, and its rejections."""

    id: str
    incarnation: int = 1000
    is_up: bool = True
    running: int = 0
    waiting: deque[Action] = field(default_factory=deque)
    rejected_at: list[float] = field(default_factory=list)
    falls: int = 0


@dataclass(slots=True)
class Node:
    """Hold an instance, its life, which a restart ends, and its waiting calls."""

    number: int
    instance: Instance
    life: int = 0
    is_up: bool = True
    call_by_id: dict[str, SimulatedCall] = field(default_factory=dict)
    waiting: deque[SimulatedCall] = field(default_factory=deque)


@dataclass(slots=True)
class SimulatedCall:
    """Hold a call and the replicas that it was tried on.

    `counts` is set if it arrived while the replicas might end.
    """

    id: str
    counts: bool
    deadline: float
    excluded: frozenset[str] = frozenset()
    tries: int = 0


@dataclass(slots=True)
class BrittleFleet:
    """Hold a simulation and what was seen of it."""

    plan: BrittlePlan
    rng: Random
    now: float = START
    events: list[tuple[float, int, Action]] = field(default_factory=list)
    event_count: int = 0
    nodes: list[Node] = field(default_factory=list)
    replica_by_id: dict[str, Replica] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)
    weak_outcomes: Counter = field(default_factory=Counter)
    rejections: int = 0

    @property
    def falls(self) -> int:
        """Return how often replicas ended."""
        return sum(replica.falls for replica in self.replica_by_id.values())


def find_served_share(fleet: BrittleFleet) -> float:
    """Return the served part of what the replicas could have run while they were weak."""
    plan = fleet.plan
    weak_s = plan.ends_s - plan.begins_s - STABLE_S
    capacity = plan.replicas * plan.slots / plan.work_s * weak_s
    return fleet.weak_outcomes["served"] / min(capacity, fleet.weak_outcomes["arrived"])


def find_allowed_falls(plan: BrittlePlan) -> float:
    """Return how often the replicas of a service may end in one time."""
    return BASE_FALLS + FALLS_SHARE * plan.replicas


def simulate_brittle(plan: BrittlePlan, seed: int) -> BrittleFleet:
    """Run one simulation to its end and return it."""
    fleet = BrittleFleet(plan, Random(seed))
    for number in range(plan.replicas):
        fleet.replica_by_id[f"r{number}"] = Replica(f"r{number}")
    for number in range(plan.instances):
        fleet.nodes.append(Node(number, _start_instance(fleet, number)))
        for interval_s, action in (
            (TICK_S, _run_tick),
            (HOUSEKEEPING_S, _keep_house),
            (GOSSIP_S, _gossip),
        ):
            _repeat(fleet, interval_s, number, action)
    schedule_in(fleet, 0.0, lambda: _arrive(fleet))
    for at_s in plan.restarts_s:
        schedule_in(fleet, at_s, lambda: _restart(fleet))
    if plan.killed_s is not None:
        schedule_in(fleet, plan.killed_s, lambda: _kill(fleet))
    run_until(fleet, START + plan.duration_s)
    return fleet


def _repeat(fleet: BrittleFleet, interval_s: float, number: int, action) -> None:
    def run() -> None:
        if fleet.nodes[number].is_up:
            action(fleet, fleet.nodes[number])
        schedule_in(fleet, interval_s, run)

    schedule_in(fleet, fleet.rng.random() * interval_s, run)


def _start_instance(fleet: BrittleFleet, number: int) -> Instance:
    plan = fleet.plan
    instance = make_instance()
    instance.rng = Random(f"{number}/{fleet.rng.random()}")
    instance.decisions.retry_budget = None
    instance.site = replace(instance.site, instance=f"n{number:03}")
    instance.decisions.router_count = plan.instances
    instance.services.router_count = plan.instances
    apply_configuration(instance, 5, make_config_spec(7), "store")
    for other in range(plan.instances):
        if other != number:
            _hear(fleet, instance, other)
    for replica in fleet.replica_by_id.values():
        apply_upstream(instance, replica.id, _make_entry(plan, replica), fleet.now)
    return instance


def _make_entry(plan: BrittlePlan, replica: Replica) -> dict:
    models = [{"name": "m1", "version": 1}] if plan.service == "models" else []
    return make_entry_spec(
        service=plan.service,
        models=models,
        slots=plan.slots,
        born=replica.incarnation,
        address=f"127.0.0.1:{9000 + int(replica.id[1:])}",
    )


def _hear(fleet: BrittleFleet, instance: Instance, number: int) -> None:
    """Let an instance hear of another one."""
    name = f"n{number:03}"
    peer = get_or_add_peer(instance, name, "z1", "127.0.0.1", 10_000 + number)
    peer.incarnation, peer.heard_at = 1, fleet.now


def _gossip(fleet: BrittleFleet, node: Node) -> None:
    for other in fleet.nodes:
        if other is not node and other.is_up:
            _hear(fleet, other.instance, node.number)
            _tell(fleet, node, other)


def _tell(fleet: BrittleFleet, node: Node, other: Node) -> None:
    table = node.instance.decisions.brittle
    told = list_announced(table, fleet.now)
    rejecting = list_rejecting(table, fleet.now)
    apply_gossiped_brittleness(other.instance, told, rejecting, fleet.now)


def _keep_house(fleet: BrittleFleet, node: Node) -> None:
    share_brittle_room(node.instance, fleet.now)


def _restart(fleet: BrittleFleet) -> None:
    node = fleet.rng.choice([node for node in fleet.nodes if node.is_up])
    _end_life(fleet, node)
    schedule_in(fleet, RESTART_S, lambda: _start_again(fleet, node))


def _start_again(fleet: BrittleFleet, node: Node) -> None:
    """Start an instance, which its peers answer with all that they know."""
    node.instance = _start_instance(fleet, node.number)
    node.is_up = True
    for other in fleet.nodes:
        if other is not node and other.is_up:
            _tell(fleet, other, node)


def _kill(fleet: BrittleFleet) -> None:
    node = fleet.nodes[-1]
    _end_life(fleet, node)


def _end_life(fleet: BrittleFleet, node: Node) -> None:
    node.life += 1
    node.is_up = False
    fleet.outcomes["lost with the instance"] += len(node.call_by_id)
    node.call_by_id.clear()
    node.waiting.clear()


def _find_load(fleet: BrittleFleet) -> float:
    plan, since_s = fleet.plan, fleet.now - START
    is_burst = any(at <= since_s < at + 1.0 for at in plan.bursts_s)
    return plan.load + plan.burst_load * is_burst


def _arrive(fleet: BrittleFleet) -> None:
    """Let a group of calls arrive, each at an instance, and the next one later."""
    plan, rng = fleet.plan, fleet.rng
    up = [node for node in fleet.nodes if node.is_up]
    for _ in range(plan.group):
        fleet.outcomes["arrived"] += 1
        counts = _is_weak(fleet)
        fleet.weak_outcomes["arrived"] += counts
        id = f"c{fleet.event_count}"
        call = SimulatedCall(id, counts, fleet.now + plan.deadline_s)
        fleet.event_count += 1
        node = rng.choice(up)
        node.call_by_id[call.id] = call
        _serve(fleet, node, call)
    capacity_per_s = plan.replicas * plan.slots / plan.work_s
    groups_per_s = _find_load(fleet) * capacity_per_s / plan.group
    schedule_in(fleet, rng.expovariate(groups_per_s), lambda: _arrive(fleet))


def _serve(fleet: BrittleFleet, node: Node, call: SimulatedCall) -> None:
    """Choose a replica for a call, or let it wait."""
    call.tries += 1
    if call.tries > MAX_TRIES:
        _end(fleet, node, call, "refused after tries")
        return
    if fleet.plan.service == "models":
        request = make_request(
            call.id,
            arrived_at=fleet.now,
            queue_timeout_s=call.deadline - MIN_SERVICE_S - fleet.now,
        )
        request = replace(request, excluded=call.excluded, is_retry=call.tries > 1)
        if submit(node.instance.decisions, request, fleet.now) is not None:
            _end(fleet, node, call, "refused")
        _run_tick(fleet, node)
        return
    if not node.waiting and _try_to_place(fleet, node, call):
        return
    records = find_records(node.instance, "app")
    places = sum(count_places(record) for record in records)
    service_s = find_service_s(node.instance.services, "app")
    wait_s = estimate_wait_s(places, len(node.waiting), service_s)
    if records and _is_in_time(node, call, wait_s, fleet.now):
        node.waiting.append(call)
    else:
        _end(fleet, node, call, "refused")


def _try_to_place(fleet: BrittleFleet, node: Node, call: SimulatedCall) -> bool:
    upstream = choose_upstream(
        node.instance, fleet.plan.service, call.excluded, fleet.now
    )
    if upstream is None:
        return False
    row = ensure_service_row(node.instance.services, upstream.id)
    row.in_flight += 1
    begin_trial(row, fleet.now)
    _connect(fleet, node, call, upstream)
    return True


def _place_waiting(fleet: BrittleFleet, node: Node) -> None:
    while node.waiting:
        call = node.waiting[0]
        is_in_time = _is_in_time(node, call, 0.0, fleet.now)
        if is_in_time and not _try_to_place(fleet, node, call):
            return
        node.waiting.popleft()
        if not is_in_time:
            _end(fleet, node, call, "refused")


def _is_in_time(node: Node, call: SimulatedCall, wait_s: float, now: float) -> bool:
    service_s = find_service_s(node.instance.services, "app") + DEADLINE_MARGIN_S
    return now + wait_s + service_s < call.deadline


def _run_tick(fleet: BrittleFleet, node: Node) -> None:
    if fleet.plan.service != "models":
        _place_waiting(fleet, node)
        return
    instance = node.instance
    for decision in tick(instance.decisions, fleet.now, instance.rng, "catkintrack"):
        call = node.call_by_id[decision.request.id]
        if isinstance(decision, Dispatch):
            upstream = instance.upstream_by_id[decision.upstream]
            _connect(fleet, node, call, upstream)
        else:
            _end(fleet, node, call, "refused")


def _end(fleet: BrittleFleet, node: Node, call: SimulatedCall, outcome: str) -> None:
    del node.call_by_id[call.id]
    fleet.outcomes[outcome] += 1
    fleet.weak_outcomes[outcome] += call.counts


def _find_row(fleet: BrittleFleet, node: Node, id: str) -> UpstreamRow:
    if fleet.plan.service == "models":
        return node.instance.decisions.upstream_by_name[id]
    return ensure_service_row(node.instance.services, id)


def _release(
    fleet: BrittleFleet, node: Node, call: SimulatedCall, id: str, sent_at
) -> None:
    if fleet.plan.service == "models":
        record_end(node.instance.decisions, call.id, fleet.now)
    else:
        row = ensure_service_row(node.instance.services, id)
        row.in_flight -= 1
        end_trial(row, sent_at)


def _connect(
    fleet: BrittleFleet, node: Node, call: SimulatedCall, upstream: Upstream
) -> None:
    """Open a connection, ask again whether the replica accepts work, and send."""
    life = node.life
    placed_at = fleet.now

    def when_alive(action: Action) -> Action:
        return lambda: action() if node.life == life else None

    def send() -> None:
        replica = fleet.replica_by_id[upstream.id]
        if not replica.is_up:
            fail(is_unreachable=True)
        elif not admit(node.instance, upstream, fleet.now):
            fleet.outcomes["not sent"] += 1
            retry()
        else:
            sent_at = fleet.now
            transit_s = fleet.rng.random() * MAX_TRANSIT_S
            schedule_in(fleet, transit_s, lambda: reach(replica, sent_at))

    def reach(replica: Replica, sent_at: float) -> None:
        incarnation = replica.incarnation
        if not replica.is_up:
            fail(is_unreachable=True)
            return

        def run() -> None:
            replica.running += 1
            schedule_in(fleet, fleet.plan.work_s, finish)

        def finish() -> None:
            if replica.incarnation != incarnation:
                if node.life == life:
                    fail(is_unreachable=False)
                return
            replica.running -= 1
            if replica.waiting:
                replica.waiting.popleft()()
            answer(replica, sent_at, 200)

        if replica.running < fleet.plan.slots:
            run()
        elif len(replica.waiting) < _find_queue(fleet):
            replica.waiting.append(run)
        else:
            fleet.rejections += _is_weak(fleet)
            answer(replica, sent_at, 503)
            _record_rejection(fleet, replica)

    def answer(replica: Replica, sent_at: float, status: int) -> None:
        fields = _make_fields(fleet, replica, status)
        transit_s = fleet.rng.random() * MAX_TRANSIT_S
        schedule_in(
            fleet, transit_s, when_alive(lambda: receive(fields, sent_at, status))
        )

    def receive(fields, sent_at: float, status: int) -> None:
        instance = node.instance
        apply_signals(instance, upstream, b"r1", fields, sent_at, fleet.now)
        if fields.load is not None:
            record_load(
                instance, _find_row(fleet, node, upstream.id), fields.load, fleet.now
            )
        if status != 200:
            retry()
            return
        if fleet.plan.service == "models":
            record_first_token(instance.decisions, call.id, "1000", fleet.now)
        else:
            row = ensure_service_row(instance.services, upstream.id)
            record_success(row, fleet.now)
            record_service_time(instance.services, "app", fleet.now - sent_at)
        _release(fleet, node, call, upstream.id, placed_at)
        is_late = fleet.now > call.deadline
        _end(fleet, node, call, "late" if is_late else "served")
        _run_tick(fleet, node)

    def fail(is_unreachable: bool) -> None:
        if fleet.plan.service == "models":
            record_failure(node.instance.decisions, call.id, fleet.now, is_unreachable)
        else:
            row = ensure_service_row(node.instance.services, upstream.id)
            record_replica_failure(row, placed_at, fleet.now, is_unreachable)
        if is_unreachable:
            retry()
            return
        _release(fleet, node, call, upstream.id, placed_at)
        _end(fleet, node, call, "broken")

    def retry() -> None:
        _release(fleet, node, call, upstream.id, placed_at)
        call.excluded |= {upstream.id}
        _serve(fleet, node, call)

    schedule_in(fleet, fleet.rng.random() * MAX_CONNECT_S, when_alive(send))


def _is_brittle(fleet: BrittleFleet) -> bool:
    return fleet.plan.begins_s <= fleet.now - START < fleet.plan.ends_s


def _is_weak(fleet: BrittleFleet) -> bool:
    return _is_brittle(fleet) and fleet.now - START >= fleet.plan.begins_s + STABLE_S


def _find_queue(fleet: BrittleFleet) -> int:
    return fleet.plan.brittle_queue if _is_weak(fleet) else fleet.plan.queue


def _find_max_rejected(fleet: BrittleFleet) -> int:
    plan = fleet.plan
    is_changed = fleet.now - START >= (plan.begins_s + plan.ends_s) / 2
    if is_changed and plan.changed_max_rejected is not None:
        return plan.changed_max_rejected
    return plan.max_rejected


def _make_fields(fleet: BrittleFleet, replica: Replica, status: int):
    says_so = fleet.plan.says_brittle and _is_brittle(fleet)
    load = ReplicaLoad(replica.running, len(replica.waiting), fleet.plan.slots)
    return make_response_fields(
        status=status,
        is_not_run=status != 200,
        is_signed=status == 200,
        load=load if fleet.plan.names_load else None,
        max_rejected_per_s=float(_find_max_rejected(fleet)) if says_so else None,
    )


def _record_rejection(fleet: BrittleFleet, replica: Replica) -> None:
    """Let a replica end if it has rejected too much in a second."""
    if not _is_weak(fleet):
        return
    recent = [at for at in replica.rejected_at if fleet.now - at <= FALL_SPAN_S]
    replica.rejected_at = [*recent, fleet.now]
    if len(replica.rejected_at) <= _find_max_rejected(fleet):
        return
    replica.falls += 1
    replica.is_up = False
    replica.incarnation += 1000
    replica.running = 0
    replica.waiting.clear()
    replica.rejected_at.clear()
    schedule_in(fleet, fleet.plan.back_after_s, lambda: _come_back(fleet, replica))


def _come_back(fleet: BrittleFleet, replica: Replica) -> None:
    replica.is_up = True
    entry = _make_entry(fleet.plan, replica)
    for node in fleet.nodes:
        schedule_in(
            fleet,
            fleet.rng.random() * MAX_ENTRY_DELAY_S,
            lambda node=node: apply_upstream(
                node.instance, replica.id, entry, fleet.now
            ),
        )

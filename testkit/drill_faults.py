"""Disrupt a drilled site: silent replicas, changed configurations, joint kills."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from random import Random
from typing import Any

from standins.replica import EVENTS_PER_STREAM
from standins.replica_faults import ENDLESS_PLACES

from .instances import make_config_spec
from .soak_faults import SoakState, change_config, lose_store, start_instance, stop

# Longer than a silence, so that a call outlasts it.
TIMEOUT_MS_BY_ROUTE = {"lookup": 4000, "order": 4000, "short": 14000, "long": 14000}
CHANGE_LEAD_S = 0.6
SILENCE_INTERVAL_S = 6.0
FIRST_CHANGE_S = 4.0

TIMEOUT_CHANGE = (0.6, 1.5)
MANY = 1_000_000
COUNTED_FAULTS = ("endless_answers", "fail", "lose_answers", "break_streams")

Disruption = Callable[[SoakState, Random], None]


@dataclass(frozen=True)
class Step:
    """Describe one disruption of a plan: when it begins, in seconds, and what it is."""

    at_s: float
    text: str
    run: Disruption


def make_drill_config(
    order_service: str = "app", long_target_ms: int = 600
) -> dict[str, Any]:
    """Return what a drill's configuration has besides the usual."""
    spec = make_config_spec()
    for route in spec["routes"]:
        route["timeout_ms"] = TIMEOUT_MS_BY_ROUTE[route["name"]]
        if route["name"] == "order":
            route["service"] = order_service
        if route["name"] == "long":
            route["target_latency_ms"] = long_target_ms
    spec["services"].append({"name": "spare", "max_connections": 110})
    spec["tenants"][0] |= {"rate_per_s": 10_000_000, "burst": 10_000_000}
    return {name: spec[name] for name in ("routes", "services", "limits", "tenants")}


def change_idle_time(state: SoakState, rng: Random) -> None:
    """Write a configuration with another idle time."""
    state.config_changes["limits"]["idle_timeout_ms"] = rng.randrange(10_000, 20_000)
    change_config(state, rng)


def change_timeout(state: SoakState, rng: Random) -> None:
    """Write a configuration with another timeout of a route."""
    route = rng.choice(state.config_changes["routes"])
    usual_ms = TIMEOUT_MS_BY_ROUTE[route["name"]]
    route["timeout_ms"] = round(usual_ms * rng.uniform(*TIMEOUT_CHANGE))
    change_config(state, rng)


def change_service(state: SoakState, rng: Random) -> None:
    """Write a configuration in which orders go to another service."""
    for route in state.config_changes["routes"]:
        if route["name"] == "order":
            route["service"] = "spare" if route["service"] == "app" else "app"
    change_config(state, rng)


CHANGES: tuple[Disruption, ...] = (change_idle_time, change_timeout, change_service)


def list_replicas(state: SoakState, service: str) -> list[str]:
    """Return the ids of a service's replicas."""
    return state.models if service == "models" else state.apps


def make_silence(service: str, share: float, for_s: float) -> Disruption:
    """Return a disruption in which replicas read and work, but send nothing."""

    def silence(state: SoakState, rng: Random) -> None:
        ids = list_replicas(state, service)
        until_s = time.monotonic() + for_s
        for id in rng.sample(ids, max(1, round(share * len(ids)))):
            state.site.set_replica_faults(id, silent_until_s=until_s)

    return silence


def make_freeze(service: str, share: float, for_s: float) -> Disruption:
    """Return a disruption in which the processes of replicas are suspended."""

    def freeze_replicas(state: SoakState, rng: Random) -> None:
        ids = list_replicas(state, service)
        chosen = rng.sample(ids, max(1, round(share * len(ids))))
        processes = [state.site.process_by_name[id] for id in chosen]
        began_at = time.monotonic()
        for process in processes:
            process.freeze()
        time.sleep(for_s)
        for process in processes:
            process.unfreeze()
        state.unplanned.append((began_at, time.monotonic()))

    return freeze_replicas


def make_faulty(service: str, share: float, for_s: float, **faults: Any) -> Disruption:
    """Return a disruption in which replicas have faults, and none of them afterwards."""

    def hurt(state: SoakState, rng: Random) -> None:
        ids = list_replicas(state, service)
        chosen = rng.sample(ids, max(1, round(share * len(ids))))
        for id in chosen:
            state.site.set_replica_faults(id, **faults)
        time.sleep(for_s)
        for id in chosen:
            state.site.set_replica_faults(id, **dict.fromkeys(COUNTED_FAULTS, 0))

    return hurt


def make_joint_kill(away_s: float) -> Disruption:
    """Return a disruption that kills all instances and starts them again."""

    def kill_all(state: SoakState, rng: Random) -> None:
        began_at = time.monotonic()
        nodes = state.site.node_by_name
        with ExitStack() as stack:
            # A planned stop that is under way ends first.
            for name in sorted(nodes):
                stack.enter_context(state.lock_by_node[name])
            for node in nodes.values():
                node.process.kill()
            time.sleep(away_s)
            for name in nodes:
                start_instance(state, name)
        state.restarted.append((began_at, time.monotonic()))

    return kill_all


def choose_replica_fault(rng: Random) -> tuple[str, Disruption]:
    """Return a random fault of some replicas of a service and its description."""
    service, share = rng.choice(("models", "app")), rng.choice((0.4, 0.6, 1.0))
    for_s = rng.uniform(1.0, 3.0)
    name = rng.choice(("silent", "frozen", "endless", "failing", "breaking", "losing"))
    where = f"{service} {share} for {for_s:.2f} s"
    if name == "silent":
        return f"silent {where}", make_silence(service, share, for_s)
    if name == "frozen":
        return f"frozen {where}", make_freeze(service, share, for_s)
    if name == "endless":
        place = rng.choice(ENDLESS_PLACES)
        faults = {"endless_answers": MANY, "endless_place": place}
        where = f"{place} {where}"
    elif name == "breaking":
        after = rng.randrange(EVENTS_PER_STREAM)
        faults = {"break_streams": MANY, "break_after_events": after}
    else:
        faults = {"fail" if name == "failing" else "lose_answers": MANY}
    return f"{name} {where}", make_faulty(service, share, for_s, **faults)


# A kill excuses what is lost beside it, so that it is the least frequent.
BESIDE = (*CHANGES, *CHANGES, stop, stop, lose_store, lose_store, make_joint_kill(0.3))


def make_mixed_plan(rng: Random, seconds: float) -> list[Step]:
    """Return faults of replicas beside changes, stops, kills and faults of the store."""
    steps = []
    at_s = FIRST_CHANGE_S
    while at_s < seconds:
        text, disruption = choose_replica_fault(rng)
        steps.append(Step(at_s, text, disruption))
        beside = rng.choice(BESIDE)
        beside_s = at_s + rng.uniform(-0.6, 0.6)
        steps.append(Step(beside_s, beside.__name__, beside))
        at_s += rng.uniform(1.5, 4.0)
    return sorted(steps, key=lambda step: step.at_s)


def make_endless_plan(
    rng: Random, seconds: float, place: str, kill_lead_s: float | None
) -> list[Step]:
    """Return one long fault: some engines send bytes without end in their answers.

    They do so at a random place by default.  With `kill_lead_s` all instances are killed that long before.
    """
    place = place or rng.choice(ENDLESS_PLACES)
    faults = {"endless_answers": MANY, "endless_place": place}
    hurt = make_faulty("models", 0.4, seconds - FIRST_CHANGE_S, **faults)
    steps = [Step(FIRST_CHANGE_S, f"endless {place} models 0.4", hurt)]
    if kill_lead_s is not None:
        at_s = FIRST_CHANGE_S - kill_lead_s
        steps.insert(0, Step(at_s, "joint kill", make_joint_kill(0.3)))
    return steps


def make_incident_plan(
    rng: Random, seconds: float, services: tuple[str, ...], kill_lead_s: float | None
) -> list[Step]:
    """Return changes of the configuration, each with a silence shortly after it.

    With `kill_lead_s` all instances are killed that long before each second silence.
    """
    steps = []
    for number in range(max(1, round(seconds / SILENCE_INTERVAL_S))):
        at_s = FIRST_CHANGE_S + SILENCE_INTERVAL_S * number
        change = rng.choice(CHANGES)
        steps.append(Step(at_s, change.__name__, change))
        silent_s = at_s + CHANGE_LEAD_S
        share, for_s = rng.choice((1.0, 0.6)), rng.uniform(1.0, 1.3)
        make = make_freeze if rng.random() < 0.25 else make_silence
        for service in services:
            text = f"{make.__name__} {service} {share} for {for_s:.2f} s"
            steps.append(Step(silent_s, text, make(service, share, for_s)))
        if kill_lead_s is not None and number % 2 == 0:
            kill = make_joint_kill(rng.uniform(0.1, 0.5))
            steps.append(Step(silent_s - kill_lead_s, "joint kill", kill))
    return sorted(steps, key=lambda step: step.at_s)

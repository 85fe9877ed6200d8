"""Plan a drill in which begun streams find no other replica that confirms its life."""

from __future__ import annotations

import time
from random import Random

from .drill import DrillSize
from .drill_faults import CHANGES, FIRST_CHANGE_S, Disruption, Step
from .fleet import call_json, wait_until
from .soak_faults import SoakState, lose_store, restore_store

# Many streams at once, which are moved after pauses of 1.5 s.
UNCONFIRMED_SIZE = DrillSize(
    per_s=30.0, long_share=0.5, event_s=0.1, long_target_ms=300
)
ROUND_S = 5.0
# How far apart the silences of a round begin, and how long each lasts.
STAGGER_S = 1.0
SILENCE_S = (1.2, 1.8)
# Share of the engines that reset new connections, and for how long.
CLOSED_SHARE = 1.0
CLOSED_S = (2.0, 4.0)
AWAY_S = (0.1, 0.8)
# A restarted replica's entry changes this long after, or only once the round is over.
ENTRY_DELAYS_S = (0.0, 0.5, 2.0, ROUND_S)


def make_staggered_silences(
    silence_s: tuple[float, float], closed_share: float
) -> Disruption:
    """Return a disruption in which all engines fall silent, one after the other.

    Some of them reset new connections from the first silence on.  It lasts until all is
    over.
    """

    def silence(state: SoakState, rng: Random) -> None:
        began_at = ends_at = time.monotonic()
        for id in rng.sample(state.models, round(closed_share * len(state.models))):
            until_s = began_at + rng.uniform(*CLOSED_S)
            state.site.set_replica_faults(id, closed_until_s=until_s)
            ends_at = max(ends_at, until_s)
        begins = sorted((rng.uniform(0.0, STAGGER_S), id) for id in state.models)
        for begin_s, id in begins:
            time.sleep(max(0.0, began_at + begin_s - time.monotonic()))
            until_s = time.monotonic() + rng.uniform(*silence_s)
            state.site.set_replica_faults(id, silent_until_s=until_s)
            ends_at = max(ends_at, until_s)
        time.sleep(max(0.0, ends_at - time.monotonic()))

    return silence


def restart_in_place(state: SoakState, rng: Random) -> None:
    """Restart an engine under its ID and address; write its new entry later."""
    id = rng.choice(state.models)
    born = time.time_ns() // 1_000_000
    state.site.restart_replica(id, born, rng.uniform(*AWAY_S))
    time.sleep(rng.choice(ENTRY_DELAYS_S))
    wait_until(lambda: write_born(state, id, born), description="an entry is written")


def write_born(state: SoakState, id: str, born: int) -> bool:
    """Write a replica's present life to its entry; report whether it is there."""
    port, path = state.site.store_ports[0], f"/-/objects/servers/{id}"
    found = call_json(port, path)
    if not found:
        return False
    fields = {"metadata": {"name": id}, "spec": found["spec"] | {"born": born}}
    return call_json(port, path, fields, method="PUT") is not None


def make_unconfirmed_plan(
    rng: Random,
    seconds: float,
    silence_s: tuple[float, float] = SILENCE_S,
    closed_share: float = CLOSED_SHARE,
) -> list[Step]:
    """Return rounds of silences, closed replicas and changes of the configuration.

    In each the store is away or back from a copy, or an engine restarts in place.
    """
    steps = []
    for number in range(max(1, round(seconds / ROUND_S))):
        at_s = FIRST_CHANGE_S + ROUND_S * number
        silence = make_staggered_silences(silence_s, closed_share)
        change = rng.choice(CHANGES)
        beside = rng.choice((lose_store, restore_store, restart_in_place))
        steps += [
            Step(at_s, "staggered silences", silence),
            Step(at_s + rng.uniform(-0.6, 1.0), change.__name__, change),
            Step(at_s + rng.uniform(-1.0, 1.0), beside.__name__, beside),
        ]
    return sorted(steps, key=lambda step: step.at_s)

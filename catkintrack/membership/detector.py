"""Detect dead members by heartbeats to neighbours on a ring.

Each member sends heartbeats to a fixed number of successors, so that its cost does
not grow with the fleet.  A silent neighbour is probed, directly and through others,
before it is taken for dead, as in SWIM (Das, Gupta and Motivala, 2002).
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from random import Random

from catkintrack.links import MemberNews, Message, Probe, Vouch, VouchRequest

from .table import (
    Members,
    MemberState,
    as_dead,
    learn_news,
    list_alive,
    pass_on,
)

HEARTBEAT_INTERVAL_S = 0.25
SUSPECT_AFTER_S = 1.0
DEAD_AFTER_S = 2.5
PROBE_INTERVAL_S = 0.3
VOUCH_AGE_S = 1.0
SELF_PAUSE_S = 0.8
RING_SUCCESSORS = 2
RANDOM_TARGETS = 1
URGENT_TARGETS = 4
VOUCHERS = 3
HELLO_CHANCE = 0.2


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Hold a message to a member; None stands for a heartbeat."""

    receiver: str
    message: Message | None


def ring_position(instance: str) -> bytes:
    """Return the place of an instance on the ring."""
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()


def list_ring(members: Members) -> list[str]:
    """Return the live members in ring order, beginning after oneself."""
    if members.ring is None:
        members.ring = _order_ring(members)
    return list(members.ring)


def _order_ring(members: Members) -> tuple[str, ...]:
    names = sorted(list_alive(members), key=ring_position)
    own = names.index(members.own.instance)
    return tuple(names[own + 1 :] + names[:own])


def list_watched(members: Members) -> list[str]:
    """Return the predecessors on the ring, whose heartbeats come here."""
    return list_ring(members)[-RING_SUCCESSORS:]


def run_detector(members: Members, now: float, rng: Random) -> list[Outgoing]:
    """Return the messages that are due, and mark silent members."""
    _forgive_own_pause(members, now)
    outgoing: list[Outgoing] = []
    for name in list_watched(members):
        outgoing += _check_member(members, name, now, rng)
    if members.has_urgent_news or now >= members.next_heartbeat_at:
        members.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        targets = choose_heartbeat_targets(members, rng)
        outgoing += [Outgoing(name, None) for name in targets]
        members.has_urgent_news = False
    return outgoing


def _forgive_own_pause(members: Members, now: float) -> None:
    """Don't blame others for silence while this process was itself frozen."""
    gap_s = now - members.last_tick_at
    if members.last_tick_at and gap_s > SELF_PAUSE_S:
        for row in members.row_by_instance.values():
            row.heard_at += gap_s
    members.last_tick_at = now


def _check_member(
    members: Members, name: str, now: float, rng: Random
) -> list[Outgoing]:
    row = members.row_by_instance[name]
    silence_s = now - row.heard_at
    if silence_s < SUSPECT_AFTER_S:
        row.state = MemberState.ALIVE
        return []
    if silence_s >= DEAD_AFTER_S:
        learn_news(members, [as_dead(row.news)], now)
        return []
    row.state = MemberState.SUSPECT
    if now - row.probed_at < PROBE_INTERVAL_S:
        return []
    row.probed_at = now
    others = [other for other in list_ring(members) if other != name]
    helpers = rng.sample(others, min(VOUCHERS, len(others)))
    asked = [Outgoing(helper, VouchRequest(name)) for helper in helpers]
    return [Outgoing(name, Probe()), *asked]


def choose_heartbeat_targets(members: Members, rng: Random) -> list[str]:
    """Return the ring's successors, some random members and sometimes a dead one."""
    ring = list_ring(members)
    targets = ring[:RING_SUCCESSORS]
    rest = ring[RING_SUCCESSORS:]
    wanted = URGENT_TARGETS if members.has_urgent_news else RANDOM_TARGETS
    targets += rng.sample(rest, min(wanted, len(rest)))
    dead = [
        name
        for name, row in members.row_by_instance.items()
        if row.state is MemberState.DEAD
    ]
    if dead and rng.random() < HELLO_CHANCE:
        targets.append(rng.choice(sorted(dead)))
    return targets


def record_heard(members: Members, instance: str, incarnation: int, now: float) -> None:
    """Note that a message of this life of a member has arrived."""
    row = members.row_by_instance.get(instance)
    if row is None or row.incarnation != incarnation:
        return
    row.heard_at = max(row.heard_at, now)
    if row.state is MemberState.SUSPECT:
        row.state = MemberState.ALIVE


def answer_vouch(members: Members, instance: str, now: float) -> Vouch | None:
    """Vouch for a member that was heard of a short while ago.

    The age goes along: two members that vouch to each other would else keep a dead
    one alive.
    """
    row = members.row_by_instance.get(instance)
    if row is None or now - row.heard_at > VOUCH_AGE_S:
        return None
    return Vouch(instance, row.incarnation, now - row.heard_at)


def leave(members: Members) -> MemberNews:
    """Return the news that this member stops, and pass it on."""
    members.own = as_dead(members.own)
    pass_on(members, members.own)
    return members.own

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
    MemberState,
    MemberTable,
    enqueue_news,
    list_alive,
    make_death_news,
    merge_news,
)

HEARTBEAT_INTERVAL_S = 0.25
SUSPECT_AFTER_S = 1.0
DEAD_AFTER_S = 2.5
PROBE_INTERVAL_S = 0.3
MAX_VOUCH_AGE_S = 1.0
OWN_PAUSE_THRESHOLD_S = 0.8
RING_SUCCESSORS = 2
RANDOM_HEARTBEAT_TARGETS = 1
URGENT_HEARTBEAT_TARGETS = 4
VOUCH_REQUEST_FANOUT = 3
DEAD_MEMBER_CONTACT_PROBABILITY = 0.2


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """Hold a message to a member; None stands for a heartbeat."""

    receiver: str
    message: Message | None


def compute_ring_position(instance: str) -> bytes:
    """Return the place of an instance on the ring."""
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()


def list_ring(members: MemberTable) -> list[str]:
    """Return the live members in ring order, beginning after oneself."""
    if members.ring is None:
        members.ring = _order_ring(members)
    return list(members.ring)


def _order_ring(members: MemberTable) -> tuple[str, ...]:
    names = sorted(list_alive(members), key=compute_ring_position)
    own = names.index(members.own.instance)
    return tuple(names[own + 1 :] + names[:own])


def list_monitored_members(members: MemberTable) -> list[str]:
    """Return the predecessors on the ring, whose heartbeats come here."""
    return list_ring(members)[-RING_SUCCESSORS:]


def run_detector(
    members: MemberTable, now: float, rng: Random
) -> list[OutgoingMessage]:
    """Return the messages that are due, and mark silent members."""
    _forgive_own_pause(members, now)
    outgoing: list[OutgoingMessage] = []
    for name in list_monitored_members(members):
        outgoing += _check_member(members, name, now, rng)
    if members.has_urgent_news or now >= members.next_heartbeat_at:
        members.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        targets = choose_heartbeat_targets(members, rng)
        outgoing += [OutgoingMessage(name, None) for name in targets]
        members.has_urgent_news = False
    return outgoing


def _forgive_own_pause(members: MemberTable, now: float) -> None:
    """Don't blame others for silence while this process was itself frozen."""
    gap_s = now - members.last_run_at
    if members.last_run_at and gap_s > OWN_PAUSE_THRESHOLD_S:
        for row in members.member_by_instance.values():
            row.heard_at += gap_s
    members.last_run_at = now


def _check_member(
    members: MemberTable, name: str, now: float, rng: Random
) -> list[OutgoingMessage]:
    row = members.member_by_instance[name]
    silence_s = now - row.heard_at
    if silence_s < SUSPECT_AFTER_S:
        row.state = MemberState.ALIVE
        return []
    if silence_s >= DEAD_AFTER_S:
        merge_news(members, [make_death_news(row.news)], now)
        return []
    row.state = MemberState.SUSPECT
    if now - row.probed_at < PROBE_INTERVAL_S:
        return []
    row.probed_at = now
    others = [other for other in list_ring(members) if other != name]
    helpers = rng.sample(others, min(VOUCH_REQUEST_FANOUT, len(others)))
    asked = [OutgoingMessage(helper, VouchRequest(name)) for helper in helpers]
    return [OutgoingMessage(name, Probe()), *asked]


def choose_heartbeat_targets(members: MemberTable, rng: Random) -> list[str]:
    """Return the ring's successors, some random members and sometimes a dead one."""
    ring = list_ring(members)
    targets = ring[:RING_SUCCESSORS]
    rest = ring[RING_SUCCESSORS:]
    wanted = (
        URGENT_HEARTBEAT_TARGETS
        if members.has_urgent_news
        else RANDOM_HEARTBEAT_TARGETS
    )
    targets += rng.sample(rest, min(wanted, len(rest)))
    dead = [
        name
        for name, row in members.member_by_instance.items()
        if row.state is MemberState.DEAD
    ]
    if dead and rng.random() < DEAD_MEMBER_CONTACT_PROBABILITY:
        targets.append(rng.choice(sorted(dead)))
    return targets


def record_liveness(
    members: MemberTable, instance: str, incarnation: int, now: float
) -> None:
    """Note that a message of this life of a member has arrived."""
    row = members.member_by_instance.get(instance)
    if row is None or row.incarnation != incarnation:
        return
    row.heard_at = max(row.heard_at, now)
    if row.state is MemberState.SUSPECT:
        row.state = MemberState.ALIVE


def answer_vouch_request(
    members: MemberTable, instance: str, now: float
) -> Vouch | None:
    """Vouch for a member that was heard of a short while ago.

    The age goes along: two members that vouch to each other would else keep a dead
    one alive.
    """
    row = members.member_by_instance.get(instance)
    if row is None or now - row.heard_at > MAX_VOUCH_AGE_S:
        return None
    return Vouch(instance, row.incarnation, now - row.heard_at)


def announce_leave(members: MemberTable) -> MemberNews:
    """Return the news that this member stops, and pass it on."""
    members.own = make_death_news(members.own)
    enqueue_news(members, members.own)
    return members.own

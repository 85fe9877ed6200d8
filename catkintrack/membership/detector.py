"""Detect dead members by heartbeats between neighbours on a hash ring.

Each member sends heartbeats to a fixed number of successors, so that its cost does not
grow with the fleet.  A silent neighbour is probed directly and through other members
before it is declared dead, as in SWIM (Das, Gupta and Motivala, 2002).
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
    """Address a message to a member; `message` None stands for a heartbeat."""

    receiver: str
    message: Message | None


def compute_ring_position(instance: str) -> bytes:
    """Return the position of an instance on the ring."""
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()


def list_ring(members: MemberTable) -> list[str]:
    """Return the live peers in ring order, starting at this member's successor."""
    if members.ring is None:
        members.ring = _order_ring(members)
    return list(members.ring)


def _order_ring(members: MemberTable) -> tuple[str, ...]:
    names = sorted(list_alive(members), key=compute_ring_position)
    own_index = names.index(members.own.instance)
    return tuple(names[own_index + 1 :] + names[:own_index])


def list_monitored_members(members: MemberTable) -> list[str]:
    """Return the ring predecessors, which send their heartbeats to this member."""
    return list_ring(members)[-RING_SUCCESSORS:]


def run_detector(
    members: MemberTable, now: float, rng: Random
) -> list[OutgoingMessage]:
    """Mark silent members as suspect or dead and return the messages that are due."""
    _discount_own_pause(members, now)
    outgoing: list[OutgoingMessage] = []
    for name in list_monitored_members(members):
        outgoing += _check_silence(members, name, now, rng)
    if members.has_urgent_news or now >= members.next_heartbeat_at:
        members.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        targets = choose_heartbeat_targets(members, rng)
        outgoing += [OutgoingMessage(name, None) for name in targets]
        members.has_urgent_news = False
    return outgoing


def _discount_own_pause(members: MemberTable, now: float) -> None:
    """Subtract the time that this process was paused from the silence of its peers."""
    gap_s = now - members.last_run_at
    if members.last_run_at and gap_s > OWN_PAUSE_THRESHOLD_S:
        for member in members.member_by_instance.values():
            member.last_alive_at += gap_s
    members.last_run_at = now


def _check_silence(
    members: MemberTable, name: str, now: float, rng: Random
) -> list[OutgoingMessage]:
    member = members.member_by_instance[name]
    silence_s = now - member.last_alive_at
    if silence_s < SUSPECT_AFTER_S:
        member.state = MemberState.ALIVE
        return []
    if silence_s >= DEAD_AFTER_S:
        merge_news(members, [make_death_news(member.news)], now)
        return []
    member.state = MemberState.SUSPECT
    if now - member.probed_at < PROBE_INTERVAL_S:
        return []
    member.probed_at = now
    others = [other for other in list_ring(members) if other != name]
    helpers = rng.sample(others, min(VOUCH_REQUEST_FANOUT, len(others)))
    vouch_requests = [OutgoingMessage(helper, VouchRequest(name)) for helper in helpers]
    return [OutgoingMessage(name, Probe()), *vouch_requests]


def choose_heartbeat_targets(members: MemberTable, rng: Random) -> list[str]:
    """Return the ring successors, random live members and sometimes a dead member.

    Contacting a dead member lets two sides of a healed partition find each other.
    """
    ring = list_ring(members)
    targets = ring[:RING_SUCCESSORS]
    others = ring[RING_SUCCESSORS:]
    random_target_count = (
        URGENT_HEARTBEAT_TARGETS
        if members.has_urgent_news
        else RANDOM_HEARTBEAT_TARGETS
    )
    targets += rng.sample(others, min(random_target_count, len(others)))
    dead = [
        name
        for name, member in members.member_by_instance.items()
        if member.state is MemberState.DEAD
    ]
    if dead and rng.random() < DEAD_MEMBER_CONTACT_PROBABILITY:
        targets.append(rng.choice(sorted(dead)))
    return targets


def record_liveness(
    members: MemberTable, instance: str, incarnation: int, alive_at: float
) -> None:
    """Record that this incarnation of a member was alive at `alive_at`."""
    member = members.member_by_instance.get(instance)
    if member is None or member.incarnation != incarnation:
        return
    member.last_alive_at = max(member.last_alive_at, alive_at)
    if member.state is MemberState.SUSPECT:
        member.state = MemberState.ALIVE


def answer_vouch_request(
    members: MemberTable, instance: str, now: float
) -> Vouch | None:
    """Vouch for a member that was known to be alive at most MAX_VOUCH_AGE_S ago.

    The answer carries the age of that evidence: otherwise two members could keep a dead
    member alive by vouching for it to each other.
    """
    member = members.member_by_instance.get(instance)
    if member is None or now - member.last_alive_at > MAX_VOUCH_AGE_S:
        return None
    return Vouch(instance, member.incarnation, now - member.last_alive_at)


def announce_leave(members: MemberTable) -> MemberNews:
    """Queue and return the news that this member is stopping."""
    members.own = make_death_news(members.own)
    enqueue_news(members, members.own)
    return members.own

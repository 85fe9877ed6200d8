"""Decide whether this instance is partitioned from all replicas, by its own contacts.

A single silent replica, or all of one service, is no partition: another one answers.  Links
may also accept connections and pass no data, so that requests without any answer count.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random

# Distinct replicas that have to be unreachable.
MIN_UNREACHABLE = 2
# How long a contact counts.
CONTACT_MEMORY_S = 10.0
ANSWER_MEMORY_S = 1.0


# Replicas that have sent nothing for this long, while requests waited there, count as
# unreachable; a sound one may be silent for a second.
SILENT_AFTER_S = 1.5
# Silence after which others are probed.
SUSPECT_AFTER_S = 0.6
MAX_PROBES = 4


@dataclass(slots=True)
class Contact:
    """Hold when a replica was last unreachable and when it was last reached.

    `asked_at` is when the first request since then was sent, `ended_at` when the last one
    was given up; `waiting` counts those without an answer.
    """

    unreachable_at: float = -1e9
    reached_at: float = -1e9
    asked_at: float = -1e9
    ended_at: float = -1e9
    waiting: int = 0


@dataclass(slots=True)
class Partition:
    """Hold the contacts with replicas, and whether all of them are out of reach."""

    contact_by_upstream: dict[str, Contact] = field(default_factory=dict)
    is_cut_off: bool = False


def record_reached(partition: Partition, upstream: str, now: float) -> None:
    """Record that a connection to a replica was opened, or that it has answered."""
    _ensure_contact(partition, upstream).reached_at = now


def record_unreachable(partition: Partition, upstream: str, now: float) -> None:
    """Record that no connection to a replica could be opened, or that it was reset."""
    _ensure_contact(partition, upstream).unreachable_at = now


def record_asked(partition: Partition, upstream: str, now: float) -> None:
    """Record that a request is sent to a replica."""
    contact = _ensure_contact(partition, upstream)
    contact.waiting += 1
    if contact.asked_at <= contact.reached_at:
        contact.asked_at = now


def record_ended(partition: Partition, upstream: str, now: float) -> None:
    """Record that a request was answered or given up."""
    contact = _ensure_contact(partition, upstream)
    contact.waiting = max(0, contact.waiting - 1)
    contact.ended_at = now


def update_partition(partition: Partition, known: Collection[str], now: float) -> bool:
    """Update whether all replicas are out of reach; report whether that has changed.

    `known` are the replicas in discovery.  At the end of a partition its contacts are
    forgotten, so that it begins again only if replicas are unreachable again.
    """
    contacts = partition.contact_by_upstream
    for id in [id for id in contacts if id not in known]:
        del contacts[id]
    was_cut_off = partition.is_cut_off
    partition.is_cut_off = _is_cut_off(contacts.values(), now)
    if was_cut_off and not partition.is_cut_off:
        for contact in contacts.values():
            contact.unreachable_at = contact.asked_at = contact.ended_at = -1e9
    return partition.is_cut_off != was_cut_off


def count_contacts(partition: Partition, now: float) -> dict[str, int]:
    """Return how many replicas were lately unreachable, silent, asked and reached."""
    counts = {"unreachable": 0, "silent": 0, "asked": 0, "reached": 0}
    for contact in partition.contact_by_upstream.values():
        if contact.unreachable_at > contact.reached_at:
            counts["unreachable"] += 1
        elif _is_lost(contact, now):
            counts["silent"] += 1
        elif contact.asked_at > contact.reached_at:
            counts["asked"] += 1
        else:
            counts["reached"] += 1
    return counts


def choose_probes(
    partition: Partition, known: Collection[str], now: float, rng: Random
) -> list[str]:
    """Return the replicas to ask now, which tell a partition from lost replicas.

    While a partition is suspected these are some that are not known to be out of reach.
    """
    if partition.is_cut_off:
        return rng.sample(sorted(known), min(1, len(known)))
    contacts = partition.contact_by_upstream
    suspects = {
        id
        for id, contact in contacts.items()
        if _is_lost(contact, now, SUSPECT_AFTER_S)
    }
    reached_at = max((c.reached_at for c in contacts.values()), default=-1e9)
    if len(suspects) < MIN_UNREACHABLE or now - reached_at < SUSPECT_AFTER_S:
        return []
    names = sorted(
        id for id in known if id not in suspects or not _is_lost(contacts[id], now)
    )
    return rng.sample(names, min(MAX_PROBES, len(names)))


def _ensure_contact(partition: Partition, upstream: str) -> Contact:
    contact = partition.contact_by_upstream.get(upstream)
    if contact is None:
        contact = partition.contact_by_upstream[upstream] = Contact()
    return contact


def _is_lost(
    contact: Contact, now: float, silent_after_s: float = SILENT_AFTER_S
) -> bool:
    """Report whether a replica was unreachable, or silent, since it was last reached."""
    if now - _find_last_at(contact, now) >= CONTACT_MEMORY_S:
        return False
    if contact.unreachable_at > contact.reached_at:
        return True
    until = now if contact.waiting else contact.ended_at
    is_asked = contact.asked_at > contact.reached_at
    return is_asked and until - contact.asked_at >= silent_after_s


def _find_last_at(contact: Contact, now: float) -> float:
    if contact.waiting:
        return now
    return max(contact.unreachable_at, contact.reached_at, contact.ended_at)


def _is_cut_off(contacts: Collection[Contact], now: float) -> bool:
    recent = [
        contact
        for contact in contacts
        if now - _find_last_at(contact, now) < CONTACT_MEMORY_S
    ]
    if any(now - contact.reached_at < ANSWER_MEMORY_S for contact in recent):
        return False
    others = [contact for contact in recent if not _is_lost(contact, now)]
    lost = len(recent) - len(others)
    # Requests that have no answer yet show neither.
    asked = sum(contact.asked_at > contact.reached_at for contact in others)
    reached = len(others) - asked
    return lost >= max(MIN_UNREACHABLE, asked) and lost > reached

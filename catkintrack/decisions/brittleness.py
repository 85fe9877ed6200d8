"""Keep brittle replicas from rejecting more requests than they bear.

A brittle replica ends if it must reject too many requests in a second for want of room,
whichever instances sent them.  Its slots are divided among the instances, and so are the
requests that may be open beyond them, without asking peers.
"""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from operator import attrgetter

from catkintrack.fleet import Upstream

# Time in which a replica counts its rejections.
SPAN_S = 1.0
# Time without requests after a rejection that leaves more to be borne.
PAUSE_S = 0.1
# Time without loans after a rejection; it doubles with each further one.
LOAN_BACKOFF_S = 10.0
LOAN_BACKOFF_MAX_S = 60.0
# Part of the slots that may be lent at once.
LOAN_SLOTS_SHARE = 0.25
# Part of the rejections that loans may cause.
LOAN_REJECTIONS_SHARE = 0.5
# A load that is older than this does not tell whether the replica is full.
LOAD_MAX_AGE_S = 0.2
# Time for which a request that was given up may still hold its place at the replica.
GIVEN_UP_S = 0.25
# A record that no answer of the replica's own can end ends this long after the last announcement.
INHERITED_S = 10.0
# Peers are notified of a replica that has announced it within this time.
ANNOUNCED_MAX_AGE_S = 5.0
# Far more than the time in which a lapsed entry is written again.
GONE_MEMORY_S = 60.0


@dataclass(slots=True)
class Brittleness:
    """Hold what is known of one brittle replica's incarnation; times in seconds.

    `max_rejected` is the number of rejections in SPAN_S that it bears from all instances,
    `named_at` when its last answer that says so arrived, `confirmed_at` when another source
    last said so.  `is_inherited` is set while no answer of its own has.  `slots`, `loans`
    and `quota` are this instance's parts: requests that may be open there, further ones,
    and rejections; `all_loans` those of all instances.  `given_up_until` are the times until which given-up requests count.
    """

    service: str
    incarnation: int
    max_rejected: int
    named_at: float
    confirmed_at: float
    is_inherited: bool = False
    slots: int = 0
    loans: int = 0
    all_loans: int = 0
    quota: int = 0
    rejected_at: list[float] = field(default_factory=list)
    paused_until: float = -math.inf
    lends_at: float = -math.inf
    backoff_s: float = 0.0
    given_up_until: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SoundAnswer:
    """Hold which incarnation said that it is not brittle, and when, in seconds."""

    incarnation: int
    at: float


@dataclass(slots=True)
class BrittleTable:
    """Hold the records by replica, and the replicas that said they are not brittle."""

    record_by_upstream: dict[str, Brittleness] = field(default_factory=dict)
    sound_by_upstream: dict[str, SoundAnswer] = field(default_factory=dict)


def read_max_rejected(per_s: float) -> int:
    """Return the number of rejections in a second that a replica bears.

    One that is not usable counts as 0.
    """
    return int(per_s) if is_usable_number(per_s) else 0


def is_usable_number(per_s: float) -> bool:
    """Report whether a number of rejections is one; NaN stands for no number."""
    return math.isfinite(per_s) and per_s >= 0


def find_brittleness(table: BrittleTable, upstream: Upstream) -> Brittleness | None:
    """Return the record of this life of a replica, or of a later one, if any."""
    record = table.record_by_upstream.get(upstream.id)
    if record is None or upstream.incarnation > record.incarnation:
        return None
    return record


def record_brittle(
    table: BrittleTable,
    upstream: Upstream,
    max_rejected: int,
    sent_at: float,
    now: float,
) -> bool:
    """Record the announcement in the answer to a request sent at `sent_at`.

    Report whether the rejections that the replica bears, or whether it is brittle, changed.
    Answers may overtake each other: of two to requests sent before the first arrived, the
    lower number holds.
    """
    known = find_brittleness(table, upstream)
    if known is not None and known.incarnation > upstream.incarnation:
        return False
    table.sound_by_upstream.pop(upstream.id, None)
    if known is None:
        table.record_by_upstream[upstream.id] = Brittleness(
            upstream.service, upstream.incarnation, max_rejected, now, now
        )
        return True
    if not known.is_inherited and sent_at < known.named_at:
        max_rejected = min(max_rejected, known.max_rejected)
    is_changed = known.max_rejected != max_rejected
    known.max_rejected = max_rejected
    known.named_at = known.confirmed_at = now
    known.is_inherited = False
    return is_changed


def record_sound(
    table: BrittleTable, upstream: Upstream, sent_at: float, now: float
) -> bool:
    """Record that the answer to a request sent at `sent_at` does not say it is brittle.

    Report whether that ended a record: the request was sent after the last announcement.
    """
    known = find_brittleness(table, upstream)
    if known is not None:
        if known.incarnation > upstream.incarnation or sent_at < known.named_at:
            return False
        del table.record_by_upstream[upstream.id]
    # Gossip of peers that have no such answer yet is older.
    table.sound_by_upstream[upstream.id] = SoundAnswer(upstream.incarnation, now)
    return known is not None


def inherit_brittleness(
    table: BrittleTable, upstream: Upstream, max_rejected: int, now: float
) -> bool:
    """Record that another source says that a replica is brittle.

    Report whether that began a record.  The replica's own answers go first.
    """
    sound = table.sound_by_upstream.get(upstream.id)
    if sound is not None and sound.incarnation == upstream.incarnation:
        return False
    known = find_brittleness(table, upstream)
    if known is not None:
        known.confirmed_at = now
        return False
    table.record_by_upstream[upstream.id] = Brittleness(
        upstream.service,
        upstream.incarnation,
        max_rejected,
        now,
        now,
        is_inherited=True,
    )
    return True


def inherit_from_services(
    table: BrittleTable, upstreams: Iterable[Upstream], now: float
) -> list[Upstream]:
    """Take replicas for brittle if others of their service, or their earlier lives, are.

    Return those for which that began a record.
    """
    max_rejected_by_service: dict[str, int] = {}
    for record in table.record_by_upstream.values():
        if not record.is_inherited and now - record.named_at <= INHERITED_S:
            known = max_rejected_by_service.get(record.service, record.max_rejected)
            least = min(known, record.max_rejected)
            max_rejected_by_service[record.service] = least
    return [
        upstream
        for upstream in upstreams
        if upstream.service in max_rejected_by_service
        and inherit_brittleness(
            table, upstream, max_rejected_by_service[upstream.service], now
        )
    ]


def share_room(
    table: BrittleTable,
    upstreams: Iterable[Upstream],
    own_name: str,
    sharer_names: Iterable[str],
) -> None:
    """Divide the room of the brittle replicas among the instances that share it.

    `upstreams` are all that are known: those of a service take their turns with what
    the division leaves over, in the order of their IDs.
    """
    if not table.record_by_upstream:
        return
    names = sorted({own_name, *sharer_names})
    index, count = names.index(own_name), len(names)
    turn_by_service: dict[str, tuple[int, int]] = {}
    for upstream in sorted(upstreams, key=attrgetter("id")):
        offset, number = turn_by_service.get(upstream.service, (0, 0))
        turn_by_service[upstream.service] = (offset + upstream.slots, number + 1)
        record = find_brittleness(table, upstream)
        if record is None:
            continue
        loans = count_loans(record.max_rejected, upstream.slots)
        record.slots = divide(upstream.slots, count, index, offset)
        record.all_loans = loans
        # Those whose turn did not come for a slot are the first to get a loan.
        offset += upstream.slots + number * loans
        record.loans = divide(loans, count, index, offset)
        record.quota = divide(record.max_rejected - loans, count, index, offset)


def count_loans(max_rejected: int, slots: int) -> int:
    """Return how many requests beyond the slots may be open over all instances."""
    return min(int(LOAN_REJECTIONS_SHARE * max_rejected), int(LOAN_SLOTS_SHARE * slots))


def divide(total: int, count: int, index: int, offset: int) -> int:
    """Return the part of one of `count` holders, whole units whose sum is the total.

    What is left over goes to the holders from `offset` on, counted round.
    """
    part, left_over = divmod(total, count)
    return part + ((index - offset) % count < left_over)


def has_place(
    record: Brittleness | None, open_count: int, has_room: bool, now: float
) -> bool:
    """Report whether a request may be placed beside `open_count` open ones.

    `has_room` is set if the replica has said of late that it has room for all loans, which
    counts once it has rejected a request.
    """
    if record is None:
        return True
    if now < record.paused_until:
        return False
    places = record.slots
    if not record.backoff_s or (has_room and now >= record.lends_at):
        places += max(0, record.loans - _count_rejected(record, now))
    return open_count + _count_given_up(record, now) < places


def may_send_placed(record: Brittleness | None, open_count: int, now: float) -> bool:
    """Report whether a placed request, one of the `open_count`, may be sent now.

    Others were rejected, or the replica said that it is brittle, since it was placed.
    """
    if record is None:
        return True
    return has_place(record, open_count - 1, True, now)


def record_rejection(record: Brittleness, now: float) -> None:
    """Record that the replica rejected a request for want of room."""
    rejected = _count_rejected(record, now) + 1
    record.rejected_at.append(now)
    pause_s = PAUSE_S if rejected < record.quota else SPAN_S
    record.paused_until = max(record.paused_until, now + pause_s)
    end_loans(record, now)


def end_loans(record: Brittleness, now: float) -> None:
    """Lend nothing for a time, since a request of any instance was rejected."""
    if now >= record.lends_at:
        record.backoff_s = min(
            LOAN_BACKOFF_MAX_S, max(LOAN_BACKOFF_S, 2 * record.backoff_s)
        )
        record.lends_at = now + record.backoff_s


def record_given_up(record: Brittleness, now: float) -> None:
    """Record that a request was given up without an answer, and may still run."""
    record.given_up_until.append(now + GIVEN_UP_S)


def _count_rejected(record: Brittleness, now: float) -> int:
    if record.rejected_at:
        record.rejected_at = [at for at in record.rejected_at if now - at < SPAN_S]
    return len(record.rejected_at)


def _count_given_up(record: Brittleness, now: float) -> int:
    if record.given_up_until:
        record.given_up_until = [at for at in record.given_up_until if now < at]
    return len(record.given_up_until)


def count_places(record: Brittleness) -> int:
    """Return how many requests this instance may have open at a replica at most."""
    return record.slots + record.loans


def estimate_wait_s(places: int, waiting: int, service_s: float) -> float:
    """Return the seconds until a request behind `waiting` others finds a place.

    `service_s` is how long each holds one; infinity without places.
    """
    return (waiting + 1) * service_s / places if places else math.inf


def is_room_seen(
    record: Brittleness, reported_at: float, reported: int, slots: int, now: float
) -> bool:
    """Report whether a replica's last load is recent and leaves room for all loans."""
    is_recent = now - reported_at <= LOAD_MAX_AGE_S
    return is_recent and reported + record.all_loans < slots


def list_announced(table: BrittleTable, now: float) -> dict[str, int]:
    """Return the replicas that have lately announced to this instance that they are brittle.

    Each with the rejections in a second that it bears.
    """
    return {
        id: record.max_rejected
        for id, record in table.record_by_upstream.items()
        if not record.is_inherited and now - record.named_at <= ANNOUNCED_MAX_AGE_S
    }


def list_rejecting(table: BrittleTable, now: float) -> tuple[str, ...]:
    """Return the brittle replicas that have rejected requests of this instance of late."""
    return tuple(
        id
        for id, record in table.record_by_upstream.items()
        if record.rejected_at and now - record.rejected_at[-1] <= SPAN_S
    )


def forget_brittleness(
    table: BrittleTable, known_ids: Container[str], now: float
) -> list[str]:
    """Forget the records that no answer will end; return their replicas.

    Those are inherited, without a part for this instance, or of replicas that are gone.
    """
    ids = []
    for id, record in table.record_by_upstream.items():
        lacks_answers = record.is_inherited or not count_places(record)
        last_announced_at = max(record.named_at, record.confirmed_at)
        limit_s = INHERITED_S if lacks_answers else math.inf
        if id not in known_ids:
            limit_s = min(limit_s, GONE_MEMORY_S)
        if now - last_announced_at > limit_s:
            ids.append(id)
    for id in ids:
        del table.record_by_upstream[id]
    for id, sound in list(table.sound_by_upstream.items()):
        if now - sound.at > INHERITED_S:
            del table.sound_by_upstream[id]
    return ids

"""Keep an agent's member table and the news to gossip about it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from msgspec import structs

from catkintrack.links import MemberNews

NEWS_TRANSMISSIONS = 10
MAX_NEWS_PER_MESSAGE = 16


class MemberState(Enum):
    """Enumerate the states of a member in the failure detector."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True)
class MemberEntry:
    """Represent one peer; `last_alive_at` is when it was last known to be alive."""

    news: MemberNews
    state: MemberState
    last_alive_at: float
    probed_at: float = -1e9
    died_at: float = 0.0

    @property
    def incarnation(self) -> int:
        """Return the newest known incarnation of the member."""
        return self.news.incarnation


@dataclass(slots=True)
class MemberTable:
    """Hold the peers, keyed by instance, and the news still to gossip.

    `pending_news` holds each item with the number of messages it is still to be sent
    in.  `has_urgent_news` makes heartbeats due at once, to more members than usual.
    `ring` caches the ring order of the live peers and is None after a change.
    """

    own: MemberNews
    member_by_instance: dict[str, MemberEntry] = field(default_factory=dict)
    pending_news: deque[tuple[MemberNews, int]] = field(default_factory=deque)
    last_run_at: float = 0.0
    next_heartbeat_at: float = 0.0
    has_urgent_news: bool = False
    ring: tuple[str, ...] | None = None


def is_newer(new: MemberNews, old: MemberNews) -> bool:
    """Report whether `new` overrides `old`; at equal versions dead overrides alive."""
    return _version_key(new) > _version_key(old)


def _version_key(news: MemberNews) -> tuple[int, int, bool]:
    return (news.incarnation, news.version, not news.is_alive)


def merge_news(members: MemberTable, items: Iterable[MemberNews], now: float) -> bool:
    """Merge received news into the table; report whether the table changed."""
    changed = False
    for news in items:
        changed |= _merge_item(members, news, now)
    return changed


def _merge_item(members: MemberTable, news: MemberNews, now: float) -> bool:
    if news.instance == members.own.instance:
        return _refute_own_death(members, news)
    member = members.member_by_instance.get(news.instance)
    if member is not None and not is_newer(news, member.news):
        return False
    if member is None and not news.is_alive:
        return False
    state = MemberState.ALIVE if news.is_alive else MemberState.DEAD
    if member is None:
        member = MemberEntry(news, state, now)
        members.member_by_instance[news.instance] = member
    member.news = news
    member.state = state
    members.ring = None
    if news.is_alive:
        member.last_alive_at = now
    else:
        member.died_at = now
    enqueue_news(members, news)
    return True


def _refute_own_death(members: MemberTable, news: MemberNews) -> bool:
    """Refute news that this member is dead by announcing a higher version."""
    own = members.own
    if news.incarnation != own.incarnation or news.is_alive or not own.is_alive:
        return False
    if news.version < own.version:
        return False
    members.own = structs.replace(own, version=news.version + 1)
    enqueue_news(members, members.own)
    return True


def make_death_news(news: MemberNews) -> MemberNews:
    """Return the news that this incarnation is dead."""
    return structs.replace(news, is_alive=False)


def enqueue_news(members: MemberTable, news: MemberNews) -> None:
    """Queue news for the next heartbeats, replacing older news of the same instance."""
    other_news = [
        item for item in members.pending_news if item[0].instance != news.instance
    ]
    members.pending_news = deque([(news, NEWS_TRANSMISSIONS), *other_news])
    members.has_urgent_news = True


def dequeue_news(members: MemberTable) -> tuple[MemberNews, ...]:
    """Return the queued news for one message and count it as sent once."""
    items = []
    for _ in range(min(MAX_NEWS_PER_MESSAGE, len(members.pending_news))):
        news, transmissions_left = members.pending_news.popleft()
        items.append(news)
        if transmissions_left > 1:
            members.pending_news.append((news, transmissions_left - 1))
    return tuple(items)


def list_all_news(members: MemberTable) -> tuple[MemberNews, ...]:
    """Return the whole table as news, to send to a member that has just joined."""
    return (
        members.own,
        *(member.news for member in members.member_by_instance.values()),
    )


def list_alive(members: MemberTable) -> dict[str, MemberNews]:
    """Return this member and the peers not known to be dead, keyed by instance."""
    alive = {
        name: member.news
        for name, member in members.member_by_instance.items()
        if member.state is not MemberState.DEAD
    }
    return {members.own.instance: members.own, **alive}


def needs_full_table(members: MemberTable, instance: str) -> bool:
    """Report whether a sender is unknown or believed dead and so lacks the table."""
    return instance not in list_alive(members)


def forget_removed_members(members: MemberTable, instances: Iterable[str]) -> None:
    """Remove dead members that the platform no longer lists."""
    for name in instances:
        member = members.member_by_instance.get(name)
        if member is not None and member.state is MemberState.DEAD:
            del members.member_by_instance[name]
            members.ring = None

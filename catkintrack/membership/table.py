"""Hold what an agent knows of the fleet's members."""

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
    """Say whether a member is believed to live."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True)
class MemberEntry:
    """Hold one member; `heard_at` is when this agent last had word of its life."""

    news: MemberNews
    state: MemberState
    heard_at: float
    probed_at: float = -1e9
    died_at: float = 0.0

    @property
    def incarnation(self) -> int:
        """Return the newest known incarnation."""
        return self.news.incarnation


@dataclass(slots=True)
class MemberTable:
    """Hold the members, keyed by instance, and the news still to pass on.

    `ring` is the order of the live members, None after a change.
    """

    own: MemberNews
    member_by_instance: dict[str, MemberEntry] = field(default_factory=dict)
    pending_news: deque[tuple[MemberNews, int]] = field(default_factory=deque)
    last_run_at: float = 0.0
    next_heartbeat_at: float = 0.0
    has_urgent_news: bool = False
    ring: tuple[str, ...] | None = None


def is_newer(new: MemberNews, old: MemberNews) -> bool:
    """Report whether `new` overrides `old`; death overrides life of the same age."""
    return _age_key(new) > _age_key(old)


def _age_key(news: MemberNews) -> tuple[int, int, bool]:
    return (news.incarnation, news.version, not news.is_alive)


def merge_news(members: MemberTable, items: Iterable[MemberNews], now: float) -> bool:
    """Take in news; report whether any of it changed the table."""
    changed = False
    for news in items:
        changed |= _learn_one(members, news, now)
    return changed


def _learn_one(members: MemberTable, news: MemberNews, now: float) -> bool:
    if news.instance == members.own.instance:
        return _refute(members, news)
    row = members.member_by_instance.get(news.instance)
    if row is not None and not is_newer(news, row.news):
        return False
    if row is None and not news.is_alive:
        return False
    state = MemberState.ALIVE if news.is_alive else MemberState.DEAD
    if row is None:
        row = MemberEntry(news, state, now)
        members.member_by_instance[news.instance] = row
    row.news = news
    row.state = state
    members.ring = None
    if news.is_alive:
        row.heard_at = now
    else:
        row.died_at = now
    enqueue_news(members, news)
    return True


def _refute(members: MemberTable, news: MemberNews) -> bool:
    """Answer news of one's own death by a higher version."""
    own = members.own
    if news.incarnation != own.incarnation or news.is_alive or not own.is_alive:
        return False
    if news.version < own.version:
        return False
    members.own = structs.replace(own, version=news.version + 1)
    enqueue_news(members, members.own)
    return True


def make_death_news(news: MemberNews) -> MemberNews:
    """Return the news that this life has ended."""
    return structs.replace(news, is_alive=False)


def enqueue_news(members: MemberTable, news: MemberNews) -> None:
    """Have news sent along with the next heartbeats."""
    kept = [item for item in members.pending_news if item[0].instance != news.instance]
    members.pending_news = deque([(news, NEWS_TRANSMISSIONS), *kept])
    members.has_urgent_news = True


def dequeue_news(members: MemberTable) -> tuple[MemberNews, ...]:
    """Return the news for one message and count it as sent."""
    taken = []
    for _ in range(min(MAX_NEWS_PER_MESSAGE, len(members.pending_news))):
        news, repeats = members.pending_news.popleft()
        taken.append(news)
        if repeats > 1:
            members.pending_news.append((news, repeats - 1))
    return tuple(taken)


def list_all_news(members: MemberTable) -> tuple[MemberNews, ...]:
    """Return the whole table as news, for a member that has just come."""
    return (members.own, *(row.news for row in members.member_by_instance.values()))


def list_alive(members: MemberTable) -> dict[str, MemberNews]:
    """Return the members not known to be dead, and oneself, keyed by instance."""
    alive = {
        name: row.news
        for name, row in members.member_by_instance.items()
        if row.state is not MemberState.DEAD
    }
    return {members.own.instance: members.own, **alive}


def needs_full_table(members: MemberTable, instance: str) -> bool:
    """Report whether a sender is new here or taken for dead, and should be told."""
    return instance not in list_alive(members)


def forget_removed(members: MemberTable, instances: Iterable[str]) -> None:
    """Drop dead members that the platform no longer lists."""
    for name in instances:
        row = members.member_by_instance.get(name)
        if row is not None and row.state is MemberState.DEAD:
            del members.member_by_instance[name]
            members.ring = None

"""Simulate instances that join, leave, die and return while they retry calls."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from catkintrack.decisions.retries import (
    RetryBudget,
    RetryShare,
    add_retry_credit,
    apply_share,
    open_retry_budget,
    take_retry,
)
from catkintrack.instance.peers import PEER_REMOVAL_S

TICK_S = 0.25
GOSSIP_S = 0.5
# Peers whose addresses an instance learns from its settings.
SEEDS = 3


@dataclass
class Member:
    """Hold one living instance: its bucket, and when it last heard each peer."""

    started_at: float
    is_first_start: bool
    side: int = 0
    budget: RetryBudget | None = None
    heard_at_by_name: dict[str, float] = field(default_factory=dict)


@dataclass
class RetryFleet:
    """Hold the fleet, and the times of the requests and retries of one service."""

    rng: Random
    ratio: float = 0.2
    extra: float = 56.0
    window_s: float = 10.0
    now: float = 0.0
    member_by_name: dict[str, Member] = field(default_factory=dict)
    returns_at_by_name: dict[str, float] = field(default_factory=dict)
    requests_at: list[float] = field(default_factory=list)
    retries_at: list[float] = field(default_factory=list)

    def start(self, name: str, is_first_start: bool = False) -> None:
        """Start an instance."""
        self.member_by_name[name] = Member(self.now, is_first_start)

    def kill(self, names: list[str], down_s: float) -> None:
        """End instances, which return after `down_s`."""
        for name in names:
            if self.member_by_name.pop(name, None) is not None:
                self.returns_at_by_name[name] = self.now + down_s

    def step(self, load_per_s: float, retries_per_request: int) -> None:
        """Let one tick pass in which each instance retries what its bucket allows."""
        self.now += TICK_S
        for name, at in list(self.returns_at_by_name.items()):
            if at <= self.now:
                del self.returns_at_by_name[name]
                self.start(name)
        self._exchange_gossip()
        for member in self.member_by_name.values():
            self._serve(member, load_per_s, retries_per_request)

    def _exchange_gossip(self) -> None:
        for name, member in self.member_by_name.items():
            if self.now - member.started_at < GOSSIP_S:
                continue
            for other_name, other in self.member_by_name.items():
                is_known = self.now - other.started_at >= GOSSIP_S
                if other_name != name and is_known and other.side == member.side:
                    member.heard_at_by_name[other_name] = self.now

    def _serve(self, member: Member, load_per_s: float, attempts: int) -> None:
        share = self._find_share(member)
        if member.budget is not None:
            apply_share(member.budget, share)
        mean = load_per_s * TICK_S / max(1, len(self.member_by_name))
        count = int(mean) + (self.rng.random() < mean % 1)
        for _ in range(count):
            if member.budget is None:
                member.budget = open_retry_budget(share)
            add_retry_credit(member.budget)
            self.requests_at.append(self.now)
            for _ in range(attempts):
                if take_retry(member.budget):
                    self.retries_at.append(self.now)

    def _find_share(self, member: Member) -> RetryShare:
        age_s = self.now - member.started_at
        heard = [
            at
            for at in member.heard_at_by_name.values()
            if self.now - at < PEER_REMOVAL_S
        ]
        is_unknown = not heard and age_s < PEER_REMOVAL_S
        return RetryShare(
            self.ratio,
            self.extra,
            self.window_s,
            None if is_unknown else len(heard),
            max(len(member.heard_at_by_name), SEEDS),
            age_s,
            member.is_first_start,
        )

    def find_worst_share(self) -> float:
        """Return the largest part of the allowed retries sent in any window."""
        ends = sorted(set(self.retries_at))
        return max((self._find_share_before(end) for end in ends), default=0.0)

    def _find_share_before(self, end: float) -> float:
        begin = end - self.window_s
        requests = sum(begin < at <= end for at in self.requests_at)
        retries = sum(begin < at <= end for at in self.retries_at)
        return retries / (self.ratio * requests + self.extra)

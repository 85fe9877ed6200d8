"""Simulate calls that crash whatever replica runs them, in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from catkintrack.decisions.quarantine import (
    Quarantine,
    adopt_quarantine,
    begin_trial,
    find_quarantine_end,
    list_unannounced,
    record_announced,
    record_completed,
    record_lost_replica,
    record_served,
)

CALLS_PER_S = 60.0
RUN_S = 0.15
CRASH_AFTER_S = 0.05
RESTART_S = 3.0
DURATION_S = 40.0
GOSSIP_INTERVAL_S = 0.5
MAX_RUNS = 2
MAX_CALLER_ATTEMPTS = 2
CALLER_RETRY_S = 0.1
# The crashing calls come again at any instance, long after each was refused, too.
CRASHING_INTERVAL_S = 0.3
# A content that many calls share.
POPULAR = 1
POPULAR_SHARE = 0.1
RACK_LOST_AT_S = 15.0
# The users' figures: the crash from which on arrivals count, and how much later.
COUNTED_CRASHES = 3
STABLE_WINDOW_S = 3.0


@dataclass(slots=True)
class CallAttempt:
    """Hold a caller's attempt, its instance and the number of its runs."""

    content: int
    instance: int
    caller_attempt: int = 1
    runs: int = 0


@dataclass(slots=True)
class RunningReplica:
    """Hold a replica's incarnation, when it is up and what runs there."""

    name: str
    incarnation: int = 1
    up_at: float = 0.0
    running: list[CallAttempt] = field(default_factory=list)


@dataclass
class CallOutcome:
    """Hold what a load led to.

    `late_arrivals` counts by crashing content the runs later than STABLE_WINDOW_S after
    its third crash, `sound_refused_at` holds when attempts of sound contents were refused.
    """

    late_arrivals: dict[int, int]
    sound_refused_at: dict[int, list[float]]
    sound: int


class CallSimulation:
    """Run a load through several instances and replicas by a queue of events."""

    def __init__(
        self, rng: Random, instances: int, replicas: int, delay_s: float, culprits: int
    ) -> None:
        self.rng = rng
        self.delay_s = delay_s
        self.quarantines = [Quarantine() for _ in range(instances)]
        self.replicas = [RunningReplica(f"r{n}") for n in range(replicas)]
        self.culprits = tuple(range(-culprits, 0))
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = 0
        self.crashed_at: dict[int, list[float]] = {c: [] for c in self.culprits}
        self.arrived_at: dict[int, list[float]] = {c: [] for c in self.culprits}
        self.outcome = CallOutcome({}, {}, 0)

    def run(self) -> CallOutcome:
        """Play the load and return its outcome."""
        self.schedule(0.0, self.send_sound)
        self.schedule(GOSSIP_INTERVAL_S, self.gossip)
        for culprit in self.culprits:
            self.schedule(2.0, lambda now, c=culprit: self.send_crashing(c, now))
        while self.events:
            now, _, function = heapq.heappop(self.events)
            if now <= DURATION_S:
                function(now)
        for culprit in self.culprits:
            counted = self.crashed_at[culprit][:COUNTED_CRASHES]
            late_from = (counted[-1] if counted else DURATION_S) + STABLE_WINDOW_S
            arrivals = self.arrived_at[culprit]
            late = sum(at > late_from for at in arrivals)
            self.outcome.late_arrivals[culprit] = late
        return self.outcome

    def schedule(self, at: float, function: Callable[[float], None]) -> None:
        """Call `function` with the time at a time."""
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, function))

    def choose_instance(self) -> int:
        """Return a random instance."""
        return self.rng.randrange(len(self.quarantines))

    def send_sound(self, now: float) -> None:
        """Send a sound call and schedule the next one."""
        self.schedule(now + self.rng.expovariate(CALLS_PER_S), self.send_sound)
        is_popular = self.rng.random() < POPULAR_SHARE
        content = POPULAR if is_popular else 1000 + self.sequence
        self.outcome.sound += 1
        self.start(CallAttempt(content, self.choose_instance()), now)

    def send_crashing(self, content: int, now: float) -> None:
        """Send a crashing call and schedule its repetition."""
        again_s = CRASHING_INTERVAL_S * self.rng.uniform(0.2, 1.8)
        self.schedule(now + again_s, lambda at: self.send_crashing(content, at))
        self.start(CallAttempt(content, self.choose_instance()), now)

    def start(self, attempt: CallAttempt, now: float) -> None:
        """Run an attempt on a replica, or refuse it."""
        content = attempt.content
        quarantine = self.quarantines[attempt.instance]
        suspects, rank = (content,), attempt.instance
        if find_quarantine_end(quarantine, suspects, rank, now) is not None:
            if content not in self.culprits:
                refused = self.outcome.sound_refused_at
                refused.setdefault(content, []).append(now)
            return
        begin_trial(quarantine, suspects, now)
        up = [replica for replica in self.replicas if replica.up_at <= now]
        if not up:
            return
        # The least busy replicas attract repeated calls of all kinds.
        self.rng.shuffle(up)
        replica = min(up, key=lambda replica: len(replica.running))
        replica.running.append(attempt)
        attempt.runs += 1
        incarnation = replica.incarnation
        mean_s = RUN_S
        if content in self.culprits:
            self.arrived_at[content].append(now)
            mean_s = CRASH_AFTER_S
        end_at = now + mean_s * self.rng.uniform(0.5, 1.5)
        self.schedule(end_at, lambda at: self.end(replica, incarnation, attempt, at))

    def end(
        self,
        replica: RunningReplica,
        incarnation: int,
        attempt: CallAttempt,
        now: float,
    ) -> None:
        """Answer an attempt, or lose the replica to it."""
        if replica.incarnation != incarnation:
            return
        if attempt.content in self.culprits:
            self.crashed_at[attempt.content].append(now)
            self.lose(replica, now)
            return
        replica.running.remove(attempt)
        content = attempt.content
        if record_completed(self.quarantines[attempt.instance], content, now):
            self.tell_all(attempt.instance, now, self.hear_served, content)

    def lose(self, replica: RunningReplica, now: float) -> None:
        """Lose a replica; each instance reports its calls there and repeats them."""
        name = f"{replica.name}/{replica.incarnation}"
        broken = list(replica.running)
        self.rng.shuffle(broken)
        replica.running.clear()
        replica.incarnation += 1
        replica.up_at = now + RESTART_S * self.rng.uniform(0.8, 1.2)
        for attempt in broken:
            self.tell_all(attempt.instance, now, self.hear_loss, name, attempt.content)
            if attempt.runs < MAX_RUNS:
                self.start(attempt, now)
            elif attempt.caller_attempt < MAX_CALLER_ATTEMPTS:
                again = CallAttempt(
                    attempt.content, self.choose_instance(), attempt.caller_attempt + 1
                )
                at = now + CALLER_RETRY_S
                self.schedule(at, lambda at, again=again: self.start(again, at))

    def lose_rack(self, share: float) -> None:
        """Schedule the loss of a share of the replicas at one moment."""

        def lose_all(now: float) -> None:
            count = max(1, round(share * len(self.replicas)))
            for replica in self.replicas[:count]:
                if replica.up_at <= now:
                    self.lose(replica, now)

        self.schedule(RACK_LOST_AT_S, lose_all)

    def tell_all(
        self, sender: int, now: float, hear: Callable[..., None], *arguments: object
    ) -> None:
        """Let the sender hear something now and each other instance after a delay."""
        hear(sender, *arguments, now)
        for number in range(len(self.quarantines)):
            if number != sender:
                at = now + self.delay_s * self.rng.random()
                self.schedule(at, lambda at, n=number: hear(n, *arguments, at))

    def hear_loss(self, number: int, name: str, content: int, now: float) -> None:
        """Record a loss at an instance."""
        quarantine = self.quarantines[number]
        record_lost_replica(quarantine, name, (), now, content)
        if list_unannounced(quarantine, (content,), now):
            self.tell_all(number, now, self.hear_served, content)

    def hear_served(self, number: int, content: int, now: float) -> None:
        """Clear a content at an instance."""
        record_served(self.quarantines[number], (content,), now)
        record_announced(self.quarantines[number], (content,), now)

    def gossip(self, now: float) -> None:
        """Let each instance adopt the others' quarantined contents."""
        self.schedule(now + GOSSIP_INTERVAL_S, self.gossip)
        for number, quarantine in enumerate(self.quarantines):
            for content, row in quarantine.row_by_suspect.items():
                remaining_s = row.until - now
                if remaining_s > 0:
                    self.tell_all(
                        number,
                        now,
                        self.hear_quarantine,
                        content,
                        remaining_s,
                        row.duration_s,
                    )

    def hear_quarantine(
        self,
        number: int,
        content: int,
        remaining_s: float,
        duration_s: float,
        now: float,
    ) -> None:
        """Adopt a quarantine at an instance."""
        target = self.quarantines[number]
        adopt_quarantine(target, content, remaining_s, duration_s, now, True)

"""Simulate replicas that crash on one part of a prompt, in virtual time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from catkintrack.decisions.quarantine import (
    Quarantine,
    find_quarantine_end,
    record_lost_replica,
    record_served,
)

CRASHING = 1_000_000
REPLICAS = 5
REQUESTS_PER_S = 40.0
RESTART_S = 3.0
FIRST_EVENT_S = 0.1
STREAM_S = 0.3
DURATION_S = 30.0
# Mean time between the losses of replicas that have another cause.
OTHER_LOSS_INTERVAL_S = 4.0
# The users' figures: the crash from which on arrivals count, and how much later.
COUNTED_CRASHES = 5
STABLE_WINDOW_S = 3.0
SHARED_PARTS = 6


@dataclass
class SimulatedReplica:
    """Hold a replica's incarnation, when it is up and the requests that run there."""

    name: str
    incarnation: int = 1
    up_at: float = 0.0
    running: list[SimulatedRequest] = field(default_factory=list)


@dataclass
class SimulatedRequest:
    """Hold a request, the instance that sent it and how far its response got."""

    parts: tuple[int, ...]
    instance: int
    has_event: bool = False
    is_over: bool = False


@dataclass
class CrashOutcome:
    """Hold what a simulated load led to.

    `late_arrivals` counts requests with the crashing part that reached a replica later
    than STABLE_WINDOW_S after the fifth crash; `sound_share` is the share of the sound
    requests that were answered.
    """

    quarantined: set[int]
    late_arrivals: int
    sound_share: float


def play_crashing_load(
    rng: Random, instances: int, delay_s: float, crashing_share: float = 0.2
) -> CrashOutcome:
    """Play a load on several instances that tell each other of losses after `delay_s`."""
    return CrashSimulation(rng, instances, delay_s, crashing_share).run()


class CrashSimulation:
    """Run a load through several instances and replicas by a queue of events."""

    def __init__(
        self, rng: Random, instances: int, delay_s: float, crashing_share: float
    ) -> None:
        self.rng = rng
        self.delay_s = delay_s
        self.crashing_share = crashing_share
        self.quarantines = [Quarantine() for _ in range(instances)]
        self.replicas = [SimulatedReplica(f"r{n}") for n in range(REPLICAS)]
        self.events: list[tuple[float, int, object]] = []
        self.sequence = 0
        self.crashed_at: list[float] = []
        self.arrived_at: list[float] = []
        self.sound = self.sound_served = 0

    def run(self) -> CrashOutcome:
        """Play the load and return its outcome."""
        self.schedule(0.0, self.send_request)
        self.schedule(OTHER_LOSS_INTERVAL_S, self.lose_any_replica)
        while self.events:
            now, _, function = heapq.heappop(self.events)
            if now <= DURATION_S:
                function(now)
        counted = self.crashed_at[:COUNTED_CRASHES]
        late_from = (counted[-1] if counted else DURATION_S) + STABLE_WINDOW_S
        return CrashOutcome(
            {
                part
                for quarantine in self.quarantines
                for part in quarantine.row_by_part
            },
            sum(at > late_from for at in self.arrived_at),
            self.sound_served / max(1, self.sound),
        )

    def schedule(self, at: float, function: object) -> None:
        """Call `function` with the time at a time."""
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, function))

    def send_request(self, now: float) -> None:
        """Send a random request through a random instance, and schedule the next one."""
        rng = self.rng
        self.schedule(now + rng.expovariate(REQUESTS_PER_S), self.send_request)
        shared = rng.randrange(SHARED_PARTS)
        is_crashing = rng.random() < self.crashing_share
        parts = (shared % 2, 100 + shared)
        if is_crashing:
            parts = (shared % 2, CRASHING) if rng.random() < 0.5 else (*parts, CRASHING)
        request = SimulatedRequest(parts, rng.randrange(len(self.quarantines)))
        self.sound += not is_crashing
        quarantine = self.quarantines[request.instance]
        if find_quarantine_end(quarantine, parts, request.instance, now) is not None:
            return
        up = [replica for replica in self.replicas if replica.up_at <= now]
        if not up:
            return
        replica = rng.choice(up)
        replica.running.append(request)
        if is_crashing:
            self.arrived_at.append(now)
        incarnation = replica.incarnation
        begin_at = now + FIRST_EVENT_S * rng.uniform(0.1, 1.0)
        self.schedule(
            begin_at, lambda at: self.begin_answer(replica, incarnation, request, at)
        )

    def begin_answer(
        self,
        replica: SimulatedReplica,
        incarnation: int,
        request: SimulatedRequest,
        now: float,
    ) -> None:
        """Answer a request, or lose the replica to it."""
        if replica.incarnation != incarnation:
            return
        if CRASHING in request.parts:
            self.crashed_at.append(now)
            # Now and then another request has begun at the same moment.
            others = [other for other in replica.running if not other.has_event]
            begun = [request]
            if len(others) > 1 and self.rng.random() < 0.2:
                begun.append(self.rng.choice([r for r in others if r is not request]))
            self.lose_replica(replica, begun, now)
            return
        request.has_event = True
        self.sound_served += 1
        replica.running.remove(request)
        self.record_served(request, now)

    def record_served(self, request: SimulatedRequest, now: float) -> None:
        """Clear a request's parts at its instance, and at the others if they were suspect."""
        cleared = record_served(self.quarantines[request.instance], request.parts, now)
        if cleared:
            self.tell_others(
                request.instance, now, lambda q, at: record_served(q, cleared, at)
            )

    def lose_replica(
        self, replica: SimulatedReplica, begun: list[SimulatedRequest], now: float
    ) -> None:
        """Lose a replica; the instances of the requests that had begun report it."""
        name = f"{replica.name}/{replica.incarnation}"
        for request in begun:
            parts = request.parts
            record_lost_replica(self.quarantines[request.instance], name, parts, now)
            self.tell_others(
                request.instance,
                now,
                lambda q, at, parts=parts: record_lost_replica(q, name, parts, at),
            )
        replica.incarnation += 1
        replica.up_at = now + RESTART_S
        replica.running.clear()

    def lose_any_replica(self, now: float) -> None:
        """Lose a replica for another reason, with one request that has just begun."""
        interval_s = self.rng.expovariate(1 / OTHER_LOSS_INTERVAL_S)
        self.schedule(now + interval_s, self.lose_any_replica)
        replica = self.rng.choice(self.replicas)
        if replica.up_at <= now:
            self.lose_replica(replica, replica.running[:1], now)

    def tell_others(self, sender: int, now: float, function: object) -> None:
        """Call `function` with each other instance's state and the time it hears of it."""
        for number, quarantine in enumerate(self.quarantines):
            if number != sender:
                at = now + self.delay_s * self.rng.random()
                self.schedule(at, lambda at, q=quarantine: function(q, at))

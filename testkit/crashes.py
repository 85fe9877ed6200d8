"""Simulate replicas that crash on one part of a prompt, in virtual time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from catkintrack.decisions.quarantine import (
    Quarantine,
    adopt_quarantine,
    find_quarantine_end,
    list_unannounced,
    record_announced,
    record_lost_replica,
    record_served,
)

CRASHING = 1_000_000
ALSO_CRASHING = 1_000_001
REPLICAS = 5
REQUESTS_PER_S = 40.0
CRASHING_SHARE = 0.2
RESTART_S = 3.0
FIRST_EVENT_S = 0.1
DURATION_S = 30.0
# Mean time between the losses of replicas that have another cause.
OTHER_LOSS_INTERVAL_S = 4.0
# The users' figures: the crash from which on arrivals count, and how much later.
COUNTED_CRASHES = 5
STABLE_WINDOW_S = 3.0
# Prompts begin with one of a few parts; most of the others are used now and then.
FIRST_PARTS = 2
SUBJECTS = 60
GOSSIP_INTERVAL_S = 0.5
ALL_LOST_AT_S = 12.0


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
    crashing: int = 0
    has_event: bool = False


@dataclass
class CrashOutcome:
    """Hold what a simulated load led to.

    `late_arrivals` counts by crashing part the requests that reached a replica later
    than STABLE_WINDOW_S after its fifth crash; `sound_share` is the share of the sound
    requests that were answered in the last third.
    """

    quarantined: set[int]
    late_arrivals: dict[int, int]
    sound_share: float


def play_crashing_load(
    rng: Random,
    instances: int,
    delay_s: float,
    crashing_parts: tuple[int, ...] = (CRASHING,),
    are_all_lost: bool = False,
) -> CrashOutcome:
    """Play a load on several instances that tell each other of losses after `delay_s`."""
    simulation = CrashSimulation(rng, instances, delay_s, crashing_parts)
    if are_all_lost:
        simulation.schedule(ALL_LOST_AT_S, simulation.lose_all_replicas)
    return simulation.run()


class CrashSimulation:
    """Run a load through several instances and replicas by a queue of events."""

    def __init__(
        self,
        rng: Random,
        instances: int,
        delay_s: float,
        crashing_parts: tuple[int, ...],
    ) -> None:
        self.rng = rng
        self.delay_s = delay_s
        self.crashing_parts = crashing_parts
        self.quarantines = [Quarantine() for _ in range(instances)]
        self.replicas = [SimulatedReplica(f"r{n}") for n in range(REPLICAS)]
        self.events: list[tuple[float, int, object]] = []
        self.sequence = 0
        self.crashed_at: dict[int, list[float]] = {p: [] for p in crashing_parts}
        self.arrived_at: dict[int, list[float]] = {p: [] for p in crashing_parts}
        self.sound = self.sound_served = 0

    def run(self) -> CrashOutcome:
        """Play the load and return its outcome."""
        self.schedule(0.0, self.send_request)
        self.schedule(OTHER_LOSS_INTERVAL_S, self.lose_any_replica)
        self.schedule(GOSSIP_INTERVAL_S, self.gossip)
        while self.events:
            now, _, function = heapq.heappop(self.events)
            if now <= DURATION_S:
                function(now)
        return CrashOutcome(
            {
                part
                for quarantine in self.quarantines
                for part in quarantine.row_by_suspect
            },
            {part: self.count_late(part) for part in self.crashing_parts},
            self.sound_served / max(1, self.sound),
        )

    def count_late(self, part: int) -> int:
        """Return how many requests with a part arrived later than the users allow."""
        counted = self.crashed_at[part][:COUNTED_CRASHES]
        late_from = (counted[-1] if counted else DURATION_S) + STABLE_WINDOW_S
        return sum(at > late_from for at in self.arrived_at[part])

    def schedule(self, at: float, function: object) -> None:
        """Call `function` with the time at a time."""
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, function))

    def send_request(self, now: float) -> None:
        """Send a random request through a random instance, and schedule the next one."""
        rng = self.rng
        self.schedule(now + rng.expovariate(REQUESTS_PER_S), self.send_request)
        parts = [rng.randrange(FIRST_PARTS), 100 + rng.randrange(SUBJECTS)]
        crashing = 0
        if self.crashing_parts and rng.random() < CRASHING_SHARE:
            crashing = rng.choice(self.crashing_parts)
            parts.insert(rng.randrange(1, 3), crashing)
        request = SimulatedRequest(
            tuple(parts), rng.randrange(len(self.quarantines)), crashing
        )
        is_late_third = now > 2 * DURATION_S / 3
        self.sound += not crashing and is_late_third
        quarantine = self.quarantines[request.instance]
        rank = request.instance
        if find_quarantine_end(quarantine, request.parts, rank, now) is not None:
            return
        up = [replica for replica in self.replicas if replica.up_at <= now]
        if not up:
            return
        replica = rng.choice(up)
        replica.running.append(request)
        if crashing:
            self.arrived_at[crashing].append(now)
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
        if request.crashing:
            self.crashed_at[request.crashing].append(now)
            # Now and then another request has begun at the same moment.
            others = [other for other in replica.running if not other.has_event]
            begun = [request]
            if len(others) > 1 and self.rng.random() < 0.2:
                begun.append(self.rng.choice([r for r in others if r is not request]))
            self.lose_replica(replica, begun, now)
            return
        request.has_event = True
        self.sound_served += now > 2 * DURATION_S / 3
        replica.running.remove(request)
        self.record_served(request, now)

    def record_served(self, request: SimulatedRequest, now: float) -> None:
        """Clear a request's parts at its instance, and at the others if they were suspect."""
        cleared = record_served(self.quarantines[request.instance], request.parts, now)
        if cleared:
            self.announce(request.instance, cleared, now)

    def hear_loss(
        self, number: int, name: str, parts: tuple[int, ...], now: float
    ) -> None:
        """Record a loss at an instance, which tells the others what it knows is sound."""
        quarantine = self.quarantines[number]
        record_lost_replica(quarantine, name, parts, now)
        served = list_unannounced(quarantine, parts, now)
        if served:
            self.announce(number, served, now)

    def announce(self, number: int, parts: tuple[int, ...], now: float) -> None:
        """Tell the other instances that parts were answered."""
        record_announced(self.quarantines[number], parts, now)

        def hear(other: int, at: float) -> None:
            record_served(self.quarantines[other], parts, at)
            record_announced(self.quarantines[other], parts, at)

        self.tell_others(number, now, hear)

    def gossip(self, now: float) -> None:
        """Let each instance adopt the others' quarantined parts."""
        self.schedule(now + GOSSIP_INTERVAL_S, self.gossip)
        for number, quarantine in enumerate(self.quarantines):
            for part, row in quarantine.row_by_suspect.items():
                until, duration_s = row.until, row.duration_s

                def hear(
                    other: int, at: float, part=part, until=until, duration_s=duration_s
                ) -> None:
                    target = self.quarantines[other]
                    adopt_quarantine(target, part, until - now, duration_s, at)

                self.tell_others(number, now, hear)

    def lose_replica(
        self, replica: SimulatedReplica, begun: list[SimulatedRequest], now: float
    ) -> None:
        """Lose a replica; the instances of the requests that had begun report it."""
        name = f"{replica.name}/{replica.incarnation}"
        for request in begun:
            parts = request.parts
            self.hear_loss(request.instance, name, parts, now)
            self.tell_others(
                request.instance,
                now,
                lambda number, at, parts=parts: self.hear_loss(number, name, parts, at),
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

    def lose_all_replicas(self, now: float) -> None:
        """Lose all replicas at once, each with a request that has just begun."""
        for replica in self.replicas:
            if replica.up_at <= now:
                self.lose_replica(replica, replica.running[:1], now)

    def tell_others(self, sender: int, now: float, function: object) -> None:
        """Call `function` with each other instance and the time it hears of a message."""
        for number in range(len(self.quarantines)):
            if number != sender:
                at = now + self.delay_s * self.rng.random()
                self.schedule(at, lambda at, number=number: function(number, at))

"""Play a replica that starts again at another software version, and a killed machine.

Clients of the machine take their streams up again at other machines.  Rule: ORDER of the
users' news on software versions.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections import defaultdict

from deployment import Deployment, play_case
from replica import Behaviour, Replica, now_s
from taken_up import Case as StreamCase

NODES = 3
MODELS = 4
EVENTS = 50
EVENT_S = 0.05
WARM_UP_S = 5.0
# The pause between two streams of all clients, and of those of the killed machine.
INTERVAL_S = 0.5
BURST_INTERVAL_S = 0.03
BURST_S = 0.8
DOWN_S = 0.5
# Less than the pause between two heartbeats.
BEAT_AFTER_S = 1.1
KILL_AFTER_S = 2.2
AWAY_S = 3.0
# The rule's figure.
MAX_MIXED = 2


class Case(StreamCase):
    """Play the case and judge it."""

    def __init__(self, deployment: Deployment, has_trouble: bool) -> None:
        self.deployment = deployment
        self.has_trouble = has_trouble
        self.rng = random.Random()
        self.versions: dict[str, list[str]] = defaultdict(list)
        self.replicas = [
            Replica(
                f"i-{number:04x}",
                "lm-pool",
                deployment.store,
                deployment.record,
                Behaviour(
                    headers={"Keep-Alive": "timeout=1"},
                    events=EVENTS,
                    event_s=EVENT_S,
                    down_s=DOWN_S,
                    beat_after_s=BEAT_AFTER_S,
                ),
                version="v2" if number == MODELS - 1 else "v1",
            )
            for number in range(MODELS)
        ]

    async def play(self) -> int:
        """Play the case; return 1 if the rule was broken, else 0."""
        deployment = self.deployment
        for replica in self.replicas:
            await replica.start()
        await deployment.start_nodes(NODES, zones=1)
        await asyncio.sleep(3.0)
        killed, *others = deployment.nodes
        until = now_s() + WARM_UP_S + 6.0
        loads = [
            asyncio.ensure_future(self.send_paced(n, INTERVAL_S, until)) for n in others
        ]
        await asyncio.sleep(WARM_UP_S)
        if self.has_trouble:
            self.replicas[0].version = "v2"
            self.replicas[0].crash()
        began_at = now_s()
        await asyncio.sleep(DOWN_S + 0.1)
        burst_until = now_s() + BURST_S
        loads.append(
            asyncio.ensure_future(
                self.send_paced(killed, BURST_INTERVAL_S, burst_until)
            )
        )
        await asyncio.sleep(began_at + KILL_AFTER_S - now_s())
        if self.has_trouble:
            deployment.record("machine is killed", node=killed.name)
            killed.stop()
            await asyncio.sleep(AWAY_S)
            killed.start()
            deployment.record("machine starts again", node=killed.name)
        await asyncio.gather(*loads)
        return self.judge()

    async def send_paced(self, node, interval_s: float, until: float) -> None:
        """Send prompts at first to one machine."""
        tasks = []
        while now_s() < until:
            tasks.append(asyncio.ensure_future(self.follow_stream(node)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    def note_event(self, stream: str, event: bytes) -> None:
        """Note the software version of an event of a stream."""
        self.versions[stream].append(event.split(b"data: ")[1].split()[0].decode())

    def judge(self) -> int:
        """Return 1 if too many streams hold events of two versions."""
        mixed = {
            stream: [f"{n + 1}: {v}" for n, v in enumerate(found) if v != found[n - 1]]
            for stream, found in self.versions.items()
            if len(set(found)) > 1
        }
        for stream, changes in mixed.items():
            self.deployment.record("stream of two versions", stream=stream, at=changes)
        is_broken = len(mixed) > MAX_MIXED
        self.deployment.record(
            "verdict",
            streams=len(self.versions),
            streams_of_two_versions=len(mixed),
            allowed=MAX_MIXED,
            is_broken=is_broken,
        )
        return int(is_broken)


if __name__ == "__main__":
    sys.exit(asyncio.run(play_case(Case)))

"""Play a replica that leaves while a machine is partitioned from all replicas.

The platform's store is away meanwhile, so that answers alone tell of the leaving.
Rule: DRAIN of the users' news on `Server-Leaving`.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys

from deployment import Deployment, play_case
from replica import Behaviour, Replica, now_s

NODES = 3
MODELS = 4
WARM_UP_S = 4.0
# The store is away from WARM_UP_S on; the cut begins then, and the leaving a bit later.
AWAY_S = 6.5
CUT_S = 3.0
LEAVES_AFTER_S = 1.0
DURATION_S = 14.0
INTERVAL_S = 0.12
# The rule's figure.
DRAIN_S = 2.0


class Case:
    """Play the case and judge it."""

    def __init__(self, deployment: Deployment, has_trouble: bool) -> None:
        self.deployment = deployment
        self.has_trouble = has_trouble
        self.rng = random.Random(61)
        self.cut_off = ""
        self.replicas = [
            Replica(
                f"i-{number:04x}",
                "shop-app",
                deployment.store,
                deployment.record,
                Behaviour(run_s=0.02),
                model=None,
                slots=6,
            )
            for number in range(MODELS)
        ]
        for replica in self.replicas:
            replica.find_owner = deployment.find_owner
            replica.is_cut = lambda owner: owner == self.cut_off != ""

    async def play(self) -> int:
        """Play the case; return 1 if the rule was broken, else 0."""
        deployment = self.deployment
        for replica in self.replicas:
            await replica.start()
        await deployment.start_nodes(NODES, zones=1)
        await asyncio.sleep(3.0)
        began_at = now_s()
        load = asyncio.ensure_future(self.send_streams(began_at + DURATION_S))
        await asyncio.sleep(WARM_UP_S)
        if self.has_trouble:
            await self.make_trouble()
        else:
            await asyncio.sleep(LEAVES_AFTER_S)
            self.replicas[0].behaviour.headers["Server-Leaving"] = "1"
        await load
        return self.judge()

    async def make_trouble(self) -> None:
        """Take the store away, and cut one machine off while a replica leaves."""
        node, leaving = self.deployment.nodes[0], self.replicas[0]
        self.deployment.record("store goes away")
        self.deployment.store.go_away()
        self.deployment.record("machine is cut off from all replicas", node=node.name)
        self.cut_off = node.name
        for replica in self.replicas:
            replica.cut(node.name)
        await asyncio.sleep(LEAVES_AFTER_S)
        self.deployment.record("replica leaves", replica=leaving.id)
        leaving.behaviour.headers["Server-Leaving"] = "1"
        await asyncio.sleep(CUT_S - LEAVES_AFTER_S)
        self.deployment.record("cut heals", node=node.name)
        self.cut_off = ""
        await asyncio.sleep(AWAY_S - CUT_S)
        self.deployment.store.come_back()
        self.deployment.record("store comes back")

    async def send_streams(self, until: float) -> None:
        """Send prompts to one machine."""
        tasks = []
        while now_s() < until:
            node = self.deployment.nodes[0]
            tasks.append(asyncio.ensure_future(self.deployment.look_up(node)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    def judge(self) -> int:
        """Return 1 if the machine sent the leaving replica a request too late."""
        rows = [json.loads(line) for line in self.deployment.lines]
        leaving = self.replicas[0].id
        sent_at = {
            r["request"]: r["at_s"] for r in rows if r["event"] == "client sends"
        }
        passed_on_at = min(
            (
                r["at_s"]
                for r in rows
                if r["event"] == "client gets" and r["is_leaving"]
            ),
            default=None,
        )
        late = []
        if passed_on_at is not None:
            late = [
                (row["request"], sent_at[row["request"]], row["at_s"])
                for row in rows
                if row["event"] == "request reaches replica"
                and row["replica"] == leaving
                and row["machine"] == self.deployment.nodes[0].name
                and sent_at[row["request"]] > passed_on_at + DRAIN_S
            ]
        self.deployment.record(
            "verdict",
            first_answer_with_leaving_passed_on_at=passed_on_at,
            requests_sent_later_than_drain_that_reached_the_replica=late,
            is_broken=bool(late),
        )
        return int(bool(late))


if __name__ == "__main__":
    sys.exit(asyncio.run(play_case(Case)))

"""Play a machine whose connections to all replicas are reset for some seconds.

Rule: RECOVER of the users' news on machines that are partitioned from all replicas.
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
CUT_S = 9.0
DURATION_S = 15.0
INTERVAL_S = 0.2
# The rule's figures.
STABLE_WINDOW_S = 3.0
SERVED_SHARE = 2 / 3
FAILED_BASE = 10
FAILED_SHARE = 1 / 50


class Case:
    """Play the case and judge it."""

    def __init__(
        self, deployment: Deployment, is_hanging: bool, has_trouble: bool
    ) -> None:
        self.deployment = deployment
        self.has_trouble = has_trouble
        self.rng = random.Random(61)
        self.cut_off = ""
        self.cut_at = 0.0
        self.replicas = [
            Replica(
                f"i-{number:04x}",
                "lm-pool",
                deployment.store,
                deployment.record,
                Behaviour(),
                "z1",
            )
            for number in range(MODELS)
        ]
        for replica in self.replicas:
            replica.find_owner = deployment.find_owner
            replica.is_cut = lambda owner: owner == self.cut_off != ""
            replica.is_hanging = is_hanging

    async def play(self) -> int:
        """Play the case; return 1 if the rule was broken, else 0."""
        deployment = self.deployment
        for replica in self.replicas:
            await replica.start()
        await deployment.start_nodes(NODES, zones=1)
        await asyncio.sleep(3.0)
        until = now_s() + DURATION_S
        loads = [
            asyncio.ensure_future(self.send_streams(node, until))
            for node in deployment.nodes
        ]
        await asyncio.sleep(WARM_UP_S)
        self.cut_at = now_s()
        node = deployment.nodes[0].name
        if self.has_trouble:
            deployment.record("machine is cut off from all replicas", node=node)
            self.cut_off = node
            for replica in self.replicas:
                replica.cut(node)
        await asyncio.sleep(CUT_S)
        self.cut_off = ""
        deployment.record("cut heals", node=node)
        await asyncio.gather(*loads)
        return self.judge()

    async def send_streams(self, node, until: float) -> None:
        """Send prompts to a machine."""
        tasks = []
        while now_s() < until:
            parts = [f"{self.rng.randrange(1 << 32):08x}" for _ in range(3)]
            tasks.append(
                asyncio.ensure_future(self.deployment.stream(node, parts, "stream"))
            )
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    def judge(self) -> int:
        """Return 1 if first tries at the cut machine fail more often than allowed."""
        rows = [json.loads(line) for line in self.deployment.lines]
        begin, end = self.cut_at + STABLE_WINDOW_S, self.cut_at + CUT_S
        sent = {
            row["request"]: row
            for row in rows
            if row["event"] == "client sends" and begin <= row["at_s"] < end
        }
        served = {
            row["request"]
            for row in rows
            if row["event"] == "client gets" and row["is_whole"]
        }
        cut_node = self.deployment.nodes[0].name
        at_cut = [id for id, row in sent.items() if row["node"] == cut_node]
        at_others = [id for id, row in sent.items() if row["node"] != cut_node]
        failed = [id for id in at_cut if id not in served]
        share_cut = 1 - len(failed) / len(at_cut)
        share_others = sum(id in served for id in at_others) / len(at_others)
        allowed = FAILED_BASE + FAILED_SHARE * len(sent)
        is_broken = share_cut < SERVED_SHARE * share_others and len(failed) > allowed
        self.deployment.record(
            "verdict",
            first_tries_at_the_cut_machine=len(at_cut),
            failed_there=len(failed),
            allowed=allowed,
            served_share_there=round(share_cut, 3),
            served_share_at_others=round(share_others, 3),
            is_broken=is_broken,
        )
        return int(is_broken)


if __name__ == "__main__":
    sys.exit(
        asyncio.run(
            play_case(
                lambda deployment, has_trouble: Case(
                    deployment, sys.argv[2] == "hang", has_trouble
                )
            )
        )
    )

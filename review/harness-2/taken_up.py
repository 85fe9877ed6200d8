"""Play streams that clients take up again after a replica has crashed.

The replicas answer with neither a length nor chunks.  Rule: LOST of the users' news on
streams that clients take up again.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys

from deployment import Deployment, play_case
from http1 import encode, read_head, read_parts
from replica import Behaviour, Replica, now_s

NODES = 3
MODELS = 4
EVENTS = 40
EVENT_S = 0.05
WARM_UP_S = 5.0
DURATION_S = 16.0
# The pause between two streams of one machine, and between two crashes of replicas.
INTERVAL_S = 0.12
CRASH_GAP_S = 4.0
CRASHES = 2
DOWN_S = 1.0
DEADLINE_S = 12.0
MAX_TRIES = 4
# Clients abandon a stream after a gap of four times the objective here.
PATIENCE_S = 2.4
# The rule's figures.
MIN_TAKEN_UP = 12
GOES_ON_SHARE = 0.5


class Case:
    """Play the case and judge it."""

    def __init__(self, deployment: Deployment, is_unframed: bool, has_trouble: bool):
        self.deployment = deployment
        self.has_trouble = has_trouble
        self.rng = random.Random(61)
        self.replicas = [
            Replica(
                f"i-{number:04x}",
                "lm-pool",
                deployment.store,
                deployment.record,
                Behaviour(
                    is_unframed=is_unframed,
                    events=EVENTS,
                    event_s=EVENT_S,
                    down_s=DOWN_S,
                ),
                f"z{number % 3 + 1}",
            )
            for number in range(MODELS)
        ]

    async def play(self) -> int:
        """Play the case; return 1 if the rule was broken, else 0."""
        deployment = self.deployment
        for replica in self.replicas:
            await replica.start()
        await deployment.start_nodes(NODES)
        await asyncio.sleep(3.0)
        until = now_s() + DURATION_S
        loads = [
            asyncio.ensure_future(self.send_streams(node, until))
            for node in deployment.nodes
        ]
        await asyncio.sleep(WARM_UP_S)
        for number in range(CRASHES):
            if self.has_trouble:
                self.replicas[number].crash()
            await asyncio.sleep(CRASH_GAP_S)
        await asyncio.gather(*loads)
        return self.judge()

    async def send_streams(self, node, until: float) -> None:
        """Send prompts at first to one machine."""
        tasks = []
        while now_s() < until:
            tasks.append(asyncio.ensure_future(self.follow_stream(node)))
            await asyncio.sleep(INTERVAL_S * (0.75 + self.rng.random() / 2))
        await asyncio.gather(*tasks)

    async def follow_stream(self, node) -> None:
        """Ask for a stream, and take it up again at other machines if it breaks off."""
        parts = [f"{self.rng.randrange(1 << 32):08x}" for _ in range(3)]
        ends_at = now_s() + DEADLINE_S
        first_id, last_event = None, 0
        for _ in range(MAX_TRIES):
            id = self.deployment.make_id()
            if last_event:
                others = [n for n in self.deployment.nodes if n is not node]
                node = self.rng.choice(others)
            outcome, found, retry_s = await self.try_stream(
                node, id, parts, first_id, last_event, ends_at - now_s()
            )
            self.deployment.record(
                "client's try",
                node=node.name,
                request=id,
                resumes=first_id,
                after_event=last_event,
                outcome=outcome,
                last_event=found,
            )
            if found > last_event:
                first_id, last_event = first_id or id, found
            if outcome == "whole" or now_s() + retry_s >= ends_at - 0.5:
                return
            await asyncio.sleep(retry_s)

    async def try_stream(
        self, node, id: str, parts: list[str], first_id, last_event: int, left_s: float
    ) -> tuple[str, int, float]:
        """Send one try; return its outcome, its last event and the time to wait."""
        fields = self.deployment.make_prompt(id, parts)
        fields["X-Deadline-Ms"] = str(round(left_s * 1e3))
        if last_event:
            fields |= {"Last-Event-Id": str(last_event), "Resumes": first_id}
        try:
            async with asyncio.timeout(left_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.front)
                try:
                    line = "POST /lepu270/2f HTTP/1.1"
                    writer.write(encode(line, fields, parts[-1].encode()))
                    return await self.read_answer(reader, last_event, parts[-1])
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return "no answer", last_event, 0.1

    def note_event(self, stream: str, event: bytes) -> None:
        """Note an event of a stream; nothing is noted here."""

    async def read_answer(
        self, reader, last_event: int, stream: str
    ) -> tuple[str, int, float]:
        """Return the outcome of an answer, its last event and the time to wait."""
        head = await read_head(reader)
        if head is None:
            return "no answer", last_event, 0.1
        body, outcome = b"", "whole"
        parts = read_parts(reader, head)
        try:
            while True:
                async with asyncio.timeout(PATIENCE_S):
                    body += await anext(parts)
        except StopAsyncIteration:
            pass
        except (asyncio.IncompleteReadError, ConnectionError):
            outcome = "cut"
        except TimeoutError:
            outcome = "abandoned"
        if head.status != 200:
            return str(head.status), last_event, float(head.find("retry-after") or 0.1)
        for event in body.split(b"\n\n")[:-1]:
            number = int(event.split(b"\n")[0].removeprefix(b"id: "))
            if number != last_event + 1:
                return "events out of order", last_event, 0.1
            last_event = number
            self.note_event(stream, event)
        return outcome, last_event, 0.1

    def judge(self) -> int:
        """Return 1 if too few of the streams that clients take up again go on."""
        rows = [json.loads(line) for line in self.deployment.lines]
        tries = [row for row in rows if row["event"] == "client's try"]
        taken_up: dict[str, bool] = {}
        for row in tries:
            if row["resumes"]:
                goes_on = row["last_event"] > row["after_event"]
                goes_on = goes_on or row["outcome"] == "whole"
                known = taken_up.get(row["resumes"], False)
                taken_up[row["resumes"]] = known or goes_on
        new = [row["last_event"] > 0 for row in tries if not row["resumes"]]
        begins = sum(new) / len(new)
        goes_on = sum(taken_up.values()) / max(1, len(taken_up))
        is_broken = len(taken_up) >= MIN_TAKEN_UP and goes_on < GOES_ON_SHARE * begins
        self.deployment.record(
            "verdict",
            streams_taken_up_again=len(taken_up),
            share_that_goes_on=round(goes_on, 3),
            new_streams=len(new),
            share_of_new_that_begins=round(begins, 3),
            is_broken=is_broken,
        )
        return int(is_broken)


if __name__ == "__main__":
    sys.exit(
        asyncio.run(
            play_case(
                lambda deployment, has_trouble: Case(
                    deployment, sys.argv[2] == "unframed", has_trouble
                )
            )
        )
    )

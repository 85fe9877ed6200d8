"""Let the replicas of a busy service be brittle for a time; see claim.txt."""

from __future__ import annotations

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness.fleet import (
    EXIT_BROKEN,
    EXIT_HELD,
    Fleet,
    NotRun,
    Recorder,
    find_ports,
    is_trouble,
    make_config,
    make_route,
    run_case,
)
from review.harness.http import Request
from review.harness.load import make_headers, record_answer, send_at_rate
from review.harness.replica import Replica, stop_replicas
from review.harness.store import Store

ZONES = ("z1", "z2")
NODES = 4
REPLICAS = 3
SLOTS = 6
QUEUE = 24
WORK_S = 0.1
# Share of the service's capacity that the clients ask for.
LOAD = float(os.environ.get("LOAD", "0.85"))
# Requests come in groups, as in the sites' traffic.
CLUMP = 3
DEADLINE_S = 1.0
SECONDS = 28.0
BRITTLE_FROM_S = 4.0
BRITTLE_FOR_S = 20.0
STABLE_WINDOW_S = 3.0
# While brittle: how many may wait, and more than how many in a second end a replica.
BRITTLE_QUEUE = 4
BRITTLE_N = int(os.environ.get("BN", "10"))
BACK_AFTER_S = 3.0
MAX_FALLS = 2 + REPLICAS / 10


class BrittleReplica(Replica):
    """Say that it is brittle for a time, and fall over if it must reject too much."""

    brittle_from = float("inf")
    brittle_until = 0.0
    falls = 0

    def signals(self) -> dict[str, str]:
        """Return the header that says so."""
        now = asyncio.get_running_loop().time()
        is_brittle = self.brittle_from <= now < self.brittle_until
        return {"Server-Brittle": str(BRITTLE_N)} if is_brittle else {}

    def is_weak(self) -> bool:
        """Report whether it has been brittle for the time that the page grants."""
        now = asyncio.get_running_loop().time()
        return self.brittle_from + STABLE_WINDOW_S <= now < self.brittle_until

    def room(self) -> int:
        """Return how many may wait now."""
        return BRITTLE_QUEUE if self.is_weak() else self.queue

    async def turned_away(self) -> None:
        """Fall over after more than N rejections in a second."""
        if not self.is_weak() or not self.is_up:
            return
        now = asyncio.get_running_loop().time()
        recent = [at for at in getattr(self, "recent", []) if now - at <= 1.0]
        self.recent = [*recent, now]
        if len(self.recent) > BRITTLE_N:
            self.recent = []
            self.falls += 1
            self.record("fell_over", replica=self.id, running=self.running)
            restart = asyncio.get_running_loop().create_task(self._restart())
            BACKGROUND.add(restart)
            restart.add_done_callback(BACKGROUND.discard)

    async def _restart(self) -> None:
        self.crash()
        await asyncio.sleep(BACK_AFTER_S)
        await self.start()
        self.record("back", replica=self.id)


BACKGROUND: set[asyncio.Task] = set()


async def main(directory: Path) -> int:
    """Run the case."""
    rng = random.Random(1)
    record = Recorder(Path(__file__).with_name("record.txt"))
    store = Store()
    fleet = Fleet(directory, ZONES, record)
    replicas: list[BrittleReplica] = []
    served: list[bool] = []
    loop = asyncio.get_running_loop()

    async def send_one(id: str) -> None:
        headers = make_headers("h2.example", id, DEADLINE_S)
        request = Request("POST", "/order/1", headers, b"{}")
        zone = rng.choice(ZONES)
        record("sent", id=id, kind="order", zone=zone)
        answer = await fleet.call(zone, request, DEADLINE_S, rng)
        record_answer(record, id, "order", answer)
        served.append(answer.status == 200 and answer.is_complete)

    async def send_group(number: int) -> None:
        await asyncio.gather(*(send_one(f"c{number}-{n}") for n in range(CLUMP)))

    try:
        order = {
            "kind": "non_idempotent",
            "service": "app",
            "timeout_ms": DEADLINE_S * 1e3,
            "target_latency_ms": 200,
            "priority": 2,
        }
        routes = [make_route("order", "h2.example", "/order/", **order)]
        store.put("config", "main", make_config(routes))
        (store_port,) = find_ports(1)
        await store.open_port(store_port)
        for number, port in enumerate(find_ports(REPLICAS)):
            zone = ZONES[number % len(ZONES)]
            id = f"i-a{number}"
            replica = BrittleReplica(
                store, record, id, "app", zone, port, SLOTS, QUEUE, WORK_S
            )
            replicas.append(replica)
            await replica.start()
        for number in range(NODES):
            fleet.add_node(f"front-{number}", ZONES[number % len(ZONES)], store_port)
        await fleet.start()
        began_at = loop.time()
        if is_trouble():
            for replica in replicas:
                replica.brittle_from = began_at + BRITTLE_FROM_S
                replica.brittle_until = replica.brittle_from + BRITTLE_FOR_S
        groups_per_s = LOAD * REPLICAS * SLOTS / WORK_S / CLUMP
        await send_at_rate(groups_per_s, began_at + SECONDS, send_group, rng)
        return judge(record, replicas, served)
    finally:
        fleet.stop()
        for task in list(BACKGROUND):
            task.cancel()
        await stop_replicas(replicas)
        record.close()


def judge(record: Recorder, replicas: list[BrittleReplica], served: list[bool]) -> int:
    """Return the exit status: whether LIMIT was broken."""
    falls = sum(replica.falls for replica in replicas)
    rejected = sum(row["event"] == "turned_away" for row in record.rows)
    record(
        "judged",
        requests=len(served),
        served=sum(served),
        turned_away=rejected,
        falls=falls,
    )
    print(record.rows[-1])
    if sum(served) < len(served) / 2 and not falls:
        raise NotRun("most requests failed without a fall")
    return EXIT_BROKEN if falls > MAX_FALLS else EXIT_HELD


if __name__ == "__main__":
    sys.exit(run_case(main))

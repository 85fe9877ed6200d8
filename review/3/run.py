"""Give the address of a lost engine to a replica of another service; see claim.txt."""

from __future__ import annotations

import asyncio
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
from review.harness.load import read_stream, send_at_rate
from review.harness.replica import HEARTBEAT_S, Replica, stop_replicas
from review.harness.store import Store

ZONES = ("z1", "z2")
NODES = 4
ENGINES = 6
APPS = 3
SECONDS = 14.0
STREAMS_PER_S = 20.0
STREAM_TIMEOUT_S = 12.0
LOST_AFTER_S = 4.0
REUSE_AFTER_S = 2.0
# A lost replica's entry goes after three heartbeats of silence.
LAPSE_S = 3 * HEARTBEAT_S


async def main(directory: Path) -> int:
    """Run the case."""
    rng = random.Random(1)
    record = Recorder(Path(__file__).with_name("record.txt"))
    store = Store()
    fleet = Fleet(directory, ZONES, record)
    replicas: list[Replica] = []
    whole: list[bool] = []

    async def send(number: int) -> None:
        zone = rng.choice(ZONES)
        events = await read_stream(fleet, record, number, zone, STREAM_TIMEOUT_S, rng)
        whole.append(len(events) == replicas[0].events)

    async def lose_engine() -> None:
        lost = replicas[0]
        await asyncio.sleep(LOST_AFTER_S)
        record("lost", replica=lost.id, port=lost.port)
        lost.crash()
        await asyncio.sleep(REUSE_AFTER_S)
        next_one = Replica(store, record, "i-a9", "app", "z1", lost.port, 6, 24)
        replicas.append(next_one)
        await next_one.start()
        record("address_reused", replica=next_one.id, port=next_one.port)
        await asyncio.sleep(LAPSE_S - REUSE_AFTER_S)
        record("entry_lapsed", replica=lost.id)
        store.remove("servers", lost.id)

    try:
        stream = {
            "kind": "streaming",
            "service": "pool",
            "timeout_ms": STREAM_TIMEOUT_S * 1e3,
            "target_latency_ms": 600,
            "gap_aim_ms": 250,
            "max_attempts": 2,
            "priority": 1,
            "sticky": True,
            "resumable": True,
        }
        routes = [make_route("long", "h1.example", "/long/", **stream)]
        store.put("config", "main", make_config(routes))
        store.put("versions", "m0", {"model": "m0", "version": 1})
        (store_port,) = find_ports(1)
        await store.open_port(store_port)
        for number, port in enumerate(find_ports(ENGINES + APPS)):
            is_engine = number < ENGINES
            id = f"i-m{number}" if is_engine else f"i-a{number}"
            service, slots, queue = ("pool", 32, 96) if is_engine else ("app", 6, 24)
            zone = ZONES[number % len(ZONES)]
            replica = Replica(store, record, id, service, zone, port, slots, queue)
            replica.is_engine = is_engine
            replicas.append(replica)
            await replica.start()
        for number in range(NODES):
            fleet.add_node(f"front-{number}", ZONES[number % len(ZONES)], store_port)
        await fleet.start()
        until = asyncio.get_running_loop().time() + SECONDS
        tasks = [send_at_rate(STREAMS_PER_S, until, send, rng)]
        if is_trouble():
            tasks.append(lose_engine())
        await asyncio.gather(*tasks)
        return judge(record, whole)
    finally:
        fleet.stop()
        await stop_replicas(replicas)
        record.close()


def judge(record: Recorder, whole: list[bool]) -> int:
    """Return the exit status: whether UNASKED was broken."""
    sent = {row["id"] for row in record.rows if row["event"] == "sent"}
    runs = [row for row in record.rows if row["event"] == "run"]
    unasked = [row for row in runs if row["id"] not in sent]
    record(
        "judged",
        streams=len(whole),
        whole=sum(whole),
        runs=len(runs),
        runs_that_nobody_asked_for=len(unasked),
        of_them=sorted({f"{row['method']} {row['target']}" for row in unasked}),
    )
    print(record.rows[-1])
    if sum(whole) < len(whole) / 2:
        raise NotRun("most streams failed")
    return EXIT_BROKEN if unasked else EXIT_HELD


if __name__ == "__main__":
    sys.exit(run_case(main))

"""Let one replica send bytes without end in a body; see claim.txt."""

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
from review.harness.http import Request, encode_chunk, encode_head
from review.harness.load import (
    make_headers,
    make_prompt_headers,
    record_answer,
    send_at_rate,
)
from review.harness.replica import Replica, stop_replicas
from review.harness.store import Store

ZONES = ("z1", "z2")
NODES = 4
SECONDS = 40.0
STREAMS_PER_S = 8.0
LOOKUPS_PER_S = 30.0
STREAM_TIMEOUT_S = 12.0
LOOKUP_TIMEOUT_S = 0.8
LOOKUP_DEADLINE_S = 2.5
SLACK_S = 0.5
# One of five replicas spoils one answer in 50 while the disruption lasts.
FAULTY_SHARE_OF_ANSWERS = 0.02
TROUBLE_FROM_S = 4.0
TROUBLE_FOR_S = 30.0
# A piece of text as long as those of the sites' streams, 65 bytes on average.
PIECE = b"0123456789abcdef" * 4
OUTPUT_TOKENS = 160
MIN_COUNT = 8
MIN_SHARE = 0.25


class SpoilingReplica(Replica):
    """Send, in some answers, bytes that are no event, until the caller closes."""

    answers = 0
    spoils_until = 0.0
    spoils_from = 0.0

    async def send_stream(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Send a stream, or bytes without end."""
        now = asyncio.get_running_loop().time()
        if self.spoils_from <= now < self.spoils_until:
            self.answers += 1
            if self.answers % round(1 / FAULTY_SHARE_OF_ANSWERS) == 1:
                await self._send_without_end(request, writer)
                return
        await super().send_stream(request, writer)

    async def _send_without_end(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        id = request.headers.get("x-request-id")
        self.record("bytes_without_end", id=id, replica=self.id)
        writer.write(encode_head(200, self.stream_headers(request)))
        while True:
            writer.write(encode_chunk(PIECE) * 16)
            await writer.drain()
            await asyncio.sleep(0.002)


async def send_stream(fleet: Fleet, record: Recorder, number: int, rng) -> None:
    """Send one request on the streaming route and record its answer."""
    id = f"s{number}"
    headers = make_headers("h1.example", id, STREAM_TIMEOUT_S)
    headers |= make_prompt_headers(number, OUTPUT_TOKENS)
    request = Request("POST", "/long/1", headers, f"prompt {number}".encode())
    zone = rng.choice(ZONES)
    record("sent", id=id, kind="stream", zone=zone)
    answer = await fleet.call(zone, request, STREAM_TIMEOUT_S, rng)
    record_answer(record, id, "stream", answer)


async def send_lookup(fleet: Fleet, record: Recorder, number: int, rng) -> None:
    """Send one request on the idempotent route and record its answer."""
    id = f"l{number}"
    headers = make_headers("h2.example", id, LOOKUP_DEADLINE_S)
    request = Request("GET", "/lookup/1", headers)
    zone = rng.choice(ZONES)
    record("sent", id=id, kind="lookup", zone=zone)
    answer = await fleet.call(zone, request, LOOKUP_DEADLINE_S, rng)
    record_answer(record, id, "lookup", answer)


def judge(record: Recorder) -> int:
    """Return the exit status: whether CONFIG was broken for the lookups."""
    rows = [r for r in record.rows if r["event"] == "answered"]
    lookups = [r for r in rows if r["kind"] == "lookup"]
    answered = [r for r in lookups if r["is_complete"]]
    long = [
        r
        for r in lookups
        if not (r["is_complete"] and r["seconds"] <= LOOKUP_TIMEOUT_S)
        and r["error"] in ("", "timeout")
    ]
    late = [
        r
        for r in long
        if not r["is_complete"] or r["seconds"] > LOOKUP_TIMEOUT_S + SLACK_S
    ]
    spoilt = sum(r["event"] == "bytes_without_end" for r in record.rows)
    record(
        "judged",
        lookups=len(lookups),
        answered=len(answered),
        longer_than_timeout=len(long),
        unanswered_half_a_second_later=len(late),
        answers_without_end=spoilt,
    )
    print(record.rows[-1])
    if len(answered) < len(lookups) / 2 and not is_trouble():
        raise NotRun("most lookups failed without the disruption")
    is_broken = len(late) >= MIN_COUNT and len(late) > MIN_SHARE * len(long)
    return EXIT_BROKEN if is_broken else EXIT_HELD


async def main(directory: Path) -> int:
    """Run the case."""
    rng = random.Random(1)
    record = Recorder(Path(__file__).with_name("record.txt"))
    store = Store()
    fleet = Fleet(directory, ZONES, record)
    replicas: list[Replica] = []
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
        lookup = {
            "kind": "idempotent",
            "service": "app",
            "timeout_ms": LOOKUP_TIMEOUT_S * 1e3,
            "target_latency_ms": 125,
            "max_attempts": 2,
            "priority": 2,
        }
        routes = [
            make_route("long", "h1.example", "/long/", **stream),
            make_route("lookup", "h2.example", "/lookup/", **lookup),
        ]
        store.put("config", "main", make_config(routes))
        store.put("versions", "m0", {"model": "m0", "version": 1})
        (store_port,) = find_ports(1)
        await store.open_port(store_port)
        for number, port in enumerate(find_ports(5)):
            kind = SpoilingReplica if number == 0 else Replica
            zone = ZONES[number % len(ZONES)]
            replica = kind(store, record, f"i-m{number}", "pool", zone, port, 32, 96)
            replica.is_engine = True
            replicas.append(replica)
        for number, port in enumerate(find_ports(3)):
            zone = ZONES[number % len(ZONES)]
            replicas.append(
                Replica(store, record, f"i-a{number}", "app", zone, port, 6, 24)
            )
        for replica in replicas:
            await replica.start()
        for number in range(NODES):
            fleet.add_node(f"front-{number}", ZONES[number % len(ZONES)], store_port)
        await fleet.start()
        now = asyncio.get_running_loop().time()
        if is_trouble():
            replicas[0].spoils_from = now + TROUBLE_FROM_S
            replicas[0].spoils_until = now + TROUBLE_FROM_S + TROUBLE_FOR_S
        until = now + SECONDS
        await asyncio.gather(
            send_at_rate(
                STREAMS_PER_S, until, lambda n: send_stream(fleet, record, n, rng), rng
            ),
            send_at_rate(
                LOOKUPS_PER_S, until, lambda n: send_lookup(fleet, record, n, rng), rng
            ),
        )
        return judge(record)
    finally:
        fleet.stop()
        await stop_replicas(replicas)
        record.close()


if __name__ == "__main__":
    sys.exit(run_case(main))

"""Measure how the cost of shared state grows with the number of table entries.

Most figures are slopes over several sizes, measured in one process on generated tables;
the costs of idle agents are measured on real processes.  Writes build/state.json.
"""

from __future__ import annotations

import json
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from catkintrack import decisions, limits
from catkintrack.cli.output import format_rows
from catkintrack.config import (
    ConfigChange,
    ConfigState,
    Put,
    apply_change,
    compile_tables,
)
from catkintrack.decisions.residency import add_cached_blocks, find_cached_depths
from catkintrack.links import (
    CacheEvents,
    ConfigChanges,
    Envelope,
    Heartbeat,
    LoadReport,
    LoadReports,
    MemberNews,
    PrefillNews,
    decode_envelope,
    encode_envelope,
)
from catkintrack.membership import MemberTable, merge_news, run_detector
from testkit.caller import call_http
from testkit.configs import make_config, make_workspace
from testkit.decision_tables import make_blocks, make_request, make_tables
from testkit.fleet import call_json, open_fleet

BUILD = Path(__file__).resolve().parent.parent / "build"
REPEATS = 200


def time_call(call: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Return the seconds per call, the median of five rounds of `repeats` calls."""
    rounds = []
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(repeats):
            call()
        rounds.append((time.perf_counter() - started) / repeats)
    return sorted(rounds)[2]


def measure_bytes(build: Callable[[], Any]) -> float:
    """Return the memory in bytes of the object that `build` returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(after - before)


def fit_slope(points: list[tuple[int, float]]) -> tuple[float, float]:
    """Return the intercept and slope of the least-squares line through `points`."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    below = sum((x - mean_x) ** 2 for x, _ in points)
    slope = above / below
    return mean_y - slope * mean_x, slope


def make_news(number: int) -> MemberNews:
    """Return the membership news of one member."""
    return MemberNews(
        f"i{number}", 10**12, 0, True, f"z{number % 9}", "10.0.0.1", 8090, "10.0.0.1", 1
    )


def make_members(count: int) -> MemberTable:
    """Return a table of `count` live members."""
    members = MemberTable(make_news(0))
    merge_news(members, [make_news(n) for n in range(1, count)], 0.0)
    return members


def compute_message_size(body: Any) -> int:
    """Return the bytes of an encoded message, without ZeroMQ's framing."""
    return len(encode_envelope(Envelope("instance-1", 10**12, body)))


def measure_membership(counts: list[int]) -> list[dict]:
    """Measure the failure detector's time per tick, its messages and its memory."""
    ticks, messages, memory = [], [], []
    for count in counts:
        members = make_members(count)
        members.pending_news.clear()
        rng = Random(1)
        clock = [0.0]

        def run_tick(members=members, rng=rng, clock=clock) -> int:
            clock[0] += 0.1
            for row in members.member_by_instance.values():
                row.last_alive_at = clock[0]
            return len(run_detector(members, clock[0], rng))

        def refresh(members=members, clock=clock) -> None:
            for row in members.member_by_instance.values():
                row.last_alive_at = clock[0]

        sent = sum(run_tick() for _ in range(100)) / 10.0
        ticks.append((count, time_call(run_tick, 20) - time_call(refresh, 20)))
        messages.append((count, sent))
        memory.append((count, measure_bytes(lambda count=count: make_members(count))))
    return [
        make_row("membership: one tick (10 a second)", "s", "member", ticks),
        make_row(
            "membership: heartbeats sent a second", "messages", "member", messages
        ),
        make_row("membership: table", "bytes", "member", memory),
    ]


def make_row(name: str, unit: str, per: str, points: list[tuple[int, float]]) -> dict:
    """Return one measurement with the slope over `points`."""
    base, slope = fit_slope(points)
    return {
        "what": name,
        "unit": unit,
        "per": per,
        "base": base,
        "slope": slope,
        "points": points,
    }


def measure_decisions(counts: list[int]) -> list[dict]:
    """Measure the time of a placement decision by the number of upstreams."""
    points = []
    for count in counts:
        tables = make_tables(upstreams=count, max_running=16)
        blocks = make_blocks(1, 20)
        for row in list(tables.upstream_by_name.values())[::7]:
            add_cached_blocks(tables.residency, row.bit_index, blocks[:10])
        place = decisions.POLICY_BY_NAME["catkintrack"]
        request = make_request("r", blocks=blocks)
        rng = Random(1)
        call = lambda t=tables, r=request, g=rng, p=place: p(t, r, 0.0, g)  # noqa: E731
        points.append((count, time_call(call, 50)))
    return [make_row("placement: one decision", "s", "upstream", points)]


def measure_residency(counts: list[int]) -> list[dict]:
    """Measure the memory and the access times of the table of cached blocks."""

    def build(count: int) -> decisions.Residency:
        residency = decisions.Residency(max_blocks=10**9)
        add_cached_blocks(residency, 3, make_blocks(1, count))
        return residency

    memory = [(n, measure_bytes(lambda n=n: build(n))) for n in counts]
    blocks = make_blocks(1, 1000)
    residency = build(counts[-1])
    event = time_call(lambda: add_cached_blocks(residency, 5, blocks), 20) / 1000
    chain = make_blocks(1, 32)
    depth = time_call(lambda: find_cached_depths(residency, chain))
    return [
        make_row("cached blocks: table", "bytes", "block", memory),
        make_point("cached blocks: one event", "s", event),
        make_point("cached blocks: look up 32 blocks", "s", depth),
    ]


def make_point(name: str, unit: str, value: float) -> dict:
    """Return one measurement at a single size."""
    return {"what": name, "unit": unit, "per": "", "base": value, "slope": 0.0}


def measure_limits(counts: list[int]) -> list[dict]:
    """Measure the memory and time of quota shares by the number of workspaces."""

    def build(count: int) -> limits.ShareHolder:
        holder = limits.ShareHolder("i0", 1)
        spec = limits.LimitSpec(1000.0, 1000.0)
        holder.shares.spec_by_workspace = {f"w{n}": spec for n in range(count)}
        for name in holder.shares.spec_by_workspace:
            limits.refresh_share(holder.shares, name, 0.0).parts = 1000
        return holder

    memory = [(n, measure_bytes(lambda n=n: build(n))) for n in counts]
    holder = build(counts[-1])
    clock = iter(range(10**9))
    debit = time_call(lambda: limits.debit(holder.shares, "w1", 1, float(next(clock))))
    ledgers = []
    for count in counts:
        names = [f"w{n}" for n in range(count)]
        members = {f"i{n}": 1 for n in range(400)}
        ledger = limits.build_ledger(limits.Ledger(), 1, members, {}, (), names)
        ledgers.append((count, float(len(limits.encode_ledger(ledger)))))
    return [
        make_row("limits: shares", "bytes", "workspace", memory),
        make_point("limits: one debit", "s", debit),
        make_row("limits: ledger of 400 members", "bytes", "workspace", ledgers),
    ]


def measure_config(counts: list[int]) -> list[dict]:
    """Measure compiling and changing a configuration by the number of upstreams."""
    compiled, changed, memory, recompiled = [], [], [], []
    for count in counts:
        ports = {f"e{n}": 1000 + n % 60000 for n in range(count)}
        kinds = make_config({"w1": make_workspace()}, ports)
        state = ConfigState(1, kinds)
        compiled.append((count, time_call(lambda s=state: compile_tables(s), 1)))
        change = ConfigChange(
            2, "c", puts=(Put("tier", "t", {"weight": 1, "priority": 1}),)
        )
        changed.append(
            (count, time_call(lambda s=state, c=change: apply_change(s, c), 20))
        )
        after = apply_change(state, change).unwrap()
        tables = compile_tables(state).unwrap()
        again = lambda a=after, s=state, t=tables: compile_tables(a, s, t)  # noqa: E731
        recompiled.append((count, time_call(again, 5)))
        memory.append(
            (count, measure_bytes(lambda s=state: compile_tables(s).unwrap()))
        )
    return [
        make_row("configuration: compile all tables", "s", "upstream", compiled),
        make_row(
            "configuration: compile after one change", "s", "upstream", recompiled
        ),
        make_row("configuration: apply one change", "s", "upstream", changed),
        make_row("configuration: compiled tables", "bytes", "upstream", memory),
    ]


def measure_messages() -> list[dict]:
    """Measure the size and the encoding plus decoding time of messages."""
    put = Put("workspace", "w1", make_workspace())
    load = LoadReport("upstream-12", "abcdef012345", "v1", 9, 1, 4000, 256, False, 0.4)
    bodies = {
        "heartbeat with one news": Heartbeat(1000, 0.1, 10, (make_news(1),)),
        "one change": ConfigChanges(
            (ConfigChange(1000, "a" * 32, "operator", (put,)),)
        ),
        "one load report": LoadReports((load,)),
        "one cache event of ten": CacheEvents(
            "upstream-12", "abcdef012345", False, make_blocks(1, 10), ()
        ),
        "prefill news of 20 blocks": PrefillNews(
            "a" * 32, "upstream-12", make_blocks(1, 20), 5000, 5
        ),
    }
    rows = []
    for name, body in bodies.items():
        data = encode_envelope(Envelope("instance-1", 10**12, body))
        coding = time_call(lambda b=body: compute_message_size(b)) + time_call(
            lambda d=data: decode_envelope(d)
        )
        rows.append(make_point(f"message: {name}", "bytes", float(len(data))))
        rows.append(make_point(f"message: code {name}", "s", coding))
    return rows


def measure_processes(instances: list[int], idle_s: float) -> list[dict]:
    """Measure the platform calls, mesh bytes, CPU time and memory of idle agents."""
    calls, traffic, cpu, memory = [], [], [], []
    for count in instances:
        with open_fleet() as fleet:
            fleet.start_platform()
            for number in range(2):
                fleet.start_engine(f"e{number}")
            kinds = make_config({"w1": make_workspace()}, fleet.engine_port_by_name)
            fleet.apply_config(kinds)
            for number in range(count):
                fleet.make_node(f"n{number:02}", f"z{number % 3}")
            fleet.publish_instances()
            for node in fleet.node_by_name.values():
                node.agent.start()
            time.sleep(4.0)
            before = read_usage(fleet)
            time.sleep(idle_s)
            after = read_usage(fleet)
        spent = [(after[i] - before[i]) / idle_s / count for i in range(3)]
        calls.append((count, spent[0]))
        traffic.append((count, spent[1]))
        cpu.append((count, spent[2]))
        memory.append((count, after[3]))
    return [
        make_row("idle agent: platform calls a second", "calls", "instance", calls),
        make_row("idle agent: mesh bytes sent a second", "bytes", "instance", traffic),
        make_row("idle agent: processor time a second", "s", "instance", cpu),
        make_row("idle agent: resident memory", "bytes", "instance", memory),
    ]


def read_usage(fleet: Any) -> tuple[float, float, float, float]:
    """Return all agents' platform calls, mesh bytes, CPU seconds and largest memory."""
    counts = call_json(fleet.platform_port, "/counts")
    sent = cpu = memory = 0.0
    ticks = 100.0
    for node in fleet.node_by_name.values():
        pid = node.agent.popen.pid
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        cpu += (int(fields[11]) + int(fields[12])) / ticks
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        memory = max(memory, pages * float(resource.getpagesize()))
        sent += read_mesh_bytes(node)
    return float(sum(counts.values())), sent, cpu, memory


def read_mesh_bytes(node: Any) -> float:
    """Return the bytes that an agent has sent over the mesh."""
    page = call_http(node.agent_ops_port, "GET", "/metrics").body.decode()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in page.splitlines()
        if line.startswith("catkintrack_agent_mesh_bytes_total{")
        and 'direction="sent"' in line
    )


def main(idle_s: float = 6.0, processes: bool = True) -> None:
    """Measure and print everything."""
    rows = measure_membership([8, 16, 32, 64, 400])
    rows += measure_decisions([11, 50, 100, 200, 375])
    rows += measure_residency([10_000, 50_000, 100_000])
    rows += measure_limits([5, 100, 300, 630])
    rows += measure_config([10, 100, 1000, 12_000])
    rows += measure_messages()
    if processes:
        rows += measure_processes([4, 8, 16], float(idle_s))
    BUILD.mkdir(exist_ok=True)
    (BUILD / "state.json").write_text(json.dumps(rows, indent=1) + "\n")
    shown = [
        {
            "what": row["what"],
            "unit": row["unit"],
            "base": f"{row['base']:.4g}",
            "slope": f"{row['slope']:.4g}",
            "per": row["per"],
            "points": ", ".join(f"{x}: {y:.4g}" for x, y in row.get("points", [])),
        }
        for row in rows
    ]
    print(format_rows(shown))


if __name__ == "__main__":
    fire.Fire(main)

"""Measure the times of changes, key withdrawals, failures and restarts.

Runs real processes.  Writes build/times.json.
"""

from __future__ import annotations

import json
import statistics
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from catkintrack.cli.output import format_rows
from testkit.caller import BackgroundCall, call_chat
from testkit.cases import make_long_answer_chat
from testkit.configs import make_config, make_key_entity, make_workspace
from testkit.fleet import Fleet, open_fleet, wait_until

BUILD = Path(__file__).resolve().parent.parent / "build"
CHANGES = 8
WITHDRAWALS = 4
CHAT = make_long_answer_chat()


def start_fleet(fleet: Fleet, instances: int) -> None:
    """Start a fleet with engines and with the keys to withdraw."""
    fleet.settings["logging"] = {"level": "WARNING"}
    fleet.start_platform()
    for number in range(3):
        fleet.start_engine(f"e{number}")
    kinds = make_config({"w1": make_workspace()}, fleet.engine_port_by_name)
    for number in range(WITHDRAWALS):
        key = make_key(number)
        kinds["key"][key.split("_")[1]] = make_key_entity("w1", key)
    fleet.apply_config(kinds)
    for number in range(instances):
        fleet.make_node(f"n{number}", f"z{number % 3}")
    fleet.publish_instances()
    fleet.start_nodes()


def make_key(number: int) -> str:
    """Return one of the API keys to withdraw."""
    return f"ck_{number:08d}_{'k' * 40}"


def time_change(fleet: Fleet, rate: int) -> float:
    """Return the seconds from the acceptance of a change until all routers have it."""
    before = fleet.dump_router("n0")["revision"]
    fleet.run_cli("workspace", "set", "w1", "--rate", str(rate))
    accepted = time.monotonic()
    wait_until(
        lambda: all(
            fleet.dump_router(name)["revision"] > before for name in fleet.node_by_name
        )
    )
    return time.monotonic() - accepted


def time_withdrawal(fleet: Fleet, number: int) -> float:
    """Return the seconds from the end of the withdraw command until a stream is cut."""
    started = threading.Event()
    port = next(iter(fleet.node_by_name.values())).listen_port
    call = BackgroundCall(
        lambda: call_chat(
            port, make_key(number), CHAT, 48, on_event=lambda _: started.set()
        )
    )
    started.wait(20)
    fleet.run_cli("key", "withdraw", f"{number:08d}")
    accepted = time.monotonic()
    call.join()
    return max(0.0, time.monotonic() - accepted)


def time_restart(fleet: Fleet, names: list[str], with_agents: bool) -> float:
    """Return the seconds from killing processes until all `names` are ready again."""
    nodes = [fleet.node_by_name[name] for name in names]
    for node in nodes:
        node.router.kill()
        if with_agents:
            node.agent.kill()
    started = time.monotonic()
    for node in nodes:
        if with_agents:
            node.agent.start()
        node.router.start()
    wait_until(lambda: all(node.is_ready() for node in nodes))
    return time.monotonic() - started


def time_death(fleet: Fleet, name: str) -> float:
    """Return the seconds from killing an agent until all others declare it dead."""
    fleet.node_by_name[name].agent.kill()
    killed = time.monotonic()
    others = [other for other in fleet.node_by_name if other != name]

    def is_known() -> bool:
        for other in others:
            for row in fleet.dump_agent(other)["members"]:
                if row["instance"] == name and row["state"] != "dead":
                    return False
        return True

    wait_until(is_known)
    elapsed = time.monotonic() - killed
    fleet.node_by_name[name].agent.start()
    time.sleep(2.0)
    return elapsed


def make_row(name: str, instances: int, times: list[float]) -> dict[str, object]:
    """Return one measurement: the median and the worst of `times`."""
    return {
        "what": name,
        "instances": instances,
        "runs": len(times),
        "median_s": round(statistics.median(times), 3),
        "worst_s": round(max(times), 3),
    }


def measure(instances: int) -> list[dict[str, object]]:
    """Measure all times on a fleet of `instances` instances."""
    with open_fleet() as fleet:
        start_fleet(fleet, instances)
        names = list(fleet.node_by_name)

        def row(label: str, runs: int, call: Callable[[int], float]) -> dict:
            return make_row(label, instances, [call(n) for n in range(runs)])

        rows = [
            row("change in force on all routers", CHANGES, lambda n: time_change(fleet, 1000 + n)),
            row("death known to all agents", 2, lambda n: time_death(fleet, names[-1 - n])),
            row("one router restarted", 3, lambda n: time_restart(fleet, names[n : n + 1], False)),
            row("half of the routers restarted", 2, lambda n: time_restart(fleet, names[n::2], False)),
            row("one instance restarted", 2, lambda n: time_restart(fleet, names[n : n + 1], True)),
            row("all instances restarted", 1, lambda n: time_restart(fleet, names, True)),
        ]  # fmt: skip
        for name in fleet.engine_port_by_name:
            fleet.set_engine_faults(name, speed=0.02)
        rows.append(
            row(
                "withdrawal cuts a stream",
                WITHDRAWALS,
                lambda n: time_withdrawal(fleet, n),
            )
        )
        for name in fleet.engine_port_by_name:
            fleet.set_engine_faults(name, speed=1.0)
        fleet.set_platform_faults(is_down=True)
        time.sleep(1.0)
        rows.append(
            row(
                "one instance restarted, platform down",
                2,
                lambda n: time_restart(fleet, names[n : n + 1], True),
            )
        )
    return rows


def main() -> None:
    """Measure at four and eight instances and print a table."""
    rows = measure(4) + measure(8)
    BUILD.mkdir(exist_ok=True)
    (BUILD / "times.json").write_text(json.dumps(rows, indent=1) + "\n")
    print(format_rows(rows))


if __name__ == "__main__":
    fire.Fire(main)

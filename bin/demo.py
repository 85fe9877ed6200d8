"""Run a whole fleet on this machine and send it a mixed load.

With `--serve`, the fleet runs without a load until Ctrl-C.
"""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

import curio
import fire

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from catkintrack.cli.output import format_rows
from loadtool.client import Outcome, replay
from loadtool.measures import compute_percentile
from loadtool.workloads import BLOMAVEFUR, CASES, generate_trace, replace_request_rate
from testkit.configs import make_api_key, make_config, make_workspace
from testkit.fleet import HOST, Fleet, open_fleet

ENGINES = 3
INSTANCES = 3
ZONES = ("z1", "z2")
DURATION_S = 10.0
REQUESTS_PER_S = 8.0


def start_fleet(fleet: Fleet) -> None:
    """Start the simulated systems, then an agent and a router on each instance."""
    fleet.start_platform()
    for number in range(ENGINES):
        fleet.start_engine(f"engine-{number}")
    fleet.start_service("orders")
    workspaces = {
        name: make_workspace("paid" if name in BLOMAVEFUR.paid_workspaces else "free")
        for name in BLOMAVEFUR.histories_by_workspace
    }
    # A low limit, so that some requests are refused.
    workspaces["b5"] = make_workspace("free", rate=500, burst=8000)
    kinds = make_config(
        workspaces, fleet.engine_port_by_name, fleet.service_port_by_name, ZONES
    )
    fleet.apply_config(kinds)
    for number in range(INSTANCES):
        fleet.make_node(f"instance-{number}", ZONES[number % len(ZONES)])
    fleet.publish_instances()
    fleet.start_nodes()


def describe_fleet(fleet: Fleet) -> str:
    """Return a table of the addresses that the processes listen on."""
    rows = [
        {
            "instance": node.name,
            "zone": node.zone,
            "callers": f"http://{HOST}:{node.listen_port}/v1",
            "router ops": f"{HOST}:{node.router_ops_port}",
            "agent ops": f"{HOST}:{node.agent_ops_port}",
        }
        for node in fleet.node_by_name.values()
    ]
    return format_rows(rows)


def send_load(fleet: Fleet) -> list[Outcome]:
    """Send requests with shared prefixes through all routers for `DURATION_S`."""
    site = replace_request_rate(BLOMAVEFUR, REQUESTS_PER_S)
    rows = generate_trace(site, CASES["calm"], 1, DURATION_S)
    keys = {name: make_api_key(name) for name in site.histories_by_workspace}
    ports = tuple(node.listen_port for node in fleet.node_by_name.values())
    return curio.run(replay, rows, keys, ports, 1, [])


def summarise(fleet: Fleet, outcomes: list[Outcome]) -> str:
    """Return the outcomes by workspace and the totals, as text."""
    rows = []
    for name in BLOMAVEFUR.histories_by_workspace:
        own = [o for o in outcomes if o.row.workspace == name]
        times = [o.first_token_s for o in own if o.first_token_s is not None]
        rows.append(
            {
                "workspace": name,
                "tier": "paid" if name in BLOMAVEFUR.paid_workspaces else "free",
                "requests": len(own),
                "whole and right": sum(o.is_correct for o in own),
                "refused over limit": sum(o.status == 429 for o in own),
                "first token p50 s": round(compute_percentile(times, 0.5), 3),
                "first token p99 s": round(compute_percentile(times, 0.99), 3),
            }
        )
    counts = [fleet.read_engine_counts(name) for name in fleet.engine_port_by_name]
    prompt = sum(count["prompt_tokens"] for count in counts)
    hit = sum(count["hit_tokens"] for count in counts)
    leaked = sum(count["leaked_keys"] for count in counts)
    return "\n".join(
        (
            format_rows(rows),
            f"prompt tokens {prompt}, found cached {hit} ({hit / max(1, prompt):.1%})",
            f"keys seen by upstreams: {leaked}",
        )
    )


def wait_for_interrupt() -> None:
    """Wait for Ctrl-C or SIGTERM."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        return


def main(serve: bool = False) -> int:
    """Run the demonstration.

    Args:
        serve: Leave the fleet running instead of sending a load.
    """
    with open_fleet() as fleet:
        start_fleet(fleet)
        print(describe_fleet(fleet))
        if serve:
            print(f"platform: {HOST}:{fleet.platform_port}")
            print(f"a caller's key: {make_api_key('b1')}")
            print("Ctrl-C stops everything")
            wait_for_interrupt()
            return 0
        outcomes = send_load(fleet)
        print(summarise(fleet, outcomes))
        wrong = sum(o.status == 200 and not o.is_correct for o in outcomes)
        exits = [node.router.stop() for node in fleet.node_by_name.values()]
        print(f"wrong or cut answers: {wrong}; routers' exit statuses: {exits}")
        return 1 if wrong or any(exits) else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main, serialize=lambda _: ""))

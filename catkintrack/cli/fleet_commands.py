"""Show the configuration revisions, readiness and state of processes."""

from __future__ import annotations

from typing import Any

from fire.decorators import SetParseFn

from .calls import fetch_ops_json, parse_address
from .output import ExitStatus, fail, format_rows, print_result


@SetParseFn(str, "ops")
def status(ops: str, json: bool = False) -> None:
    """Show each process's revision and readiness.

    Exit with status 1 unless all processes are ready and have the same revision.

    Args:
        ops: Operator endpoints as IP:PORT, comma-separated.
        json: Print JSON.
    """
    rows = [_describe_process(name) for name in ops.split(",")]
    print_result(rows, json, format_rows(rows))
    revisions = {row["revision"] for row in rows}
    if len(revisions) > 1 or not all(row["is_ready"] for row in rows):
        raise SystemExit(int(ExitStatus.REFUSED))


@SetParseFn(str, "ops")
def dump(ops: str) -> None:
    """Print the state dump of one process as JSON."""
    state = fetch_ops_json(parse_address(ops), "/dump")
    if state is None:
        fail(ExitStatus.UNAVAILABLE, [f"{ops}: no answer"])
    print_result(state, True, "")


def _describe_process(name: str) -> dict[str, Any]:
    address = parse_address(name)
    state = fetch_ops_json(address, "/dump")
    readiness = fetch_ops_json(address, "/ready")
    if state is None or readiness is None:
        return {
            "ops": name,
            "process": "?",
            "instance": "?",
            "zone": "?",
            "revision": None,
            "is_ready": False,
        }
    return {
        "ops": name,
        "process": state["process"],
        "instance": state["instance"],
        "zone": state["zone"],
        "revision": state["revision"],
        "is_ready": readiness["is_ready"],
    }

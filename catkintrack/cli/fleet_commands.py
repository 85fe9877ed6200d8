"""Look at the fleet: which revision is in force where, and any process's state."""

from __future__ import annotations

from typing import Any

from fire.decorators import SetParseFn

from .calls import fetch_page, parse_address
from .output import ExitStatus, fail, format_rows, print_result


@SetParseFn(str, "ops")
def status(ops: str, json: bool = False) -> None:
    """Show each process's revision and readiness.

    Args:
        ops: Operators' endpoints, IP:PORT, comma-separated.
        json: Print JSON.
    """
    rows = [_describe(name) for name in ops.split(",")]
    print_result(rows, json, format_rows(rows))
    revisions = {row["revision"] for row in rows}
    if len(revisions) > 1 or not all(row["is_ready"] for row in rows):
        raise SystemExit(int(ExitStatus.REFUSED))


@SetParseFn(str, "ops")
def dump(ops: str) -> None:
    """Print one process's state as JSON."""
    page = fetch_page(parse_address(ops), "/dump")
    if page is None:
        fail(ExitStatus.UNAVAILABLE, [f"{ops}: no answer"])
    print_result(page, True, "")


def _describe(name: str) -> dict[str, Any]:
    address = parse_address(name)
    page = fetch_page(address, "/dump")
    ready = fetch_page(address, "/ready")
    if page is None or ready is None:
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
        "process": page["process"],
        "instance": page["instance"],
        "zone": page["zone"],
        "revision": page["revision"],
        "is_ready": ready["is_ready"],
    }

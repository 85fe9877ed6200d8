"""Build decision tables and requests for tests and measurements."""

from __future__ import annotations

from catkintrack.decisions import ModelRequest, Tables, UpstreamRow
from catkintrack.decisions.tables import add_upstream, ensure_workspace


def make_tables(
    upstreams: int = 3, max_running: int = 4, weights: dict[str, float] | None = None
) -> Tables:
    """Return tables with upstreams u0, u1, ... that serve the model m1."""
    tables = Tables()
    for number in range(upstreams):
        row = UpstreamRow(f"u{number}", 0, "z1", frozenset({"m1"}), max_running)
        add_upstream(tables, row)
    for name, weight in (weights or {"w1": 1.0}).items():
        ensure_workspace(tables, name).weight = weight
    return tables


def make_request(
    id: str,
    workspace: str = "w1",
    blocks: tuple[int, ...] = (),
    arrived_at: float = 0.0,
    queue_timeout_s: float = 10.0,
    prompt_tokens: int | None = None,
    priority: int = 5,
    model: str = "m1",
    excluded: frozenset[str] = frozenset(),
    is_retry: bool = False,
) -> ModelRequest:
    """Return a request whose prompt is `blocks`, by default plus 10 tokens."""
    return ModelRequest(
        id=id,
        workspace=workspace,
        model=model,
        blocks=blocks,
        prompt_tokens=prompt_tokens or 256 * len(blocks) + 10,
        max_tokens=16,
        priority=priority,
        arrived_at=arrived_at,
        deadline=arrived_at + queue_timeout_s,
        excluded=excluded,
        is_retry=is_retry,
    )


def make_blocks(seed: int, count: int) -> tuple[int, ...]:
    """Return block hashes that differ by seed."""
    return tuple(seed * 1_000_003 + depth * 7919 + 1 for depth in range(count))

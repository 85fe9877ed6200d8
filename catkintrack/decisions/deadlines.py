"""Bound the deadlines of queued requests while a process stops."""

from __future__ import annotations

from dataclasses import replace

from .tables import ModelRequest, Tables


def bound_deadlines(tables: Tables, dispatches_until: float) -> None:
    """Bound the deadlines of requests that are queued now or later.

    `dispatches_until` is in seconds, as the deadlines are.
    """
    tables.dispatches_until = dispatches_until
    queues = [row.waiting for row in tables.workspace_by_name.values()]
    for queue in (tables.retries, *queues):
        for position in range(len(queue)):
            queue[position] = bound_deadline(tables, queue[position])


def bound_deadline(tables: Tables, request: ModelRequest) -> ModelRequest:
    """Return a request whose deadline is no later than the last dispatch."""
    if request.deadline <= tables.dispatches_until:
        return request
    return replace(request, deadline=tables.dispatches_until)

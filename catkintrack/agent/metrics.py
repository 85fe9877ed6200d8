"""Define the metrics of an agent."""

from __future__ import annotations

from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Registry

from catkintrack.processes import make_metric_factories


@dataclass(slots=True)
class AgentMetrics:
    """Hold the metrics of an agent and their registry."""

    registry: Registry
    revision: Gauge
    members_alive: Gauge
    keys_current: Gauge
    platform_calls: Counter
    mesh_messages: Counter
    mesh_bytes: Counter
    reservations: Counter
    recounts: Counter
    refused_changes: Counter
    event_gaps: Counter


def make_agent_metrics() -> AgentMetrics:
    """Return the metrics of a new agent in a registry of their own."""
    registry = Registry()
    counter, gauge = make_metric_factories(registry, "catkintrack_agent")
    return AgentMetrics(
        registry=registry,
        revision=gauge("revision", "Configuration revision in force."),
        members_alive=gauge("members_alive", "Members believed to live."),
        keys_current=gauge("keys_current", "1 when withdrawn keys are known."),
        platform_calls=counter("platform_calls_total", "Calls to the platform."),
        mesh_messages=counter("mesh_messages_total", "Messages to and from peers."),
        mesh_bytes=counter("mesh_bytes_total", "Bytes to and from peers."),
        reservations=counter("reservations_total", "Token reservations by outcome."),
        recounts=counter("recounts_total", "Recounts of shares by outcome."),
        refused_changes=counter("refused_changes_total", "Changes not put in force."),
        event_gaps=counter("event_gaps_total", "Gaps in engines' cache events."),
    )

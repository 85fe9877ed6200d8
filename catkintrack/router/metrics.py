"""Define the metrics of a router."""

from __future__ import annotations

from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Histogram, Registry

from catkintrack.processes import make_metric_factories

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.43, 1.0, 2.0, 5.0, 10.0, 30.0)


@dataclass(slots=True)
class RouterMetrics:
    """Hold a router's metrics and the registry that exports them."""

    registry: Registry
    requests: Counter
    prompt_tokens: Counter
    hit_tokens: Counter
    recomputed_tokens: Counter
    first_token_seconds: Histogram
    refusals: Counter
    retries: Counter
    resumed_streams: Counter
    cancelled_calls: Counter
    open_calls: Gauge
    waiting_calls: Gauge
    revision: Gauge


def make_router_metrics() -> RouterMetrics:
    """Return new metrics in a separate registry."""
    registry = Registry()
    counter, gauge = make_metric_factories(registry, "catkintrack")
    return RouterMetrics(
        registry=registry,
        requests=counter("requests_total", "Calls by route and status."),
        prompt_tokens=counter("prompt_tokens_total", "Prompt tokens served."),
        hit_tokens=counter("hit_tokens_total", "Prompt tokens found cached."),
        recomputed_tokens=counter(
            "recomputed_tokens_total",
            "Tokens prefilled though another replica had them.",
        ),
        first_token_seconds=Histogram(
            "catkintrack_first_token_seconds",
            "Time to first token by workspace and tier.",
            registry=registry,
            buckets=(*SECONDS_BUCKETS, float("inf")),
        ),
        refusals=counter("refusals_total", "Refusals by workspace and code."),
        retries=counter("retries_total", "Attempts after the first."),
        resumed_streams=counter(
            "resumed_streams_total", "Streams continued elsewhere."
        ),
        cancelled_calls=counter("cut_calls_total", "Calls cut for a withdrawn key."),
        open_calls=gauge("open_calls", "Calls in progress."),
        waiting_calls=gauge("waiting_calls", "Model calls that wait."),
        revision=gauge("revision", "Configuration revision in force."),
    )

"""Define an instance's metrics."""

from __future__ import annotations

from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Histogram, Registry

from catkintrack.processes import make_metric_factories

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 5.0, 15.0)


@dataclass(slots=True)
class InstanceMetrics:
    """Hold an instance's metrics and their registry."""

    registry: Registry
    requests: Counter
    first_byte_seconds: Histogram
    read_delay_seconds: Histogram
    slow_reader_bytes: Gauge
    slow_readers_closed: Counter
    retries: Counter
    retry_budget: Gauge
    resumed_streams: Counter
    life_checks: Counter
    prompt_tokens: Counter
    hit_tokens: Counter
    orders: Counter
    leaving_replicas: Counter
    rests: Counter
    named_limits: Gauge
    brittle_replicas: Gauge
    brittle_rejections: Counter
    limited_requests: Counter
    store_errors: Counter
    failed_wait_seconds: Gauge
    waiting_calls: Gauge
    quarantined_parts: Gauge
    config_revision: Gauge
    watched_kinds: Gauge
    overdue_changes: Counter
    pulls: Counter
    config_held_back: Gauge
    store_era: Gauge
    peers: Gauge
    relayed_calls: Counter
    is_cut_off: Gauge
    zone_calls: Counter
    zone_share: Gauge
    admission_refusals: Counter
    prefill_rates: Gauge
    held_memory: Gauge
    rollout_share: Gauge
    rollout_answers: Counter
    rollout_steps: Counter


def make_instance_metrics() -> InstanceMetrics:
    """Return a new set of metrics in a registry of its own."""
    registry = Registry()
    counter, gauge = make_metric_factories(registry, "catkintrack")
    return InstanceMetrics(
        registry=registry,
        requests=counter("requests_total", "Calls by route and outcome."),
        first_byte_seconds=Histogram(
            "catkintrack_first_byte_seconds",
            "Time to an answer or its first event, by route.",
            registry=registry,
            buckets=(*SECONDS_BUCKETS, float("inf")),
        ),
        read_delay_seconds=Histogram(
            "catkintrack_read_delay_seconds",
            "Time that calls waited to be read after they had arrived.",
            registry=registry,
            buckets=(*SECONDS_BUCKETS, float("inf")),
        ),
        slow_reader_bytes=gauge(
            "slow_reader_bytes", "Bytes held for peers that read slowly."
        ),
        slow_readers_closed=counter(
            "slow_readers_closed_total",
            "Callers given up as readers, by reason.",
        ),
        retries=counter(
            "retries_total", "Retries by service and outcome: allowed, refused."
        ),
        retry_budget=gauge(
            "retry_budget", "Retries that the budget allows now, by service."
        ),
        resumed_streams=counter("resumed_streams_total", "Streams continued."),
        life_checks=counter(
            "life_checks_total",
            "Reports fetched to confirm a replica's life, by doubt and outcome.",
        ),
        prompt_tokens=counter("prompt_tokens_total", "Prompt tokens placed."),
        hit_tokens=counter("hit_tokens_total", "Prompt tokens believed cached."),
        orders=counter("orders_total", "Orders to replicas, by outcome."),
        leaving_replicas=counter(
            "leaving_replicas_total", "Replicas that said they leave, by service."
        ),
        rests=counter("rests_total", "Rests of replicas, by event: begun, over."),
        named_limits=gauge("named_limits", "Replicas that name a limit."),
        brittle_replicas=gauge("brittle_replicas", "Replicas that are brittle."),
        brittle_rejections=counter(
            "brittle_rejections_total",
            "Rejections for want of room by brittle replicas.",
        ),
        limited_requests=counter(
            "limited_requests_total", "Requests sent to replicas that name a limit."
        ),
        store_errors=counter("store_errors_total", "Failed calls, by kind."),
        failed_wait_seconds=gauge(
            "store_failed_wait_seconds", "Wait of the last failed call, by kind."
        ),
        quarantined_parts=gauge("quarantined_parts", "Quarantined contents and parts."),
        waiting_calls=gauge("waiting_calls", "Model calls that wait."),
        config_revision=gauge("config_revision", "Configuration in force."),
        watched_kinds=gauge(
            "watched_kinds", "1 while this instance watches the store, by kind."
        ),
        overdue_changes=counter(
            "overdue_changes_total", "Changes that peers did not send in time, by kind."
        ),
        pulls=counter("pulls_total", "Requests to peers for changes, by kind."),
        config_held_back=gauge(
            "config_held_back", "1 while the store has an older one than is in force."
        ),
        store_era=gauge("store_era", "Highest era of the store seen."),
        peers=gauge("peers_heard", "Peers heard of late."),
        relayed_calls=counter("relayed_calls_total", "Calls served through a peer."),
        is_cut_off=gauge("is_cut_off", "1 while no replica is reached."),
        zone_calls=counter(
            "zone_calls_total", "Attempts by service and choice: home, other."
        ),
        zone_share=gauge(
            "zone_share", "Share of calls that may leave, by service and zone."
        ),
        admission_refusals=counter(
            "admission_refusals_total",
            "Calls that could not be finished in time, by priority and workspace.",
        ),
        prefill_rates=gauge(
            "prefill_tokens_per_second",
            "Estimated rates of the replicas now: min, mean, max.",
        ),
        held_memory=gauge(
            "held_memory_ratio",
            "Part of the replicas' memory that requests hold: mean, max.",
        ),
        rollout_share=gauge(
            "rollout_share", "Share of calls for an ordered version, by service."
        ),
        rollout_answers=counter(
            "rollout_answers_total", "Answers during orders, by version and outcome."
        ),
        rollout_steps=counter(
            "rollout_steps_total", "Steps of the holder, by service, phase and state."
        ),
    )

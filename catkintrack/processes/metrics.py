"""Create metrics in a given registry."""

from __future__ import annotations

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Registry

CounterFactory = Callable[[str, str], Counter]
GaugeFactory = Callable[[str, str], Gauge]


def make_metric_factories(
    registry: Registry, prefix: str
) -> tuple[CounterFactory, GaugeFactory]:
    """Return functions that create counters and gauges named with a prefix."""

    def counter(name: str, doc: str) -> Counter:
        return Counter(f"{prefix}_{name}", doc, registry=registry)

    def gauge(name: str, doc: str) -> Gauge:
        return Gauge(f"{prefix}_{name}", doc, registry=registry)

    return counter, gauge

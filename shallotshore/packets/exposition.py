"""Renders counters, gauges and latency histograms in the text format of Prometheus."""

from __future__ import annotations

__all__ = ["render_metrics"]

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

if TYPE_CHECKING:
    from prometheus_client.core import Metric

    from shallotshore.packets.agent import PacketAgent
    from shallotshore.packets.balancer import PacketBalancer

_PREFIX = "shallotshore"


class _Collector:
    """Reads the present values of a core at each scrape."""

    __slots__ = ("_core",)

    def __init__(self, core: PacketAgent | PacketBalancer) -> None:
        self._core = core

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics of the core."""
        events = CounterMetricFamily(f"{_PREFIX}_events", "Events by name.", labels=["name"])
        for name, count in sorted(self._core.counters.snapshot().items()):
            events.add_metric([name], count)
        yield events
        feeds = GaugeMetricFamily(f"{_PREFIX}_feed_revision", "Revision held.", labels=["feed"])
        for copy in (self._core.feeds.operator, self._core.feeds.upstreams):
            feeds.add_metric([copy.feed.name.lower()], copy.revision)
        yield feeds
        eras = GaugeMetricFamily(f"{_PREFIX}_store_era", "Era of the store.", labels=["feed"])
        for copy in (self._core.feeds.operator, self._core.feeds.upstreams):
            eras.add_metric([copy.feed.name.lower()], copy.era)
        yield eras
        flows = GaugeMetricFamily(f"{_PREFIX}_flows", "Flows known.")
        flows.add_metric([], len(self._core.state.flows))
        yield flows
        latency = HistogramMetricFamily(
            f"{_PREFIX}_latency_seconds", "Latency by kind and route.", labels=["kind", "route"]
        )
        for kind, route, buckets, total in self._core.latencies.buckets():
            latency.add_metric([kind, route], buckets, total)
        yield latency


def render_metrics(core: PacketAgent | PacketBalancer) -> str:
    """Returns all metrics of a core in the text format of Prometheus."""
    registry = CollectorRegistry()
    registry.register(_Collector(core))
    return generate_latest(registry).decode()

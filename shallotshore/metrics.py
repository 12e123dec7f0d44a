"""Sends counters to statsd, and keeps latency histograms per customer and service."""

__all__ = ["Latencies", "Metrics", "RequestTimer", "make_label_function"]

import re
from collections import OrderedDict
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import statsd
from hdrh.histogram import HdrHistogram

from shallotshore.caller_messages import CallerAnswer, CallerRequest, FabricPacket
from shallotshore.messages import Address, Message
from shallotshore.systems import Counters

OTHER_LABEL = "other"
_MAX_LABELS = 128  # a histogram takes about 6 KB, so all of them together stay under 1 MB
_MAX_LATENCY_MS = 60_000  # a longer latency is recorded as this one
_SIGNIFICANT_DIGITS = 2  # decimal digits of a recorded latency
_MAX_PENDING_REQUESTS = 65_536  # beyond this number, the oldest request is not measured
_PERCENTILES = (50, 99)
_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")  # statsd splits a name into levels at dots


def make_label_function(core: object) -> Callable[[Address], str]:
    """Returns a function that labels a service's address with its customer and service.

    Args:
        core: A core whose `state` holds a catalog, in which the address is looked up; with any
            other core every label is `other`.
    """
    catalog = getattr(getattr(core, "state", None), "catalog", None)
    return lambda vip: _look_up_label(catalog, vip)


def _look_up_label(catalog: Any, vip: Address) -> str:
    route = catalog.route(vip) if catalog is not None else None
    if route is None:
        return OTHER_LABEL
    names = (catalog.name(route.customer), catalog.name(route.service))
    return ".".join(_UNSAFE_CHARACTERS.sub("_", name) for name in names)


class Latencies:
    """One latency histogram per label; labels beyond the limit share the label `other`."""

    __slots__ = ("_histograms", "_max_labels")

    def __init__(self, max_labels: int = _MAX_LABELS) -> None:
        """Creates a set without histograms.

        Args:
            max_labels: Greatest number of labels besides `other`.
        """
        self._max_labels = max_labels
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, label: str, latency_ms: int) -> None:
        """Records a latency in milliseconds."""
        if label not in self._histograms and len(self._histograms) >= self._max_labels:
            label = OTHER_LABEL
        histogram = self._histograms.get(label)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_LATENCY_MS, _SIGNIFICANT_DIGITS)
            self._histograms[label] = histogram
        histogram.record_value(min(max(latency_ms, 1), _MAX_LATENCY_MS))

    def summary(self) -> dict[str, dict[str, int]]:
        """Returns the count and percentiles (ms) of each label."""
        return {
            label: {
                "count": histogram.get_total_count(),
                **{f"p{p}": histogram.get_value_at_percentile(p) for p in _PERCENTILES},
            }
            for label, histogram in self._histograms.items()
        }


class RequestTimer:
    """Measures, in this process, the time from a request to the first part of its answer."""

    __slots__ = ("_find_label", "_latencies", "_pending")

    def __init__(self, latencies: Latencies, find_label: Callable[[Address], str]) -> None:
        """Creates a timer without pending requests.

        Args:
            latencies: Histograms that the measured times are recorded in.
            find_label: Returns the label of a service's address.
        """
        self._latencies = latencies
        self._find_label = find_label
        self._pending: OrderedDict[tuple[Address, bytes], int] = OrderedDict()

    def observe_message(self, message: Message, now: int) -> None:
        """Starts or ends the measurement of a request whose message arrives or leaves.

        Args:
            message: Any message; all but requests and answers in fabric packets are ignored.
            now: Monotonic time in milliseconds.
        """
        if isinstance(message, FabricPacket):
            self._observe_payload(message.payload, message.vip, now)

    @singledispatchmethod
    def _observe_payload(self, payload: Message, vip: Address, now: int) -> None:
        """Ignores a payload that is neither a request nor an answer."""

    @_observe_payload.register
    def _(self, payload: CallerRequest, vip: Address, now: int) -> None:
        self._pending.setdefault((vip, payload.request), now)
        if len(self._pending) > _MAX_PENDING_REQUESTS:
            self._pending.popitem(last=False)

    @_observe_payload.register
    def _(self, payload: CallerAnswer, vip: Address, now: int) -> None:
        start = self._pending.pop((vip, payload.request), None)
        if start is not None:
            self._latencies.record(self._find_label(vip), now - start)


class Metrics:
    """Sends the increase of each counter since the last flush, and the latencies, to statsd."""

    __slots__ = ("_client", "_counters", "_latencies", "_sent_counts")

    def __init__(
        self, client: statsd.StatsClient | None, counters: Counters, latencies: Latencies
    ) -> None:
        """Creates a sender.

        Args:
            client: statsd client, or None to send nothing.
            counters: Counters of the process.
            latencies: Histograms of the process.
        """
        self._client = client
        self._counters = counters
        self._latencies = latencies
        self._sent_counts: dict[str, int] = {}

    def flush(self) -> None:
        """Sends the increases and the latency percentiles as one batch of datagrams."""
        if self._client is None:
            return
        counts = self._counters.snapshot()
        with self._client.pipeline() as pipeline:
            for name, count in counts.items():
                increase = count - self._sent_counts.get(name, 0)
                if increase:
                    pipeline.incr(name, increase)
            for label, values in self._latencies.summary().items():
                for percentile in _PERCENTILES:
                    pipeline.gauge(f"latency.{label}.p{percentile}", values[f"p{percentile}"])
        self._sent_counts = counts

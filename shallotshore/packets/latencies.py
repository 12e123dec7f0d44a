"""Latency histograms by kind and route, with a limit on the number of label sets."""

from __future__ import annotations

__all__ = ["Latencies"]

from collections import deque
from typing import Any

MAX_LABELS = 64  # pairs of kind and route; further routes are counted as the route "other"
MAX_QUEUED_VALUES = 10_000  # when the queue is full, the oldest value is dropped
MAX_LATENCY_MS = 120_000  # a longer latency is recorded as this one
SIGNIFICANT_DIGITS = 2  # decimal digits of a recorded latency
BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)
_OTHER_ROUTE = "other"


class Latencies:
    """Latency histograms, each created with the first value of its kind and route.

    Values are only queued until `update_histograms` runs, which loads the histogram library.
    Loading the library with the first value would delay the first packets.
    """

    __slots__ = ("_histograms", "_queued_values")

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], Any] = {}
        self._queued_values: deque[tuple[str, str, int]] = deque(maxlen=MAX_QUEUED_VALUES)

    def record(self, kind: str, route: str, latency_ms: int) -> None:
        """Queues a latency in ms for its histogram."""
        self._queued_values.append((kind, route, latency_ms))

    def update_histograms(self) -> None:
        """Moves the queued values into the histograms."""
        while self._queued_values:
            kind, route, latency_ms = self._queued_values.popleft()
            histogram = self._find_histogram(kind, route)
            histogram.record_value(max(1, min(latency_ms, MAX_LATENCY_MS)))

    def _find_histogram(self, kind: str, route: str) -> Any:
        label = (kind, route)
        if label not in self._histograms and len(self._histograms) >= MAX_LABELS:
            label = (kind, _OTHER_ROUTE)
        if label not in self._histograms:
            from hdrh.histogram import HdrHistogram

            self._histograms[label] = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
        return self._histograms[label]

    def buckets(self) -> list[tuple[str, str, list[tuple[str, float]], float]]:
        """Returns kind, route, cumulative counts by upper bound in s, and the sum in s."""
        self.update_histograms()
        series = []
        for (kind, route), histogram in sorted(self._histograms.items()):
            counts = dict.fromkeys(BUCKET_BOUNDS_MS, 0)
            total_ms = 0.0
            for item in histogram.get_recorded_iterator():
                total_ms += item.value_iterated_to * item.count_at_value_iterated_to
                for bound in BUCKET_BOUNDS_MS:
                    if item.value_iterated_to <= bound:
                        counts[bound] += item.count_at_value_iterated_to
            rows = [(str(bound / 1000), float(count)) for bound, count in counts.items()]
            rows.append(("+Inf", float(histogram.get_total_count())))
            series.append((kind, route, rows, total_ms / 1000))
        return series

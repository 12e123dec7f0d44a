"""Histograms of latency by kind and route, with a bound on the number of labels."""

from __future__ import annotations

__all__ = ["Latencies"]

from collections import deque
from typing import Any

LABEL_LIMIT = 64  # kinds times routes; further routes are counted as "other"
RECENT_LIMIT = 10_000  # values kept between two calls of `sort_in`
LONGEST_MS = 120_000
DIGITS = 2  # significant digits kept
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)
_OTHER = "other"


class Latencies:
    """Histograms, made when the first value of a label is sorted in.

    Values are kept until `sort_in`: the library is loaded then, after the first packets.
    """

    __slots__ = ("_histograms", "_recent")

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], Any] = {}
        self._recent: deque[tuple[str, str, int]] = deque(maxlen=RECENT_LIMIT)

    def record(self, kind: str, route: str, latency: int) -> None:
        """Adds a latency in ms."""
        self._recent.append((kind, route, latency))

    def sort_in(self) -> None:
        """Moves recorded values into the histograms."""
        while self._recent:
            kind, route, latency = self._recent.popleft()
            histogram = self._histogram(kind, route)
            histogram.record_value(max(1, min(latency, LONGEST_MS)))

    def _histogram(self, kind: str, route: str) -> Any:
        label = (kind, route)
        if label not in self._histograms and len(self._histograms) >= LABEL_LIMIT:
            label = (kind, _OTHER)
        if label not in self._histograms:
            from hdrh.histogram import HdrHistogram

            self._histograms[label] = HdrHistogram(1, LONGEST_MS, DIGITS)
        return self._histograms[label]

    def buckets(self) -> list[tuple[str, str, list[tuple[str, float]], float]]:
        """Returns kind, route, cumulative counts by upper bound in s, and the sum in s."""
        self.sort_in()
        found = []
        for (kind, route), histogram in sorted(self._histograms.items()):
            counts = dict.fromkeys(BOUNDS_MS, 0)
            total = 0.0
            for item in histogram.get_recorded_iterator():
                total += item.value_iterated_to * item.count_at_value_iterated_to
                for bound in BOUNDS_MS:
                    if item.value_iterated_to <= bound:
                        counts[bound] += item.count_at_value_iterated_to
            rows = [(str(bound / 1000), float(count)) for bound, count in counts.items()]
            rows.append(("+Inf", float(histogram.get_total_count())))
            found.append((kind, route, rows, total / 1000))
        return found

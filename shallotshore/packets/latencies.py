"""Histograms of latency by kind and route, with a bound on the number of labels."""

from __future__ import annotations

__all__ = ["Latencies"]

from typing import Any

LABEL_LIMIT = 64  # kinds times routes; further routes are counted as "other"
LONGEST_MS = 120_000
DIGITS = 2  # significant digits kept
BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)
_OTHER = "other"


class Latencies:
    """Histograms, made when the first value of a label comes."""

    __slots__ = ("_histograms",)

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], Any] = {}

    def record(self, kind: str, route: str, latency: int) -> None:
        """Adds a latency in ms."""
        label = (kind, route)
        histogram = self._histograms.get(label)
        if histogram is None:
            if len(self._histograms) >= LABEL_LIMIT:
                label = (kind, _OTHER)
            # Loaded with the first value, which is after the first packet.
            from hdrh.histogram import HdrHistogram

            histogram = HdrHistogram(1, LONGEST_MS, DIGITS)
            histogram = self._histograms.setdefault(label, histogram)
        histogram.record_value(max(1, min(latency, LONGEST_MS)))

    def buckets(self) -> list[tuple[str, str, list[tuple[str, float]], float]]:
        """Returns kind, route, cumulative counts by upper bound in s, and the sum in s."""
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

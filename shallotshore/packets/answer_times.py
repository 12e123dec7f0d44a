"""Times that requests take at an upstream, as its agent observes them."""

from __future__ import annotations

__all__ = ["AnswerTimes"]

from collections import deque

from shallotshore.scheduling.median import median

MAX_SAMPLES = 33  # about a second of an upstream's requests


class AnswerTimes:
    """Expected time from the offer of a flow to the answer to its first request.

    Both parts are medians, since a few requests take many times as long as the others, and some
    clients open flows long before they send a request.
    """

    __slots__ = ("_answer_ms", "_expected_ms", "_request_delay_ms")

    def __init__(self) -> None:
        self._answer_ms: deque[int] = deque(maxlen=MAX_SAMPLES)
        self._request_delay_ms: deque[int] = deque(maxlen=MAX_SAMPLES)
        self._expected_ms: float | None = None

    def record_answer(self, latency_ms: int) -> None:
        """Records the time from a request to the first byte of its answer."""
        self._answer_ms.append(latency_ms)
        self._expected_ms = None

    def record_request_delay(self, delay_ms: int) -> None:
        """Records the time from the offer of a flow to its first request."""
        self._request_delay_ms.append(delay_ms)
        self._expected_ms = None

    def forget(self) -> None:
        """Drops the answer times, which a restarted upstream need not keep to."""
        self._answer_ms.clear()
        self._expected_ms = None

    @property
    def answer_ms(self) -> float:
        """Median time from a request to its answer; 0.0 when not known."""
        return float(median(self._answer_ms)) if self._answer_ms else 0.0

    @property
    def expected_ms(self) -> float:
        """Expected time from the offer of a flow to the answer; 0.0 when not known."""
        if self._expected_ms is None:
            delay_ms = float(median(self._request_delay_ms)) if self._request_delay_ms else 0.0
            self._expected_ms = self.answer_ms + delay_ms
        return self._expected_ms

"""Measures which share of its requests an upstream has failed recently."""

__all__ = ["FailureShare"]

HALF_LIFE_MS = 2_000  # an upstream that works again gets its share of new flows within seconds
MIN_FAILURES = 2.0  # decayed count; a single failure says nothing about the upstream
MAX_EXTRA_REQUESTS_PER_SLOT = 4.0  # added to the load of an upstream that fails every request


class FailureShare:
    """Decaying counts of answers and failures.

    A failure is a flow whose opening packet the upstream returns, or that the upstream resets while
    the client waits for an answer. An upstream that fails its requests quickly has few of them in
    flight, and would attract new flows if only its real load were reported.
    """

    __slots__ = ("_answers", "_decayed_at", "_failures")

    def __init__(self) -> None:
        self._answers = 0.0
        self._failures = 0.0
        self._decayed_at = 0

    def record_answer(self, now: int) -> None:
        """Counts an answer."""
        self._decay(now)
        self._answers += 1

    def record_failure(self, now: int) -> None:
        """Counts a failure."""
        self._decay(now)
        self._failures += 1

    def extra_load(self, slots: int, now: int) -> int:
        """Returns the requests to add to the reported load, so that other upstreams are preferred.

        Args:
            slots: Requests that the upstream works on at the same time.
            now: Time in ms.

        Returns:
            A number of requests; 0 while there are too few failures to judge.
        """
        self._decay(now)
        if self._failures < MIN_FAILURES:
            return 0
        return round(
            MAX_EXTRA_REQUESTS_PER_SLOT * slots * self._failures / (self._failures + self._answers)
        )

    def _decay(self, now: int) -> None:
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_MS)
        self._decayed_at = now
        self._answers *= factor
        self._failures *= factor

"""Counts how often an upstream fails what it is given, and forgets it with time."""

__all__ = ["FailureShare"]

HALF_LIFE_MS = 2_000  # an upstream that works again gets its share of new flows within seconds
MIN_FAILURES = 2.0  # decayed; a single failure says nothing of the upstream
MAX_EXTRA_REQUESTS_PER_SLOT = (
    4.0  # requests per slot that an upstream which fails everything seems to have in hand
)


class FailureShare:
    """Decaying counts of answers and failures.

    A failure is a flow that the upstream returns when it is opened, or resets while its client
    waits for an answer. An upstream that fails fast has little in hand and would draw new flows.
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
        """Returns the requests to report beside those in hand, so that others are preferred.

        Args:
            slots: Requests that the upstream works on at the same time.
            now: Time in ms.
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

"""Cold-start ramp: how much one incarnation of the upstream is given."""

__all__ = ["Ramp"]

from collections import deque
from statistics import median

from shallotshore.catalog import UpstreamView

TIMES_KEPT = 31  # service times behind the moving median
TIMES_NEEDED = 8  # fewer say too little about the usual service time
SLOW_FACTOR = 3  # times the median
BEYOND_LONGEST = 1.5  # times the longest one kept, as services differ in spread
SLOW_IN_A_ROW = 2  # slow requests alone that show it: a collapsing server may not even shed
COLD_EVIDENCE_WINDOW = 1_000  # ms within which slow and failed answers count as one sign
FAILURES_IN_A_ROW = 3  # refusals alone that show a limit above what the upstream bears
OPEN_WINDOW = 1_000  # ms
OPENS_PER_SLOT = 1  # flows a second, as many as requests at once


class Ramp:
    """Limit of concurrent requests of one upstream incarnation.

    It starts at the record's cold limit and opens one slot for each step of the warm-up time; a
    failed answer starts the step again.
    """

    __slots__ = (
        "_failed_at",
        "_failures",
        "_opens",
        "_slow_at",
        "_slow_row",
        "_step_began",
        "_steps",
        "_times",
    )

    def __init__(self) -> None:
        self._times: deque[int] = deque(maxlen=TIMES_KEPT)
        self._opens: deque[int] = deque()
        self.restart(0)

    def restart(self, now: int) -> None:
        """Starts again from the cold limit."""
        self._steps = 0
        self._step_began = now
        self._failures = 0
        self._slow_at: int | None = None
        self._slow_row = 0
        self._failed_at: int | None = None
        self._times.clear()

    def limit(self, record: UpstreamView) -> int:
        """Returns how many requests may run at once."""
        return min(record.slots, max(1, record.cold_limit) + self._steps)

    def is_warm(self, record: UpstreamView) -> bool:
        """Returns whether all steps of the warm-up are done."""
        return self._steps >= _step_count(record)

    def advance(self, record: UpstreamView, now: int) -> None:
        """Completes a step when its time has passed without a failed answer."""
        if not self.is_warm(record) and now - self._step_began >= record.warmup:
            self._steps += 1
            self._step_began = now

    def note_good(self, took: int) -> None:
        """Notes the service time (ms) of a successful answer that was not slow."""
        self._failures = 0
        self._times.append(took)

    def is_slow(self, took: int) -> bool:
        """Returns whether a request that takes so long (ms) is far slower than usual."""
        if len(self._times) < TIMES_NEEDED:
            return False
        usual = max(1.0, median(self._times))
        return took > max(SLOW_FACTOR * usual, BEYOND_LONGEST * max(self._times))

    def note_slow(self, now: int) -> bool:
        """Notes a slow request; returns whether the upstream shows that it turned cold."""
        is_recent = self._slow_at is not None and now - self._slow_at < COLD_EVIDENCE_WINDOW
        self._slow_row = self._slow_row + 1 if is_recent else 1
        self._slow_at = now
        return self._has_turned_cold(now)

    def note_failed(self, now: int) -> bool:
        """Notes a shed or failed answer; returns whether the upstream shows that it turned cold."""
        self._step_began = now
        self._failures += 1
        self._failed_at = now
        return self._has_turned_cold(now)

    def usual_time(self) -> float:
        """Returns the moving median of the service time in ms; 0 while too little is known."""
        return median(self._times) if len(self._times) >= TIMES_NEEDED else 0.0

    def can_open(self, record: UpstreamView, now: int) -> bool:
        """Returns whether one more flow may be opened within the second."""
        while self._opens and now - self._opens[0] >= OPEN_WINDOW:
            self._opens.popleft()
        bears = OPENS_PER_SLOT * self.limit(record)
        return self.is_warm(record) or len(self._opens) < bears

    def note_open(self, now: int) -> None:
        """Counts an opened flow."""
        self._opens.append(now)

    def _has_turned_cold(self, now: int) -> bool:
        if self._failures >= FAILURES_IN_A_ROW or self._slow_row >= SLOW_IN_A_ROW:
            return True
        if self._slow_at is None or self._failed_at is None:
            return False
        earliest = now - COLD_EVIDENCE_WINDOW
        return self._slow_at >= earliest and self._failed_at >= earliest


def _step_count(record: UpstreamView) -> int:
    """Returns the steps of the warm-up; at least one, since opened flows are ramped too."""
    return max(1, record.slots - max(1, record.cold_limit))

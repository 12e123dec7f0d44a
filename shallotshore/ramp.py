"""Cold-start ramp: the load that the present process of the upstream may get while it warms up."""

__all__ = ["Ramp"]

from collections import deque
from statistics import median

from shallotshore.catalog import UpstreamView

MAX_SERVICE_TIMES = 31  # service times kept for the moving median
MIN_SERVICE_TIMES = 8  # with fewer service times, the usual service time is not known well enough
# A request is slow if its service time exceeds both this multiple of the median and the next
# multiple of the longest kept service time. The longest counts as well as the median, since
# services differ in the spread of their service times.
SLOW_MEDIAN_FACTOR = 3
SLOW_LONGEST_FACTOR = 1.5
# This many slow requests show a cold upstream even without a failure, as a collapsing server may
# not even shed requests.
SLOW_REQUESTS_IN_A_ROW = 2
COLD_EVIDENCE_WINDOW_MS = 1_000  # a slow and a failed answer within this time show a cold upstream
# This many failures show, even without a slow request, that the limit exceeds what the upstream can
# bear.
FAILURES_IN_A_ROW = 3
OPEN_WINDOW_MS = 1_000
OPENS_PER_SLOT = 1  # flows that may open in a window, for each request that may run at once


class Ramp:
    """Limit of concurrent requests for one process of the upstream.

    The limit starts at the record's cold limit and rises by one slot at the end of each warm-up
    step. A failed answer starts the current step again.
    """

    __slots__ = (
        "_completed_steps",
        "_failed_at",
        "_failures_in_a_row",
        "_open_times",
        "_service_times",
        "_slow_at",
        "_slow_in_a_row",
        "_step_started_at",
    )

    def __init__(self) -> None:
        self._service_times: deque[int] = deque(maxlen=MAX_SERVICE_TIMES)
        self._open_times: deque[int] = deque()
        self.restart(0)

    def restart(self, now: int) -> None:
        """Starts the ramp again from the cold limit at `now` (ms)."""
        self._completed_steps = 0
        self._step_started_at = now
        self._failures_in_a_row = 0
        self._slow_at: int | None = None
        self._slow_in_a_row = 0
        self._failed_at: int | None = None
        self._service_times.clear()

    def limit(self, record: UpstreamView) -> int:
        """Returns how many requests may run at once."""
        return min(record.slots, max(1, record.cold_limit) + self._completed_steps)

    def is_warm(self, record: UpstreamView) -> bool:
        """Returns whether all steps of the warm-up are done."""
        return self._completed_steps >= _step_count(record)

    def advance(self, record: UpstreamView, now: int) -> None:
        """Completes the warm-up step if its time has passed at `now` (ms) without a failure."""
        if not self.is_warm(record) and now - self._step_started_at >= record.warmup:
            self._completed_steps += 1
            self._step_started_at = now

    def record_success(self, service_time_ms: int) -> None:
        """Records the service time (ms) of a successful answer that was not slow."""
        self._failures_in_a_row = 0
        self._service_times.append(service_time_ms)

    def is_slow(self, service_time_ms: int) -> bool:
        """Returns whether a request with this service time (ms) is far slower than usual."""
        if len(self._service_times) < MIN_SERVICE_TIMES:
            return False
        usual = max(1.0, median(self._service_times))
        return service_time_ms > max(
            SLOW_MEDIAN_FACTOR * usual, SLOW_LONGEST_FACTOR * max(self._service_times)
        )

    def record_slow_request(self, now: int) -> bool:
        """Records a slow request at `now` (ms); returns whether the upstream has turned cold."""
        follows_slow_request = (
            self._slow_at is not None and now - self._slow_at < COLD_EVIDENCE_WINDOW_MS
        )
        self._slow_in_a_row = self._slow_in_a_row + 1 if follows_slow_request else 1
        self._slow_at = now
        return self._has_turned_cold(now)

    def record_failure(self, now: int) -> bool:
        """Records a shed or failed request at `now` (ms).

        Returns:
            Whether the upstream has turned cold.
        """
        self._step_started_at = now
        self._failures_in_a_row += 1
        self._failed_at = now
        return self._has_turned_cold(now)

    def median_service_time(self) -> float:
        """Returns the moving median of the service times in ms; 0 while there are too few."""
        return median(self._service_times) if len(self._service_times) >= MIN_SERVICE_TIMES else 0.0

    def can_open(self, record: UpstreamView, now: int) -> bool:
        """Returns whether one more flow may be opened at `now` (ms)."""
        while self._open_times and now - self._open_times[0] >= OPEN_WINDOW_MS:
            self._open_times.popleft()
        max_opens = OPENS_PER_SLOT * self.limit(record)
        return self.is_warm(record) or len(self._open_times) < max_opens

    def record_flow_open(self, now: int) -> None:
        """Records a flow opened at `now` (ms)."""
        self._open_times.append(now)

    def _has_turned_cold(self, now: int) -> bool:
        if (
            self._failures_in_a_row >= FAILURES_IN_A_ROW
            or self._slow_in_a_row >= SLOW_REQUESTS_IN_A_ROW
        ):
            return True
        if self._slow_at is None or self._failed_at is None:
            return False
        earliest = now - COLD_EVIDENCE_WINDOW_MS
        return self._slow_at >= earliest and self._failed_at >= earliest


def _step_count(record: UpstreamView) -> int:
    """Returns the number of warm-up steps; at least one, since the ramp also limits new flows."""
    return max(1, record.slots - max(1, record.cold_limit))

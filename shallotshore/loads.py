"""Load of upstreams as a balancer knows it; reports lose weight with age."""

__all__ = ["LoadTable"]

from array import array

from shallotshore.messages import Load
from shallotshore.tables import MISSING, Table

_REPORT_HALF_LIFE_MS = 200  # requests last tens to hundreds of ms, so an older report misleads
_REPORTED_LIMIT_VALID_MS = 2_000  # four heartbeat periods; then the limit in the record is used
_FULL_LIMIT_FACTOR = 3  # a full upstream runs `limit` requests and queues twice as many
_IDLE_ROW_TIMEOUT_MS = 10_000
_MAX_ROWS = 8_192  # upstreams with requests or recent reports, 36 bytes each plus the index


class LoadTable(Table):
    """Requests that this balancer has in flight at each upstream, and the upstream's last report.

    Columns:
        in_flight: Requests of this balancer that have not ended.
        reported: Running and queued requests by the last report.
        reported_limit: Limit of concurrent requests by the last report.
        connections: Open flows by the last report.
        reported_at: Time of the last report in ms.
        sent: Requests that this balancer has sent since the last report.
    """

    __slots__ = ("connections", "in_flight", "reported", "reported_at", "reported_limit", "sent")

    connections: "array[int]"
    in_flight: "array[int]"
    reported: "array[int]"
    reported_at: "array[int]"
    reported_limit: "array[int]"
    sent: "array[int]"

    COLUMNS = {
        "connections": "L",
        "in_flight": "L",
        "reported": "L",
        "reported_at": "q",
        "reported_limit": "L",
        "sent": "L",
    }

    def __init__(self, limit: int = _MAX_ROWS) -> None:
        """Creates an empty table; upstreams beyond the limit count as idle."""
        super().__init__(limit)

    def record_request_start(self, upstream: int) -> None:
        """Counts a request sent to an upstream."""
        row = self.add(upstream)
        if row != MISSING:
            self.in_flight[row] += 1
            self.sent[row] += 1

    def record_request_end(self, upstream: int) -> None:
        """Counts a request at an upstream as ended."""
        row = self.row(upstream)
        if row != MISSING and self.in_flight[row] > 0:
            self.in_flight[row] -= 1

    def record_load_report(self, upstream: int, load: Load, now: int) -> None:
        """Records the load that an upstream's agent reported at `now` (ms)."""
        row = self.add(upstream)
        if row == MISSING:
            return
        self.connections[row] = load.connections
        self.reported[row] = load.running + load.queued
        self.reported_limit[row] = load.limit
        self.reported_at[row] = now
        self.sent[row] = 0

    def relative_load(self, upstream: int, slots: int, now: int) -> float:
        """Returns the load of an upstream relative to its limit.

        Args:
            upstream: Id of the upstream.
            slots: Limit in the upstream's record, used when the reported limit is too old.
            now: Time in ms.

        Returns:
            The sum of this balancer's requests in flight and of the reported count, which is halved
            for each 200 ms of its age, divided by the limit.
        """
        row = self.row(upstream)
        if row == MISSING:
            return 0.0
        age = now - self.reported_at[row]
        count = self.in_flight[row] + self.reported[row] * 0.5 ** (age / _REPORT_HALF_LIFE_MS)
        return count / max(self._limit_at(row, slots, age), 1)

    def has_room(self, upstream: int, connections: int, now: int) -> bool:
        """Whether the upstream can accept one more flow, by its last report.

        Args:
            upstream: Id of the upstream.
            connections: Greatest number of open flows by the upstream's record.
            now: Time in ms; a report older than two seconds is ignored.
        """
        row = self.row(upstream)
        if row == MISSING or now - self.reported_at[row] > _REPORTED_LIMIT_VALID_MS:
            return True
        return self.connections[row] < connections and self.reported_limit[row] > 0

    def record_full(self, upstream: int, slots: int, now: int) -> None:
        """Records that an upstream forwarded or refused a request because it had no room.

        Args:
            upstream: Id of the upstream.
            slots: Limit in the upstream's record, used when the reported limit is too old.
            now: Time in ms.
        """
        row = self.add(upstream)
        if row == MISSING:
            return
        if now - self.reported_at[row] >= _REPORTED_LIMIT_VALID_MS:
            self.reported_limit[row] = slots
        self.reported[row] = max(
            self.reported[row], _FULL_LIMIT_FACTOR * max(self.reported_limit[row], 1)
        )
        self.reported_at[row] = now

    def is_queue_nearly_full(self, upstream: int, margin: int, now: int) -> bool:
        """Whether the upstream reported within the last 200 ms that its queue is nearly full.

        Args:
            upstream: Id of the upstream.
            margin: Places that must be free in the queue besides the one for the request.
            now: Time in ms.
        """
        row = self.row(upstream)
        if row == MISSING or now - self.reported_at[row] > _REPORT_HALF_LIFE_MS:
            return False
        limit = max(self.reported_limit[row], 1)
        return self.reported[row] + self.sent[row] >= max(
            limit, _FULL_LIMIT_FACTOR * limit - margin
        )

    def has_reported_since(self, upstream: int, time: int) -> bool:
        """Whether the upstream has reported after `time` (ms)."""
        row = self.row(upstream)
        return row != MISSING and self.reported_at[row] > time

    def expire_idle_rows(self, now: int) -> None:
        """Removes the rows of upstreams without work and without a recent report."""
        for row in self.rows():
            if not self.in_flight[row] and now - self.reported_at[row] > _IDLE_ROW_TIMEOUT_MS:
                self.remove(self.key[row])

    def _limit_at(self, row: int, slots: int, age: int) -> int:
        return self.reported_limit[row] if age < _REPORTED_LIMIT_VALID_MS else slots

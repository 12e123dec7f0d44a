"""Log lines of a core, limited in rate and number; `LogWriter` writes them out."""

__all__ = ["EventLog"]

from collections import deque

from shallotshore.token_bucket import TokenBucket

MAX_LINES_PER_S = 40  # sustained rate; a line takes about 60 microseconds of CPU time
MAX_BURST_LINES = 200  # enough for a start or a change of all upstreams at once
MAX_QUEUED_LINES = 400  # when the queue is full, the oldest line is dropped


class EventLog:
    """Queued log lines, each an event with the values that led to it.

    A line about a decision on a packet is written only if `try_admit_decision` allows it; a token
    bucket limits the rate of such lines. Lines about changes of state are limited only by the
    length of the queue.
    """

    __slots__ = ("_bucket", "_dropped", "_lines")

    def __init__(self) -> None:
        self._bucket = TokenBucket(MAX_LINES_PER_S / 1000, MAX_BURST_LINES)
        self._lines: deque[tuple[int, str, dict[str, object]]] = deque()
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._lines)

    def try_admit_decision(self, now: int) -> bool:
        """Takes a token for the log line of a decision, if one is left.

        Callers gather the values of the line only if they got a token.

        Args:
            now: Monotonic time in ms.

        Returns:
            Whether the decision may be logged; if not, its line is counted as left out.
        """
        if self._bucket.take(now):
            return True
        self._dropped += 1
        return False

    def write(self, now: int, event: str, **fields: object) -> None:
        """Queues a line; the oldest line is dropped when the queue is full.

        Args:
            now: Monotonic time in ms.
            event: Name of the event, in words joined by underscores.
            **fields: The values that led to the event.
        """
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._lines.popleft()
            self._dropped += 1
        self._lines.append((now, event, fields))

    def drain(self) -> list[tuple[int, str, dict[str, object]]]:
        """Removes and returns all queued lines; a last line counts the lines that were left out."""
        lines = list(self._lines)
        self._lines.clear()
        if self._dropped and lines:
            lines.append((lines[-1][0], "lines_left_out", {"count": self._dropped}))
            self._dropped = 0
        return lines

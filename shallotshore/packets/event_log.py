"""Log lines of a core: bounded in rate and in number, written out by the edge."""

__all__ = ["EventLog"]

from collections import deque

from shallotshore.token_bucket import TokenBucket

MAX_LINES_PER_S = 40  # sustained; a line costs about 60 microseconds of a core
MAX_BURST_LINES = 200  # lines; enough for a start or a change of all upstreams at once
MAX_QUEUED_LINES = 400  # lines that wait for a reader; older ones go first


class EventLog:
    """Lines to write, each an event with the values that decided it.

    Decisions about packets go through `decision`, which a token bucket bounds; changes of state
    go through `change` and are bounded only by the number of lines kept.
    """

    __slots__ = ("_bucket", "_dropped", "_lines")

    def __init__(self) -> None:
        self._bucket = TokenBucket(MAX_LINES_PER_S / 1000, MAX_BURST_LINES)
        self._lines: deque[tuple[int, str, dict[str, object]]] = deque()
        self._dropped = 0

    def __len__(self) -> int:
        return len(self._lines)

    def try_admit_decision(self, now: int) -> bool:
        """Whether one more decision may be logged; the values are gathered only then."""
        if self._bucket.take(now):
            return True
        self._dropped += 1
        return False

    def write(self, now: int, event: str, **fields: object) -> None:
        """Adds a line.

        Args:
            now: Monotonic time in ms.
            event: What happened, in words joined by underscores.
            **fields: The values that decided it.
        """
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._lines.popleft()
            self._dropped += 1
        self._lines.append((now, event, fields))

    def drain(self) -> list[tuple[int, str, dict[str, object]]]:
        """Removes and returns the lines that wait, with one that counts the ones left out."""
        lines = list(self._lines)
        self._lines.clear()
        if self._dropped and lines:
            lines.append((lines[-1][0], "lines_left_out", {"count": self._dropped}))
            self._dropped = 0
        return lines

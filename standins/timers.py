"""Timers of table rows, so that a tick visits only the rows that are due."""

__all__ = ["Timers"]

import heapq
from collections.abc import Iterator


class Timers:
    """A heap of (due time, key).

    A key may be scheduled several times and timers are never cancelled, so code that pops a due key
    must check that its row still exists and is due.
    """

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []

    def schedule(self, due: int, key: int) -> None:
        """Sets a timer for a key at a time in milliseconds."""
        heapq.heappush(self._heap, (due, key))

    def pop_due(self, now: int) -> Iterator[int]:
        """Removes and yields the keys that are due."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[1]

    @property
    def next_due(self) -> int | None:
        """The earliest due time in ms, or None."""
        return self._heap[0][0] if self._heap else None

"""Detects that the process slept, so that it does not act on old beliefs."""

__all__ = ["TickGapGuard"]

LONGEST_GAP = 1_000  # ms; a running process ticks at least every 20 ms


class TickGapGuard:
    """Compares the times of successive ticks."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last: int | None = None

    def gap(self, now: int) -> int:
        """Returns the length of the pause before this tick, or 0 when there was none.

        Args:
            now: Monotonic time in milliseconds.
        """
        passed = 0 if self._last is None else now - self._last
        self._last = now
        return passed if passed > LONGEST_GAP else 0

"""Guard against acting on outdated state after a pause of the process."""

__all__ = ["WakeupGuard"]

from collections.abc import Callable

from shallotshore.systems import Core

PAUSE_THRESHOLD_MS = 1000  # a longer gap between ticks may leave outdated state and messages
PEER_ANSWER_TIMEOUT_MS = 1000  # without an answer by then, the process serves with what it holds


class WakeupGuard:
    """Drops messages that arrived in a pause, and suspends service until the process is up to date.

    This is the first system of a core. Systems that forward or admit work check `may_serve`.
    """

    __slots__ = ("_confirmed_since", "_core", "_last_tick", "_query_peers", "_resumed_at")

    def __init__(
        self,
        core: Core,
        query_peers: Callable[[int], None],
        confirmed_since: Callable[[int], bool],
    ) -> None:
        """Creates a guard that has seen no tick.

        Args:
            core: The core whose inbox is cleared.
            query_peers: Called with `now` to ask peers for their revision.
            confirmed_since: Called with a time in ms; returns whether a peer has answered after
                that time and the process holds the highest revision known to it.
        """
        self._core = core
        self._query_peers = query_peers
        self._confirmed_since = confirmed_since
        self._last_tick = -1
        self._resumed_at = -1

    @property
    def may_serve(self) -> bool:
        """Whether the process may act on the state that it holds."""
        return self._resumed_at < 0

    def run(self, now: int) -> None:
        """Detects a pause, or the end of the suspension that follows it.

        Args:
            now: Monotonic time in milliseconds.
        """
        if self._last_tick >= 0 and now - self._last_tick > PAUSE_THRESHOLD_MS:
            self._core.counters.add("wakeup.pauses")
            self._core.counters.add("wakeup.dropped_messages", self._core.inbox.clear())
            self._resumed_at = now
            self._query_peers(now)
        elif self._resumed_at >= 0 and self._is_wait_over(now):
            self._resumed_at = -1
        self._last_tick = now

    def _is_wait_over(self, now: int) -> bool:
        return (
            self._confirmed_since(self._resumed_at)
            or now - self._resumed_at >= PEER_ANSWER_TIMEOUT_MS
        )

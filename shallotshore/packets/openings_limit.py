"""Bounds the flows that a cold upstream is given in any second."""

from __future__ import annotations

__all__ = ["RETURNED_DATA_CENTRE_COLD_MS", "OpeningsLimit"]

LIMIT_WINDOW_MS = 1_000
RETURNED_DATA_CENTRE_COLD_MS = (
    3_000  # upstreams of a returning data centre are cold before they say so
)
MARGIN_FLOWS = 1  # flows; packets on their way to the upstream may arrive closer together than sent


class OpeningsLimit:
    """Counts the opening packets handed to an upstream, exactly and over any second.

    An agent that has just started may have handed over some just before, in an earlier life: it
    counts a whole second as used.
    """

    __slots__ = (
        "_cold_until",
        "_cold_factor",
        "_per_s",
        "_slack_flows",
        "_started_at",
        "_admitted_at",
    )

    def __init__(self, over: float, slack: int) -> None:
        """Creates a limit that holds until `set_cold_until` says otherwise.

        Args:
            over: Factor on what the upstream bears a second.
            slack: Flows a second beyond that.
        """
        self._cold_factor = over
        self._slack_flows = slack
        self._per_s = 0.0
        self._cold_until = 1 << 62
        self._started_at = 0
        self._admitted_at: list[int] = []

    @property
    def is_unlimited(self) -> bool:
        """Whether no limit is declared for a cold upstream."""
        return self._per_s == 0

    @property
    def max_flows_per_s(self) -> int:
        """Flows that a cold upstream may be given in a second."""
        return max(1, int(self._per_s * self._cold_factor + self._slack_flows) - MARGIN_FLOWS)

    def start(self, now: int) -> None:
        """Counts the second before the start as used."""
        self._started_at = now

    def set_cold_until(self, until: int) -> None:
        """Notes until when the upstream is cold, in ms."""
        self._cold_until = until

    def set_rate(self, per_s: float) -> None:
        """Notes what a cold upstream bears a second; 0 when no limit is declared."""
        self._per_s = per_s

    def cold_ms(self, now: int) -> int:
        """Returns how much longer the limit holds."""
        return max(0, self._cold_until - now)

    def try_admit(self, now: int) -> bool:
        """Counts one flow, if the upstream may be given one now."""
        if self._cold_until > now and not self.is_unlimited:
            self._admitted_at = [
                taken for taken in self._admitted_at if now - taken <= LIMIT_WINDOW_MS
            ]
            if (
                len(self._admitted_at) >= self.max_flows_per_s
                or now - self._started_at <= LIMIT_WINDOW_MS
            ):
                return False
        elif len(self._admitted_at) > 1_000:
            self._admitted_at = [
                taken for taken in self._admitted_at if now - taken <= LIMIT_WINDOW_MS
            ]
        self._admitted_at.append(now)
        return True

"""Limits the new flows that a cold upstream gets in any second."""

from __future__ import annotations

__all__ = ["RETURNED_DATA_CENTRE_COLD_MS", "OpeningsLimit"]

LIMIT_WINDOW_MS = 1_000
# Upstreams of a data centre that is put back into service are treated as cold for this time, since
# they are cold before their records show it.
RETURNED_DATA_CENTRE_COLD_MS = 3_000
MARGIN_FLOWS = 1  # packets may arrive at the upstream closer together than they were sent


class OpeningsLimit:
    """Counts the opening packets sent to an upstream, exactly and over a sliding second.

    The agent's previous process may have sent opening packets just before a restart, so no flow is
    admitted to a cold upstream in the first second after the start.
    """

    __slots__ = (
        "_admitted_at",
        "_assumed_cold_until",
        "_cold_factor",
        "_cold_until",
        "_per_s",
        "_slack_flows",
        "_started_at",
    )

    def __init__(self, factor: float, slack: int) -> None:
        """Creates a limit that is in force until `set_cold_until` has set its end.

        Args:
            factor: Factor on the number of flows per second declared for a cold upstream.
            slack: Flows per second that are allowed in addition to the declared number times
                `factor`.
        """
        self._cold_factor = factor
        self._slack_flows = slack
        self._per_s = 0.0
        self._cold_until = 1 << 62
        self._assumed_cold_until = 0
        self._started_at = 0
        self._admitted_at: list[int] = []

    @property
    def is_unlimited(self) -> bool:
        """Whether no limit is declared for a cold upstream."""
        return self._per_s == 0

    @property
    def max_flows_per_s(self) -> int:
        """Number of new flows that a cold upstream may get in a second."""
        return max(1, int(self._per_s * self._cold_factor + self._slack_flows) - MARGIN_FLOWS)

    def start(self, now: int) -> None:
        """Records the start of the agent; a cold upstream gets no new flow in the next second.

        Args:
            now: Time in ms.
        """
        self._started_at = now

    def set_cold_until(self, until: int) -> None:
        """Sets until when the upstream is cold, in ms."""
        self._cold_until = until

    def assume_cold_until(self, until: int) -> None:
        """Treats the upstream as cold, whatever its record says, until a time in ms.

        The record may still be that of the upstream's last process. Without a declared limit this
        has no effect.
        """
        self._assumed_cold_until = max(self._assumed_cold_until, until)

    def end_assumption(self) -> None:
        """Lets the record count again, since it is known to be that of the present process."""
        self._assumed_cold_until = 0

    def set_rate(self, per_s: float) -> None:
        """Sets the flows per second declared for a cold upstream; 0 when no limit is declared."""
        self._per_s = per_s

    def cold_ms(self, now: int) -> int:
        """Returns how much longer the limit is in force, in ms."""
        return max(0, self._find_cold_until() - now)

    def try_admit(self, now: int) -> bool:
        """Counts one flow, if the upstream may get one at `now` (ms).

        Returns:
            Whether the flow is within the limit.
        """
        if self._find_cold_until() > now and not self.is_unlimited:
            self._admitted_at = [at for at in self._admitted_at if now - at <= LIMIT_WINDOW_MS]
            if (
                len(self._admitted_at) >= self.max_flows_per_s
                or now - self._started_at <= LIMIT_WINDOW_MS
            ):
                return False
        elif len(self._admitted_at) > 1_000:
            self._admitted_at = [at for at in self._admitted_at if now - at <= LIMIT_WINDOW_MS]
        self._admitted_at.append(now)
        return True

    def _find_cold_until(self) -> int:
        if self.is_unlimited:
            return self._cold_until
        return max(self._cold_until, self._assumed_cold_until)

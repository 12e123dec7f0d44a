"""Resets that are kept from callers until it is known that no newer records serve their flows."""

__all__ = ["WithheldResets"]

from shallotshore.agent_messages import FlowReset
from shallotshore.unknown_flows import Knowledge, Verdict, judge_open_flow

MAX_WITHHELD_RESETS = 2_048
MAX_WITHHELD_MS = 1_000  # no other balancer answers; the caller should not wait longer


class WithheldResets:
    """The last reset of each flow that is withheld, with the time at which its search began."""

    __slots__ = ("_resets",)

    def __init__(self) -> None:
        self._resets: dict[int, tuple[int, int, FlowReset]] = {}

    def __len__(self) -> int:
        return len(self._resets)

    def add(self, reset: FlowReset, searched_since: int, now: int) -> None:
        """Withholds a reset, unless too many are withheld; the caller's next packet then counts.

        Args:
            reset: The reset.
            searched_since: When the search for the flow's owner began, in ms.
            now: Time in ms.
        """
        if len(self._resets) < MAX_WITHHELD_RESETS:
            self._resets.setdefault(reset.key, (searched_since, now, reset))

    def remove(self, key: int) -> None:
        """Forgets the reset of a flow whose owner was found."""
        self._resets.pop(key, None)

    def take_decided(self, knowledge: Knowledge, now: int) -> list[FlowReset]:
        """Removes and returns the resets that need not wait any longer at `now` (ms)."""
        decided = [
            key
            for key, (searched_since, withheld_at, _) in self._resets.items()
            if judge_open_flow(knowledge, searched_since) is Verdict.REFUSE
            or now - withheld_at >= MAX_WITHHELD_MS
        ]
        return [self._resets.pop(key)[2] for key in decided]

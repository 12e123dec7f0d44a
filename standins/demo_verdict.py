"""The demo's verdict: whether promises were kept, broken, or not shown either way."""

__all__ = ["MAX_LAG_MS", "Fault", "Verdict", "judge"]

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

from standins.caller import ANSWER_GRACE_MS

# A stand-in that is delayed by the time for which callers wait for a late outcome cannot tell a
# late packet of the product from one that it has not read itself.
MAX_LAG_MS = ANSWER_GRACE_MS


class Fault(NamedTuple):
    """One fault that the demo has seen.

    Attributes:
        text: What was seen, with the promise.
        is_late: Whether the fault is that something came after a time limit. On a machine that is
            too slow the processes may have had no processor in time.
    """

    text: str
    is_late: bool


class Verdict(IntEnum):
    """The demo's exit status."""

    KEPT = 0
    BROKEN = 1
    TOO_SLOW = 3  # 2 is used for wrong usage


def judge(faults: Sequence[Fault], max_lag_ms: int) -> Verdict:
    """Returns the verdict on a run.

    Args:
        faults: All faults that were seen.
        max_lag_ms: Longest delay of the stand-ins' own event loop in ms.
    """
    if not faults:
        return Verdict.KEPT
    if max_lag_ms >= MAX_LAG_MS and all(fault.is_late for fault in faults):
        return Verdict.TOO_SLOW
    return Verdict.BROKEN

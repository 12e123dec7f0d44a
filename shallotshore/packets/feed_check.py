"""What a process knows of how recent its copy of a feed is, and the check that it wants made."""

from __future__ import annotations

__all__ = ["FeedCheck"]

from typing import TYPE_CHECKING

from shallotshore.unknown_flows import NEVER

if TYPE_CHECKING:
    from shallotshore.messages import Address


class FeedCheck:
    """Whether the copy of one feed contains all changes up to a time, and who wants to know.

    The store's answer to a call contains every change that was acknowledged before the call was
    sent. So does the answer of another process that has called the store after it was asked.

    Attributes:
        as_of: Time up to which the copy contains every change, in ms.
        wanted_as_of: Latest time for which a system wants to know this, in ms.
        asked_at: When the last request was sent, in ms.
        unanswered_since: When the first request since the last answer was sent, in ms; NEVER when
            all are answered.
        timeouts: How often another process was asked since the last answer.
        calls_in_flight: Number of calls to the store without an answer yet.
        store_retry_at: Earliest time of the next call to the store after a failed one, in ms.
        expected: Position of the copy of another process that has answered, and the time up to
            which that copy is complete; None when no answer is pending.
        requesters: Other processes that want to know, with the number to send back and when the
            request was received, in ms.
        is_pending: Whether a request or an answer is pending; false nearly all the time.
    """

    __slots__ = (
        "as_of",
        "asked_at",
        "calls_in_flight",
        "expected",
        "is_pending",
        "requesters",
        "store_retry_at",
        "timeouts",
        "unanswered_since",
        "wanted_as_of",
    )

    def __init__(self) -> None:
        self.as_of = NEVER
        self.wanted_as_of = NEVER
        self.asked_at = NEVER
        self.unanswered_since = NEVER
        self.timeouts = 0
        self.calls_in_flight = 0
        self.store_retry_at = NEVER
        self.expected: tuple[tuple[int, int], int] | None = None
        self.requesters: list[tuple[Address, int, int]] = []
        self.is_pending = False

    @property
    def is_wanted(self) -> bool:
        """Whether a system waits for a check."""
        return self.wanted_as_of > self.as_of

    def request(self, time: int) -> None:
        """Requests a check of whether the copy contains all changes up to a time in ms."""
        self.wanted_as_of = max(self.wanted_as_of, time)
        self.is_pending = True

    def update_pending(self) -> None:
        """Finds out whether anything is still pending."""
        self.is_pending = self.is_wanted or bool(self.requesters or self.expected)

    def record_request(self, timeouts: int, now: int) -> None:
        """Records that another process, or the store, was asked at `now` (ms)."""
        self.asked_at = now
        if self.unanswered_since == NEVER or timeouts > self.timeouts:
            self.unanswered_since = now
        self.timeouts = timeouts

    def record_as_of(self, time: int) -> None:
        """Records that the copy contains all changes up to a time in ms."""
        if time <= self.as_of:
            return
        self.as_of = time
        self.timeouts = 0
        self.unanswered_since = NEVER if time >= self.asked_at else time

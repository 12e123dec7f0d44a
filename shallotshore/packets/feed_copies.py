"""What a process holds of each feed, and what other processes offer of it."""

from __future__ import annotations

__all__ = [
    "COALESCE_MS",
    "CONFIRMATION_VALID_MS",
    "MAX_WATCH_LAG_MS",
    "NEVER",
    "WATCH_WAIT_MS",
    "FeedCopy",
    "Feeds",
]

from typing import TYPE_CHECKING

from shallotshore.packets.feed_content import FeedContent
from shallotshore.packets.view import Feed, FeedState

if TYPE_CHECKING:
    from shallotshore.messages import Address

WATCH_WAIT_MS = 4_000  # a connection that fell silent must be noticed within a stable window of 4 s
# After a change the next watch waits, so that changes in quick succession come in one answer; the
# shortest bound on a change's effect is 3 s.
COALESCE_MS = 300
CONFIRMATION_VALID_MS = WATCH_WAIT_MS + COALESCE_MS + 700  # a watch without changes answers so late
MAX_WATCH_LAG_MS = 1_000  # watches of two processes bring the same change within this time
NEVER = -(1 << 40)


class FeedCopy:
    """What this process holds of one feed, and how it stays up to date.

    Attributes:
        feed: Which feed.
        revision: Revision of the newest change held; 0 when nothing was ever read.
        confirmed_at: When the store last answered, in ms.
        failing_since: When calls to the store began to fail, or NEVER.
        is_best_offer_same_data_centre: Whether the best offer comes from the own data centre.
        is_fetch_urgent: Whether it concerns this process itself.
        content: The records.
    """

    __slots__ = (
        "after",
        "best_offered_revision",
        "behind_since",
        "best_offer_source",
        "confirmed_at",
        "content",
        "failing_since",
        "failures",
        "feed",
        "is_call_pending",
        "is_complete",
        "is_fetch_pending",
        "is_best_offer_same_data_centre",
        "is_fetch_urgent",
        "next_call_at",
        "next_fetch_at",
        "revision",
    )

    def __init__(self, feed: Feed) -> None:
        self.feed = feed
        self.revision = 0
        self.after = 0
        self.confirmed_at = NEVER
        self.failing_since = NEVER
        self.failures = 0
        self.is_call_pending = False
        self.is_complete = False
        self.next_call_at = NEVER
        self.is_fetch_pending = False
        self.next_fetch_at = NEVER
        self.best_offered_revision = 0
        self.behind_since = NEVER
        self.best_offer_source: Address | None = None
        self.is_best_offer_same_data_centre = False
        self.is_fetch_urgent = False
        self.content = FeedContent()

    def is_current(self, now: int) -> bool:
        """Whether the store has confirmed the copy lately and nobody has held more for long."""
        if not self.is_complete or self.failing_since != NEVER:
            return False
        is_behind = (
            self.best_offered_revision > self.revision
            and now - self.behind_since > MAX_WATCH_LAG_MS
        )
        return now - self.confirmed_at < CONFIRMATION_VALID_MS and not is_behind

    def state(self) -> FeedState:
        """Returns a copy to hand to another process."""
        return self.content.state(self.feed, self.revision)


class Feeds:
    """Both feeds of a process, with the offers of other processes."""

    __slots__ = ("changed", "operator", "upstreams")

    def __init__(self) -> None:
        self.operator = FeedCopy(Feed.OPERATOR)
        self.upstreams = FeedCopy(Feed.UPSTREAMS)
        self.changed: set[Feed] = set()

    def copy(self, feed: Feed) -> FeedCopy:
        """Returns the copy of a feed."""
        return self.operator if feed is Feed.OPERATOR else self.upstreams

    def record_offer(
        self, source: Address, operator: int, upstreams: int, now: int, is_same_data_centre: bool
    ) -> None:
        """Notes which revisions another process holds.

        Args:
            source: Address of the process.
            operator: Its revision of the operator's feed.
            upstreams: Its revision of the upstreams' feed.
            now: Time in ms.
            is_same_data_centre: Whether the process is in the own data centre.
        """
        for copy, revision in ((self.operator, operator), (self.upstreams, upstreams)):
            if revision <= copy.revision:
                continue
            if copy.best_offered_revision <= copy.revision:
                copy.behind_since = now
            is_nearer = is_same_data_centre or not copy.is_best_offer_same_data_centre
            if revision > copy.best_offered_revision or (
                revision == copy.best_offered_revision and is_nearer
            ):
                copy.best_offered_revision = revision
                copy.best_offer_source = source
                copy.is_best_offer_same_data_centre = is_same_data_centre

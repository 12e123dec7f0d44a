"""What a process holds of each feed, and what other processes offer of it."""

from __future__ import annotations

__all__ = ["COALESCE_MS", "CONFIRMED_MS", "LAG_MS", "NEVER", "WATCH_MS", "FeedCopy", "Feeds"]

from typing import TYPE_CHECKING

from shallotshore.packets.feed_content import FeedContent
from shallotshore.packets.view import Feed, FeedState

if TYPE_CHECKING:
    from shallotshore.messages import Address

WATCH_MS = 4_000  # a connection that fell silent must be noticed within a stable window of 4 s
# After a change the next watch waits, so that changes in quick succession come in one answer; the
# shortest bound on a change's effect is 3 s.
COALESCE_MS = 300
CONFIRMED_MS = WATCH_MS + COALESCE_MS + 700  # a watch without changes answers so late
LAG_MS = 1_000  # watches of two processes bring the same change within this time
NEVER = -(1 << 40)


class FeedCopy:
    """What this process holds of one feed, and how it stays up to date.

    Attributes:
        feed: Which feed.
        revision: Revision of the newest change held; 0 when nothing was ever read.
        confirmed_at: When the store last answered, in ms.
        failing_since: When calls to the store began to fail, or NEVER.
        is_offer_near: Whether the best offer comes from the own data centre.
        is_offer_urgent: Whether it concerns this process itself.
        content: The records.
    """

    __slots__ = (
        "after",
        "best_offer",
        "best_offer_at",
        "best_offer_from",
        "confirmed_at",
        "content",
        "failing_since",
        "failures",
        "feed",
        "is_asking",
        "is_complete",
        "is_fetching",
        "is_offer_near",
        "is_offer_urgent",
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
        self.is_asking = False
        self.is_complete = False
        self.next_call_at = NEVER
        self.is_fetching = False
        self.next_fetch_at = NEVER
        self.best_offer = 0
        self.best_offer_at = NEVER
        self.best_offer_from: Address | None = None
        self.is_offer_near = False
        self.is_offer_urgent = False
        self.content = FeedContent()

    def is_current(self, now: int) -> bool:
        """Whether the store has confirmed the copy lately and nobody has held more for long."""
        if not self.is_complete or self.failing_since != NEVER:
            return False
        is_behind = self.best_offer > self.revision and now - self.best_offer_at > LAG_MS
        return now - self.confirmed_at < CONFIRMED_MS and not is_behind

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

    def offer(
        self, source: Address, operator: int, upstreams: int, now: int, is_near: bool
    ) -> None:
        """Notes which revisions another process holds.

        Args:
            source: Address of the process.
            operator: Its revision of the operator's feed.
            upstreams: Its revision of the upstreams' feed.
            now: Time in ms.
            is_near: Whether the process is in the own data centre.
        """
        for copy, revision in ((self.operator, operator), (self.upstreams, upstreams)):
            if revision <= copy.revision:
                continue
            if copy.best_offer <= copy.revision:
                copy.best_offer_at = now
            is_nearer = is_near or not copy.is_offer_near
            if revision > copy.best_offer or (revision == copy.best_offer and is_nearer):
                copy.best_offer = revision
                copy.best_offer_from = source
                copy.is_offer_near = is_near

"""Requests to the platform's store and for other processes' copies of feeds, and the answers."""

from __future__ import annotations

__all__ = [
    "CheckFeed",
    "FetchFailed",
    "FetchFeed",
    "FetchedFeed",
    "ReadFeed",
    "StoreChanges",
    "StoreFailed",
    "StoreSnapshot",
    "WatchFeed",
]

from collections.abc import Sequence

from shallotshore.codes import Code
from shallotshore.packets.feed_content import Change, UnreadableEntry
from shallotshore.packets.view import Feed, FeedState
from shallotshore.unknown_flows import NEVER


class ReadFeed:
    """Asks the store for all current entries of a feed.

    Attributes:
        feed: Which feed.
        asked_at: When the request was made, in ms.
    """

    __slots__ = ("asked_at", "feed")

    def __init__(self, feed: Feed, asked_at: int = NEVER) -> None:
        self.feed = feed
        self.asked_at = asked_at


class WatchFeed:
    """Asks the store for the changes of a feed after a revision; the store waits for a change.

    Attributes:
        feed: Which feed.
        after: Revision of the store up to which all changes are known.
        wait: How long the store waits for a change, in ms.
        asked_at: When the request was made, in ms.
    """

    __slots__ = ("after", "asked_at", "feed", "wait")

    def __init__(self, feed: Feed, after: int, wait: int, asked_at: int = NEVER) -> None:
        self.feed = feed
        self.after = after
        self.wait = wait
        self.asked_at = asked_at


class CheckFeed(WatchFeed):
    """A short watch beside the other calls, which shows whether the copy is up to date."""

    __slots__ = ()


class StoreSnapshot:
    """All entries of a feed, read at revision `revision` of the store's era `era` or later.

    Every change that was acknowledged before `asked_at`, in ms, is contained.
    """

    __slots__ = ("asked_at", "changes", "era", "feed", "revision")

    def __init__(
        self,
        feed: Feed,
        revision: int,
        changes: list[Change],
        era: int = 0,
        asked_at: int = NEVER,
    ) -> None:
        self.feed = feed
        self.revision = revision
        self.changes = changes
        self.era = era
        self.asked_at = asked_at


class StoreChanges:
    """The changes of a feed up to `revision`.

    Attributes:
        feed: Which feed.
        revision: Revision of the store.
        changes: The changes.
        era: Era of the store.
        after: Revision after which the watch asked for changes.
        asked_at: When the watch was requested, in ms; every change that was acknowledged before is
            contained.
        is_check: Whether this answers a CheckFeed.
    """

    __slots__ = ("after", "asked_at", "changes", "era", "feed", "is_check", "revision")

    def __init__(
        self,
        feed: Feed,
        revision: int,
        changes: list[Change],
        era: int = 0,
        after: int = 0,
        asked_at: int = NEVER,
        is_check: bool = False,
    ) -> None:
        self.feed = feed
        self.revision = revision
        self.changes = changes
        self.era = era
        self.after = after
        self.asked_at = asked_at
        self.is_check = is_check


class StoreFailed:
    """A call to the store failed.

    Attributes:
        feed: Which feed was requested.
        code: SERVICE_STALE when the store no longer has the requested changes,
            SERVICE_RATE_LIMITED, SERVICE_UNREACHABLE, MESSAGE_TOO_LARGE or MESSAGE_MALFORMED.
        reason: Description of the failure, for logs.
        era: Era of the store that the answer names; 0 when there is none.
        is_check: Whether the call was a CheckFeed.
    """

    __slots__ = ("code", "era", "feed", "is_check", "reason")

    def __init__(
        self, feed: Feed, code: Code, reason: str, era: int = 0, is_check: bool = False
    ) -> None:
        self.feed = feed
        self.code = code
        self.reason = reason
        self.era = era
        self.is_check = is_check


class FetchFeed:
    """Asks another process for its copy of a feed."""

    __slots__ = ("feed",)

    def __init__(self, feed: Feed) -> None:
        self.feed = feed


class FetchedFeed:
    """Another process's copy of a feed.

    Attributes:
        state: The copy.
        refused: Records that the other process sent and that cannot be used.
    """

    __slots__ = ("refused", "state")

    def __init__(self, state: FeedState, refused: Sequence[UnreadableEntry] = ()) -> None:
        self.state = state
        self.refused = refused


class FetchFailed:
    """Another process's copy could not be fetched.

    Attributes:
        feed: Which feed.
        reason: Description of the failure, for logs.
    """

    __slots__ = ("feed", "reason")

    def __init__(self, feed: Feed, reason: str) -> None:
        self.feed = feed
        self.reason = reason

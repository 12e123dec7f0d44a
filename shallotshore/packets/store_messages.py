"""What the systems ask of the platform's store and of other processes' copies, and the answers."""

from __future__ import annotations

__all__ = [
    "FetchFailed",
    "FetchFeed",
    "FetchedFeed",
    "ReadFeed",
    "StoreChanges",
    "StoreFailed",
    "StoreSnapshot",
    "WatchFeed",
]

from shallotshore.codes import Code
from shallotshore.packets.feed_content import Change
from shallotshore.packets.view import Feed, FeedState


class ReadFeed:
    """Asks the store for all of a feed, as it is now."""

    __slots__ = ("feed",)

    def __init__(self, feed: Feed) -> None:
        self.feed = feed


class WatchFeed:
    """Asks the store for the changes of a feed after a revision, waiting for the first.

    Attributes:
        feed: Which feed.
        after: Revision of the store up to which all is known.
        wait: How long to wait, in ms.
    """

    __slots__ = ("after", "feed", "wait")

    def __init__(self, feed: Feed, after: int, wait: int) -> None:
        self.feed = feed
        self.after = after
        self.wait = wait


class StoreSnapshot:
    """All of a feed, as of at least `revision`."""

    __slots__ = ("changes", "feed", "revision")

    def __init__(self, feed: Feed, revision: int, changes: list[Change]) -> None:
        self.feed = feed
        self.revision = revision
        self.changes = changes


class StoreChanges:
    """The changes of a feed up to `revision`."""

    __slots__ = ("changes", "feed", "revision")

    def __init__(self, feed: Feed, revision: int, changes: list[Change]) -> None:
        self.feed = feed
        self.revision = revision
        self.changes = changes


class StoreFailed:
    """A call to the store failed.

    Attributes:
        feed: Which feed was asked for.
        code: SERVICE_STALE when the history asked for is gone, SERVICE_RATE_LIMITED,
            SERVICE_UNREACHABLE or MESSAGE_MALFORMED.
        reason: What was seen, for logs.
    """

    __slots__ = ("code", "feed", "reason")

    def __init__(self, feed: Feed, code: Code, reason: str) -> None:
        self.feed = feed
        self.code = code
        self.reason = reason


class FetchFeed:
    """Asks another process for all that it holds of a feed."""

    __slots__ = ("feed",)

    def __init__(self, feed: Feed) -> None:
        self.feed = feed


class FetchedFeed:
    """Another process's copy of a feed."""

    __slots__ = ("state",)

    def __init__(self, state: FeedState) -> None:
        self.state = state


class FetchFailed:
    """Another process did not give its copy.

    Attributes:
        feed: Which feed.
        reason: What was seen, for logs.
    """

    __slots__ = ("feed", "reason")

    def __init__(self, feed: Feed, reason: str) -> None:
        self.feed = feed
        self.reason = reason

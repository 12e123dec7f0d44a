"""A stand-in of the platform's store: reads and watches of feeds, which may fail."""

__all__ = ["StoreStandin"]

from collections.abc import Callable

from shallotshore.codes import Code
from shallotshore.packets.feed_content import Change, apply_change
from shallotshore.packets.feed_copies import FeedCopy
from shallotshore.packets.store_messages import (
    ReadFeed,
    StoreChanges,
    StoreFailed,
    StoreSnapshot,
    WatchFeed,
)
from shallotshore.packets.view import Feed

Answer = StoreSnapshot | StoreChanges | StoreFailed
Reply = Callable[[int, Answer], None]
ANSWER_MS = 4


class StoreStandin:
    """Holds entries by key with one revision counter.

    Attributes:
        revision: Of the newest change.
        is_down: Whether every call fails.
        history: Whether watches can be answered from before `forgotten`.
        calls: Calls so far.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.is_down = False
        self.forgotten = 0
        self.calls = 0
        self._log: dict[Feed, list[Change]] = {feed: [] for feed in Feed}
        self._waiting: dict[Feed, list[tuple[int, int, Reply]]] = {feed: [] for feed in Feed}

    def write(self, feed: Feed, make: Callable[[int], Change]) -> None:
        """Appends a change, made for the revision that it gets."""
        self.revision += 1
        self._log[feed].append(make(self.revision))
        waiting, self._waiting[feed] = self._waiting[feed], []
        for _, after, reply in waiting:
            reply(ANSWER_MS, self._changes(feed, after))

    def forget_history(self) -> None:
        """Makes every watch from before now fail."""
        self.forgotten = self.revision

    def call(self, request: ReadFeed | WatchFeed, now: int, reply: Reply) -> None:
        """Answers a call, now or later."""
        self.calls += 1
        feed = request.feed
        if self.is_down:
            reply(ANSWER_MS, StoreFailed(feed, Code.SERVICE_UNREACHABLE, "down"))
        elif isinstance(request, ReadFeed):
            reply(ANSWER_MS, StoreSnapshot(feed, self.revision, self._current(feed)))
        elif request.after < self.forgotten:
            reply(ANSWER_MS, StoreFailed(feed, Code.SERVICE_STALE, "history is gone"))
        elif any(change.revision > request.after for change in self._log[feed]):
            reply(ANSWER_MS, self._changes(feed, request.after))
        else:
            self._waiting[feed].append((now + request.wait, request.after, reply))

    def expire(self, now: int) -> None:
        """Answers watches whose time is over."""
        for feed, waiting in self._waiting.items():
            self._waiting[feed] = [entry for entry in waiting if entry[0] > now]
            for until, after, reply in waiting:
                if until <= now:
                    reply(0, self._changes(feed, after))

    def drop_watches(self) -> None:
        """Forgets watches of processes that have ended, or whose connections fell silent."""
        self._waiting = {feed: [] for feed in Feed}

    def _changes(self, feed: Feed, after: int) -> StoreChanges:
        changes = [change for change in self._log[feed] if change.revision > after]
        return StoreChanges(feed, self.revision, changes)

    def _current(self, feed: Feed) -> list[Change]:
        copy = FeedCopy(feed)
        newest: dict[str, Change] = {}
        for change in self._log[feed]:
            apply_change(change, copy.content)
            newest[change.key] = change
        return [change for change in newest.values() if not change.is_gone]

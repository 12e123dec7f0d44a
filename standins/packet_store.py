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

StoreAnswer = StoreSnapshot | StoreChanges | StoreFailed
AnswerCallback = Callable[[int, StoreAnswer], None]
ANSWER_DELAY_MS = 4


class StoreStandin:
    """Holds entries by key with one revision counter.

    Attributes:
        revision: Of the newest change.
        is_down: Whether every call fails.
        history: Whether watches can be answered from before `history_start_revision`.
        call_count: Calls so far.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.is_down = False
        self.history_start_revision = 0
        self.call_count = 0
        self._changes_by_feed: dict[Feed, list[Change]] = {feed: [] for feed in Feed}
        self._pending_watches: dict[Feed, list[tuple[int, int, AnswerCallback]]] = {
            feed: [] for feed in Feed
        }

    def append_change(self, feed: Feed, make: Callable[[int], Change]) -> None:
        """Appends a change, made for the revision that it gets."""
        self.revision += 1
        self._changes_by_feed[feed].append(make(self.revision))
        waiting, self._pending_watches[feed] = self._pending_watches[feed], []
        for _, after, reply in waiting:
            reply(ANSWER_DELAY_MS, self._build_changes_answer(feed, after))

    def remove_history(self) -> None:
        """Makes every watch from before now fail."""
        self.history_start_revision = self.revision

    def handle_request(
        self, request: ReadFeed | WatchFeed, now: int, reply: AnswerCallback
    ) -> None:
        """Answers a call, now or later."""
        self.call_count += 1
        feed = request.feed
        if self.is_down:
            reply(ANSWER_DELAY_MS, StoreFailed(feed, Code.SERVICE_UNREACHABLE, "down"))
        elif isinstance(request, ReadFeed):
            reply(ANSWER_DELAY_MS, StoreSnapshot(feed, self.revision, self._current_changes(feed)))
        elif request.after < self.history_start_revision:
            reply(ANSWER_DELAY_MS, StoreFailed(feed, Code.SERVICE_STALE, "history is gone"))
        elif any(change.revision > request.after for change in self._changes_by_feed[feed]):
            reply(ANSWER_DELAY_MS, self._build_changes_answer(feed, request.after))
        else:
            self._pending_watches[feed].append((now + request.wait, request.after, reply))

    def answer_expired_watches(self, now: int) -> None:
        """Answers watches whose time is over."""
        for feed, waiting in self._pending_watches.items():
            self._pending_watches[feed] = [entry for entry in waiting if entry[0] > now]
            for until, after, reply in waiting:
                if until <= now:
                    reply(0, self._build_changes_answer(feed, after))

    def remove_watches(self) -> None:
        """Forgets watches of processes that have ended, or whose connections fell silent."""
        self._pending_watches = {feed: [] for feed in Feed}

    def _build_changes_answer(self, feed: Feed, after: int) -> StoreChanges:
        changes = [change for change in self._changes_by_feed[feed] if change.revision > after]
        return StoreChanges(feed, self.revision, changes)

    def _current_changes(self, feed: Feed) -> list[Change]:
        copy = FeedCopy(feed)
        newest: dict[str, Change] = {}
        for change in self._changes_by_feed[feed]:
            apply_change(change, copy.content)
            newest[change.key] = change
        return [change for change in newest.values() if not change.is_gone]

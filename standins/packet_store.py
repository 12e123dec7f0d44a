"""A stand-in of the platform's store that answers reads and watches of feeds, and can fail."""

__all__ = ["StoreStandin"]

import copy
from collections.abc import Callable, Iterable
from functools import partial, singledispatch

import msgspec

from shallotshore.codes import Code
from shallotshore.packets.feed_content import Change, FeedContent, UpstreamChange, apply_change
from shallotshore.packets.store_messages import (
    CheckFeed,
    ReadFeed,
    StoreChanges,
    StoreFailed,
    StoreSnapshot,
    WatchFeed,
)
from shallotshore.packets.view import Feed

StoreAnswer = StoreSnapshot | StoreChanges | StoreFailed
AnswerCallback = Callable[[int, StoreAnswer], None]
LostWrite = tuple[Feed, Change]
ANSWER_DELAY_MS = 4


class StoreStandin:
    """Keeps the changes of all feeds, numbered by one revision counter.

    Attributes:
        era: How often the store has come back from a copy.
        revision: Revision of the newest change.
        is_down: Whether every request fails.
        history_start_revision: Watches that start from an earlier revision fail.
        call_count: Number of requests received.
        answer_delay_ms: Time until an answer arrives.
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision = 0
        self.is_down = False
        self.history_start_revision = 0
        self.call_count = 0
        self.answer_delay_ms = ANSWER_DELAY_MS
        self._changes_by_feed: dict[Feed, list[Change]] = {feed: [] for feed in Feed}
        self._pending_watches: dict[Feed, list[tuple[int, WatchFeed, AnswerCallback]]] = {
            feed: [] for feed in Feed
        }

    def append_change(self, feed: Feed, make_change: Callable[[int], Change]) -> None:
        """Appends a change to a feed and answers the pending watches of that feed.

        Args:
            feed: Feed that changes.
            make_change: Builds the change; called with its revision.
        """
        self.revision += 1
        self._changes_by_feed[feed].append(make_change(self.revision))
        pending, self._pending_watches[feed] = self._pending_watches[feed], []
        for _, watch, reply in pending:
            reply(self.answer_delay_ms, self._build_changes_answer(watch))

    def restore(self, lost_revisions: int, keeps_watches: bool = False) -> list[LostWrite]:
        """Goes back to the state of some revisions ago, as a store restored from a copy does.

        Args:
            lost_revisions: Number of the newest changes that are lost.
            keeps_watches: Whether pending watches stay open and are answered in the new era;
                otherwise they fail.

        Returns:
            The lost changes in the order of their revisions, for `write_again`.
        """
        self.era += 1
        self.revision -= min(lost_revisions, self.revision)
        lost = []
        for feed, changes in self._changes_by_feed.items():
            lost += [(feed, change) for change in changes if change.revision > self.revision]
            self._changes_by_feed[feed] = [
                change for change in changes if change.revision <= self.revision
            ]
        if not keeps_watches:
            pending, self._pending_watches = self._pending_watches, {feed: [] for feed in Feed}
            for feed, watches in pending.items():
                for _, watch, reply in watches:
                    failed = StoreFailed(feed, Code.SERVICE_UNREACHABLE, "store is restored")
                    self.fail_request(watch, failed, reply)
        return sorted(lost, key=lambda write: write[1].revision)

    def write_again(self, lost: Iterable[LostWrite]) -> None:
        """Lets the writers of lost changes write the newest state of each entry again."""
        newest = {(feed, change.key): change for feed, change in lost}
        for (feed, _), change in newest.items():
            self.append_change(feed, partial(_with_revision, change))

    def remove_history(self) -> None:
        """Removes the history, so that watches from before the present revision fail."""
        self.history_start_revision = self.revision

    def handle_request(
        self, request: ReadFeed | WatchFeed, now: int, reply: AnswerCallback
    ) -> None:
        """Answers a request; a watch without changes stays pending until a change or its timeout.

        Args:
            request: Read or watch.
            now: Time in ms.
            reply: Called with the delay of the answer in ms and the answer.
        """
        self.call_count += 1
        feed = request.feed
        if self.is_down:
            failed = StoreFailed(feed, Code.SERVICE_UNREACHABLE, "store is down")
            self.fail_request(request, failed, reply)
        elif isinstance(request, ReadFeed):
            changes = self._current_changes(feed)
            snapshot = StoreSnapshot(feed, self.revision, changes, self.era, request.asked_at)
            reply(self.answer_delay_ms, snapshot)
        elif not self.history_start_revision <= request.after <= self.revision:
            failed = StoreFailed(feed, Code.SERVICE_STALE, "no such history", self.era)
            self.fail_request(request, failed, reply)
        elif any(change.revision > request.after for change in self._changes_by_feed[feed]):
            reply(self.answer_delay_ms, self._build_changes_answer(request))
        elif isinstance(request, CheckFeed):
            reply(self.answer_delay_ms + request.wait, self._build_changes_answer(request))
        else:
            self._pending_watches[feed].append((now + request.wait, request, reply))

    def fail_request(
        self, request: ReadFeed | WatchFeed, failed: StoreFailed, reply: AnswerCallback
    ) -> None:
        """Answers a request by a failure."""
        failed.is_check = isinstance(request, CheckFeed)
        reply(self.answer_delay_ms, failed)

    def answer_expired_watches(self, now: int) -> None:
        """Answers the pending watches whose waiting time is over at `now`, a time in ms."""
        for feed, pending in self._pending_watches.items():
            self._pending_watches[feed] = [watch for watch in pending if watch[0] > now]
            for expires_at, expired, reply in pending:
                if expires_at <= now:
                    delay = self.answer_delay_ms - ANSWER_DELAY_MS
                    reply(delay, self._build_changes_answer(expired))

    def remove_watches(self) -> None:
        """Removes all pending watches, as when their processes end or connections fall silent."""
        self._pending_watches = {feed: [] for feed in Feed}

    def _build_changes_answer(self, watch: WatchFeed) -> StoreChanges:
        feed, after = watch.feed, watch.after
        changes = [change for change in self._changes_by_feed[feed] if change.revision > after]
        is_check = isinstance(watch, CheckFeed)
        return StoreChanges(feed, self.revision, changes, self.era, after, watch.asked_at, is_check)

    def _current_changes(self, feed: Feed) -> list[Change]:
        content = FeedContent()
        newest: dict[str, Change] = {}
        for change in self._changes_by_feed[feed]:
            apply_change(change, content)
            newest[change.key] = change
        return [change for change in newest.values() if not change.is_gone]


@singledispatch
def _with_revision(change: Change, revision: int) -> Change:
    """Returns the change as a new write at another revision."""
    written = copy.copy(change)
    written.revision = revision
    return written


@_with_revision.register
def _(change: UpstreamChange, revision: int) -> Change:
    upstream = change.upstream
    if upstream is not None:
        upstream = msgspec.structs.replace(upstream, revision=revision)
    return UpstreamChange(change.key, revision, upstream)

"""Keeps copies of the feeds up to date from the store, or from copies of other processes."""

from __future__ import annotations

__all__ = ["STORE_ADDRESS", "FeedSystem"]

from typing import TYPE_CHECKING

from shallotshore.codes import Code
from shallotshore.packets.feed_content import FeedContent, apply_change
from shallotshore.packets.feed_copies import (
    COALESCE_MS,
    NEVER,
    OTHER_READERS_COALESCE_MS,
    WATCH_WAIT_MS,
    FeedCopy,
)
from shallotshore.packets.feed_entries import to_change
from shallotshore.packets.feed_updates import FeedUpdates
from shallotshore.packets.node_messages import FeedChanges, FeedRequest, encode
from shallotshore.packets.restored_store import HELD_BELIEF_MS, read_held, restore_stored
from shallotshore.packets.store_messages import (
    FetchedFeed,
    FetchFailed,
    FetchFeed,
    ReadFeed,
    StoreChanges,
    StoreFailed,
    StoreSnapshot,
    WatchFeed,
)
from shallotshore.packets.view import Feed, FeedState

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.packets.node_state import NodeState

# The first watch after failures returns almost at once, since its answer shows that the store is
# available again.
RECOVERY_WATCH_WAIT_MS = 50
MIN_RETRY_PAUSE_MS = 60  # after a failed call; doubles with each further failure
MAX_RETRY_PAUSE_MS = 500  # the store's recovery must be noticed well within 2 s
MAX_BACKUP_RETRY_PAUSE_MS = 2_000  # the readers notice the recovery, and tell all others
# How long a process that reads the store waits for its own watch to return a change that a peer
# offers, before it fetches the peer's copy.
READER_OFFER_WAIT_MS = 400
# How long a process that does not read the store waits before it fetches a change that a peer
# offers. In this time balancers of its own data centre offer the change too, which saves expensive
# traffic between data centres, and changes in quick succession are fetched together. An agent needs
# other upstreams' records only to serve them to balancers that start while the store is down.
COPIER_OFFER_WAIT_MS = {Feed.OPERATOR: 100, Feed.UPSTREAMS: 1_000}
FETCH_RETRY_PAUSE_MS = 100
FAILED_CHECK_PAUSE_MS = 500  # the regular calls show whether the store is available
CHANGES_TIMEOUT_MS = 200  # data centres are a few ms apart; the whole copy is fetched afterwards
MAX_CHANGES_BYTES = 8_000  # of a datagram with changes
STORE_ADDRESS: Address = ("", 0)  # a placeholder; the application object knows the store's address


class FeedSystem:
    """Keeps the copies of both feeds up to date.

    After each run `Feeds.changed` has the feeds whose content changed.
    """

    __slots__ = (
        "_counters",
        "_feeds",
        "_inbox",
        "_log",
        "_outbox",
        "_reads_store",
        "_rng",
        "_updates",
    )

    def __init__(self, node: NodeState, reads_store: bool) -> None:
        """Creates the system.

        Args:
            node: Mailboxes and feeds of the process.
            reads_store: Whether this process reads the store, or only copies of other processes.
        """
        self._feeds = node.feeds
        self._inbox = node.inbox
        self._outbox = node.outbox
        self._counters = node.counters
        self._log = node.log
        self._rng = node.rng
        self._reads_store = reads_store
        self._updates = FeedUpdates(node.feeds, node.counters, node.log)

    def run(self, now: int) -> None:
        """Handles the answers that have arrived and makes the calls due at `now` (ms)."""
        self._feeds.changed.clear()
        self._feeds.lapsed_hosts.clear()
        for _, snapshot in self._inbox.take(StoreSnapshot):
            self._handle_snapshot(snapshot, now)
        for _, changes in self._inbox.take(StoreChanges):
            self._handle_changes(changes, now)
        for _, failed in self._inbox.take(StoreFailed):
            if failed.is_check:
                self._handle_failed_check(failed, now)
            else:
                self._handle_store_failure(failed, now)
        for _, fetched in self._inbox.take(FetchedFeed):
            self._handle_fetched_feed(fetched, now)
        for _, failed_fetch in self._inbox.take(FetchFailed):
            copy = self._feeds.copy(failed_fetch.feed)
            copy.is_fetch_pending = copy.needs_whole_copy = False
            copy.next_fetch_at = now + FETCH_RETRY_PAUSE_MS
            copy.forget_offers()
            self._log.write(
                now, "peer_copy_failed", feed=copy.feed.name, reason=failed_fetch.reason
            )
        for source, request in self._inbox.take(FeedRequest):
            self._answer_request(source, request)
        for _, peer_changes in self._inbox.take(FeedChanges):
            self._handle_peer_changes(peer_changes, now)
        for copy in (self._feeds.operator, self._feeds.upstreams):
            self._updates.release_retained(copy, now)
            self._call_store(copy, now)
            self._fetch_from_peer(copy, now)

    def reread(self, now: int) -> None:
        """Reads both feeds whole again, after a pause in which changes may have been missed."""
        for copy in (self._feeds.operator, self._feeds.upstreams):
            self._reread_copy(copy, now)

    def _reread_copy(self, copy: FeedCopy, now: int) -> None:
        copy.is_complete = False
        copy.is_call_pending = False  # the read replaces a watch whose connection may be dead
        copy.next_call_at = now

    def _reread_older_copies(self, era: int, now: int) -> None:
        """Reads again the feeds of which an earlier era than the store's is held."""
        for copy in (self._feeds.operator, self._feeds.upstreams):
            if copy.era < era and copy.is_complete:
                self._reread_copy(copy, now)

    def _call_store(self, copy: FeedCopy, now: int) -> None:
        if not self._reads_store:
            return
        is_old = copy.offered_era > max(copy.era, copy.reread_era)
        if is_old and copy.is_complete and self._feeds.is_reading:
            copy.reread_era = copy.offered_era
            self._reread_copy(copy, now)
        if copy.is_call_pending or now < copy.next_call_at:
            return
        if copy.is_complete and not self._feeds.is_reading:
            return
        if copy.is_complete:
            wait = WATCH_WAIT_MS if copy.failing_since == NEVER else RECOVERY_WATCH_WAIT_MS
            self._send_store_call(copy, WatchFeed(copy.feed, copy.watch_after, wait, now))
        else:
            self._send_store_call(copy, ReadFeed(copy.feed, now))

    def _send_store_call(self, copy: FeedCopy, call: ReadFeed | WatchFeed) -> None:
        copy.is_call_pending = True
        self._outbox.send(STORE_ADDRESS, call)
        self._counters.add("store.calls")

    def _fetch_from_peer(self, copy: FeedCopy, now: int) -> None:
        if copy.seeks_retained and copy.retained_source is not None:
            self._fetch_retained(copy, copy.retained_source, now)
        source = copy.best_offer_source
        if copy.is_fetch_pending and not copy.needs_whole_copy:
            # Requests for changes are datagrams, which may be lost.
            if now - copy.fetch_started_at < CHANGES_TIMEOUT_MS:
                return
            copy.is_fetch_pending, copy.needs_whole_copy = False, True
            self._counters.add("peers.changes_unanswered")
        if copy.is_fetch_pending or source is None or copy.best_offered <= copy.position:
            return
        if now < copy.next_fetch_at or now - copy.behind_since < self._offer_wait_ms(copy):
            return
        copy.is_fetch_pending = True
        copy.fetch_started_at = now
        is_same_era = copy.best_offered[0] == copy.era
        if copy.revision and is_same_era and not copy.needs_whole_copy:
            self._outbox.send(source, FeedRequest(copy.feed, copy.revision, copy.era))
            self._counters.add("peers.changes_requested")
        else:
            copy.needs_whole_copy = True
            self._outbox.send(source, FetchFeed(copy.feed))
            self._counters.add("peers.copies_fetched")

    def _fetch_retained(self, copy: FeedCopy, source: Address, now: int) -> None:
        """Fetches the copy of a process that may know what the store has lost, once."""
        if copy.is_fetch_pending:
            return
        copy.seeks_retained = False
        if now < copy.retained.until:
            copy.is_fetch_pending = copy.needs_whole_copy = True
            copy.fetch_started_at = now
            self._outbox.send(source, FetchFeed(copy.feed))
            self._counters.add("peers.copies_fetched")

    def _offer_wait_ms(self, copy: FeedCopy) -> int:
        """Returns how long a newer revision must have been offered before it is fetched, in ms."""
        if copy.revision == 0 or copy.is_fetch_urgent:
            return 0
        if not self._reads_store:
            # A write of an entry that is retained must arrive before the retention ends.
            return COPIER_OFFER_WAIT_MS[Feed.OPERATOR if copy.retained else copy.feed]
        return READER_OFFER_WAIT_MS if self._feeds.is_reading else 0

    def _answer_request(self, source: Address, request: FeedRequest) -> None:
        copy = self._feeds.copy(request.feed)
        entries = copy.changes_after(request.era, request.revision)
        answer = FeedChanges(copy.feed, copy.revision, entries, copy.era)
        if entries is not None and len(encode(answer)) > MAX_CHANGES_BYTES:
            answer = FeedChanges(copy.feed, copy.revision, None, copy.era)
        self._outbox.send(source, answer)

    def _handle_peer_changes(self, message: FeedChanges, now: int) -> None:
        copy = self._feeds.copy(message.feed)
        if not copy.is_fetch_pending or copy.needs_whole_copy:
            return  # the answer came too late, and a whole copy is awaited
        copy.is_fetch_pending = False
        if message.era < copy.era:
            self._count_old_copy(copy)
            return
        if message.entries is None or message.era > copy.era:
            copy.needs_whole_copy = True
            return
        copy.is_fetch_urgent = False
        if message.revision <= copy.revision:
            return
        changes = [to_change(entry) for entry in message.entries]
        self._updates.log_unreadable(copy, changes, now)
        for change in changes:
            if change.revision > copy.revision:
                self._updates.apply_write(copy, change, now)
        copy.revision = message.revision
        copy.watch_after = max(copy.watch_after, message.revision)
        self._feeds.changed.add(copy.feed)
        self._updates.log_adopted(copy, "changes", now)

    def _record_store_answer(self, copy: FeedCopy, now: int) -> None:
        if copy.failing_since != NEVER:
            self._log.write(
                now, "store_regained", feed=copy.feed.name, after_ms=now - copy.failing_since
            )
        copy.is_call_pending = False
        copy.failures = 0
        copy.failing_since = NEVER
        copy.confirmed_at = now
        copy.next_call_at = now

    def _handle_snapshot(self, snapshot: StoreSnapshot, now: int) -> None:
        copy = self._feeds.copy(snapshot.feed)
        if snapshot.era < copy.era:
            self._refuse_old_era(copy, snapshot.era, now)
            return
        self._record_store_answer(copy, now)
        self._reread_older_copies(snapshot.era, now)
        copy.watch_after = snapshot.revision
        copy.is_complete = True
        copy.check.record_as_of(snapshot.asked_at)
        if (snapshot.era, snapshot.revision) < copy.position:
            # The snapshot is older than the copy that a peer sent; the watch returns the changes
            # in between.
            self._counters.add("store.old_snapshots")
            return
        content = FeedContent()
        for change in snapshot.changes:
            apply_change(change, content)
        self._updates.log_unreadable(copy, snapshot.changes, now)
        until = now + HELD_BELIEF_MS if snapshot.era else now
        self._updates.retain_known(copy, content, snapshot.era, until, now)
        is_first = not copy.revision and snapshot.era > 0
        # A copy of the upstreams' feed is large, and reports of agents say which upstreams leave.
        copy.seeks_retained |= is_first and copy.feed is Feed.OPERATOR
        self._updates.replace_content(copy, content, snapshot.era, snapshot.revision, "store", now)

    def _handle_changes(self, changes: StoreChanges, now: int) -> None:
        copy = self._feeds.copy(changes.feed)
        if changes.era < copy.era:
            self._refuse_old_era(copy, changes.era, now)
            return
        if changes.is_check:
            copy.check.calls_in_flight -= 1
        else:
            self._record_store_answer(copy, now)
        if changes.era > copy.era or (changes.era and changes.after > copy.watch_after):
            # Changes of another era, or after a revision of another era, do not follow on from
            # this copy.
            self._reread_copy(copy, now)
            self._reread_older_copies(changes.era, now)
            return
        copy.watch_after = max(copy.watch_after, changes.revision)
        if changes.changes and not changes.is_check:
            is_first = self._feeds.is_first_reader
            copy.next_call_at = now + (COALESCE_MS if is_first else OTHER_READERS_COALESCE_MS)
        self._updates.log_unreadable(copy, changes.changes, now)
        held_revision = copy.revision
        for change in changes.changes:
            if change.revision > held_revision:
                copy.revision = max(copy.revision, change.revision)
                self._updates.apply_and_log(copy, change, now)
        copy.check.record_as_of(changes.asked_at)

    def _handle_failed_check(self, failed: StoreFailed, now: int) -> None:
        """Handles the failure of a check, which says nothing of the other calls to the store."""
        copy = self._feeds.copy(failed.feed)
        copy.check.calls_in_flight -= 1
        copy.check.store_retry_at = now + FAILED_CHECK_PAUSE_MS
        self._counters.add(f"store.failed_checks.{failed.code.name.lower()}")
        self._reread_older_copies(failed.era, now)
        if failed.code is Code.SERVICE_STALE and copy.is_complete:
            self._reread_copy(copy, now)

    def _handle_store_failure(self, failed: StoreFailed, now: int) -> None:
        copy = self._feeds.copy(failed.feed)
        copy.is_call_pending = False
        copy.failures += 1
        self._counters.add(f"store.failed.{failed.code.name.lower()}")
        self._reread_older_copies(failed.era, now)
        if failed.code is Code.SERVICE_STALE:
            # The store no longer has all changes since the last answer; only a whole read shows
            # which entries were removed meanwhile.
            copy.is_complete = False
            copy.next_call_at = now
            self._log.write(now, "store_history_lost", feed=copy.feed.name, after=copy.watch_after)
            return
        if failed.code is Code.MESSAGE_TOO_LARGE and copy.is_complete:
            # The same watch would fail again. A read comes in pages, and the next watch begins at
            # its revision.
            self._send_store_call(copy, ReadFeed(copy.feed, now))
            self._log.write(
                now, "store_changes_too_large", feed=copy.feed.name, after=copy.watch_after
            )
            return
        if copy.failing_since == NEVER:
            copy.failing_since = now
            age = now - copy.confirmed_at if copy.confirmed_at != NEVER else None
            self._log.write(
                now,
                "store_lost",
                feed=copy.feed.name,
                code=int(failed.code),
                reason=failed.reason,
                revision=copy.revision,
                age_ms=age,
            )
        longest = MAX_BACKUP_RETRY_PAUSE_MS if self._feeds.is_backup else MAX_RETRY_PAUSE_MS
        pause = min(longest, MIN_RETRY_PAUSE_MS << min(copy.failures - 1, 8))
        copy.next_call_at = now + int(pause * (0.75 + self._rng.random() / 2))

    def _handle_fetched_feed(self, fetched: FetchedFeed, now: int) -> None:
        state = fetched.state
        copy = self._feeds.copy(state.feed)
        copy.is_fetch_pending = copy.is_fetch_urgent = copy.needs_whole_copy = False
        copy.next_fetch_at = now
        if state.era < copy.era:
            self._count_old_copy(copy)
        elif (state.era, state.revision) > copy.position:
            effective = FeedContent.from_state(state)
            self._updates.log_unreadable(copy, fetched.refused, now)
            for entry in fetched.refused:
                apply_change(entry, effective)
            self._adopt_peer_copy(copy, state, effective, now)
        elif state.era == copy.era and state.era:
            self._adopt_retained(copy, state, now)

    def _adopt_retained(self, copy: FeedCopy, state: FeedState, now: int) -> None:
        """Adopts what another process of the same era retains, and how old the era is."""
        if state.held:
            effective = FeedContent.from_state(state)
            copy.retained.adopt(read_held(state, now), effective, copy.content, now)
            self._feeds.changed.add(copy.feed)
            self._updates.log_adopted(copy, "peer", now)
        for other in (self._feeds.operator, self._feeds.upstreams):
            if other.era == state.era:
                other.retained.until = min(other.retained.until, now + state.held_ms)

    def _adopt_peer_copy(
        self, copy: FeedCopy, state: FeedState, effective: FeedContent, now: int
    ) -> None:
        """Adopts another process's copy, and what it retains.

        Args:
            copy: This process's copy.
            state: The other process's copy.
            effective: The content that the other process uses.
            now: Time in ms.
        """
        held = read_held(state, now)
        content = effective.copy() if held else effective
        for value in held:
            restore_stored(value.stored, content)
        until = now + min(state.held_ms, HELD_BELIEF_MS)
        is_new_era = state.era > copy.era
        self._updates.retain_known(copy, content, state.era, until, now)
        copy.retained.adopt(held, effective, content, now)
        if is_new_era:
            # A watch from a revision of the last era would miss changes.
            copy.watch_after = state.revision
            copy.confirmed_at = NEVER
            if copy.is_call_pending:
                self._reread_copy(copy, now)
        self._updates.replace_content(copy, content, state.era, state.revision, "peer", now)

    def _refuse_old_era(self, copy: FeedCopy, era: int, now: int) -> None:
        """Counts an answer of an earlier era than the copy's as a failure of the store."""
        self._counters.add("store.old_era_answers")
        reason = f"answer of era {era} after era {copy.era}"
        failed = StoreFailed(copy.feed, Code.SERVICE_UNREACHABLE, reason)
        self._handle_store_failure(failed, now)

    def _count_old_copy(self, copy: FeedCopy) -> None:
        self._counters.add("peers.old_era_copies")
        copy.forget_offers()

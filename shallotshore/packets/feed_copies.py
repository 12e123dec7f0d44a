"""A process's copies of the feeds, and the newer copies that other processes offer."""

from __future__ import annotations

__all__ = [
    "COALESCE_MS",
    "CONFIRMATION_VALID_MS",
    "MAX_WATCH_LAG_MS",
    "NEVER",
    "OTHER_READERS_COALESCE_MS",
    "WATCH_WAIT_MS",
    "FeedCopy",
    "Feeds",
]

from collections import deque
from typing import TYPE_CHECKING

from shallotshore.packets.feed_check import FeedCheck
from shallotshore.packets.feed_content import Change, FeedContent
from shallotshore.packets.feed_entries import FeedEntry, to_entry
from shallotshore.packets.restored_store import RetainedValues
from shallotshore.packets.view import Configuration, Feed, FeedState
from shallotshore.unknown_flows import NEVER, Knowledge

if TYPE_CHECKING:
    from shallotshore.messages import Address

# Longest wait of a watch for a change. A connection that has gone silent must be noticed within a
# stable window of 4 s.
WATCH_WAIT_MS = 4_000
# Delay of the next watch after a change, so that changes in quick succession arrive in one answer.
# The tightest limit on the time until a change takes effect is 3 s.
COALESCE_MS = 300
# The same for the other readers. They hear of changes from the first one, and take its place when
# it is lost.
OTHER_READERS_COALESCE_MS = 800
# How long an answer of the store confirms a copy. The next watch is answered within this time, even
# when there are no changes.
CONFIRMATION_VALID_MS = WATCH_WAIT_MS + COALESCE_MS + 700
MAX_WATCH_LAG_MS = 1_000  # the watches of two processes return the same change within this time
MAX_KEPT_CHANGES = 64  # of one feed, for processes that are a little behind


class FeedCopy:
    """This process's copy of one feed, and the state of the calls that keep it up to date.

    Attributes:
        feed: Which feed.
        era: Era of the store in which `revision` was assigned. The store comes back with a higher
            era from a backup, and then assigns revisions again.
        revision: Revision of the newest change in the copy; 0 when nothing was ever read.
        watch_after: Revision of the store after which the next watch asks for changes.
        confirmed_at: When the store last answered, in ms; NEVER before the first answer.
        failing_since: When calls to the store began to fail, in ms, or NEVER.
        failures: Number of failed calls since the store last answered.
        is_call_pending: Whether the answer to a call to the store is awaited.
        is_complete: Whether the copy has been read whole, so that watching for changes suffices.
        next_call_at: Earliest time of the next call to the store, in ms.
        is_fetch_pending: Whether another process's copy is awaited.
        next_fetch_at: Earliest time of the next fetch from another process, in ms.
        best_offered: Era and revision of the newest copy that another process holds; (0, 0) when
            there is none.
        offered_era: Highest era that another process has offered.
        reread_era: Era for which the store was last read again because another process offered it.
        behind_since: When a newer revision than the copy's was first offered, in ms.
        best_offer_source: Address of the process that holds the newest revision.
        is_best_offer_same_data_centre: Whether the process at `best_offer_source` is in this
            process's data centre.
        is_fetch_urgent: Whether the newer revision concerns this process's own upstream.
        fetch_started_at: When another process's changes or copy were last requested, in ms.
        needs_whole_copy: Whether the changes since this copy's revision are not to be had.
        check: Up to which time the copy is known to be complete.
        followed_from: Revision of the store from which on every change has been applied, one after
            the other, since the content was last replaced as a whole.
        followed_since: When the content was last replaced as a whole, in ms.
        named_services: Names of all services that a configuration in the copy has named.
        content: The records.
        retained: Entries in `content` whose value is older than the era.
        seeks_retained: Whether this process has read the store without knowing anything of the
            era before, so that another process may retain what the store has lost.
        retained_source: Address of a process of the same era; None until one is known.
    """

    __slots__ = (
        "behind_since",
        "best_offer_source",
        "best_offered",
        "check",
        "confirmed_at",
        "content",
        "era",
        "failing_since",
        "_changes_since",
        "_kept_changes",
        "failures",
        "feed",
        "fetch_started_at",
        "followed_from",
        "followed_since",
        "is_best_offer_same_data_centre",
        "is_call_pending",
        "is_complete",
        "is_fetch_pending",
        "is_fetch_urgent",
        "named_services",
        "needs_whole_copy",
        "next_call_at",
        "next_fetch_at",
        "offered_era",
        "reread_era",
        "retained",
        "retained_source",
        "revision",
        "seeks_retained",
        "watch_after",
    )

    def __init__(self, feed: Feed) -> None:
        self.feed = feed
        self.era = 0
        self.revision = 0
        self.watch_after = 0
        self.confirmed_at = NEVER
        self.failing_since = NEVER
        self.failures = 0
        self.is_call_pending = False
        self.is_complete = False
        self.next_call_at = NEVER
        self.is_fetch_pending = False
        self.next_fetch_at = NEVER
        self.best_offered = (0, 0)
        self.offered_era = 0
        self.reread_era = 0
        self.behind_since = NEVER
        self.best_offer_source: Address | None = None
        self.is_best_offer_same_data_centre = False
        self.is_fetch_urgent = False
        self.fetch_started_at = NEVER
        self.needs_whole_copy = False
        self.check = FeedCheck()
        self.followed_from = 0
        self.followed_since = NEVER
        self.named_services: set[str] = set()
        self.content = FeedContent()
        self.retained = RetainedValues()
        self.seeks_retained = False
        self.retained_source: Address | None = None
        self._kept_changes: deque[FeedEntry] = deque()
        self._changes_since = 0  # all changes after this revision are kept

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision, by which copies of different processes are ordered."""
        return self.era, self.revision

    def is_current(self, now: int) -> bool:
        """Whether the copy can be taken as up to date.

        The copy must be complete, calls to the store must not be failing, and the store must have
        answered within CONFIRMATION_VALID_MS. A newer revision that another process offers makes
        the copy outdated only after MAX_WATCH_LAG_MS, since one process's watch can lag behind the
        watch of another by that time. A newer era makes it outdated at once.

        At the start of an era the store lacks entries that it has lost, also of upstreams that this
        process never knew, so that the copy counts only after the time of retention.
        """
        if not self.is_complete or self.failing_since != NEVER or self.offered_era > self.era:
            return False
        if now < self.retained.until:
            return False
        is_behind = self.best_offered > self.position and now - self.behind_since > MAX_WATCH_LAG_MS
        return now - self.confirmed_at < CONFIRMATION_VALID_MS and not is_behind

    def is_check_of_use(self, now: int) -> bool:
        """Whether a check at `now` (ms) can show that the copy is complete.

        It cannot at the start of an era, and while a newer copy that another process offers is
        about to replace this one.
        """
        is_behind = self.best_offered > self.position
        is_fetch_due = is_behind and now - self.behind_since <= MAX_WATCH_LAG_MS
        return now >= self.retained.until and not is_fetch_due

    def is_complete_as_of(self, time: int, now: int) -> bool:
        """Whether the copy is known to contain every change up to a time.

        At the start of an era the store itself lacks changes.

        Args:
            time: The time, in ms.
            now: Present time in ms.
        """
        is_era_complete = now >= self.retained.until and self.offered_era <= self.era
        return self.check.as_of >= time and is_era_complete

    def record_confirmation(self, era: int, revision: int, age_ms: int | None, now: int) -> bool:
        """Records that the store has confirmed another process's copy.

        That copy contains nothing newer than this one if its era is the same and its revision is
        not higher.

        Args:
            era: Era of the other copy.
            revision: Revision of the other copy.
            age_ms: How long ago the store confirmed it, in ms, or None.
            now: Time in ms.

        Returns:
            Whether this copy is confirmed by it.
        """
        if age_ms is None or revision > self.revision or not self.is_complete:
            return False
        if era != self.era:
            return False
        confirmed_at = now - age_ms
        if confirmed_at <= max(self.confirmed_at, self.failing_since):
            return False
        self.confirmed_at = confirmed_at
        self.failing_since = NEVER
        self.failures = 0
        return True

    def state(self, now: int) -> FeedState:
        """Returns a copy to send to another process, at a time in ms."""
        state = self.content.state(self.feed, self.revision)
        state.era = self.era
        state.held = self.retained.to_entries(now)
        state.held_ms = max(0, self.retained.until - now)
        return state

    def record_offer(
        self, source: Address, offered: tuple[int, int], now: int, is_same_data_centre: bool
    ) -> None:
        """Records which position another process's copy has.

        Args:
            source: Address of the process.
            offered: Era and revision of its copy.
            now: Time in ms.
            is_same_data_centre: Whether that process is in this process's data centre.
        """
        if self.seeks_retained and offered[0] == self.era:
            self.retained_source = source
        if offered <= self.position:
            return
        self.offered_era = max(self.offered_era, offered[0])
        if self.best_offered <= self.position:
            self.behind_since = now
        is_nearer = is_same_data_centre or not self.is_best_offer_same_data_centre
        if offered > self.best_offered or (offered == self.best_offered and is_nearer):
            self.best_offered = offered
            self.best_offer_source = source
            self.is_best_offer_same_data_centre = is_same_data_centre

    def forget_offers(self) -> None:
        """Forgets which process holds the newest copy, since it did not hand it over."""
        self.best_offered, self.best_offer_source = (0, 0), None

    def keep_change(self, change: Change) -> None:
        """Keeps an applied change for processes that hold an earlier revision."""
        self._kept_changes.append(to_entry(change))
        while len(self._kept_changes) > MAX_KEPT_CHANGES:
            self._changes_since = self._kept_changes.popleft().revision

    def forget_changes(self, now: int) -> None:
        """Removes the kept changes, when the content has been replaced as a whole at `now` (ms)."""
        self._kept_changes.clear()
        self._changes_since = self.followed_from = self.revision
        self.followed_since = now
        self.name_services(self.content.configuration)

    def name_services(self, configuration: Configuration) -> None:
        """Records the services that a configuration names."""
        self.named_services.update(limits.name for limits in configuration.services)
        for route in configuration.routes:
            self.named_services.update(name for name, _ in route.shares)

    def changes_after(self, era: int, revision: int) -> tuple[FeedEntry, ...] | None:
        """Returns the changes after a revision of an era, or None if some are no longer kept."""
        if era != self.era or revision < self._changes_since:
            return None
        return tuple(entry for entry in self._kept_changes if entry.revision > revision)


class Feeds:
    """Copies of both feeds, with the newest revisions that other processes offer.

    Attributes:
        operator: Copy of the operator's feed.
        upstreams: Copy of the upstreams' feed.
        changed: Feeds whose content changed in this tick.
        is_reading: Whether this process watches the store. A process that does not watch it reads
            the store only until its copies are complete.
        is_backup: Whether this process watches only because no reader answers it.
        is_first_reader: Whether this process is the first of those that watch the store.
        is_following: Whether a reader that passes on what the store holds has answered lately.
        lapsed_hosts: Hosts whose upstream's entry is lost with the store's last era, and was
            retained until this tick.
    """

    __slots__ = (
        "_told",
        "changed",
        "is_backup",
        "is_first_reader",
        "is_following",
        "is_reading",
        "lapsed_hosts",
        "operator",
        "upstreams",
    )

    def __init__(self) -> None:
        self.operator = FeedCopy(Feed.OPERATOR)
        self.upstreams = FeedCopy(Feed.UPSTREAMS)
        self.changed: set[Feed] = set()
        self.is_reading = True
        self.is_backup = False
        self.is_first_reader = True
        self.is_following = False
        self.lapsed_hosts: set[str] = set()
        self._told: tuple[int, ...] = ()

    @property
    def is_watched(self) -> bool:
        """Whether changes of the store reach this process, by its own watch or by a reader's."""
        return self.is_reading or self.is_following

    def take_news(self) -> bool:
        """Returns whether followers must be told of a change since the last call."""
        copies = (self.operator, self.upstreams)
        told = tuple(
            value
            for copy in copies
            for value in (copy.era, copy.revision, copy.confirmed_at, copy.failing_since)
        )
        if told == self._told:
            return False
        self._told = told
        return True

    def copy(self, feed: Feed) -> FeedCopy:
        """Returns the copy of a feed."""
        return self.operator if feed is Feed.OPERATOR else self.upstreams

    def knowledge(self, feed: Feed, now: int) -> Knowledge:
        """Returns what the copy of a feed says of flows that depend on it, at a time in ms."""
        copy = self.copy(feed)
        as_of = copy.check.as_of if copy.is_complete_as_of(copy.check.as_of, now) else NEVER
        return Knowledge(not self._is_catching_up(copy), as_of)

    def _is_catching_up(self, copy: FeedCopy) -> bool:
        """Whether newer records may arrive at once.

        While calls to the store fail and nobody offers a newer copy, there is nothing to wait for.
        """
        if copy.best_offered > copy.position:
            return True
        if copy.failing_since != NEVER:
            return False
        return not self.is_watched or not copy.is_complete

    def eras(self) -> tuple[int, int]:
        """Returns the eras of the copies of the operator's and of the upstreams' feed."""
        return self.operator.era, self.upstreams.era

    def record_offer(
        self,
        source: Address,
        operator: int,
        upstreams: int,
        now: int,
        is_same_data_centre: bool,
        eras: tuple[int, int] = (0, 0),
    ) -> None:
        """Records which revisions another process holds.

        Args:
            source: Address of the process.
            operator: The process's revision of the operator's feed.
            upstreams: The process's revision of the upstreams' feed.
            now: Time in ms.
            is_same_data_centre: Whether that process is in this process's data centre.
            eras: Eras of the store in which the revisions were assigned.
        """
        self.operator.record_offer(source, (eras[0], operator), now, is_same_data_centre)
        self.upstreams.record_offer(source, (eras[1], upstreams), now, is_same_data_centre)

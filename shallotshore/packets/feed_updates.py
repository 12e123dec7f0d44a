"""Changes the content of a copy of a feed, with what is retained of an earlier era, and logs it."""

from __future__ import annotations

__all__ = ["FeedUpdates"]

from collections.abc import Sequence
from typing import TYPE_CHECKING

from shallotshore.codes import Code
from shallotshore.packets.feed_content import (
    Change,
    ConfigurationChange,
    FeedContent,
    UnreadableEntry,
    UpstreamChange,
    apply_change,
)
from shallotshore.packets.feed_copies import FeedCopy, Feeds

if TYPE_CHECKING:
    from shallotshore.packets.event_log import EventLog
    from shallotshore.systems import Counters

MAX_LOGGED_KEYS = 5  # of the values that one log line counts


class FeedUpdates:
    """Applies what the store or another process has delivered to the copies of the feeds."""

    __slots__ = ("_counters", "_feeds", "_log")

    def __init__(self, feeds: Feeds, counters: Counters, log: EventLog) -> None:
        self._counters = counters
        self._feeds = feeds
        self._log = log

    def retain_known(
        self, copy: FeedCopy, content: FeedContent, era: int, until: int, now: int
    ) -> None:
        """Puts into new content what this process knows and a restored store has lost.

        Args:
            copy: This process's copy.
            content: The content that the store holds.
            era: Era of the content.
            until: When the store's values take effect, in ms.
            now: Time in ms.
        """
        if era == copy.era:
            copy.retained.carry_over(copy.content, content)
            return
        copy.retained.begin_era(copy.content, content, until, now)
        if not copy.revision:
            return
        self._counters.add("store.era_changes")
        self._counters.add("feeds.values_retained", len(copy.retained))
        self._counters.add("feeds.values_left_out", copy.retained.left_out)
        self._log.write(
            now,
            "store_era_changed",
            feed=copy.feed.name,
            era=era,
            was=copy.era,
            revision=copy.revision,
            retained=len(copy.retained),
            left_out=copy.retained.left_out,
        )

    def release_retained(self, copy: FeedCopy, now: int) -> None:
        """Puts the store's values into use for which the time of retention is over."""
        released = copy.retained.release_expired(copy.content, now)
        if not released:
            return
        self._feeds.changed.add(copy.feed)
        for known in released:
            upstream = known.upstream if isinstance(known, UpstreamChange) else None
            if upstream is not None and known.key not in copy.content.upstreams:
                self._feeds.lapsed_hosts.add(upstream.host)
        self._counters.add("feeds.values_dropped", len(released))
        self._log.write(
            now,
            "retained_values_dropped",
            feed=copy.feed.name,
            count=len(released),
            keys=[known.key for known in released[:MAX_LOGGED_KEYS]],
            version=copy.content.configuration.version,
        )

    def replace_content(
        self,
        copy: FeedCopy,
        content: FeedContent,
        era: int,
        revision: int,
        source: str,
        now: int,
    ) -> None:
        """Replaces a copy's content.

        Within an era the configuration in use stays if its version is higher.
        """
        if era == copy.era and content.configuration.version < copy.content.configuration.version:
            content.configuration = copy.content.configuration
        copy.retained.record_replacement(copy.content, content, now)
        copy.content = content
        copy.era = era
        copy.revision = revision
        copy.forget_changes(now)
        self._feeds.changed.add(copy.feed)
        self.log_adopted(copy, source, now)

    def log_adopted(self, copy: FeedCopy, source: str, now: int) -> None:
        """Logs that content which came from a source is in use."""
        self._log.write(
            now,
            "feed_adopted",
            feed=copy.feed.name,
            source=source,
            revision=copy.revision,
            version=copy.content.configuration.version,
            out=sorted(copy.content.data_centres_out),
            upstreams=len(copy.content.upstreams),
        )

    def apply_and_log(self, copy: FeedCopy, change: Change, now: int) -> None:
        """Applies a write that a watch has returned, and logs it if the records have changed."""
        if not self.apply_write(copy, change, now):
            # Another writer may rewrite an unreadable entry at any rate.
            return
        self._feeds.changed.add(copy.feed)
        self._log.write(
            now,
            "feed_changed",
            feed=copy.feed.name,
            kind=type(change).__name__,
            key=change.key,
            revision=change.revision,
            version=copy.content.configuration.version,
            is_gone=change.is_gone,
        )

    def apply_write(self, copy: FeedCopy, change: Change, now: int) -> bool:
        """Applies a write of the copy's era, and returns whether the records have changed."""
        copy.keep_change(change)
        if isinstance(change, ConfigurationChange):
            copy.name_services(change.configuration)
        retained = len(copy.retained)
        if not copy.retained.admit_write(change, copy.content, now):
            return False
        if len(copy.retained) < retained:
            self._counters.add("feeds.values_rewritten")
        is_changed = apply_change(change, copy.content)
        if is_changed:
            copy.retained.record_change(change, now)
        return is_changed

    def log_unreadable(self, copy: FeedCopy, changes: Sequence[Change], now: int) -> None:
        """Counts the entries that are left out, and logs each key once while it stays so."""
        for change in changes:
            if not isinstance(change, UnreadableEntry):
                continue
            self._counters.add("store.unreadable_entries")
            is_known = change.key in copy.content.unreadable
            if not is_known and self._log.try_admit_decision(now):
                self._log.write(
                    now,
                    "entry_unreadable",
                    key=change.key,
                    code=int(Code.RECORD_UNREADABLE),
                    reason=change.reason,
                )

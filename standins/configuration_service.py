"""Stand-in of the platform's configuration service: rate-limited reads and watches, no writes.

In a drill, the store is restored from a copy that is some revisions old.
"""

__all__ = ["ConfigurationService", "Mode", "PlatformService"]

from collections.abc import Mapping
from enum import Enum
from itertools import groupby

from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply
from shallotshore.messages import Address, Entry, Source
from shallotshore.systems import Core

MAX_READS_PER_S = 2000  # the platform's limit across all readers; a watch counts as one read
MAX_WATCH_MS = 30_000  # after which the service answers a watch without a change


class Mode(Enum):
    """How the service behaves."""

    UP = "up"
    DOWN = "down"
    STALE = "stale"


class PlatformService(Core):
    """A key-value store of texts whose revision rises with each publication.

    Attributes:
        era: Number of times that the store was restored from a copy.
        mode: UP answers, DOWN never answers, STALE answers with a revision fixed when it began.
        lag_ms: Time in ms until a publication becomes visible.
        reads: Number of calls received.
        refused: Number of calls refused by the rate limit.
        watches: (reader, revision the reader has, time in ms when its wait ends) of open watches.
    """

    __slots__ = (
        "_now",
        "_publications",
        "_source",
        "_restored_revision",
        "_stale_revision",
        "_window_reads",
        "_window_s",
        "era",
        "lag_ms",
        "mode",
        "reads",
        "refused",
        "watches",
    )

    def __init__(self, source: Source, lag_ms: int = 0) -> None:
        super().__init__()
        self.era = 0
        self.mode = Mode.UP
        self.lag_ms = lag_ms
        self.reads = 0
        self.refused = 0
        self.watches: list[tuple[Address, int, int]] = []
        self._source = source
        self._publications: list[tuple[int, Entry]] = []
        self._restored_revision = 0
        self._stale_revision = 0
        self._window_s = -1
        self._window_reads = 0
        self._now = 0
        self._systems = [_ReadSystem(self), _WatchSystem(self)]

    @property
    def revision(self) -> int:
        """The latest published revision."""
        return self._publications[-1][1].revision if self._publications else 0

    def publish(self, texts: Mapping[str, bytes], now: int, revision: int | None = None) -> int:
        """Publishes records as one revision; an empty text deletes its key.

        Args:
            texts: New texts by key.
            now: Time in ms.
            revision: Revision number; by default one above the latest.

        Returns:
            The revision number.
        """
        number = self.revision + 1 if revision is None else revision
        self._publications.extend((now, Entry(key, number, text)) for key, text in texts.items())
        return number

    def set_mode(self, mode: Mode, revisions_behind: int = 0) -> None:
        """Changes the mode.

        Args:
            mode: The new mode.
            revisions_behind: Number of revisions by which a stale service lags behind.
        """
        self._stale_revision = max(0, self.visible_revision() - revisions_behind)
        self.mode = mode

    def restore_copy(self, revisions_behind: int) -> list[dict[str, bytes]]:
        """Restores the store from a copy and raises its era; open watches are lost.

        Args:
            revisions_behind: Number of publications that the copy lacks.

        Returns:
            The texts of the lost publications by key, in order of publication.
        """
        revisions = sorted({entry.revision for _, entry in self._publications})
        kept = revisions[: max(0, len(revisions) - revisions_behind)]
        last = kept[-1] if kept else 0
        lost = [entry for _, entry in self._publications if entry.revision > last]
        self._publications = [item for item in self._publications if item[1].revision <= last]
        self._restored_revision = last
        self.era += 1
        self.watches.clear()
        return [
            {entry.key: entry.text for entry in group}
            for _, group in groupby(lost, lambda entry: entry.revision)
        ]

    def is_rewritten(self, key: str) -> bool:
        """Whether a key was published after the store was last restored."""
        return any(
            entry.key == key and entry.revision > self._restored_revision
            for _, entry in self._publications
        )

    def visible_revision(self) -> int:
        """Returns the revision that readers see at present."""
        if self.mode is Mode.STALE:
            return self._stale_revision
        revisions = [
            entry.revision for at, entry in self._publications if at + self.lag_ms <= self._now
        ]
        return revisions[-1] if revisions else 0

    def tick(self, now: int) -> None:
        """Answers reads, and watches that have a change or whose time is over."""
        self._now = now
        super().tick(now)

    def next_due(self) -> int | None:
        """Returns the time in ms of the next tick that no arrival triggers, or None."""
        if not self.watches:
            return None
        return min(self._now + 20, *(due for _, _, due in self.watches))

    def admit_read(self, now: int) -> bool:
        """Counts one call and returns whether the rate limit allows it."""
        self.reads += 1
        if now // 1000 != self._window_s:
            self._window_s, self._window_reads = now // 1000, 0
        self._window_reads += 1
        if self._window_reads > MAX_READS_PER_S:
            self.refused += 1
            return False
        return True

    def send_reply(self, reader: Address, after: int, code: Code = Code.OK) -> None:
        """Sends the latest entry of each key changed after a revision, or just an error code."""
        up_to = self.visible_revision()
        newest = {
            entry.key: entry
            for _, entry in self._publications
            if after < entry.revision <= up_to and code == Code.OK
        }
        entries = tuple(newest.values())
        reply = PlatformReply(self._source, code, after, up_to, entries, self.era)
        self.outbox.send(reader, reply)


class ConfigurationService(PlatformService):
    """The configuration service, which holds the operators' records."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(Source.CONFIGURATION)


class _ReadSystem:
    """Answers reads and stores watches until something changes."""

    __slots__ = ("_core",)

    def __init__(self, core: PlatformService) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        for reader, read in core.inbox.take(PlatformRead):
            if core.mode is Mode.DOWN:
                continue
            if not core.admit_read(now):
                core.send_reply(reader, read.after, Code.SERVICE_RATE_LIMITED)
            elif core.era and read.wait > 0 and read.after > core.visible_revision():
                core.send_reply(reader, read.after, Code.SERVICE_STALE)
            elif read.wait <= 0 or core.visible_revision() != read.after:
                core.send_reply(reader, read.after)
            else:
                core.watches.append((reader, read.after, now + min(read.wait, MAX_WATCH_MS)))


class _WatchSystem:
    """Answers watches after a publication or when their time is over."""

    __slots__ = ("_core",)

    def __init__(self, core: PlatformService) -> None:
        self._core = core

    def run(self, now: int) -> None:
        core = self._core
        if core.mode is Mode.DOWN:
            core.watches.clear()
            return
        revision = core.visible_revision()
        waiting = []
        for reader, after, due in core.watches:
            if revision > after or now >= due:
                core.send_reply(reader, after)
            else:
                waiting.append((reader, after, due))
        core.watches = waiting

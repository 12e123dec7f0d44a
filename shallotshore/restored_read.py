"""Compares a full read of a restored platform service with the entries that a process holds."""

__all__ = ["RestoredRead"]

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from itertools import chain

from shallotshore.messages import Entry
from shallotshore.positions import (
    RETAINING,
    VERIFIED,
    Rank,
    era_of,
    make_position,
    phase_of,
    position_of_write,
    revision_of,
)
from shallotshore.replica import Replica
from shallotshore.store import RecordStore, id_of_key, split_key
from shallotshore.texts import decompress_text

# The copy is at most this many revisions older than a read, so that keys written before that have
# the same text in all eras. The others get positions of the new phase, also if their texts are
# equal: otherwise an older write that another process reads in that phase would take precedence.
MAX_COPY_AGE_REVISIONS = 8192
RECORDS_PER_STEP = 100  # comparing a record takes up to 15 us; a step of work may take 2 ms
_RELAYED_KIND = "members"  # made by the processes, so that the service never holds such keys


class RestoredRead:
    """A full read that is compared in steps, and the changes that lead to it.

    The changes are entries at positions of the new era, which are applied and relayed like any
    others. In phase `RETAINING`, a key whose newest write may be missing from the store's copy
    keeps the value known here. That value gets a position above that of the store's, so that it
    also takes precedence at a process that knows only the latter.

    Attributes:
        changes: Entries to apply; complete once `step` has returned True.
        equal: Entries with the text in force, of which only the positions are new.
        position: Position of the read.
        replaces: Position that the process held when the comparison started.
        retained: Number of keys that keep a value which the store does not hold.
    """

    __slots__ = (
        "_entries",
        "_history",
        "_received",
        "_replica",
        "_retains",
        "_steps",
        "_store",
        "changes",
        "equal",
        "position",
        "replaces",
        "retained",
    )

    def __init__(self, replica: Replica, position: int, entries: Iterable[Entry]) -> None:
        store = replica.store
        self._replica = replica
        self._store = store
        self._entries = entries
        self._received: set[int] = set()
        self._retains = phase_of(position) == RETAINING
        self._history = _History(store)
        self._steps = self._compare()
        self.changes: list[Entry] = []
        self.equal: list[Entry] = []
        self.position = position
        self.replaces = store.revision
        self.retained = 0

    def step(self) -> bool:
        """Compares some entries; returns whether all have been compared."""
        return any(next(self._steps, self) is self for _ in range(RECORDS_PER_STEP))

    def _compare(self) -> Iterator[None]:
        for entry in self._entries:
            self._compare_entry(entry)
            yield
        for key_id in chain(self._store.all_ids(), list(self._store.refused)):
            if key_id not in self._received:
                self._received.add(key_id)
                self._compare_absent_key(key_id)
            yield

    def _compare_entry(self, entry: Entry) -> None:
        key_id = id_of_key(entry.key)
        self._received.add(key_id)
        known = _known_entry(self._store, key_id)
        if known is not None and known.text == entry.text:
            if entry.revision > revision_of(self.position) - MAX_COPY_AGE_REVISIONS:
                self._add_equal(entry, key_id, self._rank(key_id, known, entry))
            return
        rank = self._rank(key_id, known, entry)
        if known is not None and rank == Rank.RETAINED:
            self._retain(key_id, known, entry.revision)
        else:
            self._add_change(entry, rank)

    def _rank(self, key_id: int, known: Entry | None, entry: Entry) -> Rank:
        """Returns the rank of the value that a key gets."""
        if not self._retains:
            return Rank.WRITTEN
        if known is None:
            return Rank.UNJUDGED
        if known.text == entry.text and revision_of(known.revision) == entry.revision:
            return Rank.UNJUDGED
        is_new = self._history.is_new_write(key_id, known, entry.revision)
        return Rank.WRITTEN if is_new else Rank.RETAINED

    def _compare_absent_key(self, key_id: int) -> None:
        known = _known_entry(self._store, key_id)
        if known is None or split_key(known.key)[0] == _RELAYED_KIND:
            return
        if self._retains:
            self._retain(key_id, known, revision_of(self.position))
        else:
            self._add_change(Entry(known.key, revision_of(self.position), b""), Rank.WRITTEN)

    def _add_change(self, entry: Entry, rank: Rank) -> None:
        position = position_of_write(self.position, entry.revision, rank)
        self.changes.append(entry._replace(revision=position))

    def _add_equal(self, entry: Entry, key_id: int, rank: Rank) -> None:
        is_in_force = key_id in self._store and key_id not in self._store.refused
        if is_in_force and not self._replica.depends_on_revision(entry.key):
            position = position_of_write(self.position, entry.revision, rank)
            self.equal.append(Entry(entry.key, position, b""))
        else:
            self._add_change(entry, rank)

    def _retain(self, key_id: int, known: Entry, revision: int) -> None:
        self.retained += 1
        if key_id not in self._store.refused:
            self._add_change(known._replace(revision=revision), Rank.RETAINED)


def _known_entry(store: RecordStore, key_id: int) -> Entry | None:
    """Returns the newest known entry of a key with its published text, or None."""
    entry = store.refused.get(key_id) or next(store.accepted_entries(key_id), None)
    if entry is None or not entry.text:
        return entry
    return entry._replace(text=decompress_text(entry.text))


class _History:
    """The writes that a process has seen, from which it recognizes a write of the new era.

    An entry of the store's copy was written in an earlier era. If this process has skipped the
    entry's revision, the next revision that it held shows whether the key had been written since.
    """

    __slots__ = ("_base", "_held", "_is_first_change", "_writes")

    def __init__(self, store: RecordStore) -> None:
        self._is_first_change = era_of(store.revision) == 0
        self._base = store.log_base_revision
        self._held: dict[int, list[int]] = {}
        for position in store.held_positions:
            self._held.setdefault(era_of(position), []).append(revision_of(position))
        self._writes: dict[int, list[int]] = {}
        for key_id, position in store.logged_changes():
            self._writes.setdefault(key_id, []).append(position)

    def is_new_write(self, key_id: int, known: Entry, revision: int) -> bool:
        """Whether an entry whose text differs from the known one was written in the new era."""
        if self._is_first_change and revision >= known.revision:
            return True
        return not any(self._may_be_copied(key_id, revision, era) for era in self._held)

    def _may_be_copied(self, key_id: int, revision: int, era: int) -> bool:
        """Whether the key may have been written at a revision in an earlier era."""
        held = self._held[era]
        if revision > held[-1]:
            return False
        if revision <= held[0] or make_position(era, VERIFIED, revision) <= self._base:
            return True
        next_held = held[bisect_left(held, revision)]
        return any(
            era_of(at) == era and revision <= revision_of(at) <= next_held
            for at in self._writes.get(key_id, ())
        )

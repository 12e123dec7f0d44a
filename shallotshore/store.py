"""Store of the texts of published records, as processes relay them to each other."""

__all__ = ["CONFLICT_PREFIX", "RecordStore", "Tombstone", "id_of_key", "split_key"]

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from shallotshore.compact import Arena, CompactTable
from shallotshore.hashing import name_id, score
from shallotshore.messages import Entry
from shallotshore.tables import MISSING

MAX_LOGGED_CHANGES = 8192  # about a day of changes at the design size
MAX_HELD_POSITIONS = 8192  # as many as changes, since a revision has at least one

# Key prefix of a relayed text that is valid by itself, but conflicts with other records.
CONFLICT_PREFIX = "contested/"

_KINDS = ("", "service", "upstream", "data_centre", "customer", "members", "vm")
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}


class Tombstone(NamedTuple):
    """A deleted key and the slice it was in; scope 0 means several slices or an unknown one."""

    key: str
    revision: int
    scope: int


def split_key(key: str) -> tuple[str, str]:
    """Returns kind and name of a key such as "service/spotdesk"."""
    kind, _, name = key.partition("/")
    return kind, name


def id_of_key(key: str) -> int:
    """Returns the 64-bit id of a key, which is the same with and without `CONFLICT_PREFIX`."""
    return name_id(*split_key(key.removeprefix(CONFLICT_PREFIX)))


class RecordStore(CompactTable):
    """The last accepted text of every key, and also the newest text if that was refused.

    The digest covers both, since a reader that missed a revision may hold an older accepted text
    than other readers. Program versions that accept different schemas come to different digests
    for as long as they run together.
    """

    __slots__ = (
        "_arena",
        "_changed_ids",
        "_log_ids",
        "_log_revisions",
        "conflicting",
        "digest",
        "held_positions",
        "kind",
        "location",
        "log_base_revision",
        "record_revision",
        "refused",
        "revision",
        "tombstones",
    )

    record_revision: array
    kind: array
    location: array

    COLUMNS = {"record_revision": "Q", "kind": "B", "location": "I"}

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self._arena = Arena(self.location)
        self._log_revisions = array("Q")
        self._log_ids = array("Q")
        self._changed_ids: tuple[int, dict[int, None]] | None = None
        self.digest = 0
        self.log_base_revision = 0
        self.revision = 0
        # Every position that was held, so that a change missing from the log did not take place.
        self.held_positions = array("Q")
        self.refused: dict[int, Entry] = {}
        # Ids of the refused texts that are valid by themselves, but conflict with other records.
        self.conflicting: set[int] = set()
        self.tombstones: dict[int, Tombstone] = {}

    def name(self, row: int) -> str:
        """Returns the name of a row's record."""
        return self._arena.name(row).decode()

    def record_key(self, row: int) -> str:
        """Returns the key of a row's record."""
        return f"{_KINDS[self.kind[row]]}/{self.name(row)}"

    def text(self, row: int) -> bytes:
        """Returns the compressed text of a row's record."""
        return self._arena.text(row)

    def accepted_revision(self, key_id: int) -> int:
        """Returns the revision of the text in force or of the deletion; 0 for an unknown key."""
        row = self.row(key_id)
        if row != MISSING:
            return self.record_revision[row]
        tombstone = self.tombstones.get(key_id)
        return 0 if tombstone is None else tombstone.revision

    def newest_revision(self, key_id: int) -> int:
        """Returns the revision of a key's newest text, refused or not; 0 when there is no text."""
        row = self.row(key_id)
        revision = 0 if row == MISSING else self.record_revision[row]
        refused = self.refused.get(key_id)
        return revision if refused is None else max(revision, refused.revision)

    def digest_input(self, key_id: int) -> int:
        """Returns the value with which a key enters the digest; 0 when the key has no text."""
        row = self.row(key_id)
        accepted = 0 if row == MISSING else self.record_revision[row]
        refused = self.refused.get(key_id)
        if refused is None:
            return accepted
        return score(accepted + 1, refused.revision << 1 | (key_id in self.conflicting))

    def is_known(self, key_id: int, revision: int) -> bool:
        """Whether a revision of a key need not be read again.

        True for a revision that is in force, deleted, superseded or refused. A conflicting text is
        read again, since another reader may have put it in force.
        """
        if revision <= self.accepted_revision(key_id):
            return True
        refused = self.refused.get(key_id)
        return (
            refused is not None and refused.revision == revision and key_id not in self.conflicting
        )

    def write_entry(self, key_id: int, entry: Entry) -> int:
        """Puts a text in force, in place of the key's earlier text or deletion.

        Args:
            key_id: Id of the entry's key.
            entry: Key, revision and compressed text; the key must be of a known kind.

        Returns:
            The row, or MISSING when the table is at its limit.
        """
        before = self.digest_input(key_id)
        row = self.row(key_id)
        if row != MISSING:
            self._arena.free(row)
        else:
            row = self.add(key_id)
            if row == MISSING:
                return MISSING
        kind, name = split_key(entry.key)
        self._arena.write_record(row, name.encode(), entry.text)
        self.kind[row] = _KIND_NUMBERS[kind]
        self.record_revision[row] = entry.revision
        self.tombstones.pop(key_id, None)
        self._remove_refused(key_id, entry.revision)
        self._update_digest(key_id, before)
        return row

    def restamp(self, key_id: int, revision: int) -> None:
        """Sets the revision of a text in force, unless there is none or its revision is higher."""
        row = self.row(key_id)
        if row != MISSING and revision > self.record_revision[row]:
            before = self.digest_input(key_id)
            self.record_revision[row] = revision
            self._remove_refused(key_id, revision)
            self._update_digest(key_id, before)

    def store_refused_entry(self, entry: Entry, conflicting: bool) -> None:
        """Stores a refused text for relaying; the last accepted text stays in force.

        Args:
            entry: Key, revision and compressed text.
            conflicting: Whether the text is valid by itself, but conflicts with other records.
        """
        key_id = id_of_key(entry.key)
        before = self.digest_input(key_id)
        if entry.revision > self.newest_revision(key_id):
            self.refused[key_id] = entry
            self.conflicting.discard(key_id)
            if conflicting:
                self.conflicting.add(key_id)
            self._update_digest(key_id, before)

    def delete_key(self, key: str, revision: int, scope: int) -> None:
        """Deletes a key and leaves a tombstone, which is not part of the digest."""
        key_id = id_of_key(key)
        before = self.digest_input(key_id)
        self._remove_refused(key_id, revision)
        self._remove_row(key_id)
        self.tombstones[key_id] = Tombstone(key, revision, scope)
        self._update_digest(key_id, before)
        self._log_change(key_id, revision)

    def remove_key(self, key_id: int) -> None:
        """Removes a key without a tombstone."""
        before = self.digest_input(key_id)
        self.refused.pop(key_id, None)
        self.conflicting.discard(key_id)
        self._remove_row(key_id)
        self._update_digest(key_id, before)

    def accepted_entries(self, key_id: int) -> Iterator[Entry]:
        """Yields the text in force or the deletion of a key, but no refused text."""
        row = self.row(key_id)
        if row != MISSING:
            yield Entry(self.record_key(row), self.record_revision[row], self.text(row))
            return
        tombstone = self.tombstones.get(key_id)
        if tombstone is not None:
            yield Entry(tombstone.key, tombstone.revision, b"")

    def refused_entries(self, key_ids: Iterable[int]) -> list[Entry]:
        """Returns the refused texts of some keys as they are relayed, in order of publication."""
        found = [(self.refused[key_id], key_id in self.conflicting) for key_id in key_ids]
        found.sort(key=lambda item: (item[0].revision, item[0].key))
        return [
            entry._replace(key=CONFLICT_PREFIX + entry.key) if is_conflicting else entry
            for entry, is_conflicting in found
        ]

    def ids_changed_since(self, revision: int) -> dict[int, None] | None:
        """Returns the ids of the keys changed after a revision.

        Returns:
            The ids in order of change, which the caller must not modify, or None when the log does
            not reach back that far.
        """
        if revision < self.log_base_revision:
            return None
        if self._changed_ids is None or self._changed_ids[0] != revision:
            # Cached, since most followers of a process ask for the changes since the same revision.
            start = bisect_right(self._log_revisions, revision)
            self._changed_ids = (revision, dict.fromkeys(self._log_ids[start:]))
        return self._changed_ids[1]

    def logged_changes(self) -> Iterator[tuple[int, int]]:
        """Iterates over key id and revision of every change in the log."""
        return zip(self._log_ids, self._log_revisions, strict=True)

    def all_ids(self) -> Iterator[int]:
        """Yields the ids of all rows; the table may change during the iteration."""
        row = 0
        while row < len(self.key):
            if self.kind[row]:
                yield self.key[row]
            row += 1

    def digest_of_keys(self, key_ids: Iterable[int]) -> int:
        """Returns the digest of some keys."""
        digest = 0
        for key_id in key_ids:
            digest_input = self.digest_input(key_id)
            if digest_input:
                digest ^= score(key_id, digest_input)
        return digest

    def set_revision(self, revision: int, logged: bool) -> None:
        """Sets the revision at the end of an update, and shortens the log when it is too long.

        Args:
            revision: The revision that is now held.
            logged: Whether the log holds all changes since the revision held before.
        """
        is_first = self.revision == 0
        self.revision = revision
        self.held_positions.append(revision)
        if len(self.held_positions) > MAX_HELD_POSITIONS:
            del self.held_positions[: MAX_HELD_POSITIONS // 4]
        if is_first or not logged:
            self._trim_log(len(self._log_ids), revision)
        elif len(self._log_ids) > MAX_LOGGED_CHANGES:
            count = len(self._log_ids) - MAX_LOGGED_CHANGES * 3 // 4
            self._trim_log(count, self._log_revisions[count - 1])

    def _trim_log(self, count: int, log_base_revision: int) -> None:
        self._changed_ids = None
        self.log_base_revision = max(self.log_base_revision, log_base_revision)
        for key_id in self._log_ids[:count]:
            tombstone = self.tombstones.get(key_id)
            if tombstone is not None and tombstone.revision <= self.log_base_revision:
                del self.tombstones[key_id]
        del self._log_ids[:count]
        del self._log_revisions[:count]

    def _remove_refused(self, key_id: int, revision: int) -> None:
        refused = self.refused.get(key_id)
        if refused is not None and refused.revision <= revision:
            del self.refused[key_id]
            self.conflicting.discard(key_id)

    def _remove_row(self, key_id: int) -> None:
        row = self.row(key_id)
        if row != MISSING:
            self._arena.free(row)
            self.remove(key_id)

    def _update_digest(self, key_id: int, before: int) -> None:
        after = self.digest_input(key_id)
        if after == before:
            return
        self._xor_into_digest(key_id, before)
        self._xor_into_digest(key_id, after)
        if after:
            self._log_change(key_id, self.newest_revision(key_id))

    def _xor_into_digest(self, key_id: int, digest_input: int) -> None:
        if digest_input:
            self.digest ^= score(key_id, digest_input)

    def _log_change(self, key_id: int, revision: int) -> None:
        if self.revision == 0:
            return  # the first revision needs no log, since it is always sent whole
        # Only a repair adds an old change out of order; the exchange of digests spreads the change.
        position = bisect_right(self._log_revisions, revision)
        self._changed_ids = None
        self._log_revisions.insert(position, revision)
        self._log_ids.insert(position, key_id)

"""Copies of a platform service's entries, and how updates change them in slices."""

__all__ = ["UpdateResult", "Replica", "Update"]

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from result import Err, Result

from shallotshore.codes import Code
from shallotshore.messages import Entry
from shallotshore.record_reader import Problem
from shallotshore.store import CONFLICT_PREFIX, RecordStore, id_of_key
from shallotshore.tables import MISSING
from shallotshore.texts import compress_text, decompress_text

MIN_REFUSED_RECORDS = 10  # fewer refused records never make a whole revision unacceptable


class UpdateResult(NamedTuple):
    """What a revision changed; ids of services and data centres."""

    accepted: bool
    problems: tuple[Problem, ...]
    changed_services: frozenset[int]
    changed_data_centres: frozenset[int]


class Replica:
    """Base of the catalog and the VM list: a store of texts and columns read from them.

    Hooks get records that were read without problems. What processes must see change together
    is changed in `publish_changes`.
    """

    __slots__ = ("_digests", "changed_data_centres", "changed_services", "store")

    def __init__(self, store: RecordStore) -> None:
        self.store = store
        # Digests of slices, by slice; agents offer theirs every second.
        self._digests: dict[int, int] = {}
        # Kept here rather than in the update, so that an update given up half-way loses no change.
        self.changed_services: set[int] = set()
        self.changed_data_centres: set[int] = set()

    @property
    def revision(self) -> int:
        """The revision in force; 0 when nothing is held."""
        return self.store.revision

    def start_update(self, revision: int, relayed: bool, is_snapshot: bool = False) -> "Update":
        """Starts an update that is fed and run in slices.

        Args:
            revision: The revision after the update.
            relayed: Whether entries come from another process of the system, which has compressed
                their texts and has accepted the revision as a whole.
            is_snapshot: Whether the entries are everything that exists at the revision.
        """
        return Update(self, revision, relayed, is_snapshot)

    def apply_revision(self, revision: int, entries: Iterable[Entry]) -> UpdateResult:
        """Applies the published entries that lead to a revision, all at once.

        Args:
            revision: The revision after the entries.
            entries: Changed keys with JSON texts; an empty text deletes a key.

        Returns:
            Whether the revision was accepted, and what it changed.
        """
        update = self.start_update(revision, relayed=False)
        update.feed(entries)
        update.mark_complete()
        while update.result is None:
            update.step(1 << 20)
        return update.result

    def select_entries(self, after: int, scope: int) -> tuple[int, Iterator[Entry]]:
        """Selects the entries that lead from a revision to the one held.

        Args:
            after: Revision that the asker holds.
            scope: 0 for everything, else the id of a slice.

        Returns:
            The base revision, which is 0 when the entries are everything that exists, and the
            entries with compressed texts.
        """
        changed = self.store.ids_changed_since(after) if after else None
        if changed is None:
            return 0, self._entries(self.ids_in_slice(scope))
        if not scope:
            return after, self._entries(changed)
        # A slice is small, while a thousand keys may have changed.
        chosen = [key for key in self.ids_in_slice(scope) if key in changed]
        deleted = [key for key in changed if key in self.store.tombstones]
        chosen += [key for key in deleted if self.was_in_slice(key, scope)]
        return after, self._entries(chosen)

    def digest(self, scope: int) -> int:
        """Returns the digest of everything (scope 0) or of a slice."""
        if not scope:
            return self.store.digest
        if scope not in self._digests:
            self._digests[scope] = self.store.digest_of_keys(self.ids_in_slice(scope))
        return self._digests[scope]

    def commit_update(self, update: "Update", logged: bool) -> None:
        """Puts an update in force.

        Args:
            update: The update, all of whose entries were worked off.
            logged: Whether the log holds all its changes.
        """
        self.publish_changes(update)
        self.store.set_revision(update.revision, logged)
        self._digests.clear()
        self.changed_services.clear()
        self.changed_data_centres.clear()

    def _entries(self, key_ids: Iterable[int]) -> Iterator[Entry]:
        refused = []
        for key_id in key_ids:
            yield from self.store.accepted_entries(key_id)
            if key_id in self.store.refused:
                refused.append(key_id)
        yield from self.store.refused_entries(refused)

    def ids_in_slice(self, scope: int) -> Iterable[int]:
        """Returns the ids of all keys in a slice; each id once."""
        raise NotImplementedError

    def was_in_slice(self, key_id: int, scope: int) -> bool:
        """Whether a deleted key was in a slice, as far as is known."""
        return self.store.tombstones[key_id].scope in (0, scope)

    def scope_of_deleted(self, key_id: int) -> int:
        """Returns the slice that a deleted key was in; 0 when it was in several."""
        raise NotImplementedError

    def read(self, key: str, text: bytes, relayed: bool) -> Result[object, list[Problem]]:
        """Reads a text; some kinds exist only between processes of the system."""
        raise NotImplementedError

    def has_room(self, record: object) -> bool:
        """Whether the tables can take the rows that a record adds."""
        return True

    def may_conflict(self, record: object) -> bool:
        """Whether a published record may conflict with others, so that its order matters."""
        return False

    def find_conflict(self, record: object) -> Problem | None:
        """Returns why a published record cannot be in force beside the present ones."""
        return None

    def is_stored(self, record: object) -> bool:
        """Whether a published record is held and relayed."""
        return True

    def write_columns(self, row: int, record: object, update: "Update") -> None:
        """Writes a record into the columns of its row, which still hold its old version."""
        raise NotImplementedError

    def clear_columns(self, row: int, revision: int, update: "Update") -> None:
        """Takes a record out of the columns; its row is removed next."""
        raise NotImplementedError

    def prepare_commit(self, update: "Update") -> Iterator[None]:
        """Does what can be done in slices before `publish_changes`."""
        raise NotImplementedError

    def publish_changes(self, update: "Update") -> None:
        """Makes the changes visible that must be seen together."""
        raise NotImplementedError


def _publication_order(entry: Entry) -> tuple[int, str]:
    return entry.revision, entry.key


class Update:
    """One revision on its way into a replica.

    The first revision of a process is worked off while it arrives. Later ones wait until they are
    complete, so that a lost part leaves the revision in force as it is.
    """

    __slots__ = (
        "_conflict_candidates",
        "_has_all_entries",
        "_is_commit_due",
        "_problems",
        "_replace",
        "_replica",
        "_received_ids",
        "_steps_run",
        "_unprocessed",
        "_processing",
        "relayed",
        "result",
        "revision",
    )

    def __init__(self, replica: Replica, revision: int, relayed: bool, is_snapshot: bool) -> None:
        self._replica = replica
        self._replace = is_snapshot and replica.revision > 0
        self._has_all_entries = False
        self._is_commit_due = False
        self._steps_run = 0
        self._unprocessed: deque[Entry] = deque()
        self._conflict_candidates: list[tuple[Entry, object]] = []
        self._problems: list[Problem] = []
        self._received_ids: set[int] = set()
        self._processing = self._process_entries()
        self.relayed = relayed
        self.revision = revision
        self.result: UpdateResult | None = None

    @property
    def has_all_entries(self) -> bool:
        """Whether all entries were fed."""
        return self._has_all_entries

    @property
    def is_runnable(self) -> bool:
        """Whether `step` has something to do."""
        return self.result is None and (
            self._has_all_entries
            or (self.relayed and self._replica.revision == 0 and bool(self._unprocessed))
        )

    def feed(self, entries: Iterable[Entry]) -> None:
        """Adds entries; those already held are dropped."""
        for entry in entries:
            key_id = id_of_key(entry.key)
            if self._replace:
                self._received_ids.add(key_id)
            if not self._replica.store.is_known(key_id, entry.revision):
                self._unprocessed.append(entry)

    def mark_complete(self) -> None:
        """Says that all entries were fed."""
        self._has_all_entries = True
        if not self.relayed:
            # Every reader of a revision must come to the same result.
            self._unprocessed = deque(sorted(self._unprocessed, key=_publication_order))

    def step(self, limit: int) -> int:
        """Works off entries.

        Args:
            limit: Greatest number of records to read.

        Returns:
            The number of records read; fewer than the limit when nothing is left to do.
        """
        count = 0
        self._steps_run += self.is_runnable
        # What a large update makes visible at once takes a slice of its own.
        while count < limit and self.is_runnable and not (count and self._is_commit_due):
            next(self._processing, None)
            count += 1
        return count

    def _process_entries(self) -> Iterator[None]:
        held = self._replica.revision
        if self.revision < held or (self.revision == held and not self.relayed):
            self._refuse_revision(Code.REVISION_NOT_RISING, f"{self.revision} is not above {held}")
            return
        if not self.relayed:
            yield from self._check_refused_share()
        while self._unprocessed or not self._has_all_entries:
            if self._unprocessed:
                self._process_entry(self._unprocessed.popleft())
            yield
        if self.result is None:
            yield from self._process_remainder()
            yield from self._replica.prepare_commit(self)
            if self._steps_run > 1:
                self._is_commit_due = True
                yield
            self._commit()

    def _check_refused_share(self) -> Iterator[None]:
        refused = 0
        for entry in list(self._unprocessed):
            if entry.text and isinstance(self._replica.read(entry.key, entry.text, False), Err):
                refused += 1
            yield
        if refused >= MIN_REFUSED_RECORDS and refused * 2 > len(self._unprocessed):
            detail = f"{refused} of {len(self._unprocessed)} changed records"
            self._unprocessed.clear()
            self._refuse_revision(Code.REVISION_MOSTLY_REFUSED, detail)

    def _refuse_revision(self, code: Code, detail: str) -> None:
        problem = Problem(code, "", "", detail)
        self.result = UpdateResult(False, (problem,), frozenset(), frozenset())

    def _process_entry(self, entry: Entry) -> None:
        store = self._replica.store
        key_id = id_of_key(entry.key)
        if store.is_known(key_id, entry.revision):
            return
        if not entry.text:
            self._delete(entry, key_id)
            return
        if self.relayed and entry.key.startswith(CONFLICT_PREFIX):
            # The reader's judgement holds, since this process may not have seen all it rests on.
            store.store_refused_entry(
                entry._replace(key=entry.key.removeprefix(CONFLICT_PREFIX)), conflicting=True
            )
            return
        if not self.relayed:
            entry = entry._replace(text=compress_text(entry.text))
        read = self._read_entry(entry)
        if isinstance(read, Err):
            self._refuse_entry(entry, read.err_value)
        elif self.relayed or self._replica.is_stored(read.ok_value):
            self._accept_record(key_id, entry, read.ok_value)
        elif key_id in store:
            self._delete(entry, key_id)

    def _read_entry(self, entry: Entry) -> Result[object, list[Problem]]:
        try:
            text = decompress_text(entry.text)
        except ValueError as error:
            return Err([Problem(Code.RECORD_UNREADABLE, entry.key, "", str(error))])
        return self._replica.read(entry.key, text, self.relayed)

    def _delete(self, entry: Entry, key_id: int) -> None:
        scope = self._replica.scope_of_deleted(key_id)
        self._clear_record_columns(key_id, entry.revision)
        self._replica.store.delete(entry.key, entry.revision, scope)

    def _clear_record_columns(self, key_id: int, revision: int) -> None:
        row = self._replica.store.row(key_id)
        if row != MISSING:
            self._replica.clear_columns(row, revision, self)

    def _refuse_entry(self, entry: Entry, problems: Iterable[Problem]) -> None:
        self._problems.extend(problems)
        self._replica.store.store_refused_entry(entry, conflicting=False)

    def _accept_record(self, key_id: int, entry: Entry, record: object) -> None:
        store = self._replica.store
        row = store.row(key_id)
        if row != MISSING and store.record_key(row) != entry.key:
            detail = f"has the same id as {store.record_key(row)}"
            self._problems.append(Problem(Code.RECORD_ID_COLLISION, entry.key, "name", detail))
            return
        if not self.relayed and self._replica.may_conflict(record):
            self._conflict_candidates.append((entry, record))
            return
        self._write_record(key_id, entry, record)

    def _write_record(self, key_id: int, entry: Entry, record: object) -> None:
        row = MISSING
        if self._replica.has_room(record):
            row = self._replica.store.write_entry(key_id, entry)
        if row == MISSING:
            self._refuse_entry(entry, [Problem(Code.TABLE_FULL, entry.key, "", "a table is full")])
            return
        self._replica.write_columns(row, record, self)

    def _resolve_conflicts(self) -> Iterator[None]:
        """Puts records that may conflict in force, in order of publication as far as they can be.

        Those refused earlier take part, since what they conflicted with may be gone.
        """
        waiting = sorted(
            self._conflict_candidates + self._previously_conflicting(),
            key=lambda item: _publication_order(item[0]),
        )
        progress = True
        while progress:
            progress = False
            for item in list(waiting):
                if self._replica.find_conflict(item[1]) is None:
                    waiting.remove(item)
                    self._write_candidate(*item)
                    progress = True
                yield
        for entry, record in self._conflict_candidates:
            problem = self._replica.find_conflict(record)
            if problem is not None and (entry, record) in waiting:
                self._problems.append(problem)
                self._replica.store.store_refused_entry(entry, conflicting=True)

    def _previously_conflicting(self) -> list[tuple[Entry, object]]:
        """Returns the records refused in earlier updates, unless this one replaces them."""
        store = self._replica.store
        replaced = {entry.key for entry, _ in self._conflict_candidates}
        refused = [store.refused[key_id] for key_id in store.conflicting]
        return [
            (entry, self._read_entry(entry).unwrap())
            for entry in refused
            if entry.key not in replaced
        ]

    def _write_candidate(self, entry: Entry, record: object) -> None:
        key_id = id_of_key(entry.key)
        if (
            key_id in self._replica.store.conflicting
            and (entry, record) not in self._conflict_candidates
        ):
            # A new revision of its own makes the change reach the other processes.
            entry = entry._replace(revision=self.revision)
        self._write_record(key_id, entry, record)

    def _process_remainder(self) -> Iterator[None]:
        if not self.relayed:
            yield from self._resolve_conflicts()
        if self._replace:
            yield from self._remove_absent_keys()

    def _remove_absent_keys(self) -> Iterator[None]:
        store = self._replica.store
        for key_id in [*store.all_ids(), *store.refused]:
            if key_id not in self._received_ids and store.newest_revision(key_id) <= self.revision:
                self._clear_record_columns(key_id, self.revision)
                store.discard(key_id)
            yield

    def _commit(self) -> None:
        services = frozenset(self._replica.changed_services)
        data_centres = frozenset(self._replica.changed_data_centres)
        self._replica.commit_update(self, logged=not self._replace)
        self.result = UpdateResult(True, tuple(self._problems), services, data_centres)

"""Copies of a platform service's entries, and updates that change them in small steps."""

__all__ = ["Replica", "Update", "UpdateResult"]

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from result import Err, Result

from shallotshore.codes import Code
from shallotshore.messages import Entry
from shallotshore.positions import Rank, era_of, make_position, phase_of
from shallotshore.record_reader import Problem
from shallotshore.store import CONFLICT_PREFIX, RecordStore, id_of_key
from shallotshore.tables import MISSING
from shallotshore.texts import compress_text, decompress_text

RESTAMPS_PER_RECORD = 20  # a new position for an equal text takes 5 us, a record up to 0.1 ms
MIN_REFUSED_RECORDS = 10  # with fewer refused records a revision is never refused as a whole


class UpdateResult(NamedTuple):
    """Result of an update, with the ids of the services and data centres that it changed."""

    accepted: bool
    problems: tuple[Problem, ...]
    changed_services: frozenset[int]
    changed_data_centres: frozenset[int]


class Replica:
    """Base of the catalog and the VM list: a store of texts, and columns filled from the texts.

    An agent holds a slice of the entries: those of its service in the catalog, those of its data
    centre in the VM list. The scope of a slice is the id of that service or data centre; scope 0
    stands for all entries.

    A subclass implements the hooks, which get only records that were read without problems.
    Changes that must become visible together are made in `publish_changes`.
    """

    __slots__ = ("_digests", "changed_data_centres", "changed_services", "store")

    def __init__(self, store: RecordStore) -> None:
        self.store = store
        # Digests of slices by scope, cached because every agent offers its digest each second.
        self._digests: dict[int, int] = {}
        # Changed ids are kept here rather than in the update, so that an update abandoned half-way
        # loses none of them.
        self.changed_services: set[int] = set()
        self.changed_data_centres: set[int] = set()

    @property
    def revision(self) -> int:
        """The revision in force; 0 when nothing is held."""
        return self.store.revision

    def start_update(self, revision: int, relayed: bool, is_snapshot: bool = False) -> "Update":
        """Starts an update, which receives its entries in parts and is run in steps.

        Args:
            revision: The revision after the update.
            relayed: Whether the entries come from another process of the system, which has
                compressed their texts and accepted the revision as a whole.
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
        """Selects the entries that lead from a revision to the one held here.

        Args:
            after: Revision that the requesting process holds; 0 for none.
            scope: 0 for all entries, else the scope of a slice.

        Returns:
            The base revision, which is 0 when the entries are everything that exists, and the
            entries with compressed texts.
        """
        # Processes that enter a phase together may have judged keys of the era differently.
        is_same_era = era_of(after) == era_of(self.revision)
        if is_same_era and phase_of(after) != phase_of(self.revision):
            start = make_position(era_of(after), 0, 0, Rank.UNJUDGED)
        else:
            start = after
        changed = self.store.ids_changed_since(start) if after else None
        if changed is None:
            return 0, self._entries(self.ids_in_slice(scope))
        if not scope:
            return after, self._entries(changed)
        # Iterates over the slice instead of the changed keys: the slice is small, while a thousand
        # keys may have changed.
        chosen = [key for key in self.ids_in_slice(scope) if key in changed]
        deleted = [key for key in changed if key in self.store.tombstones]
        chosen += [key for key in deleted if self.was_in_slice(key, scope)]
        return after, self._entries(chosen)

    def digest(self, scope: int) -> int:
        """Returns the digest of all entries (scope 0) or of a slice."""
        if not scope:
            return self.store.digest
        if scope not in self._digests:
            self._digests[scope] = self.store.digest_of_keys(self.ids_in_slice(scope))
        return self._digests[scope]

    def commit_update(self, update: "Update", logged: bool) -> None:
        """Puts an update in force.

        Args:
            update: The update, all of whose entries have been processed.
            logged: Whether the log holds all changes of the update.
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
        """Whether a deleted key was in a slice; True as well when its slice is unknown."""
        return self.store.tombstones[key_id].scope in (0, scope)

    def scope_of_deleted(self, key_id: int) -> int:
        """Returns the scope of the slice that a key to be deleted is in; 0 for several or none."""
        raise NotImplementedError

    def read(self, key: str, text: bytes, relayed: bool) -> Result[object, list[Problem]]:
        """Reads a record's text; records of some kinds are valid only if a process relayed them."""
        raise NotImplementedError

    def has_room(self, record: object) -> bool:
        """Whether the tables have room for the rows that a record adds."""
        return True

    def may_conflict(self, record: object) -> bool:
        """Whether a published record may conflict with others, so that their order matters."""
        return False

    def find_conflict(self, record: object) -> Problem | None:
        """Returns why a published record conflicts with those in force, or None."""
        return None

    def depends_on_revision(self, key: str) -> bool:
        """Whether columns of a record hold its revision, so that a new one has to be written."""
        return False

    def is_stored(self, record: object) -> bool:
        """Whether a published record is stored and relayed."""
        return True

    def write_columns(self, row: int, record: object, update: "Update") -> None:
        """Writes a record to the columns of its row, which still hold its previous version."""
        raise NotImplementedError

    def clear_columns(self, row: int, revision: int, update: "Update") -> None:
        """Clears the columns of a record, whose row is removed next."""
        raise NotImplementedError

    def prepare_commit(self, update: "Update") -> Iterator[None]:
        """Prepares the commit of an update; each `yield` ends a step."""
        raise NotImplementedError

    def publish_changes(self, update: "Update") -> None:
        """Makes those changes visible that must become visible together."""
        raise NotImplementedError


def _publication_order(entry: Entry) -> tuple[int, str]:
    return entry.revision, entry.key


class Update:
    """A revision that is being applied to a replica.

    The first revision that a process receives is applied while it arrives. Later ones are applied
    once all their entries are there, so that a lost part leaves the revision in force as it is.
    """

    __slots__ = (
        "_conflict_candidates",
        "_equal_entries",
        "_has_all_entries",
        "_is_commit_due",
        "_problems",
        "_processing",
        "_received_ids",
        "_removes_absent",
        "_replica",
        "_steps_run",
        "_unprocessed",
        "relayed",
        "result",
        "revision",
    )

    def __init__(self, replica: Replica, revision: int, relayed: bool, is_snapshot: bool) -> None:
        self._replica = replica
        self._removes_absent = is_snapshot and replica.revision > 0
        self._has_all_entries = False
        self._is_commit_due = False
        self._steps_run = 0
        self._unprocessed: deque[Entry] = deque()
        self._equal_entries: deque[Entry] = deque()
        self._conflict_candidates: list[tuple[Entry, object]] = []
        self._problems: list[Problem] = []
        self._received_ids: set[int] = set()
        self._processing = self._process_entries()
        self.relayed = relayed
        self.revision = revision
        self.result: UpdateResult | None = None

    @property
    def has_all_entries(self) -> bool:
        """Whether all entries have been added."""
        return self._has_all_entries

    @property
    def is_runnable(self) -> bool:
        """Whether `step` has something to do now."""
        return self.result is None and (
            self._has_all_entries
            or (self.relayed and self._replica.revision == 0 and bool(self._unprocessed))
        )

    def feed(self, entries: Iterable[Entry]) -> None:
        """Adds entries, except those that the replica already holds."""
        for entry in entries:
            key_id = id_of_key(entry.key)
            if self._removes_absent:
                self._received_ids.add(key_id)
            if self._replica.store.is_known(key_id, entry.revision):
                continue
            if self.relayed and self._is_equal(entry):
                self._equal_entries.append(entry)
            else:
                self._unprocessed.append(entry)

    def feed_equal(self, entries: Iterable[Entry]) -> None:
        """Adds entries whose texts are in force, so that only their revisions are new."""
        self._equal_entries.extend(entries)

    def mark_complete(self) -> None:
        """Tells the update that all entries have been added."""
        self._has_all_entries = True
        if not self.relayed:
            # Sorted, since every reader of a revision must come to the same result.
            self._unprocessed = deque(sorted(self._unprocessed, key=_publication_order))

    def step(self, limit: int) -> int:
        """Processes entries.

        Args:
            limit: Maximum number of records to read.

        Returns:
            The number of records read. It is below the limit when nothing is left to do, or when
            only the step that publishes the changes is left.
        """
        count = 0
        self._steps_run += self.is_runnable
        # An update that needs several steps publishes its changes in a step of its own.
        while count < limit and self.is_runnable and not (count and self._is_commit_due):
            next(self._processing, None)
            count += 1
        return count

    def _process_entries(self) -> Iterator[None]:
        current_revision = self._replica.revision
        if self.revision < current_revision or (
            self.revision == current_revision and not self.relayed
        ):
            self._refuse_revision(
                Code.REVISION_NOT_RISING, f"{self.revision} is not above {current_revision}"
            )
            return
        if not self.relayed:
            yield from self._check_refused_share()
        while self._unprocessed or not self._has_all_entries:
            yield from self._restamp_equal_entries()
            if self._unprocessed:
                self._process_entry(self._unprocessed.popleft())
            yield
        if self.result is None:
            yield from self._restamp_equal_entries()
            yield from self._process_remainder()
            yield from self._replica.prepare_commit(self)
            if self._steps_run > 1:
                self._is_commit_due = True
                yield
            self._commit()

    def _check_refused_share(self) -> Iterator[None]:
        refused = 0
        changed = 0
        for entry in list(self._unprocessed):
            if not self._was_refused(entry):
                changed += 1
                if entry.text and isinstance(self._replica.read(entry.key, entry.text, False), Err):
                    refused += 1
            yield
        if refused >= MIN_REFUSED_RECORDS and refused * 2 > changed:
            detail = f"{refused} of {changed} changed records were refused"
            self._unprocessed.clear()
            self._refuse_revision(Code.REVISION_MOSTLY_REFUSED, detail)

    def _refuse_revision(self, code: Code, detail: str) -> None:
        problem = Problem(code, "", "", detail)
        self.result = UpdateResult(False, (problem,), frozenset(), frozenset())

    def _restamp_equal_entries(self) -> Iterator[None]:
        while self._equal_entries:
            for _ in range(min(RESTAMPS_PER_RECORD, len(self._equal_entries))):
                entry = self._equal_entries.popleft()
                self._replica.store.restamp(id_of_key(entry.key), entry.revision)
            yield

    def _is_equal(self, entry: Entry) -> bool:
        """Whether a relayed entry only gives a record in force a position of another era."""
        if not era_of(entry.revision) or self._replica.depends_on_revision(entry.key):
            return False
        store = self._replica.store
        row = store.row(id_of_key(entry.key))
        return (
            row != MISSING and store.record_key(row) == entry.key and store.text(row) == entry.text
        )

    def _was_refused(self, entry: Entry) -> bool:
        """Whether an entry of a restored store was refused with the same text before."""
        refused = self._replica.store.refused.get(id_of_key(entry.key))
        if refused is None or era_of(entry.revision) == 0:
            return False
        return decompress_text(refused.text) == entry.text

    def _process_entry(self, entry: Entry) -> None:
        store = self._replica.store
        key_id = id_of_key(entry.key)
        if store.is_known(key_id, entry.revision):
            return
        if not entry.text:
            self._delete(entry, key_id)
            return
        if self.relayed and entry.key.startswith(CONFLICT_PREFIX):
            # The process that read the record has found the conflict. This process may lack the
            # other of the two conflicting records, so it does not check again.
            store.store_refused_entry(
                entry._replace(key=entry.key.removeprefix(CONFLICT_PREFIX)), conflicting=True
            )
            return
        if not self.relayed:
            entry = entry._replace(text=compress_text(entry.text))
        result = self._read_entry(entry)
        if isinstance(result, Err):
            self._refuse_entry(entry, result.err_value)
        elif self.relayed or self._replica.is_stored(result.ok_value):
            self._accept_record(key_id, entry, result.ok_value)
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
        self._replica.store.delete_key(entry.key, entry.revision, scope)

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
        """Puts in force the candidates without a conflict, in order of publication.

        Records that earlier updates refused for a conflict are tried again, since the record that
        they conflicted with may be gone.
        """
        candidates = sorted(
            self._conflict_candidates + self._previously_conflicting(),
            key=lambda item: _publication_order(item[0]),
        )
        has_progress = True
        while has_progress:
            has_progress = False
            for item in list(candidates):
                if self._replica.find_conflict(item[1]) is None:
                    candidates.remove(item)
                    self._write_candidate(*item)
                    has_progress = True
                yield
        for entry, record in self._conflict_candidates:
            problem = self._replica.find_conflict(record)
            if problem is not None and (entry, record) in candidates:
                self._problems.append(problem)
                self._replica.store.store_refused_entry(entry, conflicting=True)

    def _previously_conflicting(self) -> list[tuple[Entry, object]]:
        """Returns the records that earlier updates refused for a conflict.

        Records that this update replaces are left out.
        """
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
            # The entry gets this update's revision, so that the change reaches other processes.
            entry = entry._replace(revision=self.revision)
        self._write_record(key_id, entry, record)

    def _process_remainder(self) -> Iterator[None]:
        if not self.relayed:
            yield from self._resolve_conflicts()
        if self._removes_absent:
            yield from self._remove_absent_keys()

    def _remove_absent_keys(self) -> Iterator[None]:
        store = self._replica.store
        for key_id in [*store.all_ids(), *store.refused]:
            if key_id not in self._received_ids and store.newest_revision(key_id) <= self.revision:
                self._clear_record_columns(key_id, self.revision)
                store.remove_key(key_id)
            yield

    def _commit(self) -> None:
        services = frozenset(self._replica.changed_services)
        data_centres = frozenset(self._replica.changed_data_centres)
        self._replica.commit_update(self, logged=not self._removes_absent)
        self.result = UpdateResult(True, tuple(self._problems), services, data_centres)

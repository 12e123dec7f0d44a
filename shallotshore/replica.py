"""Copies of a platform service's entries, and how updates change them in slices."""

__all__ = ["Applied", "Replica", "Update"]

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from result import Err, Result

from shallotshore.codes import Code
from shallotshore.messages import Entry
from shallotshore.record_reader import Problem
from shallotshore.store import CONTESTED, RecordStore, id_of
from shallotshore.tables import MISSING
from shallotshore.texts import pack, unpack

LEAST_REFUSED = 10  # fewer refused records never make a whole revision unacceptable


class Applied(NamedTuple):
    """What a revision changed; ids of services and data centres."""

    accepted: bool
    problems: tuple[Problem, ...]
    changed_services: frozenset[int]
    changed_data_centres: frozenset[int]


class Replica:
    """Base of the catalog and the VM list: a store of texts and columns read from them.

    Hooks get records that were read without problems. What processes must see change together
    is changed in `close`.
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

    def begin(self, revision: int, relayed: bool, replace: bool = False) -> "Update":
        """Starts an update that is fed and run in slices.

        Args:
            revision: The revision after the update.
            relayed: Whether entries come from another process of the system, which has compressed
                their texts and has accepted the revision as a whole.
            replace: Whether the entries are everything that exists at the revision.
        """
        return Update(self, revision, relayed, replace)

    def apply(self, revision: int, entries: Iterable[Entry]) -> Applied:
        """Applies the published entries that lead to a revision, all at once.

        Args:
            revision: The revision after the entries.
            entries: Changed keys with JSON texts; an empty text deletes a key.

        Returns:
            Whether the revision was accepted, and what it changed.
        """
        update = self.begin(revision, relayed=False)
        update.feed(entries)
        update.end()
        while update.result is None:
            update.step(1 << 20)
        return update.result

    def select(self, after: int, scope: int) -> tuple[int, Iterator[Entry]]:
        """Selects the entries that lead from a revision to the one held.

        Args:
            after: Revision that the asker holds.
            scope: 0 for everything, else the id of a slice.

        Returns:
            The base revision, which is 0 when the entries are everything that exists, and the
            entries with compressed texts.
        """
        changed = self.store.changed_since(after) if after else None
        if changed is None:
            return 0, self._entries(self.slice_ids(scope))
        if not scope:
            return after, self._entries(changed)
        # A slice is small, while a thousand keys may have changed.
        chosen = [key for key in self.slice_ids(scope) if key in changed]
        deleted = [key for key in changed if key in self.store.tombstones]
        chosen += [key for key in deleted if self.is_deletion_of(key, scope)]
        return after, self._entries(chosen)

    def digest(self, scope: int) -> int:
        """Returns the digest of everything (scope 0) or of a slice."""
        if not scope:
            return self.store.digest
        if scope not in self._digests:
            self._digests[scope] = self.store.digest_of(self.slice_ids(scope))
        return self._digests[scope]

    def finish(self, update: "Update", logged: bool) -> None:
        """Puts an update in force.

        Args:
            update: The update, all of whose entries were worked off.
            logged: Whether the log holds all its changes.
        """
        self.close(update)
        self.store.settle(update.revision, logged)
        self._digests.clear()
        self.changed_services.clear()
        self.changed_data_centres.clear()

    def _entries(self, key_ids: Iterable[int]) -> Iterator[Entry]:
        refused = []
        for key_id in key_ids:
            yield from self.store.entries_of(key_id)
            if key_id in self.store.refused:
                refused.append(key_id)
        yield from self.store.refused_among(refused)

    def slice_ids(self, scope: int) -> Iterable[int]:
        """Returns the ids of all keys in a slice; each id once."""
        raise NotImplementedError

    def is_deletion_of(self, key_id: int, scope: int) -> bool:
        """Whether a deleted key was in a slice, as far as is known."""
        return self.store.tombstones[key_id].scope in (0, scope)

    def scope_of(self, key_id: int) -> int:
        """Returns the slice that a deleted key was in; 0 when it was in several."""
        raise NotImplementedError

    def read(self, key: str, text: bytes, relayed: bool) -> Result[object, list[Problem]]:
        """Reads a text; some kinds exist only between processes of the system."""
        raise NotImplementedError

    def has_room(self, record: object) -> bool:
        """Whether the tables can take the rows that a record adds."""
        return True

    def waits(self, record: object) -> bool:
        """Whether a published record may conflict with others, so that its order matters."""
        return False

    def conflict(self, record: object) -> Problem | None:
        """Returns why a published record cannot be in force beside the present ones."""
        return None

    def is_kept(self, record: object) -> bool:
        """Whether a published record is held and relayed."""
        return True

    def put(self, row: int, record: object, update: "Update") -> None:
        """Writes a record into the columns of its row, which still hold its old version."""
        raise NotImplementedError

    def drop(self, row: int, revision: int, update: "Update") -> None:
        """Takes a record out of the columns; its row is removed next."""
        raise NotImplementedError

    def prepare(self, update: "Update") -> Iterator[None]:
        """Does what can be done in slices before `close`."""
        raise NotImplementedError

    def close(self, update: "Update") -> None:
        """Makes the changes visible that must be seen together."""
        raise NotImplementedError


def _order(entry: Entry) -> tuple[int, str]:
    return entry.revision, entry.key


class Update:
    """One revision on its way into a replica.

    The first revision of a process is worked off while it arrives. Later ones wait until they are
    complete, so that a lost part leaves the revision in force as it is.
    """

    __slots__ = (
        "_deferred",
        "_ended",
        "_is_last",
        "_problems",
        "_replace",
        "_replica",
        "_seen",
        "_slices",
        "_waiting",
        "_work",
        "relayed",
        "result",
        "revision",
    )

    def __init__(self, replica: Replica, revision: int, relayed: bool, replace: bool) -> None:
        self._replica = replica
        self._replace = replace and replica.revision > 0
        self._ended = False
        self._is_last = False
        self._slices = 0
        self._waiting: deque[Entry] = deque()
        self._deferred: list[tuple[Entry, object]] = []
        self._problems: list[Problem] = []
        self._seen: set[int] = set()
        self._work = self._run()
        self.relayed = relayed
        self.revision = revision
        self.result: Applied | None = None

    @property
    def is_ended(self) -> bool:
        """Whether all entries were fed."""
        return self._ended

    @property
    def is_runnable(self) -> bool:
        """Whether `step` has something to do."""
        return self.result is None and (
            self._ended or (self.relayed and self._replica.revision == 0 and bool(self._waiting))
        )

    def feed(self, entries: Iterable[Entry]) -> None:
        """Adds entries; those already held are dropped."""
        for entry in entries:
            key_id = id_of(entry.key)
            if self._replace:
                self._seen.add(key_id)
            if not self._replica.store.is_known(key_id, entry.revision):
                self._waiting.append(entry)

    def end(self) -> None:
        """Says that all entries were fed."""
        self._ended = True
        if not self.relayed:
            # Every reader of a revision must come to the same result.
            self._waiting = deque(sorted(self._waiting, key=_order))

    def step(self, limit: int) -> int:
        """Works off entries.

        Args:
            limit: Greatest number of records to read.

        Returns:
            The number of records read; fewer than the limit when nothing is left to do.
        """
        count = 0
        self._slices += self.is_runnable
        # What a large update makes visible at once takes a slice of its own.
        while count < limit and self.is_runnable and not (count and self._is_last):
            next(self._work, None)
            count += 1
        return count

    def _run(self) -> Iterator[None]:
        held = self._replica.revision
        if self.revision < held or (self.revision == held and not self.relayed):
            self._refuse_all(Code.REVISION_NOT_RISING, f"{self.revision} is not above {held}")
            return
        if not self.relayed:
            yield from self._judge()
        while self._waiting or not self._ended:
            if self._waiting:
                self._take(self._waiting.popleft())
            yield
        if self.result is None:
            yield from self._sweep()
            yield from self._replica.prepare(self)
            if self._slices > 1:
                self._is_last = True
                yield
            self._finish()

    def _judge(self) -> Iterator[None]:
        refused = 0
        for entry in list(self._waiting):
            if entry.text and isinstance(self._replica.read(entry.key, entry.text, False), Err):
                refused += 1
            yield
        if refused >= LEAST_REFUSED and refused * 2 > len(self._waiting):
            detail = f"{refused} of {len(self._waiting)} changed records"
            self._waiting.clear()
            self._refuse_all(Code.REVISION_MOSTLY_REFUSED, detail)

    def _refuse_all(self, code: Code, detail: str) -> None:
        problem = Problem(code, "", "", detail)
        self.result = Applied(False, (problem,), frozenset(), frozenset())

    def _take(self, entry: Entry) -> None:
        store = self._replica.store
        key_id = id_of(entry.key)
        if store.is_known(key_id, entry.revision):
            return
        if not entry.text:
            self._delete(entry, key_id)
            return
        if self.relayed and entry.key.startswith(CONTESTED):
            # The reader's judgement holds, since this process may not have seen all it rests on.
            store.refuse(entry._replace(key=entry.key.removeprefix(CONTESTED)), contested=True)
            return
        if not self.relayed:
            entry = entry._replace(text=pack(entry.text))
        read = self._read(entry)
        if isinstance(read, Err):
            self._refuse(entry, read.err_value)
        elif self.relayed or self._replica.is_kept(read.ok_value):
            self._put(key_id, entry, read.ok_value)
        elif key_id in store:
            self._delete(entry, key_id)

    def _read(self, entry: Entry) -> Result[object, list[Problem]]:
        try:
            text = unpack(entry.text)
        except ValueError as error:
            return Err([Problem(Code.RECORD_UNREADABLE, entry.key, "", str(error))])
        return self._replica.read(entry.key, text, self.relayed)

    def _delete(self, entry: Entry, key_id: int) -> None:
        scope = self._replica.scope_of(key_id)
        self._drop(key_id, entry.revision)
        self._replica.store.delete(entry.key, entry.revision, scope)

    def _drop(self, key_id: int, revision: int) -> None:
        row = self._replica.store.row(key_id)
        if row != MISSING:
            self._replica.drop(row, revision, self)

    def _refuse(self, entry: Entry, problems: Iterable[Problem]) -> None:
        self._problems.extend(problems)
        self._replica.store.refuse(entry, contested=False)

    def _put(self, key_id: int, entry: Entry, record: object) -> None:
        store = self._replica.store
        row = store.row(key_id)
        if row != MISSING and store.record_key(row) != entry.key:
            detail = f"has the same id as {store.record_key(row)}"
            self._problems.append(Problem(Code.RECORD_ID_COLLISION, entry.key, "name", detail))
            return
        if not self.relayed and self._replica.waits(record):
            self._deferred.append((entry, record))
            return
        self._write(key_id, entry, record)

    def _write(self, key_id: int, entry: Entry, record: object) -> None:
        row = MISSING
        if self._replica.has_room(record):
            row = self._replica.store.write(key_id, entry)
        if row == MISSING:
            self._refuse(entry, [Problem(Code.TABLE_FULL, entry.key, "", "a table is full")])
            return
        self._replica.put(row, record, self)

    def _settle(self) -> Iterator[None]:
        """Puts records that may conflict in force, in order of publication as far as they can be.

        Those refused earlier take part, since what they conflicted with may be gone.
        """
        waiting = sorted(self._deferred + self._contested(), key=lambda item: _order(item[0]))
        progress = True
        while progress:
            progress = False
            for item in list(waiting):
                if self._replica.conflict(item[1]) is None:
                    waiting.remove(item)
                    self._put_waiting(*item)
                    progress = True
                yield
        for entry, record in self._deferred:
            problem = self._replica.conflict(record)
            if problem is not None and (entry, record) in waiting:
                self._problems.append(problem)
                self._replica.store.refuse(entry, contested=True)

    def _contested(self) -> list[tuple[Entry, object]]:
        """Returns the records refused in earlier updates, unless this one replaces them."""
        store = self._replica.store
        replaced = {entry.key for entry, _ in self._deferred}
        refused = [store.refused[key_id] for key_id in store.contested]
        return [
            (entry, self._read(entry).unwrap()) for entry in refused if entry.key not in replaced
        ]

    def _put_waiting(self, entry: Entry, record: object) -> None:
        key_id = id_of(entry.key)
        if key_id in self._replica.store.contested and (entry, record) not in self._deferred:
            # A new revision of its own makes the change reach the other processes.
            entry = entry._replace(revision=self.revision)
        self._write(key_id, entry, record)

    def _sweep(self) -> Iterator[None]:
        if not self.relayed:
            yield from self._settle()
        if self._replace:
            yield from self._drop_unseen()

    def _drop_unseen(self) -> Iterator[None]:
        store = self._replica.store
        for key_id in [*store.all_ids(), *store.refused]:
            if key_id not in self._seen and store.newest_revision(key_id) <= self.revision:
                self._drop(key_id, self.revision)
                store.discard(key_id)
            yield

    def _finish(self) -> None:
        services = frozenset(self._replica.changed_services)
        data_centres = frozenset(self._replica.changed_data_centres)
        self._replica.finish(self, logged=not self._replace)
        self.result = Applied(True, tuple(self._problems), services, data_centres)

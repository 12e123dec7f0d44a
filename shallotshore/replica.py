"""Copies of a platform service's entries, and how updates change them in slices."""

__all__ = ["Applied", "Replica", "Update"]

from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from result import Err, Ok, Result

from shallotshore.codes import Code
from shallotshore.messages import Entry
from shallotshore.record_reader import Problem
from shallotshore.store import RecordStore, id_of
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
        return after, self._entries([key for key in changed if self.in_slice(key, scope)])

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
        refused = {}
        for key_id in key_ids:
            yield from self.store.entries_of(key_id)
            if key_id in self.store.refused:
                refused[key_id] = self.store.refused[key_id]
        # Texts in force go first, so that a receiver settles conflicts as this process did.
        for _, entry in sorted(refused.items(), key=_refused_order):
            yield entry

    def slice_ids(self, scope: int) -> Iterable[int]:
        """Returns the ids of all keys in a slice; each id once."""
        raise NotImplementedError

    def in_slice(self, key_id: int, scope: int) -> bool:
        """Whether a key, which may be deleted, is in a slice."""
        raise NotImplementedError

    def scope_of(self, key_id: int) -> int:
        """Returns the slice that a deleted key was in; 0 when it was in several."""
        raise NotImplementedError

    def read(self, key: str, text: bytes, relayed: bool) -> Result[object, list[Problem]]:
        """Reads a text; some kinds exist only between processes of the system."""
        raise NotImplementedError

    def conflict(self, record: object) -> Problem | None:
        """Returns why a record cannot be in force beside the present ones."""
        raise NotImplementedError

    def may_heal(self, key: str) -> bool:
        """Whether a refused record may be in force once other records have changed."""
        return False

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


def _refused_order(item: tuple[int, Entry]) -> tuple[int, str]:
    return item[1].revision, item[1].key


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
        self._deferred: list[tuple[Entry, object, Problem]] = []
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
            # Every reader of a revision must settle conflicts in the same order.
            self._waiting = deque(sorted(self._waiting, key=lambda entry: entry[:2][::-1]))

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
        self._replica.store.refuse(entry)

    def _put(self, key_id: int, entry: Entry, record: object) -> bool:
        store = self._replica.store
        row = store.row(key_id)
        if row != MISSING and store.record_key(row) != entry.key:
            detail = f"has the same id as {store.record_key(row)}"
            self._problems.append(Problem(Code.RECORD_ID_COLLISION, entry.key, "name", detail))
            return False
        problem = self._replica.conflict(record)
        if problem is not None:
            self._deferred.append((entry, record, problem))
            return False
        row = store.write(key_id, entry)
        if row == MISSING:
            self._problems.append(Problem(Code.TABLE_FULL, entry.key, "", "too many records"))
            return False
        self._replica.put(row, record, self)
        return True

    def _retry_refused(self) -> Iterator[None]:
        """Tries the records again that were refused beside others that may be gone now."""
        for key_id, entry in sorted(self._replica.store.refused.items(), key=_refused_order):
            if self._replica.may_heal(entry.key):
                read = self._read(entry)
                if isinstance(read, Ok):
                    self._put(key_id, entry, read.ok_value)
                yield

    def _sweep(self) -> Iterator[None]:
        yield from self._retry_refused()
        progress = True
        while progress and self._deferred:
            deferred, self._deferred = self._deferred, []
            progress = False
            for entry, record, _ in deferred:
                progress = self._put(id_of(entry.key), entry, record) or progress
                yield
        for entry, _, problem in self._deferred:
            if not self._replica.store.is_known(id_of(entry.key), entry.revision):
                self._refuse(entry, [problem])
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

"""Base of all tables: typed columns, row allocation and an index by 64-bit key."""

__all__ = ["MISSING", "Table"]

from array import array
from collections.abc import Iterator, MutableMapping

MISSING = -1


class Table:
    """A table of typed columns with an index of rows by 64-bit key.

    A subclass names its array columns in `COLUMNS` (attribute name to array type code) and may name
    columns of Python objects in `OBJECT_COLUMNS` (attribute name to the value in an empty row).
    Systems read and write the column attributes directly. Rows of removed keys are reused.
    """

    __slots__ = ("_free_rows", "_limit", "_rows", "key")

    COLUMNS: dict[str, str] = {}
    OBJECT_COLUMNS: dict[str, object] = {}

    def __init__(self, limit: int) -> None:
        """Creates an empty table.

        Args:
            limit: Greatest number of rows.
        """
        self._limit = limit
        self._rows: MutableMapping[int, int] = {}
        self._free_rows: list[int] = []
        self.key = array("Q")
        for name, type_code in self.COLUMNS.items():
            setattr(self, name, array(type_code))
        for name in self.OBJECT_COLUMNS:
            setattr(self, name, [])

    @property
    def limit(self) -> int:
        """Greatest number of rows."""
        return self._limit

    @property
    def is_full(self) -> bool:
        """Whether the table is at its limit."""
        return len(self._rows) >= self._limit

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: int) -> bool:
        return key in self._rows

    def row(self, key: int) -> int:
        """Returns the row of a key, or MISSING."""
        return self._rows.get(key, MISSING)

    def rows(self) -> Iterator[int]:
        """Iterates over a snapshot of the rows in use, so that rows may be removed meanwhile."""
        return iter(list(self._rows.values()))

    def keys(self) -> Iterator[int]:
        """Iterates over a snapshot of the keys."""
        return iter(list(self._rows))

    def add(self, key: int) -> int:
        """Adds a row whose columns are zero or empty, or returns the row that the key already has.

        Args:
            key: 64-bit key.

        Returns:
            The row, or MISSING when the table is at its limit.
        """
        existing = self._rows.get(key, MISSING)
        if existing != MISSING:
            return existing
        if self.is_full:
            return MISSING
        row = self._allocate_row()
        self.key[row] = key
        self._rows[key] = row
        return row

    def remove(self, key: int) -> None:
        """Removes the row of a key; does nothing when there is none."""
        row = self._rows.pop(key, MISSING)
        if row == MISSING:
            return
        self._clear_row(row)
        self._free_rows.append(row)

    def _allocate_row(self) -> int:
        if self._free_rows:
            return self._free_rows.pop()
        self.key.append(0)
        for name in self.COLUMNS:
            getattr(self, name).append(0)
        for name, empty in self.OBJECT_COLUMNS.items():
            getattr(self, name).append(empty)
        return len(self.key) - 1

    def _clear_row(self, row: int) -> None:
        for name in self.COLUMNS:
            getattr(self, name)[row] = 0
        for name, empty in self.OBJECT_COLUMNS.items():
            getattr(self, name)[row] = empty

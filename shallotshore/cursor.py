"""Walks over a table a few rows at a time, so that no tick takes long."""

__all__ = ["Cursor"]

from shallotshore.tables import Table


class Cursor:
    """Position of a walk that goes round a table for ever."""

    __slots__ = ("_position",)

    def __init__(self) -> None:
        self._position = 0

    def take(self, table: Table, limit: int) -> list[int]:
        """Returns the rows in use among the next positions.

        Args:
            table: The table to walk over.
            limit: Greatest number of positions to look at.
        """
        size = len(table.key)
        found = []
        for _ in range(min(limit, size)):
            self._position = (self._position + 1) % size
            if table.row(table.key[self._position]) == self._position:
                found.append(self._position)
        return found

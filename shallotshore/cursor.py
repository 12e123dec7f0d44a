"""Iteration over a table a few rows at a time, so that no tick takes long."""

__all__ = ["Cursor"]

from shallotshore.tables import Table


class Cursor:
    """Position in an endless iteration over a table."""

    __slots__ = ("_position",)

    def __init__(self) -> None:
        self._position = 0

    def take(self, table: Table, limit: int) -> list[int]:
        """Returns the rows in use among the next positions, and moves past these positions.

        Args:
            table: The table to iterate over.
            limit: Greatest number of positions to check.
        """
        size = len(table.key)
        rows = []
        for _ in range(min(limit, size)):
            self._position = (self._position + 1) % size
            if table.row(table.key[self._position]) == self._position:
                rows.append(self._position)
        return rows

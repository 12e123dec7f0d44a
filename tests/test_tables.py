"""Tests of the base class of tables."""

import unittest

from shallotshore.tables import MISSING, Table


class PairTable(Table):
    """A table with one array column and one object column."""

    __slots__ = ("count", "label")

    COLUMNS = {"count": "L"}
    OBJECT_COLUMNS = {"label": ""}


class TableTest(unittest.TestCase):
    """Guards against reused rows with old values, and against tables beyond their limit."""

    def test_reused_row_does_not_show_old_values(self) -> None:
        table = PairTable(limit=4)
        row = table.add(7)
        table.count[row] = 5
        table.label[row] = "old"
        table.remove(7)
        again = table.add(8)
        self.assertEqual(again, row)
        self.assertEqual((table.count[again], table.label[again], table.key[again]), (0, "", 8))

    def test_full_table_refuses_new_keys_and_keeps_open_ones(self) -> None:
        table = PairTable(limit=1)
        row = table.add(1)
        self.assertEqual(table.add(2), MISSING)
        self.assertEqual(table.add(1), row)
        self.assertEqual(table.row(2), MISSING)

    def test_rows_may_be_removed_while_iterating(self) -> None:
        table = PairTable(limit=10)
        for key in range(10):
            table.add(key)
        for row in table.rows():
            table.remove(table.key[row])
        self.assertEqual(len(table), 0)

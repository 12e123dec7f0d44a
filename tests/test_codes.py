"""Tests of the result codes and of their table in the documentation."""

import unittest
from pathlib import Path

from shallotshore.codes import Code, Outcome, describe, markdown_table, outcome_of

DOCS_TABLE = Path(__file__).resolve().parent.parent / "docs" / "result-codes.md"


class CodesTest(unittest.TestCase):
    """Guards against codes that have no description or that report a wrong outcome to callers."""

    def test_docs_table_is_current(self) -> None:
        self.assertIn(markdown_table(), DOCS_TABLE.read_text(encoding="utf-8"))

    def test_every_code_has_a_description(self) -> None:
        for code in Code:
            self.assertTrue(describe(code).endswith("."), code)

    def test_only_the_200_family_is_reported_as_not_run(self) -> None:
        for code in Code:
            self.assertEqual(outcome_of(code) is Outcome.NOT_RUN, 200 <= code < 300, code)

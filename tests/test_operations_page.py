"""Tests that docs/OPERATIONS.md names the log lines, fields and counters of the program."""

import json
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
SOURCES = "\n".join(
    path.read_text(encoding="utf-8") for path in (ROOT / "shallotshore" / "packets").glob("*.py")
)
COMMON = {"process", "timestamp", "event"}


class OperationsPageTest(unittest.TestCase):
    """Guards against documenting log lines and counters that the program does not have."""

    def test_example_lines_have_events_and_fields_of_the_program(self) -> None:
        """Fails when an event or field is renamed but the page still has the old name."""
        lines = [json.loads(line) for line in re.findall(r"(?m)^    (\{.*\})$", PAGE)]
        self.assertGreaterEqual(len(lines), 9)
        for line in lines:
            self.assertIn(f'"{line["event"]}"', SOURCES)
            for field in line.keys() - COMMON:
                self.assertRegex(SOURCES, rf"\b{field}=", line)

    def test_every_event_of_the_program_is_in_the_table(self) -> None:
        """Fails when a new event is missing from the page."""
        written = set(re.findall(r'\.write\(\s*(?:now|clock\(\)),\s*"(\w+)"', SOURCES))
        self.assertGreater(len(written), 20)
        self.assertEqual([], sorted(event for event in written if f"`{event}`" not in PAGE))

    def test_counters_named_on_the_page_exist(self) -> None:
        """Fails when an alarm on the page watches a counter that the program does not have."""
        names = re.findall(r'\{name="([\w.]+?)(?:\.\.\.)?"\}', PAGE)
        self.assertGreaterEqual(len(names), 7)
        for name in names:
            self.assertIn(f'"{name}', SOURCES)


if __name__ == "__main__":
    unittest.main()

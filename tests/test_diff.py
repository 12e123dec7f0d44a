"""Tests of the comparison of two directories of records."""

import re
import tempfile
import unittest
from pathlib import Path

from shallotshore.diff import diff_directories
from shallotshore.records import Binding, Customer, DataCentre, Record, Service, Upstream
from tests.record_files import write_records, write_text

VIP = ("192.0.2.1", 80)
BASE = (
    Service("desk"),
    DataCentre("suva-a", "suva"),
    DataCentre("suva-b", "suva"),
    Customer("acme", 1, (Binding("desk", VIP),)),
)


def upstream(number: int, **changes: object) -> Upstream:
    """Returns one of the service's upstreams."""
    centre = "suva-a" if number % 2 else "suva-b"
    record = Upstream(f"desk-{number}", "desk", centre, ("10.0.0.1", 7000 + number))
    for name, value in changes.items():
        setattr(record, name, value)
    return record


class DiffTest(unittest.TestCase):
    """Guards against a change that is published without its effect being known."""

    def diff(self, old: list[Record], new: list[Record]) -> str:
        with tempfile.TemporaryDirectory() as folder:
            before = write_records(Path(folder) / "old", *BASE, *old)
            after = write_records(Path(folder) / "new", *BASE, *new)
            return diff_directories(before, after)

    def test_equal_directories_differ_in_nothing(self) -> None:
        self.assertEqual(self.diff([upstream(1)], [upstream(1)]), "No changes.\n")

    def test_added_upstream_takes_its_share_of_the_flows(self) -> None:
        seven = [upstream(number) for number in range(7)]
        text = self.diff(seven, [*seven, upstream(7)])
        self.assertIn("Upstream desk-7 is added (service desk, data centre suva-a).", text)
        share = float(re.search(r"Service desk: ([0-9.]+)% of flows", text)[1])
        self.assertAlmostEqual(share, 100 / 8, delta=3)

    def test_data_centre_out_moves_the_flows_of_its_upstreams(self) -> None:
        four = [upstream(number) for number in range(4)]
        text = self.diff(four, [*four, DataCentre("suva-b", "suva", "out")])
        self.assertIn("Data centre suva-b changes: state from in to out.", text)
        share = float(re.search(r"Service desk: ([0-9.]+)% of flows", text)[1])
        self.assertAlmostEqual(share, 50, delta=5)

    def test_changes_of_fields_are_told_in_words(self) -> None:
        new = [
            upstream(1, state="leaving", cold_limit=3),
            Customer("acme", 2, (Binding("desk", ("192.0.2.2", 80)),)),
        ]
        text = self.diff([upstream(1)], new)
        self.assertIn(
            "state from active to leaving; cold_limit from the service's value to 3", text
        )
        gain, lose = "bindings gain desk at 192.0.2.2:80", "bindings lose desk at 192.0.2.1:80"
        self.assertIn(f"Customer acme changes: share from 1 to 2; {gain}; {lose}.", text)
        self.assertNotIn("% of flows", text)

    def test_record_with_problems_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            old = write_records(Path(folder) / "old", *BASE)
            new = write_records(Path(folder) / "new", *BASE)
            write_text(new, "service/bad", b"{")
            self.assertIn("service/bad.json", diff_directories(old, new))

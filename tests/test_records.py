"""Tests of the record schemas and the upgrade to the newest one."""

import re
import unittest
from pathlib import Path

from shallotshore.check import check_directory
from shallotshore.record_reader import read_record
from shallotshore.records import (
    SCHEMAS,
    Binding,
    Customer,
    CustomerV1,
    CustomerV2,
    DataCentre,
    DataCentreV1,
    DataCentreV2,
    Service,
    ServiceV1,
    ServiceV2,
    Upstream,
    UpstreamV1,
    UpstreamV2,
    encode_record,
    key_of_record,
)

DOCS = Path(__file__).parent.parent / "docs"
AGENT = ("10.0.0.1", 7000)
VIP = ("fd00::1", 80)

# A record as written under each schema, and the same record in the newest schema.
UPGRADES = (
    (ServiceV1("a", 2, 1.5, "off"), Service("a", 2, 1500, 0)),
    (ServiceV2("a", 2, 1500, 3), Service("a", 2, 1500, 3)),
    (Service("a", 2, 1500, 3), Service("a", 2, 1500, 3)),
    (
        UpstreamV1("a", "s", "z", "10.0.0.1:7000", 3, True, 0.25),
        Upstream("a", "s", "z", AGENT, "leaving", 3, 2000, None, 250),
    ),
    (
        UpstreamV2("a", "s", "z", AGENT, 3, 9, 2, 0.25),
        Upstream("a", "s", "z", AGENT, "active", 3, 9, 2, 250),
    ),
    (
        Upstream("a", "s", "z", AGENT, customers=("c", "d")),
        Upstream("a", "s", "z", AGENT, customers=("c", "d")),
    ),
    (DataCentreV1("a", "hu.buda", False), DataCentre("a", "hu", "out")),
    (DataCentreV2("a", "hu", True), DataCentre("a", "hu", "in")),
    (DataCentre("a", "hu", "out"), DataCentre("a", "hu", "out")),
    (
        CustomerV1("a", "high", (Binding("s", "[fd00::1]:80"),)),
        Customer("a", 4, (Binding("s", VIP),)),
    ),
    (
        CustomerV2("a", 250, (Binding("s", "[fd00::1]:80"),)),
        Customer("a", 2, (Binding("s", VIP),)),
    ),
    (Customer("a", 2, (Binding("s", VIP),)), Customer("a", 2, (Binding("s", VIP),))),
)


class UpgradeTest(unittest.TestCase):
    """Guards against a record of an old schema that is read with another meaning."""

    def test_every_schema_of_every_kind_keeps_its_meaning(self) -> None:
        for written, meant in UPGRADES:
            with self.subTest(type(written).__name__):
                self.assertEqual(
                    read_record(key_of_record(written), encode_record(written)).unwrap(), meant
                )

    def test_every_known_schema_is_covered(self) -> None:
        known = {schema.record_class for kind in SCHEMAS.values() for schema in kind.values()}
        self.assertEqual(known, {type(written) for written, _ in UPGRADES})


class PageTest(unittest.TestCase):
    """Guards against gaps and mistakes in docs/records.md, by which operators write records."""

    def setUp(self) -> None:
        self.page = (DOCS / "records.md").read_text("utf-8")

    def test_every_field_of_every_schema_is_described(self) -> None:
        described = set(re.findall(r"`([a-z_]+)`", self.page)) | {"name"}
        fields = {
            name for kind in SCHEMAS.values() for each in kind.values() for name in each.rules
        }
        self.assertEqual(fields - described, set())

    def test_example_directories_have_no_problems(self) -> None:
        for name in ("examples", "examples-out"):
            report = check_directory(DOCS / name)
            self.assertGreater(report.record_count, 0)
            self.assertEqual(report.problems, [])

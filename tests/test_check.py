"""Tests of the check of a directory of records."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from shallotshore import store
from shallotshore.check import check_directory, explain_code
from shallotshore.codes import Code
from shallotshore.records import Binding, Customer, DataCentre, Service, Upstream
from tests.record_files import write_records, write_text

VIP = ("192.0.2.1", 80)


class CheckTest(unittest.TestCase):
    """Guards against mistakes in records that are noticed only after they are published."""

    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.root = Path(temporary.name)
        write_records(
            self.root,
            Service("desk"),
            DataCentre("suva-a", "suva"),
            Upstream("desk-1", "desk", "suva-a", ("10.0.0.1", 7000)),
            Customer("acme", 1, (Binding("desk", VIP),)),
        )

    def find_problems(self) -> set[tuple[Code, str, str]]:
        return {problem[:3] for problem in check_directory(self.root).problems}

    def test_good_directory_has_no_problems(self) -> None:
        report = check_directory(self.root)
        self.assertEqual((report.code, report.record_count), (Code.OK, 4))
        self.assertEqual(report.text, "4 records read, 0 problems\n")

    def test_problems_of_all_files_are_listed_with_code_file_and_field(self) -> None:
        write_text(self.root, "service/vault", b"{")
        write_text(self.root, "service/later", b'{"kind":"service","schema":9,"name":"later"}')
        write_records(
            self.root,
            Upstream("desk-2", "vault", "suva-b", ("10.0.0.1", 7000), customers=("nobody",)),
            Customer("zeta", 1, (Binding("desk", VIP),)),
        )
        expected = {
            (Code.RECORD_NOT_JSON, "service/vault.json", ""),
            (Code.RECORD_VERSION_UNKNOWN, "service/later.json", "schema"),
            (Code.RECORD_REFERENCE_UNKNOWN, "upstream/desk-2.json", "service"),
            (Code.RECORD_REFERENCE_UNKNOWN, "upstream/desk-2.json", "data_centre"),
            (Code.RECORD_REFERENCE_UNKNOWN, "upstream/desk-2.json", "customers[0]"),
            (Code.RECORD_DUPLICATE, "upstream/desk-2.json", "address"),
            (Code.RECORD_DUPLICATE, "customer/zeta.json", "bindings[0].address"),
        }
        self.assertEqual(self.find_problems(), expected)
        text = check_directory(self.root).text
        self.assertIn("service/later.json: schema: 503 RECORD_VERSION_UNKNOWN: ", text)
        self.assertTrue(text.endswith("6 records read, 7 problems\n"), text)

    def test_names_with_the_same_id_are_found(self) -> None:
        write_records(self.root, Service("twin"), Service("other"))
        real = store.name_id
        same = {"twin": "other"}
        with mock.patch.object(
            store, "name_id", lambda kind, name: real(kind, same.get(name, name))
        ):
            found = self.find_problems()
        self.assertEqual(found, {(Code.RECORD_ID_COLLISION, "service/twin.json", "name")})

    def test_missing_directory_and_unreadable_file_are_problems(self) -> None:
        report = check_directory(self.root / "absent")
        self.assertEqual(report.code, Code.RECORD_UNREADABLE)
        (self.root / "service" / "folder.json").mkdir()
        self.assertEqual(
            self.find_problems(), {(Code.RECORD_UNREADABLE, "service/folder.json", "")}
        )

    def test_explain_knows_every_code_and_says_so_otherwise(self) -> None:
        for code in Code:
            self.assertIn(f"{code.value} {code.name}: ", explain_code(code.value))
        self.assertIn("outcome NOT_RUN", explain_code(Code.OVERLOADED))
        self.assertIn("not a result code", explain_code(999))

"""Tests of the record reader."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from shallotshore.codes import Code
from shallotshore.record_reader import read_record
from shallotshore.records import SCHEMAS, Record, Upstream, encode_record, key_of_record
from tests.odd_entries import list_odd_entries

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["service", "address", "host", "port", "x"]), inner),
    max_leaves=8,
)
FIELDS = sorted(
    {name for kind in SCHEMAS.values() for each in kind.values() for name in each.rules}
)
GOOD = Upstream("desk-1", "desk", "suva-a", ("10.0.0.1", 7000), customers=("acme",))


def find_problems(key: str, plain: object) -> set[tuple[Code, str]]:
    """Returns code and field of each problem in a record."""
    found = read_record(key, json.dumps(plain).encode()).unwrap_err()
    return {(problem.code, problem.field) for problem in found}


class RecordReaderTest(unittest.TestCase):
    """Guards against accepted records with mistakes, and reports that miss some of the problems."""

    def test_all_problems_are_found_at_once(self) -> None:
        plain = {
            "kind": "upstream",
            "schema": 3,
            "name": "other",
            "service": 5,
            "address": {"host": "ten", "port": 0, "extra": 1},
            "slots": True,
            "state": "gone",
            "customers": ["a", "a", " b"],
            "colour": "red",
        }
        expected = {
            (Code.RECORD_FIELD_VALUE, "name"),
            (Code.RECORD_FIELD_TYPE, "service"),
            (Code.RECORD_FIELD_MISSING, "data_centre"),
            (Code.RECORD_FIELD_VALUE, "address.host"),
            (Code.RECORD_FIELD_VALUE, "address.port"),
            (Code.RECORD_FIELD_UNKNOWN, "address.extra"),
            (Code.RECORD_FIELD_TYPE, "slots"),
            (Code.RECORD_FIELD_VALUE, "state"),
            (Code.RECORD_DUPLICATE, "customers[1]"),
            (Code.RECORD_FIELD_VALUE, "customers[2]"),
            (Code.RECORD_FIELD_UNKNOWN, "colour"),
        }
        self.assertEqual(find_problems("upstream/desk-1", plain), expected)

    def test_later_version_and_unknown_kind_have_their_codes(self) -> None:
        later = {"kind": "service", "schema": 4, "name": "a"}
        self.assertEqual(
            find_problems("service/a", later), {(Code.RECORD_VERSION_UNKNOWN, "schema")}
        )
        other = {"kind": "region", "schema": 1, "name": "a"}
        self.assertEqual(find_problems("region/a", other), {(Code.RECORD_KIND_UNKNOWN, "kind")})
        self.assertEqual(find_problems("service/a", [1]), {(Code.RECORD_NOT_OBJECT, "")})

    def test_text_that_is_no_json_or_too_large_is_refused(self) -> None:
        for text, code in (
            (b"{", Code.RECORD_NOT_JSON),
            (b"\xff\xfe", Code.RECORD_NOT_JSON),
            (b"[" * 50_000, Code.RECORD_NOT_JSON),
            (b" " * 70_000, Code.RECORD_TOO_LARGE),
        ):
            self.assertEqual(read_record("service/a", text).unwrap_err()[0].code, code)

    def test_one_address_in_two_bindings_is_refused(self) -> None:
        address = {"host": "10.0.0.1", "port": 80}
        bindings = [{"service": name, "address": address} for name in ("a", "b")]
        plain = {"kind": "customer", "schema": 3, "name": "c", "bindings": bindings}
        found = find_problems("customer/c", plain)
        self.assertEqual(found, {(Code.RECORD_DUPLICATE, "bindings[1].address")})


class FuzzTest(unittest.TestCase):
    """Guards against an exception in the reader, which a published text of any kind could raise."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_bytes_never_raise(self, text: bytes) -> None:
        self.assertTrue(read_record("service/a", text).is_err())

    @settings(derandomize=True, max_examples=600, deadline=None)
    @given(
        st.sampled_from(sorted(SCHEMAS)),
        st.integers(0, 5) | JSON,
        st.dictionaries(st.sampled_from(FIELDS), JSON, max_size=6),
    )
    def test_fields_of_any_value_never_raise(self, kind: str, schema: object, some: dict) -> None:
        plain = {"kind": kind, "schema": schema, "name": "a", **some}
        read = read_record(f"{kind}/a", json.dumps(plain).encode())
        if read.is_ok():
            self.check_round_trip(read.ok_value)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.integers(0, 300), st.binary(max_size=3), st.integers(0, 3))
    def test_damaged_record_never_raises(self, place: int, junk: bytes, cut: int) -> None:
        text = encode_record(GOOD)
        read = read_record(key_of_record(GOOD), text[:place] + junk + text[place + cut :])
        if read.is_ok():
            self.check_round_trip(read.ok_value)

    def check_round_trip(self, record: Record) -> None:
        self.assertEqual(read_record(key_of_record(record), encode_record(record)).unwrap(), record)


class OddRecordTest(unittest.TestCase):
    """Records as another writer may leave them."""

    def test_no_odd_text_raises(self) -> None:
        """Guards against a record that ends the reader, and so the reading of all others."""
        for name, text in list_odd_entries("10.1.1.1:8080", "spend").items():
            self.assertTrue(read_record("upstream/i-1", text).is_err(), name)

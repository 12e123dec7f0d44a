"""Tests of the store of published texts."""

import unittest

from shallotshore.messages import Entry
from shallotshore.store import MAX_LOGGED_CHANGES, RecordStore, id_of_key


def entry(name: str, revision: int, text: bytes = b"x") -> Entry:
    """Returns an entry of a service record."""
    return Entry(f"service/{name}", revision, text)


class RecordStoreTest(unittest.TestCase):
    """Guards against wrong digests and change logs, on which repairs and deltas rely."""

    def setUp(self) -> None:
        self.store = RecordStore(100)
        self.store.write_entry(id_of_key(entry("a", 1).key), entry("a", 1))
        self.store.set_revision(1, logged=True)

    def test_digest_depends_on_content_only(self) -> None:
        other = RecordStore(100)
        for each in (entry("gone", 1), entry("b", 3), entry("a", 1)):
            other.write_entry(id_of_key(each.key), each)
        other.delete_key("service/gone", 4, 0)
        self.store.write_entry(id_of_key(entry("b", 2).key), entry("b", 2))
        self.assertNotEqual(self.store.digest, other.digest)
        self.store.write_entry(id_of_key(entry("b", 3).key), entry("b", 3))
        self.assertEqual(self.store.digest, other.digest)

    def test_refused_text_counts_in_digest_and_leaves_the_good_one(self) -> None:
        before = self.store.digest
        self.store.store_refused_entry(entry("a", 2, b"bad"), conflicting=False)
        self.assertNotEqual(self.store.digest, before)
        self.assertEqual(self.store.text(self.store.row(id_of_key("service/a"))), b"x")
        self.assertTrue(self.store.is_known(id_of_key("service/a"), 2))
        self.store.write_entry(id_of_key(entry("a", 3).key), entry("a", 3))
        self.assertEqual(self.store.refused, {})

    def test_log_gives_changes_in_order_and_forgets_the_oldest(self) -> None:
        self.store.write_entry(id_of_key(entry("b", 2).key), entry("b", 2))
        self.store.delete_key("service/a", 3, 0)
        self.store.set_revision(3, logged=True)
        expected = [id_of_key("service/b"), id_of_key("service/a")]
        self.assertEqual(list(self.store.ids_changed_since(1)), expected)
        self.assertIsNone(self.store.ids_changed_since(0), "the first revision is sent whole")
        for revision in range(4, MAX_LOGGED_CHANGES + 10):
            self.store.write_entry(id_of_key(entry("b", revision).key), entry("b", revision))
            self.store.set_revision(revision, logged=True)
        self.assertIsNone(self.store.ids_changed_since(3))
        self.assertEqual(self.store.tombstones, {}, "tombstones are removed together with the log")

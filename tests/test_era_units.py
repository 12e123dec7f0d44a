"""Units of the request front end that follow a platform service restored from a copy."""

import unittest

from bench.fleet import Fleet
from shallotshore import codec
from shallotshore.catalog import Catalog
from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply, RevisionNotice
from shallotshore.hashing import name_id
from shallotshore.messages import Entry, Source
from shallotshore.positions import (
    CONFIRMED,
    MAX_ERA,
    RETAINING,
    VERIFIED,
    Rank,
    era_of,
    make_position,
    phase_of,
    revision_of,
)
from shallotshore.records import Service
from shallotshore.restored_read import MAX_COPY_AGE_REVISIONS, RestoredRead
from standins.configuration_service import PlatformService


class ReaderTest(unittest.TestCase):
    """Guards the reactions of one reader to single replies."""

    def setUp(self) -> None:
        self.fleet = Fleet(1, 0, 1, 41, 0.0)
        self.fleet.publish(Service("a"), Service("b"))
        self.fleet.run(5000)
        self.core = self.fleet.cores["balancer-0"]
        self.fleet.runtime.kill("configuration")

    def reply(self, base: int, revision: int, era: int, *entries: Entry, code: int = 0) -> list:
        message = PlatformReply(Source.CONFIGURATION, code or Code.OK, base, revision, entries, era)
        self.core.receive(("10.0.255.1", 1), message)
        sent = []
        for _ in range(3):
            self.fleet.runtime.now += 1
            self.core.tick(self.fleet.runtime.now)
            sent += [message for _, message in self.core.outbox.drain()]
        return sent

    def test_a_reply_of_a_higher_era_is_followed_by_a_full_read(self) -> None:
        full_read = PlatformRead(Source.CONFIGURATION, 0, 0)
        self.assertIn(full_read, self.reply(1, 1, 1))
        self.assertEqual(self.core.catalog.revision, 1)
        self.fleet.runtime.now += 600
        self.assertIn(full_read, self.reply(1, 1, 1, code=Code.SERVICE_STALE))
        self.reply(0, 1, 1, Entry("service/a", 1, b""))
        self.assertEqual(self.core.catalog.revision, make_position(1, RETAINING, 1))

    def test_a_reply_of_a_lower_era_is_ignored_and_counted(self) -> None:
        self.reply(0, 5, 2)
        position = self.core.catalog.revision
        self.assertEqual(position, make_position(2, RETAINING, 5))
        self.reply(5, 9, 1, Entry("service/c", 9, b"{}"))
        self.reply(5, 9, 0, Entry("service/c", 9, b"{}"))
        self.assertEqual(self.core.catalog.revision, position)
        self.assertEqual(self.core.counters["platform.old_era"], 2)

    def test_an_era_out_of_range_is_ignored_and_counted(self) -> None:
        self.reply(0, 5, MAX_ERA + 1)
        self.reply(0, 1 << 44, 1)
        self.reply(0, 1 << 44, 0)
        self.assertEqual(self.core.catalog.revision, 1)
        self.assertEqual(self.core.counters["platform.out_of_range"], 3)

    def test_a_notice_without_an_era_does_not_lower_the_revision(self) -> None:
        self.reply(0, 1, 1)
        self.core.receive(("10.1.0.9", 1), RevisionNotice(9))
        self.core.tick(self.fleet.runtime.now + 1)
        self.assertFalse(self.core.propagation._receiver.is_behind)


class RestoredReadTest(unittest.TestCase):
    """Guards the distinction between a copy's value and a write of the new era."""

    def compare(self, catalog: Catalog, phase: int, *entries: Entry) -> list[Entry]:
        read = RestoredRead(catalog, make_position(1, phase, 6), entries)
        while not read.step():
            pass
        self.equal = read.equal
        return read.changes

    def setUp(self) -> None:
        self.catalog = Catalog()
        self.texts = [
            b'{"kind":"service","schema":3,"name":"a","cold_limit":%d}' % n for n in range(1, 9)
        ]
        for revision in (1, 2, 4, 5, 8):
            entry = Entry("service/a", revision, self.texts[revision - 1])
            self.catalog.apply_revision(revision, [entry] if revision != 5 else [])

    def test_a_copys_value_is_held_back_and_a_new_write_is_applied(self) -> None:
        for revision, is_new in (
            (2, False),
            (3, False),
            (4, False),
            (5, True),
            (8, True),
            (9, True),
        ):
            with self.subTest(revision=revision):
                entry = Entry("service/a", revision, self.texts[0])
                position = make_position(1, RETAINING, revision, Rank.WRITTEN)
                expected = entry._replace(revision=position)
                if not is_new:
                    position = make_position(1, RETAINING, revision, Rank.RETAINED)
                    expected = Entry("service/a", position, self.texts[7])
                self.assertEqual(self.compare(self.catalog, RETAINING, entry), [expected])

    def test_an_absent_key_is_retained_with_precedence_over_the_stores_value(self) -> None:
        (retained,) = self.compare(self.catalog, RETAINING)
        self.assertEqual(retained.text, self.texts[7])
        (unjudged,) = self.compare(Catalog(), RETAINING, Entry("service/a", 6, self.texts[0]))
        self.assertGreater(retained.revision, unjudged.revision)

    def test_the_stores_value_counts_after_the_retention(self) -> None:
        entry = Entry("service/a", 2, self.texts[0])
        self.assertEqual(
            self.compare(self.catalog, CONFIRMED, entry),
            [entry._replace(revision=make_position(1, CONFIRMED, 2, Rank.WRITTEN))],
        )
        self.assertEqual(
            self.compare(self.catalog, CONFIRMED),
            [Entry("service/a", make_position(1, CONFIRMED, 6, Rank.WRITTEN), b"")],
        )

    def test_equal_texts_get_only_positions(self) -> None:
        entry = Entry("service/a", 3, self.texts[7])
        for phase in (RETAINING, CONFIRMED, VERIFIED):
            self.assertEqual(self.compare(self.catalog, phase, entry), [])
            update = self.catalog.start_update(make_position(1, phase, 6), relayed=False)
            update.feed_equal(self.equal)
            update.mark_complete()
            update.step(100)
            result = update.result
            assert result is not None
            self.assertEqual((result.accepted, result.changed_services), (True, frozenset()))
            position = self.catalog.store.accepted_revision(name_id("service", "a"))
            self.assertEqual((phase_of(position), revision_of(position)), (phase, 3))

    def test_keys_older_than_any_copy_keep_their_positions(self) -> None:
        read = RestoredRead(
            self.catalog,
            make_position(1, RETAINING, 9 + MAX_COPY_AGE_REVISIONS),
            (Entry("service/a", 8, self.texts[7]),),
        )
        self.assertTrue(read.step())
        self.assertEqual((read.changes, read.equal), ([], []))

    def test_records_refused_before_do_not_refuse_the_new_era(self) -> None:
        bad = [Entry(f"service/bad-{n}", 9, b"{}") for n in range(12)]
        good = [
            Entry(f"service/s{n}", 9, b'{"kind":"service","schema":3,"name":"s%d"}' % n)
            for n in range(13)
        ]
        self.catalog.apply_revision(9, bad + good)
        changes = self.compare(self.catalog, RETAINING, *bad, *good)
        result = self.catalog.apply_revision(make_position(1, RETAINING, 10), changes)
        self.assertTrue(result.accepted)


class PositionTest(unittest.TestCase):
    """Guards the order of revisions across eras and phases."""

    def test_positions_are_ordered_by_era_phase_and_revision(self) -> None:
        triples = [
            (0, 0, 1),
            (0, 0, 1 << 42),
            (1, 1, 0),
            (1, 1, 9),
            (1, 2, 3),
            (1, 3, 1),
            (2, 1, 0),
        ]
        positions = [make_position(*triple) for triple in triples]
        self.assertEqual(positions, sorted(positions))
        for triple, position in zip(triples, positions, strict=True):
            self.assertEqual((era_of(position), phase_of(position), revision_of(position)), triple)
        self.assertLess(make_position(MAX_ERA, VERIFIED, (1 << 44) - 1), 1 << 63)


class CodecTest(unittest.TestCase):
    """Guards messages between releases with and without an era."""

    def test_a_reply_without_an_era_is_encoded_as_by_the_last_release(self) -> None:
        reply = PlatformReply(Source.CONFIGURATION, 0, 1, 2, (Entry("a", 2, b"x"),))
        encoded = codec.encode(reply)
        self.assertEqual(encoded, b"A\x95\x01\x00\x01\x02\x91\x93\xa1a\x02\xc4\x01x")
        self.assertEqual(codec.decode(encoded).unwrap(), reply)

    def test_an_era_and_later_fields_are_decoded(self) -> None:
        reply = PlatformReply(Source.CONFIGURATION, 0, 1, 2, (), 3)
        encoded = codec.encode(reply)
        self.assertEqual(codec.decode(encoded).unwrap(), reply)
        appended = b"A\x97" + encoded[2:] + b"\x07"
        self.assertEqual(codec.decode(appended).unwrap(), reply)


class StandInTest(unittest.TestCase):
    """Guards the drill of the platform's stand-in."""

    def test_restored_store_reassigns_revisions_and_refuses_later_watches(self) -> None:
        service = PlatformService(Source.CONFIGURATION)
        for number in range(5):
            service.publish({"k": b"%d" % number}, 0)
        reader = ("10.0.0.1", 1)
        service.receive(reader, PlatformRead(Source.CONFIGURATION, 5, 1000))
        service.tick(1)
        self.assertEqual(service.restore_copy(2), [{"k": b"3"}, {"k": b"4"}])
        self.assertEqual((service.era, service.revision, service.watches), (1, 3, []))
        service.receive(reader, PlatformRead(Source.CONFIGURATION, 5, 1000))
        service.tick(2)
        ((_, refusal),) = service.outbox.drain()
        self.assertEqual((refusal.code, refusal.era), (Code.SERVICE_STALE, 1))
        self.assertEqual(service.publish({"k": b"new"}, 3), 4)


if __name__ == "__main__":
    unittest.main()

"""Tests of a platform service whose store is restored from a copy, in fleets on a virtual clock."""

import unittest
from collections.abc import Callable
from unittest import mock

from bench.era_soak import run_seed
from bench.fleet import Fleet, PropagationCore
from shallotshore import codec
from shallotshore.catalog import Catalog
from shallotshore.codes import Code
from shallotshore.control_messages import PlatformRead, PlatformReply, RevisionNotice
from shallotshore.era_reading import DETECTION_MS, HELD_BELIEF_MS, VERIFICATION_DELAY_MS
from shallotshore.hashing import name_id
from shallotshore.messages import Address, Entry, Message, Source
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
from shallotshore.records import Binding, Customer, DataCentre, Service, Upstream
from shallotshore.restored_read import MAX_COPY_AGE_REVISIONS, RestoredRead
from standins.configuration_service import Mode, PlatformService
from standins.network import Link

DESK = name_id("service", "desk")
CENTRE = name_id("data_centre", "dc-1")
ENFORCEMENT_LIMIT_MS = 3000  # the stated bound from an acknowledgement to enforcement everywhere
LOST_PUBLICATIONS = 41
OUT = DataCentre("dc-1", "suva", "out")
IN = DataCentre("dc-1", "suva", "in")
NEW_VIP = ("192.0.2.9", 80)
NEW_ROUTE = Customer("newcomer", 1, (Binding("desk", NEW_VIP),))

Condition = Callable[[Catalog], bool]


def is_out(catalog: Catalog) -> bool:
    """Whether the second data centre is out of service."""
    return not catalog.is_data_centre_in_service(CENTRE)


def has_new_route(catalog: Catalog) -> bool:
    """Whether the address of `NEW_ROUTE` has a route."""
    return catalog.route(NEW_VIP) is not None


def start_fleet(seed: int, fleet_type: type[Fleet] = Fleet, loss: float = 0.05) -> Fleet:
    """Returns a fleet in three data centres that holds its first revision."""
    fleet = fleet_type(6, 8, 3, seed, loss)
    fleet.publish(*fleet.records())
    fleet.run(6000)
    return fleet


def withdraw_new_route(fleet: Fleet) -> None:
    """Deletes the record of `NEW_ROUTE`."""
    fleet.configuration.publish({"customer/newcomer": b""}, fleet.runtime.now)


def publish_changes(fleet: Fleet, count: int) -> None:
    """Publishes changes of unrelated services, one revision each."""
    for number in range(count):
        fleet.publish(Service(f"other-{number % 7}", 1 + number))
        fleet.run(30)


def publish_again(fleet: Fleet, publications: list[dict[str, bytes]]) -> None:
    """Publishes texts again that a restored store has lost."""
    for texts in publications:
        fleet.configuration.publish(texts, fleet.runtime.now)
        fleet.run(5)


class DrillCase(unittest.TestCase):
    """Base with checks of all processes of a fleet."""

    def assert_all_within(self, fleet: Fleet, condition: Condition, limit: int) -> None:
        """Advances the clock until a condition holds at every process; fails after a limit in ms.

        The condition must then hold at every process for two further seconds.
        """
        start = fleet.runtime.now
        while self.find_failing(fleet, condition) and fleet.runtime.now - start < limit:
            fleet.run(20)
        self.assertEqual(self.find_failing(fleet, condition), [], f"after {limit} ms")
        self.assert_all_during(fleet, condition, 2000)

    def assert_all_during(self, fleet: Fleet, condition: Condition, duration: int) -> None:
        """Checks that a condition holds at every process for some ms."""
        end = fleet.runtime.now + duration
        while fleet.runtime.now < end:
            self.assertEqual(self.find_failing(fleet, condition), [], fleet.runtime.now)
            fleet.run(20)

    def find_failing(self, fleet: Fleet, condition: Condition) -> list[str]:
        """Returns the processes that hold a catalog which does not meet the condition."""
        return [
            name
            for name, core in fleet.cores.items()
            if core.catalog.revision and not condition(core.catalog)
        ]

    def assert_all_agree(self, fleet: Fleet, era: int) -> None:
        """Checks that all balancers hold the same, which is all that the service holds."""
        fleet.run(VERIFICATION_DELAY_MS + HELD_BELIEF_MS + 8000)
        balancers = [core for name, core in fleet.cores.items() if name.startswith("balancer")]
        for core in balancers:
            position = core.catalog.revision
            self.assertEqual((era_of(position), phase_of(position)), (era, VERIFIED))
            self.assertEqual(revision_of(position), fleet.configuration.revision)
            self.assertEqual(core.catalog.digest(0), balancers[0].catalog.digest(0))
        published = {entry.key: entry.text for _, entry in fleet.configuration._publications}
        store = balancers[0].catalog.store
        held = {store.record_key(store.row(key_id)) for key_id in store.all_ids()}
        self.assertEqual(
            {key for key in held if not key.startswith("members/")},
            {key for key, text in published.items() if text},
        )


class NewConfigurationTest(DrillCase):
    """Guards against a new configuration that is taken for one already known, by its revision."""

    def test_a_write_at_a_known_revision_is_applied_within_3_s(self) -> None:
        for seed, delay in enumerate((0, 50, 200, 400, 700, 1500, 2400, 4000)):
            with self.subTest(delay=delay):
                fleet = start_fleet(seed)
                publish_changes(fleet, LOST_PUBLICATIONS)
                fleet.configuration.restore_copy(LOST_PUBLICATIONS)
                fleet.run(delay)
                revision = fleet.publish(NEW_ROUTE)
                self.assertLess(revision, LOST_PUBLICATIONS)
                self.assert_all_within(fleet, has_new_route, ENFORCEMENT_LIMIT_MS)

    def test_a_changed_key_is_applied_within_3_s_also_before_the_first_read(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                fleet = start_fleet(seed)
                publish_changes(fleet, 20)
                fleet.publish(OUT)
                fleet.run(1000)
                fleet.configuration.restore_copy(15)
                fleet.run(seed * 60)
                fleet.publish(IN)
                self.assert_all_within(fleet, lambda c: not is_out(c), ENFORCEMENT_LIMIT_MS)

    def test_writing_the_same_again_and_then_a_new_route(self) -> None:
        fleet = start_fleet(3)
        publish_changes(fleet, LOST_PUBLICATIONS)
        for era in (1, 2):
            lost = fleet.configuration.restore_copy(LOST_PUBLICATIONS)
            fleet.run(300)
            publish_again(fleet, lost)
            if era == 1:
                fleet.publish(NEW_ROUTE)
            else:
                withdraw_new_route(fleet)
            expected = era == 1
            self.assert_all_within(
                fleet, lambda c, e=expected: has_new_route(c) == e, ENFORCEMENT_LIMIT_MS
            )
        self.assert_all_agree(fleet, 2)

    def test_a_second_era_before_the_first_is_processed(self) -> None:
        for seed, pause in enumerate((0, 100, 600, 2000, 2600)):
            with self.subTest(pause=pause):
                fleet = start_fleet(seed)
                publish_changes(fleet, 20)
                fleet.publish(OUT)
                fleet.run(1000)
                fleet.configuration.restore_copy(12)
                fleet.run(pause)
                fleet.configuration.restore_copy(2)
                fleet.run(300)
                fleet.publish(NEW_ROUTE, OUT)
                self.assert_all_within(
                    fleet, lambda c: has_new_route(c) and is_out(c), ENFORCEMENT_LIMIT_MS
                )
                self.assert_all_agree(fleet, 2)

    def test_drill_during_a_burst_with_an_outage(self) -> None:
        fleet = start_fleet(9)
        publish_changes(fleet, 10)
        for number in range(30):
            fleet.publish(Service(f"burst-{number % 5}", number + 1))
        fleet.configuration.set_mode(Mode.DOWN)
        fleet.run(1500)
        lost = fleet.configuration.restore_copy(25)
        fleet.configuration.set_mode(Mode.UP)
        publish_again(fleet, lost)
        fleet.publish(NEW_ROUTE)
        self.assert_all_within(fleet, has_new_route, ENFORCEMENT_LIMIT_MS)
        self.assert_all_agree(fleet, 1)

    def test_vm_list_follows_its_own_era(self) -> None:
        fleet = start_fleet(10)
        fleet.vm_list.publish({"vm/balancer-5": b""}, fleet.runtime.now)
        fleet.run(2000)
        fleet.vm_list.restore_copy(1)
        fleet.run(1000)
        gone = fleet.address("balancer-5")
        for core in fleet.cores.values():
            self.assertFalse(core.membership.is_balancer(gone), "the removal is retained")
        fleet.run(HELD_BELIEF_MS + 1500)
        for name, core in fleet.cores.items():
            self.assertEqual(era_of(core.membership.revision), 1)
            self.assertEqual(era_of(core.catalog.revision), 0)
            if not name.startswith("desk"):
                self.assertTrue(core.membership.is_balancer(gone), "the store's entry counts")


class RetentionTest(DrillCase):
    """Guards against the loss of what the operator wrote after the copy was made."""

    def test_evacuation_and_removal_hold_until_they_are_written_again(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = start_fleet(seed)
                publish_changes(fleet, 10)
                fleet.configuration.publish({"upstream/desk-3": b""}, fleet.runtime.now)
                fleet.publish(
                    OUT,
                    Upstream("desk-4", "desk", "dc-1", fleet.address("desk-4"), state="leaving"),
                )
                fleet.run(2000)
                lost = fleet.configuration.restore_copy(2)

                def holds(catalog: Catalog) -> bool:
                    row = catalog.store.row(name_id("upstream", "desk-4"))
                    members = catalog.upstreams_of(DESK)
                    return (
                        is_out(catalog)
                        and name_id("upstream", "desk-3") not in members
                        and bool(catalog.store.is_leaving(row))
                    )

                self.assert_all_during(fleet, holds, 2000)
                publish_again(fleet, lost)
                self.assert_all_during(fleet, holds, 20_000)
                self.assert_all_agree(fleet, 1)

    def test_what_is_not_written_again_is_gone_after_the_bound(self) -> None:
        fleet = start_fleet(21)
        publish_changes(fleet, 10)
        fleet.publish(OUT, NEW_ROUTE)
        fleet.run(2000)
        fleet.configuration.restore_copy(1)
        self.assert_all_during(
            fleet, lambda c: is_out(c) and has_new_route(c), HELD_BELIEF_MS - DETECTION_MS
        )
        self.assert_all_within(fleet, lambda c: not is_out(c) and not has_new_route(c), 2000)
        self.assert_all_agree(fleet, 1)

    def test_an_end_of_an_evacuation_in_the_new_era_is_applied_at_once(self) -> None:
        fleet = start_fleet(22)
        publish_changes(fleet, 10)
        fleet.publish(OUT)
        fleet.run(2000)
        fleet.configuration.restore_copy(3)
        fleet.run(700)
        fleet.publish(IN)
        self.assert_all_within(fleet, lambda c: not is_out(c), 1500)

    def test_a_process_that_starts_during_the_drill_takes_the_retained_state(self) -> None:
        fleet = start_fleet(23)
        fleet.publish(OUT)
        fleet.run(2000)
        lost = fleet.configuration.restore_copy(1)
        fleet.start("balancer-9", "dc-0")
        fleet.start("desk-9", "dc-1", "desk")
        self.assert_all_during(fleet, is_out, 2000)
        self.assertGreater(fleet.cores["balancer-9"].catalog.revision, 0)
        publish_again(fleet, lost)
        self.assert_all_during(fleet, is_out, 10_000)
        self.assert_all_agree(fleet, 1)

    def test_processes_that_start_alone_in_the_new_era_take_the_stores_values(self) -> None:
        fleet = start_fleet(24)
        fleet.configuration.restore_copy(0)
        fleet.run(1000)
        for name in list(fleet.cores):
            fleet.runtime.kill(name)
        fleet.cores.clear()
        for number in range(4):
            fleet.start(f"balancer-{number}", f"dc-{number % 2}")
        fleet.run(6000)
        fleet.publish(NEW_ROUTE)
        self.assert_all_within(fleet, has_new_route, ENFORCEMENT_LIMIT_MS)
        self.assert_all_agree(fleet, 1)


class PartitionTest(DrillCase):
    """Guards against processes on an older era that hold newer ones back, or override them."""

    def test_a_data_centre_that_is_cut_off_follows_after_the_heal(self) -> None:
        fleet = start_fleet(31)
        publish_changes(fleet, 30)
        cut_off = [name for name in fleet.cores if fleet.runtime.process(name).place == "dc-1"]
        fleet.runtime.network.partition(cut_off)
        fleet.configuration.restore_copy(20)
        fleet.run(500)
        fleet.publish(NEW_ROUTE)
        fleet.run(4000)
        self.assertEqual(sorted(self.find_failing(fleet, has_new_route)), sorted(cut_off))
        fleet.runtime.network.heal()
        self.assert_all_within(fleet, has_new_route, ENFORCEMENT_LIMIT_MS)
        self.assert_all_agree(fleet, 1)

    def test_readers_that_the_service_does_not_answer_follow_others(self) -> None:
        fleet = start_fleet(32)
        publish_changes(fleet, 30)
        readers = fleet.cores["balancer-0"].membership.readers(name_id("data_centre", "dc-0"))
        for name in fleet.cores:
            if fleet.address(name) in readers:
                fleet.runtime.network.set_link(name, "configuration", Link(loss=1.0))
        fleet.configuration.restore_copy(20)
        fleet.run(100)
        fleet.publish(NEW_ROUTE)
        self.assert_all_within(fleet, has_new_route, ENFORCEMENT_LIMIT_MS)

    def test_a_removed_key_that_only_a_cut_off_data_centre_knew_does_not_return(self) -> None:
        fleet = start_fleet(33)
        publish_changes(fleet, 5)
        others = [name for name in fleet.cores if fleet.runtime.process(name).place != "dc-1"]
        fleet.runtime.network.partition([*others, "vm-list"])
        fleet.publish(NEW_ROUTE)
        fleet.run(2000)
        fleet.configuration.set_mode(Mode.DOWN)
        fleet.configuration.restore_copy(1)
        fleet.runtime.network.heal()
        fleet.runtime.network.partition(["never"])
        fleet.configuration.set_mode(Mode.UP)
        fleet.run(VERIFICATION_DELAY_MS + HELD_BELIEF_MS + 8000)
        self.assertEqual(self.find_failing(fleet, lambda c: not has_new_route(c)), [])
        self.assert_all_agree(fleet, 1)


class LastReleaseCore(PropagationCore):
    """A process whose decoder refuses replies with an era, as that of the last release does."""

    __slots__ = ()

    def receive(self, source: Address, message: Message) -> None:
        if not isinstance(message, PlatformReply) or message.era == 0:
            super().receive(source, message)


class UnawareCore(PropagationCore):
    """A process that reads the same replies, but does not read their era."""

    __slots__ = ()

    def receive(self, source: Address, message: Message) -> None:
        if isinstance(message, PlatformReply):
            fields = (message.source, message.code, message.base, message.revision)
            message = PlatformReply(*fields, message.entries)
        super().receive(source, message)


class MixedFleet(Fleet):
    """A fleet in which every second process is of the other type."""

    __slots__ = ()
    other_type: type[PropagationCore] = LastReleaseCore

    def start(self, name: str, data_centre: str, service: str = "") -> PropagationCore:
        is_other = int(name.rpartition("-")[2]) % 2 == 1
        core_type = self.other_type if is_other else PropagationCore
        with mock.patch("bench.fleet.PropagationCore", core_type):
            return super().start(name, data_centre, service)


class UnawareFleet(MixedFleet):
    """A fleet in which every second process does not read the era."""

    __slots__ = ()
    other_type = UnawareCore


class MixedReleasesTest(DrillCase):
    """Guards against a process without eras that overrides or delays a newer era."""

    def test_a_new_configuration_reaches_all_processes_of_a_mixed_fleet(self) -> None:
        for fleet_type in (MixedFleet, UnawareFleet):
            for seed in range(3):
                with self.subTest(fleet_type=fleet_type.__name__, seed=seed):
                    fleet = start_fleet(seed, fleet_type)
                    publish_changes(fleet, LOST_PUBLICATIONS)
                    fleet.publish(OUT)
                    fleet.run(1500)
                    lost = fleet.configuration.restore_copy(LOST_PUBLICATIONS)
                    self.assert_all_during(fleet, is_out, 1000)
                    fleet.publish(NEW_ROUTE)
                    self.assert_all_within(fleet, has_new_route, ENFORCEMENT_LIMIT_MS)
                    publish_again(fleet, lost)
                    publish_changes(fleet, 60)  # passes the highest revision of the old era
                    withdraw_new_route(fleet)
                    self.assert_all_within(
                        fleet, lambda c: not has_new_route(c), ENFORCEMENT_LIMIT_MS
                    )
                    self.assert_all_agree(fleet, 1)


class RandomDrillTest(unittest.TestCase):
    """Guards against faults that random drills have found, by their seeds.

    5, 8 and 16: balancers ended with different states. 11, 28 and 230: a write was not in force at
    some processes, since a value of the old era had its position or one above.
    """

    def test_seeds_that_failed(self) -> None:
        for seed in (5, 8, 11, 16, 28, 230):
            with self.subTest(seed=seed):
                self.assertEqual(run_seed(seed), [])


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

"""Tests of propagation in fleets on a virtual clock with loss, delay and partitions."""

import random
import unittest
from unittest import mock

from bench.fleet import Fleet, PropagationCore
from shallotshore import codec
from shallotshore.codes import Code
from shallotshore.control_messages import (
    Delta,
    DeltaRequest,
    PlatformRead,
    RevisionNotice,
    RevisionOffer,
)
from shallotshore.hashing import name_id
from shallotshore.messages import Address, Entry, Source
from shallotshore.platform_reader import POLL_INTERVAL_MS
from shallotshore.propagation import PropagationConfig
from shallotshore.records import Binding, Customer, DataCentre, Service, Upstream
from standins.configuration_service import Mode

DESK = name_id("service", "desk")
CONVERGENCE_LIMIT_MS = 3000  # the stated target for revisions in force everywhere


def start_fleet(balancers: int, agents: int, centres: int, seed: int, loss: float = 0.05) -> Fleet:
    """Returns a fleet that holds its first revision."""
    fleet = Fleet(balancers, agents, centres, seed, loss)
    fleet.publish(*fleet.records())
    fleet.run(6000)
    return fleet


class ConvergenceTest(unittest.TestCase):
    """Guards the promise that a revision is in force everywhere within 3 s with 5% loss."""

    def test_fleets_of_11_to_20_processes_converge_in_time(self) -> None:
        for seed, (balancers, agents) in enumerate(((4, 7), (3, 8), (6, 10), (8, 12))):
            with self.subTest(seed=seed):
                fleet = start_fleet(balancers, agents, 3, seed)
                for step in range(15):
                    state = "out" if step % 2 == 0 else "in"
                    revision = fleet.publish(DataCentre("dc-1", "suva", state))
                    self.assertLess(
                        fleet.run_until_all_hold(revision, CONVERGENCE_LIMIT_MS),
                        CONVERGENCE_LIMIT_MS,
                    )
                    for core in fleet.cores.values():
                        centre = name_id("data_centre", "dc-1")
                        self.assertEqual(
                            core.catalog.is_data_centre_in_service(centre), state == "in"
                        )
                    fleet.run(random.Random(step).randrange(1500))

    def test_balancers_that_start_together_find_their_first_readers(self) -> None:
        # With some addresses every balancer ranked two others first, so that none read the service.
        for seed in range(30):
            with self.subTest(seed=seed):
                RandomPortFleet.seed = seed
                fleet = RandomPortFleet(4, 0, 4, seed, 0.0)
                fleet.publish(*fleet.records())
                fleet.run(5000)
                self.assertEqual(fleet.find_processes_behind(1), [])

    def test_agents_hold_their_slice_and_nothing_else(self) -> None:
        fleet = start_fleet(4, 7, 2, 5)
        for name, core in fleet.cores.items():
            self.assertEqual(len(core.catalog.upstreams_of(DESK)), 7, name)
            is_agent = name.startswith("desk")
            self.assertEqual(name_id("customer", "other") not in core.catalog.store, is_agent)
            self.assertEqual(core.catalog.membership(DESK), 1)

    def test_large_revision_arrives_whole_in_parts_of_a_datagram(self) -> None:
        fleet = start_fleet(4, 4, 2, 6)
        sizes = []
        for core in fleet.cores.values():
            core.propagation._peering.config.part_bytes = 1200
        fleet.runtime.observers[Delta] = [
            lambda *delivery: sizes.append(len(codec.encode(delivery[-1])))
        ]
        added = [
            Upstream(f"desk-{number}", "desk", "dc-0", (f"10.9.0.{number}", 7000))
            for number in range(50, 250)
        ]
        revision = fleet.publish(*added)
        self.assertLess(fleet.run_until_all_hold(revision, 10_000), 10_000)
        for core in fleet.cores.values():
            self.assertEqual(len(core.catalog.upstreams_of(DESK)), 204)
        self.assertLessEqual(max(sizes), 1200)

    def test_slice_that_differs_is_repaired(self) -> None:
        fleet = start_fleet(3, 3, 1, 7)
        agent = fleet.cores["desk-0"]
        self.assertIsNotNone(agent.catalog.route(("192.0.2.1", 80)))
        # The customer no longer uses the service, so that no delta of the slice has its new record.
        fleet.publish(Customer("acme", 1, (Binding("vault", ("192.0.2.1", 80)),)))
        fleet.run(5000)
        self.assertEqual(agent.catalog.digest(DESK), fleet.cores["balancer-0"].catalog.digest(DESK))
        self.assertIsNone(agent.catalog.route(("192.0.2.1", 80)))


class RandomPortFleet(Fleet):
    """A fleet whose ports are drawn at random from a seed."""

    seed = 0

    def address(self, name: str) -> Address:
        host, _ = super().address(name)
        return (host, random.Random(f"{name} {self.seed}").randrange(65536))


class FailureTest(unittest.TestCase):
    """Guards propagation against the faults that the design page names.

    These are killed and paused processes, partitions, and platform services that fail or are stale.
    """

    def test_death_of_both_readers_is_covered(self) -> None:
        fleet = start_fleet(6, 4, 1, 11)
        membership = fleet.cores["balancer-0"].membership
        readers = membership.readers(name_id("data_centre", "dc-0"))
        for name in [n for n, core in fleet.cores.items() if fleet.address(n) in readers]:
            fleet.runtime.kill(name)
            del fleet.cores[name]
        revision = fleet.publish(Service("late"))
        self.assertLess(fleet.run_until_all_hold(revision, 8000), 8000)

    def test_service_that_is_down_or_stale_changes_nothing(self) -> None:
        fleet = start_fleet(4, 4, 2, 12)
        service = fleet.configuration
        service.set_mode(Mode.STALE)
        held = service.revision
        newer = DataCentre("dc-0", "suva", "out")
        fleet.publish(newer)
        service.set_mode(Mode.UP)
        fleet.run(3000)
        # The fleet holds a higher revision than the service, as after a fail-over of the service.
        service.set_mode(Mode.STALE)
        service._stale_revision = held
        reads = service.reads
        fleet.run(20_000)
        self.assertEqual(fleet.find_processes_behind(held + 1), [])
        self.assertGreater(fleet.sum_counter("platform.stale"), 0)
        self.assertLess(
            service.reads - reads, 20 * 2 * 2 * 3, "a stale service is not read too often"
        )
        service.set_mode(Mode.DOWN)
        tried = []
        fleet.runtime.observers[PlatformRead] = [
            lambda now, source, process, message: tried.append(process.name)
        ]
        fleet.run(60_000)
        without_backoff = 4 * 60 * 1000 // POLL_INTERVAL_MS
        self.assertLess(tried.count("configuration"), without_backoff / 2)
        self.assertEqual(fleet.find_processes_behind(held + 1), [])
        service.set_mode(Mode.UP)
        revision = fleet.publish(Service("late"))
        self.assertLess(fleet.run_until_all_hold(revision, 40_000), 40_000)

    def test_rate_limited_service_is_read_less_often(self) -> None:
        fleet = start_fleet(4, 0, 2, 13)
        before = fleet.sum_counter("platform.reads")
        with mock.patch("standins.configuration_service.MAX_READS_PER_S", 0):
            fleet.run(60_000)
        self.assertGreater(fleet.sum_counter("platform.rate_limited"), 0)
        self.assertLess(fleet.sum_counter("platform.reads") - before, 400)

    def test_partition_heals_upward(self) -> None:
        fleet = start_fleet(4, 6, 2, 14)
        partitioned = [name for name in fleet.cores if fleet.runtime.process(name).place == "dc-1"]
        fleet.runtime.network.partition(partitioned)
        revision = fleet.publish(Service("late"))
        fleet.run(5000)
        self.assertEqual(sorted(fleet.find_processes_behind(revision)), sorted(partitioned))
        fleet.runtime.network.heal()
        self.assertLess(
            fleet.run_until_all_hold(revision, CONVERGENCE_LIMIT_MS), CONVERGENCE_LIMIT_MS
        )

    def test_newcomer_holds_the_revision_before_it_serves(self) -> None:
        fleet = start_fleet(4, 4, 2, 15)
        fleet.configuration.set_mode(Mode.DOWN)
        for name, service in (("balancer-9", ""), ("desk-9", "desk")):
            core = fleet.start(name, "dc-0", service)
            while not core.propagation.is_validated and fleet.runtime.now < 20_000:
                self.assertEqual(core.catalog.revision, 0)
                fleet.run(20)
            self.assertEqual(core.catalog.revision, 1)
        alone = Fleet(1, 0, 1, 16, 0.0)
        alone.run(1990)
        self.assertFalse(alone.cores["balancer-0"].propagation.is_validated)
        alone.run(40)
        self.assertTrue(alone.cores["balancer-0"].propagation.is_validated)

    def test_paused_process_serves_only_after_a_peer_has_answered(self) -> None:
        fleet = start_fleet(4, 4, 2, 17)
        for name in ("balancer-1", "desk-1"):
            fleet.runtime.pause(name)
        revision = fleet.publish(DataCentre("dc-0", "suva", "out"))
        fleet.run(5000)
        for name in ("balancer-1", "desk-1"):
            core = fleet.cores[name]
            fleet.runtime.resume(name)
            fleet.run(1)
            self.assertFalse(core.wakeup_guard.may_serve)
            while not core.wakeup_guard.may_serve:
                fleet.run(5)
            self.assertEqual(core.catalog.revision, revision, name)

    def test_agents_follow_other_balancers_when_their_parents_die(self) -> None:
        fleet = start_fleet(6, 3, 1, 18)
        agent = fleet.cores["desk-0"]
        centre = name_id("data_centre", "dc-0")
        parents = agent.membership.parents(name_id("upstream", "desk-0"), centre)
        for name in [n for n in fleet.cores if fleet.address(n) in parents]:
            fleet.runtime.kill(name)
            del fleet.cores[name]
        revision = fleet.publish(Service("desk", 5))
        self.assertLess(fleet.run_until_all_hold(revision, 9000), 9000)


class MessageTest(unittest.TestCase):
    """Guards the reactions of one process to single messages, without a network."""

    def setUp(self) -> None:
        config = PropagationConfig(("10.0.0.1", 1), "dc-0", (("10.0.0.2", 1),))
        self.core = PropagationCore(config, random.Random(1))
        self.peer = ("10.0.0.2", 1)
        self.core.catalog.apply_revision(5, [])

    def sent(self, now: int, *messages: object) -> list:
        for message in messages:
            self.core.receive(self.peer, message)
        self.core.tick(now)
        return [message for _, message in self.core.outbox.drain()]

    def test_higher_revision_is_requested_and_lower_one_gets_a_notice(self) -> None:
        sent = self.sent(0, RevisionNotice(9))
        self.assertIn(DeltaRequest(Source.CONFIGURATION, 5, 0), sent)
        self.core.propagation.record_peer_revision(self.peer, 3, 20)
        self.core.propagation.record_peer_revision(self.peer, 3, 30)
        self.assertEqual(self.sent(40).count(RevisionNotice(5)), 1)

    def test_delta_with_a_gap_or_an_old_revision_is_not_applied(self) -> None:
        service = Entry("service/a", 8, b"")
        for base, revision in ((6, 8), (1, 4)):
            delta = Delta(Source.CONFIGURATION, base, revision, 0, 0, 1, (service,))
            self.sent(revision, delta)
            self.assertEqual(self.core.catalog.revision, 5)
        self.assertEqual(self.core.counters["propagation.gaps"], 1)
        self.assertEqual(self.core.counters["propagation.old_deltas"], 1)

    def test_delta_with_a_lost_part_is_asked_for_again(self) -> None:
        delta = Delta(Source.CONFIGURATION, 5, 8, 0, 1, 2, (Entry("service/a", 8, b""),))
        self.sent(0, delta)
        self.assertEqual(self.core.catalog.revision, 5)
        sent = [message for now in range(20, 700, 20) for message in self.sent(now)]
        self.assertIn(DeltaRequest(Source.CONFIGURATION, 5, 0), sent)
        self.sent(720, Delta(Source.CONFIGURATION, 5, 8, 0, 0, 0, ()))
        self.assertEqual(self.core.catalog.revision, 8)

    def test_late_part_of_a_whole_state_starts_no_transfer(self) -> None:
        late = Delta(Source.CONFIGURATION, 0, 5, 0, 1, 2, (Entry("service/a", 5, b""),))
        sent = self.sent(0, late)
        sent += [message for now in range(20, 2000, 20) for message in self.sent(now)]
        self.assertNotIn(DeltaRequest(Source.CONFIGURATION, 0, 0), sent)
        self.assertEqual(self.core.counters["propagation.transfer_retries"], 0)

    def test_equal_revisions_with_other_digests_are_merged(self) -> None:
        other = PropagationCore(PropagationConfig(self.peer, "dc-0"), random.Random(2))
        text = b'{"kind":"service","schema":3,"name":"a"}'
        other.catalog.apply_revision(5, [Entry("service/a", 5, text)])
        offer = RevisionOffer(Source.CONFIGURATION, 5, other.catalog.digest(0), 0)
        sent = self.sent(0, offer)
        self.assertIn(DeltaRequest(Source.CONFIGURATION, 0, 0), sent)
        base, entries = other.catalog.select_entries(0, 0)
        self.sent(20, Delta(Source.CONFIGURATION, base, 5, 0, 0, 1, tuple(entries)))
        self.assertEqual(self.core.catalog.digest(0), other.catalog.digest(0))

    def test_woken_process_waits_for_the_revision_that_a_peer_offers(self) -> None:
        self.sent(0)
        self.sent(2000)
        self.sent(2020, RevisionOffer(Source.CONFIGURATION, 9, 1, 0))
        self.sent(2040)
        self.assertFalse(self.core.wakeup_guard.may_serve)
        self.sent(2060, Delta(Source.CONFIGURATION, 5, 9, 0, 0, 1, ()))
        self.sent(2080)
        self.assertTrue(self.core.wakeup_guard.may_serve)

    def test_repairs_that_change_nothing_become_rare(self) -> None:
        offer = RevisionOffer(Source.CONFIGURATION, 5, 1, 0)
        for now in range(0, 600_000, 500):
            self.sent(now, offer)
        self.assertIn(self.core.counters["propagation.repairs"], range(5, 9))

    def test_damaged_text_is_counted_and_the_rest_applied(self) -> None:
        entries = (Entry("service/a", 8, b"\xff\xff"), Entry("data_centre/b", 8, b""))
        self.sent(0, Delta(Source.CONFIGURATION, 5, 8, 0, 0, 1, entries))
        self.assertEqual(self.core.catalog.revision, 8)
        name = f"propagation.problem.{Code.RECORD_UNREADABLE.name.lower()}"
        self.assertEqual(self.core.counters[name], 1)

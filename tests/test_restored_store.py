"""A store that comes back from a copy some seconds old, in a new era, on a virtual clock."""

import unittest
from collections.abc import Callable

from shallotshore.packets.feed_copies import FeedCopy
from shallotshore.packets.restored_store import HELD_BELIEF_MS
from shallotshore.packets.view import Feed
from standins.packet_store import LostWrite
from standins.packet_world import VIP, PacketWorld

NEW_VIP = ("198.18.0.2", 443)
PLACES = ("bud-a", "bud-b")
BALANCERS = ("10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2", "10.1.0.3", "10.2.0.3")
AGENTS = ("10.1.1.1", "10.2.1.1", "10.1.1.2", "10.2.1.2")
CONFIGURATION_MS = 3_000  # limits from the acknowledgement of a write until it takes effect
EVACUATION_MS = 5_000
DRAINING_MS = 3_000
LOST_REVISIONS = 41
DOWN_MS = 300
WRITTEN_AGAIN_MS = 700  # until the writers have written again what the store has lost
GRACE_MS = 300  # until followers and agents have copied what readers have read


def place_of(host: str) -> str:
    """Returns the data centre of a host."""
    return PLACES[int(host.split(".")[1]) - 1]


class DrillTest(unittest.TestCase):
    """A fleet of six balancers and four agents, of which some read the store."""

    def setUp(self) -> None:
        self.world = PacketWorld(data_centres=PLACES)
        self.world.configure()
        for host in AGENTS:
            self.world.add_agent(host, place=place_of(host))
            self.world.publish(host)
        for host in BALANCERS:
            self.start_balancer(host)
        self.world.run(6_000)
        self.next_port = 4_000

    def start_balancer(self, host: str) -> None:
        self.world.add_balancer(host, place_of(host), seeds=BALANCERS[:2])

    def repeat_entries(self, count: int) -> None:
        """Lets the upstreams repeat their entries, which raises the revision by `count`."""
        for number in range(count):
            self.world.publish(AGENTS[number % len(AGENTS)])

    def write_much(self) -> None:
        """Writes what the drill loses: repeated entries, and a configuration with the same routes.

        Both feeds are then known up to revisions that the store assigns again.
        """
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.configure()
        self.world.run(1_000)

    def restore(self, lost: int, keeps_watches: bool = False) -> list[LostWrite]:
        """Restores the store, which is unavailable for a moment, and returns the lost writes."""
        writes = self.world.store.restore(lost, keeps_watches)
        if not keeps_watches:
            self.world.store.is_down = True
            self.world.run(DOWN_MS)
            self.world.store.is_down = False
        return writes

    def readers(self) -> list[str]:
        return [host for host, core in self.world.balancers.items() if core.feeds.is_reading]

    def copies(self, feed: Feed) -> dict[str, FeedCopy]:
        """Returns the copies of all processes by host."""
        cores = {**self.world.balancers, **self.world.agents}
        return {host: core.feeds.copy(feed) for host, core in cores.items()}

    def versions(self) -> set[int]:
        return {
            core.feeds.operator.content.configuration.version
            for core in self.world.balancers.values()
        }

    def assert_routes(self, *vips: tuple[str, int]) -> None:
        """Asserts that exactly these routes are in force at every balancer."""
        for host, core in self.world.balancers.items():
            self.assertEqual(set(vips), set(core.state.routes), host)

    def assert_always(self, duration: int, check: Callable[[], object]) -> None:
        """Runs the world for a time in ms, with a check every 20 ms."""
        for _ in range(duration // 20):
            self.world.run(20)
            check()

    def openings_at(self, host: str, duration: int) -> int:
        """Returns how many new flows an upstream gets while flows are opened for a time in ms."""
        before = len(self.world.upstreams[host].opening_times_ms)
        for _ in range(duration // 20):
            self.world.open_flow(self.next_port)
            self.next_port += 1
            self.world.run(20)
        return len(self.world.upstreams[host].opening_times_ms) - before

    # The cases of the specification.

    def test_new_configuration_at_a_known_revision(self) -> None:
        """Guards against a new route that never serves, and a removed one that serves on.

        Copies were ordered by revisions, which the store assigns again after it was restored.
        """
        self.write_much()
        lost = self.restore(LOST_REVISIONS)
        self.world.store.write_again(lost[:-1])
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(CONFIGURATION_MS)
        self.assert_routes(NEW_VIP)
        new, removed = (self.world.open_flow(9_000 + n, v) for n, v in enumerate((NEW_VIP, VIP)))
        self.world.run(1_000)
        self.assertIsNotNone(new.opened_at)
        self.assertIsNotNone(removed.reset_at)

    def test_process_that_was_frozen_during_the_drill(self) -> None:
        """Guards against a process that goes on in the old era after it was suspended."""
        self.write_much()
        frozen = {host: self.world.balancers.pop(host) for host in BALANCERS[:3]}
        lost = self.restore(LOST_REVISIONS)
        self.world.store.write_again(lost[:-1])
        self.world.run(2_000)
        self.world.balancers.update(frozen)
        self.world.run(100)
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(CONFIGURATION_MS)
        self.assert_routes(NEW_VIP)

    def test_process_that_was_killed_during_the_drill(self) -> None:
        """Guards against a new process that takes the copies of the old era for newer ones."""
        self.write_much()
        lost = self.restore(LOST_REVISIONS)
        for host in BALANCERS[:2]:
            self.start_balancer(host)
        self.world.store.write_again(lost[:-1])
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(CONFIGURATION_MS)
        self.assert_routes(NEW_VIP)

    def test_second_drill(self) -> None:
        """Guards against an order of eras that holds for the first one only."""
        for number in range(2):
            self.world.configure({(VIP, NEW_VIP)[number]: "spend"})
            self.repeat_entries(LOST_REVISIONS - 2)
            self.world.configure({(VIP, NEW_VIP)[number]: "spend"})
            self.world.run(1_000)
            lost = self.restore(LOST_REVISIONS)
            self.world.store.write_again(lost[:-1])
            vip = (NEW_VIP, VIP)[number]
            self.world.configure({vip: "spend"})
            self.world.run(CONFIGURATION_MS)
            self.assert_routes(vip)

    def test_second_drill_before_the_first_is_processed(self) -> None:
        """Guards against state that is lost when the store changes its era twice in a row."""
        self.repeat_entries(LOST_REVISIONS)
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(1_000)
        self.world.store.restore(20)
        self.world.run(40)
        lost = self.restore(15)
        self.assert_always(WRITTEN_AGAIN_MS, lambda: self.assert_routes(NEW_VIP))
        self.world.store.write_again(lost)
        self.world.configure({NEW_VIP: "spend", VIP: "spend"})
        self.world.run(CONFIGURATION_MS)
        self.assert_routes(VIP, NEW_VIP)
        self.assertEqual({2}, {copy.era for feed in Feed for copy in self.copies(feed).values()})

    def test_lost_configuration_stays_in_force_until_it_is_written_again(self) -> None:
        """Guards against a removed route that serves again while its removal is lost."""
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(1_000)
        lost = self.restore(LOST_REVISIONS)
        self.assert_always(WRITTEN_AGAIN_MS, lambda: self.assert_routes(NEW_VIP))
        self.world.store.write_again(lost)
        self.assert_always(CONFIGURATION_MS + 2_000, lambda: self.assert_routes(NEW_VIP))

    def test_lost_configuration_at_a_process_that_starts_during_the_drill(self) -> None:
        """Guards against a removed route that serves again at a balancer without a memory."""
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(1_000)
        self.restore(LOST_REVISIONS)
        self.world.run(700)
        self.start_balancer(BALANCERS[0])
        self.start_balancer(BALANCERS[3])
        self.world.run(200)
        self.assert_always(800, lambda: self.assert_routes(NEW_VIP))
        self.world.run(HELD_BELIEF_MS)
        self.assert_routes(VIP)

    def test_lost_draining_reopens_no_upstream(self) -> None:
        """Guards against new flows for an upstream whose `draining` the store has lost."""
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.publish(AGENTS[0], is_leaving=True)
        self.world.run(DRAINING_MS)
        lost = self.restore(LOST_REVISIONS)
        self.assertEqual(0, self.openings_at(AGENTS[0], WRITTEN_AGAIN_MS))
        self.world.store.write_again(lost)
        self.assertEqual(0, self.openings_at(AGENTS[0], 4_000))

    def test_draining_in_the_new_era(self) -> None:
        """Guards against a `draining` that is ignored since its revision was known before."""
        self.write_much()
        lost = self.restore(LOST_REVISIONS)
        self.world.store.write_again(lost[:-1])
        self.world.publish(AGENTS[0], is_leaving=True)
        self.openings_at(AGENTS[0], DRAINING_MS)
        self.assertEqual(0, self.openings_at(AGENTS[0], 2_000))
        self.assertGreater(self.openings_at(AGENTS[1], 200), 0)

    def test_lost_evacuation(self) -> None:
        """Guards against new flows for an evacuated data centre whose evacuation is lost."""
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.set_data_centre("bud-a", is_out=True)
        self.world.run(EVACUATION_MS)
        lost = self.restore(LOST_REVISIONS)
        self.assertEqual(0, self.openings_at(AGENTS[0], WRITTEN_AGAIN_MS))
        for host, copy in self.copies(Feed.OPERATOR).items():
            self.assertEqual({"bud-a"}, copy.content.data_centres_out, host)
        self.world.store.write_again(lost)
        self.assertEqual(0, self.openings_at(AGENTS[0], 4_000))

    def test_evacuation_in_the_new_era(self) -> None:
        """Guards against an evacuation that is ignored since its revision was known before."""
        self.write_much()
        lost = self.restore(LOST_REVISIONS)
        self.world.store.write_again(lost[:-1])
        self.world.set_data_centre("bud-a", is_out=True)
        self.openings_at(AGENTS[0], EVACUATION_MS)
        self.assertEqual(0, self.openings_at(AGENTS[0], 2_000))

    def test_lost_end_of_an_evacuation(self) -> None:
        """Guards against a data centre that is out of service again since its return is lost."""
        self.world.set_data_centre("bud-a", is_out=True)
        self.world.run(2_000)
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.set_data_centre("bud-a", is_out=False)
        self.world.run(6_000)
        lost = self.restore(LOST_REVISIONS)

        def check() -> None:
            for host, copy in self.copies(Feed.OPERATOR).items():
                self.assertEqual(set(), copy.content.data_centres_out, host)

        self.assert_always(WRITTEN_AGAIN_MS, check)
        self.world.store.write_again(lost)
        self.assert_always(4_000, check)

    def test_lost_removal_brings_no_upstream_back(self) -> None:
        """Guards against new flows for an upstream that has left and whose removal is lost."""
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.remove_upstream_record(AGENTS[0])
        self.world.run(4_000)
        lost = self.restore(LOST_REVISIONS)
        self.assertEqual(0, self.openings_at(AGENTS[0], WRITTEN_AGAIN_MS))
        self.world.store.write_again(lost)
        self.assertEqual(0, self.openings_at(AGENTS[0], 4_000))

    def test_lost_entry_keeps_its_upstream_in_use(self) -> None:
        """Guards against an upstream without new flows until it has repeated its lost entry."""
        host = "10.1.1.9"
        self.world.add_agent(host, place=place_of(host))
        self.world.publish(host)
        self.world.run(2_000)
        self.restore(1)
        self.assertGreater(self.openings_at(host, 1_500), 5)

    # Limits of the retention.

    def test_configuration_that_is_never_written_again(self) -> None:
        """Guards against a lost configuration that stays in force for ever."""
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(1_000)
        self.restore(LOST_REVISIONS)
        self.assert_routes(NEW_VIP)
        self.world.run(HELD_BELIEF_MS + GRACE_MS)
        self.assert_routes(VIP)
        self.assertEqual({3}, self.versions())

    def test_lower_version_of_the_new_era_waits_at_most_the_bounded_time(self) -> None:
        """Guards against a version below the lost one that never takes effect, or too late."""
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.configure({NEW_VIP: "spend"}, version=40)
        self.world.run(1_000)
        self.restore(LOST_REVISIONS)
        self.world.configure({NEW_VIP: "spend", VIP: "spend"}, version=20)
        self.world.run(CONFIGURATION_MS)
        self.assert_routes(VIP, NEW_VIP)
        self.assertEqual({20}, self.versions())

    def test_store_without_any_configuration_removes_no_route(self) -> None:
        """Guards against a fleet without routes after a restore from an empty copy."""
        self.restore(self.world.store.revision)
        self.world.run(HELD_BELIEF_MS + 1_000)
        self.assert_routes(VIP)
        self.world.configure({NEW_VIP: "spend"}, version=1)
        self.world.run(CONFIGURATION_MS)
        self.assert_routes(NEW_VIP)

    def test_lost_entry_that_is_never_repeated_gets_no_second_grace(self) -> None:
        """Guards against an upstream in use for the retention and the grace of a lapse after it."""
        host = "10.1.1.9"
        self.world.add_agent(host, place=place_of(host))
        self.world.publish(host)
        self.world.run(2_000)
        self.restore(1)
        self.openings_at(host, HELD_BELIEF_MS + 2 * GRACE_MS)
        self.assertEqual(0, self.openings_at(host, 1_000))

    def test_new_write_ends_the_retention_at_once(self) -> None:
        """Guards against an evacuation that goes on after its end was written in the new era."""
        self.repeat_entries(LOST_REVISIONS - 1)
        self.world.set_data_centre("bud-a", is_out=True)
        self.world.run(2_000)
        lost = self.restore(LOST_REVISIONS)
        self.world.run(500)
        self.world.store.write_again(lost)
        self.world.set_data_centre("bud-a", is_out=False)
        self.world.run(1_000)
        for host, copy in self.copies(Feed.OPERATOR).items():
            self.assertEqual(set(), copy.content.data_centres_out, host)

    def test_process_that_starts_during_the_drill_resets_no_flow(self) -> None:
        """Guards against the reset of a flow whose upstream's entry the store has lost.

        A balancer that started during the drill took the restored list for complete, and all
        agents in it denied the flow. The agent of the lost entry had restarted, so that it sent no
        reports. Found by seeds 17 and 21 of the process soak with drills.
        """
        host = "10.1.1.9"
        self.world.add_agent(host, place=place_of(host))
        self.world.publish(host)
        self.world.run(2_000)
        clients = [self.world.open_flow(9_000 + number) for number in range(40)]
        self.world.run(1_000)
        self.assertTrue(all(client.opened_at for client in clients))
        self.assertGreater(self.world.upstreams[host].flows, 3)
        self.world.store.restore(1)
        for balancer in BALANCERS:
            self.start_balancer(balancer)
        self.world.add_agent(host, place=place_of(host), is_first_start=False)
        self.world.run(100)
        for client in clients:
            client.request(b"late")
        self.world.run(WRITTEN_AGAIN_MS)
        self.world.publish(host)
        self.world.run(2_500)
        self.assertEqual([], [client.address for client in clients if client.reset_at])
        self.assertTrue(all(client.answers for client in clients))

    def test_process_that_starts_long_after_a_drill_is_soon_current(self) -> None:
        """Guards against late resets after each start for as long as the store has an era."""
        self.restore(1)
        self.world.run(10_000)
        self.start_balancer(BALANCERS[4])
        self.world.run(1_000)
        copy = self.world.balancers[BALANCERS[4]].feeds.upstreams
        self.assertTrue(copy.is_current(self.world.now))

    # Paths by which a process learns of the new era.

    def test_watch_that_succeeds_in_the_new_era(self) -> None:
        """Guards against changes of the new era that are applied to a copy of the old one.

        The revision of the watch has been passed again, so that the store does not answer 410.
        """
        self.repeat_entries(LOST_REVISIONS)
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(1_000)
        self.restore(LOST_REVISIONS, keeps_watches=True)
        self.world.configure({VIP: "spend", NEW_VIP: "spend"})
        self.repeat_entries(2 * LOST_REVISIONS)
        self.world.run(CONFIGURATION_MS)
        self.assert_routes(VIP, NEW_VIP)
        self.assertEqual({1}, {copy.era for copy in self.copies(Feed.UPSTREAMS).values()})

    def test_reader_that_is_cut_off_from_the_store(self) -> None:
        """Guards against followers of a reader that goes on in the old era."""
        cut = self.readers()[0]
        self.write_much()
        self.world.hosts_without_store.add(cut)
        lost = self.restore(LOST_REVISIONS)
        self.world.store.write_again(lost[:-1])
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(CONFIGURATION_MS)
        self.assert_routes(NEW_VIP)
        self.assertFalse(self.world.balancers[cut].feeds.operator.is_current(self.world.now))

    def test_old_era_is_not_current_while_another_process_offers_a_newer_one(self) -> None:
        """Guards against a reset of a live flow that is decided by a list of the old era."""
        core = self.world.balancers[self.readers()[0]]
        copy = core.feeds.upstreams
        self.assertTrue(copy.is_current(self.world.now))
        core.feeds.record_offer(("10.9.9.9", 7720), 0, 1, self.world.now, False, (0, 1))
        self.assertFalse(copy.is_current(self.world.now))

    def test_processes_of_the_last_release_beside_new_ones(self) -> None:
        """Guards against old copies, which name no era, that override those of a new era."""
        self.world.hosts_of_last_release.update((*BALANCERS[:3], AGENTS[0]))
        self.write_much()
        lost = self.restore(LOST_REVISIONS)
        self.world.store.write_again(lost[:-1])
        self.world.configure({NEW_VIP: "spend"})
        self.world.run(CONFIGURATION_MS)
        for host in BALANCERS[3:]:
            self.assertEqual({NEW_VIP}, set(self.world.balancers[host].state.routes), host)
            self.assertEqual(1, self.world.balancers[host].feeds.operator.era)

    def test_store_without_an_era_is_served_as_before(self) -> None:
        """Guards against state of eras in a deployment whose store names none."""
        self.world.set_data_centre("bud-a", is_out=True)
        self.world.store.remove_history()
        self.world.run(5_000)
        for core in self.world.balancers.values():
            names = core.counters.snapshot().keys()
            self.assertFalse([name for name in names if "era" in name.split(".")[-1].split("_")])
            self.assertEqual(0, len(core.feeds.operator.retained))
            self.assertEqual(0, core.feeds.operator.state(self.world.now).held_ms)


if __name__ == "__main__":
    unittest.main()

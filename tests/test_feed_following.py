"""Balancers that follow a few readers of the store, and faults of these readers."""

import unittest

from shallotshore.packets.readers import READERS, choose_readers, rank_members
from standins.packet_world import PacketWorld

PLACES = ("bud-a", "bud-b", "bud-c")
HOSTS = tuple(f"10.{number % 3 + 1}.0.{number // 3 + 1}" for number in range(18))
IN_FORCE_MS = 3_000  # the tightest limit of the users on the time until a change takes effect
# Two calls for each feed when a balancer starts, and one every 4 s for each feed of a reader.
MEASURED_MS = 20_000
MAX_CALLS = READERS * 2 * MEASURED_MS // 4_000 + 2 * READERS


def make_world() -> PacketWorld:
    """Returns a world of balancers in three data centres that know each other."""
    world = PacketWorld(data_centres=PLACES)
    world.configure()
    for number, host in enumerate(HOSTS):
        world.add_balancer(host, PLACES[number % 3], seeds=HOSTS[:3])
    world.run(6_000)
    return world


def readers_of(world: PacketWorld) -> list[str]:
    """Returns the hosts that watch the store."""
    return [host for host, core in world.balancers.items() if core.feeds.is_reading]


def behind(world: PacketWorld, version: int) -> list[str]:
    """Returns the hosts that do not have a version of the configuration."""
    return [
        host
        for host, core in world.balancers.items()
        if core.feeds.operator.content.configuration.version != version
    ]


class ReadersTest(unittest.TestCase):
    """The order in which members read the store."""

    def test_first_readers_are_in_different_data_centres(self) -> None:
        """Guards against readers that are all lost with one data centre."""
        members = {number: number % 3 + 1 for number in range(30)}
        readers = choose_readers(members, set())
        self.assertEqual(READERS, len({members[reader] for reader in readers}))

    def test_loss_of_one_reader_changes_one_choice(self) -> None:
        """Guards against a fleet whose followers all change readers when one is lost."""
        members = dict.fromkeys(range(30), 1)
        before = rank_members(members)[:READERS]
        after = choose_readers(members, {before[0]})
        self.assertEqual(before[1:], after[:-1])


class FollowingTest(unittest.TestCase):
    """A fleet of eighteen balancers."""

    def test_calls_to_the_store_do_not_grow_with_the_fleet(self) -> None:
        """Guards against a store that every balancer watches.

        These calls were the largest price of a quiet day of a large fleet.
        """
        world = make_world()
        self.assertEqual(READERS, len(readers_of(world)))
        calls = world.store.call_count
        world.run(MEASURED_MS)
        self.assertLessEqual(world.store.call_count - calls, MAX_CALLS)
        for core in world.balancers.values():
            self.assertTrue(core.feeds.upstreams.is_current(world.now))

    def test_change_reaches_all_at_once(self) -> None:
        """Guards against followers that learn of changes only by gossip."""
        world = make_world()
        for _ in range(3):
            world.configure()
            world.run(600)
            self.assertEqual([], behind(world, world.version))

    def test_loss_of_all_readers_delays_no_change_beyond_the_limit(self) -> None:
        """Guards against followers that wait for readers which were all killed together."""
        world = make_world()
        for host in readers_of(world):
            del world.balancers[host]
        world.configure()
        world.run(IN_FORCE_MS)
        self.assertEqual([], behind(world, world.version))
        world.run(10_000)
        self.assertLessEqual(len(readers_of(world)), 2 * READERS)

    def test_readers_that_are_cut_off_from_the_store_are_replaced(self) -> None:
        """Guards against followers of readers that answer but get nothing from the store."""
        world = make_world()
        cut = readers_of(world)
        world.hosts_without_store.update(cut)
        world.store.remove_watches()
        for host in cut:
            core = world.balancers[host]
            world.call_later(2_100, lambda core=core: core._feed_system.reread(world.now))
        world.configure()
        world.run(IN_FORCE_MS)
        self.assertEqual([], [host for host in behind(world, world.version) if host not in cut])
        world.run(5_000)
        world.configure()
        world.run(IN_FORCE_MS)
        self.assertEqual([], behind(world, world.version))

    def test_outage_of_the_store_is_noticed_by_few_calls(self) -> None:
        """Guards against a fleet of which each balancer calls a store that is down."""
        world = make_world()
        world.store.is_down = True
        world.store.answer_expired_watches(world.now + 10_000)
        world.run(2_000)
        calls = world.store.call_count
        world.run(MEASURED_MS)
        per_balancer_s = (world.store.call_count - calls) / len(HOSTS) / (MEASURED_MS / 1_000)
        self.assertLess(per_balancer_s, 2.0)
        world.store.is_down = False
        world.configure()
        world.run(IN_FORCE_MS)
        self.assertEqual([], behind(world, world.version))
        world.run(3_000)
        self.assertEqual(READERS, len(readers_of(world)))


if __name__ == "__main__":
    unittest.main()

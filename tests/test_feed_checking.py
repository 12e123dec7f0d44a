"""Checks of whether a copy of a feed is complete, by the store and by other balancers."""

import unittest

from shallotshore.packets.balancer import PacketBalancer
from shallotshore.packets.feed_check import FeedCheck
from shallotshore.packets.feed_checking import (
    ANSWER_TIMEOUT_MS,
    ASKED_READERS,
    STORE_CALLS_BURST,
    STORE_CALLS_PER_S,
)
from shallotshore.packets.view import Feed
from shallotshore.unknown_flows import NEVER
from standins.packet_world import TICK_MS, PacketWorld

HOSTS = tuple(f"10.{number % 3 + 1}.0.{number // 3 + 1}" for number in range(59))
PLACES = ("bud-a", "bud-b", "bud-c")
CHECK_MS = 150  # the agents of a fleet have denied a flow by then
STREAM_MS = 10_000


def make_world(balancers: int = 7) -> PacketWorld:
    """Returns balancers that know each other."""
    world = PacketWorld(data_centres=PLACES)
    world.configure()
    for number, host in enumerate(HOSTS[:balancers]):
        world.add_balancer(host, PLACES[number % 3], seeds=HOSTS[:3])
    world.run(6_000)
    return world


def as_of(core: PacketBalancer) -> int:
    """Returns the time up to which a balancer's copy of the configuration is complete."""
    return core.feeds.operator.check.as_of


class FeedCheckTest(unittest.TestCase):
    """The record of one check."""

    def test_answer_to_an_earlier_request_leaves_the_later_one_open(self) -> None:
        """Guards against a reader that never answers and is never replaced."""
        check = FeedCheck()
        check.request(100)
        check.record_request(0, 100)
        check.record_request(0, 160)
        check.record_as_of(100)
        self.assertEqual(100, check.unanswered_since)
        check.record_as_of(160)
        self.assertEqual((NEVER, False), (check.unanswered_since, check.is_wanted))


class FleetTest(unittest.TestCase):
    """Checks in a fleet."""

    def request(self, world: PacketWorld, hosts: tuple[str, ...], feed: Feed) -> None:
        for host in hosts:
            world.balancers[host].feeds.copy(feed).check.request(world.now)

    def test_calls_to_the_store_do_not_grow_with_the_fleet(self) -> None:
        """Guards against a fleet of which each balancer asks the store when flows are lost."""
        calls = []
        for balancers in (7, 59):
            world = make_world(balancers)
            world.run(15_000)  # until all views of the members agree
            before = world.store.call_count
            for _ in range(STREAM_MS // TICK_MS):
                self.request(world, HOSTS[:balancers], Feed.OPERATOR)
                world.run(TICK_MS)
            calls.append(world.store.call_count - before)
        checks = STORE_CALLS_BURST + STORE_CALLS_PER_S * STREAM_MS // 1_000
        watches = 2 * 3 * (STREAM_MS // 4_000 + 1)
        self.assertLessEqual(max(calls), checks + watches)

    def test_all_are_answered_soon(self) -> None:
        """Guards against clients that wait for a check for long."""
        world = make_world()
        asked_at = world.now
        self.request(world, HOSTS[:7], Feed.OPERATOR)
        world.run(CHECK_MS)
        for host in HOSTS[:7]:
            self.assertGreaterEqual(as_of(world.balancers[host]), asked_at, host)

    def test_silent_reader_is_passed_over(self) -> None:
        """Guards against checks that depend on one balancer."""
        world = make_world()
        reader = next(h for h, core in world.balancers.items() if core.feeds.is_first_reader)
        world.paused_hosts.add(reader)
        others = tuple(host for host in HOSTS[:7] if host != reader)
        asked_at = world.now
        self.request(world, others, Feed.OPERATOR)
        world.run(sum(ANSWER_TIMEOUT_MS << n for n in range(ASKED_READERS)) + 2 * CHECK_MS)
        for host in others:
            self.assertGreaterEqual(as_of(world.balancers[host]), asked_at, host)

    def test_copy_that_lacks_a_change_is_not_confirmed(self) -> None:
        """Guards against a check that says nothing of changes which arrive with it."""
        world = make_world()
        world.configure()
        asked_at = world.now
        self.request(world, HOSTS[:7], Feed.OPERATOR)
        for _ in range(CHECK_MS // TICK_MS + 1):
            world.run(TICK_MS)
            for core in world.balancers.values():
                version = core.feeds.operator.content.configuration.version
                if as_of(core) >= asked_at:
                    self.assertEqual(world.version, version)
        self.assertTrue(all(as_of(core) >= asked_at for core in world.balancers.values()))

    def test_answer_of_the_store_counts_from_its_request(self) -> None:
        """Guards against a slow answer that is taken for the present state of the store."""
        world = make_world()
        world.store.answer_delay_ms = 400
        asked_at = world.now
        self.request(world, HOSTS[:7], Feed.OPERATOR)
        world.run(390)
        self.assertTrue(all(as_of(core) < asked_at for core in world.balancers.values()))
        world.run(CHECK_MS)
        for core in world.balancers.values():
            self.assertTrue(asked_at <= as_of(core) <= asked_at + CHECK_MS)

    def test_nothing_is_confirmed_while_a_restored_store_lacks_changes(self) -> None:
        """Guards against resets of flows whose records the store has lost for a moment."""
        world = make_world()
        world.configure()
        world.run(1_000)
        lost = world.store.restore(1)
        world.run(500)
        asked_at = world.now
        self.request(world, HOSTS[:7], Feed.OPERATOR)
        world.run(CHECK_MS)
        for core in world.balancers.values():
            self.assertFalse(core.feeds.operator.is_complete_as_of(asked_at, world.now))
        world.store.write_again(lost)
        world.run(3_000)
        self.request(world, HOSTS[:7], Feed.OPERATOR)
        asked_at = world.now
        world.run(CHECK_MS)
        for core in world.balancers.values():
            self.assertTrue(core.feeds.operator.is_complete_as_of(asked_at, world.now))

    def test_failed_check_says_nothing_of_other_calls(self) -> None:
        """Guards against a store that counts as lost because one check was turned away."""
        world = make_world()
        reader = next(h for h, core in world.balancers.items() if core.feeds.is_first_reader)
        world.hosts_refused_by_store.add(reader)
        asked_at = world.now
        self.request(world, HOSTS[:7], Feed.OPERATOR)
        world.run(100)
        feed = world.balancers[reader].feeds.operator
        self.assertEqual(NEVER, feed.failing_since)
        world.run(ANSWER_TIMEOUT_MS * 4)
        for core in world.balancers.values():
            self.assertGreaterEqual(as_of(core), asked_at)


if __name__ == "__main__":
    unittest.main()

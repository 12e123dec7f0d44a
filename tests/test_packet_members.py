"""Membership of balancers, graceful stops, and pauses of the VM."""

import unittest

from shallotshore.packets.balancer import STOP_GRACE_MS
from standins.packet_world import START_MS, PacketWorld

SEEDS = ("10.1.0.1", "10.1.0.2", "10.1.0.3")
OTHERS = tuple(f"10.1.0.{number}" for number in range(4, 12))


def known_to(world: PacketWorld, host: str) -> int:
    """Returns how many balancers a balancer knows."""
    return len(world.balancers[host]._members._members)


class MembershipTest(unittest.TestCase):
    """Balancers that each balancer knows."""

    def test_all_find_each_other_from_seeds_of_which_one_is_down(self) -> None:
        """Guards against balancers that know only the seeds, or wait for a seed that is down."""
        world = PacketWorld()
        for host in (*SEEDS[1:], *OTHERS):
            world.add_balancer(host, seeds=SEEDS)
        world.run(6_000)
        for host in world.balancers:
            self.assertGreaterEqual(known_to(world, host), 9)

    def test_balancer_that_is_gone_is_forgotten(self) -> None:
        """Guards against tables that keep balancers which stopped long ago."""
        world = PacketWorld()
        for host in SEEDS:
            world.add_balancer(host, seeds=SEEDS)
        world.run(2_000)
        del world.balancers[SEEDS[2]]
        world.run(60_000)
        self.assertEqual(1, known_to(world, SEEDS[0]))

    def test_gossip_rate_does_not_grow_with_the_fleet(self) -> None:
        """Guards against gossip messages from every balancer to every other one."""
        counts = []
        for others in (OTHERS[:2], OTHERS):
            world = PacketWorld()
            for host in (*SEEDS, *others):
                world.add_balancer(host, seeds=SEEDS)
            world.run(4_000)
            sent = 0
            core = world.balancers[SEEDS[0]]
            for tick in range(250):
                core.tick(world.now + 20 * (tick + 1))
                sent += len(core.outbox.drain())
            counts.append(sent)
        self.assertLessEqual(counts[1], counts[0] * 1.3)


class StopAndPauseTest(unittest.TestCase):
    """A balancer that stops, or whose VM is suspended."""

    def make_world(self) -> PacketWorld:
        world = PacketWorld()
        world.configure()
        world.add_agent("10.1.1.1")
        world.publish("10.1.1.1")
        world.add_balancer(SEEDS[0])
        world.run(400)
        return world

    def test_stopping_balancer_is_not_ready_and_forwards_packets(self) -> None:
        """Guards against flows that stall while the routers still use the stopping balancer."""
        world = self.make_world()
        core = world.balancers[SEEDS[0]]
        client = world.open_flow(4000)
        world.run(200)
        self.assertTrue(core.is_ready)
        core.stop(world.now)
        self.assertFalse(core.is_ready)
        client.request(b"x")
        world.run(1_000)
        self.assertEqual([b"200 x"], client.answers)
        self.assertFalse(core.stopped)
        world.run(STOP_GRACE_MS)
        self.assertTrue(core.stopped)

    def test_opening_packets_that_waited_through_a_pause_are_dropped(self) -> None:
        """Guards against routing old opening packets, or using stale feeds, after a pause.

        The clients of packets that were queued before the pause have retransmitted them since.
        """
        world = self.make_world()
        core = world.balancers[SEEDS[0]]
        client = world.open_flow(4000)
        world.run(2)
        world.balancers.clear()
        world.run(5_000)
        world.balancers[SEEDS[0]] = core
        self.assertIsNone(client.opened_at)
        reads = world.store.call_count
        core.tick(world.now)
        world.run(100)
        self.assertEqual(1, core.counters["pauses"])
        self.assertGreaterEqual(world.store.call_count, reads + 2)
        self.assertGreater(world.now, START_MS)


if __name__ == "__main__":
    unittest.main()

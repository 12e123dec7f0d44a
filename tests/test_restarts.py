"""What processes of the packet front end must not use again after a restart."""

import unittest

from shallotshore.packets.upstream_table import LAPSE_GRACE_MS
from standins.packet_world import PacketWorld

BALANCERS = ("10.1.0.1", "10.1.0.2")
AGENTS = ("10.1.1.1", "10.1.1.2", "10.1.1.3")
GONE = AGENTS[0]  # its record is removed, but its upstream still answers
SETTLE_MS = 400
RETURN_MS = 2_000  # entries that lapsed during an outage are back by then


class RemovedUpstreamTest(unittest.TestCase):
    """An upstream whose record was removed goes on running."""

    def make_world(self) -> PacketWorld:
        """Returns a world in which one upstream has no record any more."""
        world = PacketWorld()
        world.configure()
        for host in AGENTS:
            world.add_agent(host)
            world.publish(host)
        for host in BALANCERS:
            world.add_balancer(host, seeds=BALANCERS)
        world.run(SETTLE_MS)
        world.remove_upstream_record(GONE)
        world.run(LAPSE_GRACE_MS + 1_000)
        return world

    def restart_balancers(self, world: PacketWorld) -> None:
        """Restarts all balancers; the agents still know the former ones as subscribers."""
        for host in BALANCERS:
            world.add_balancer(host, seeds=BALANCERS)

    def openings_at_removed_upstream(self, world: PacketWorld) -> int:
        """Opens flows, and returns how many of them the removed upstream got."""
        before = len(world.upstreams[GONE].opening_times_ms)
        clients = [world.open_flow(5000 + number) for number in range(12)]
        world.run(600)
        self.assertNotIn(None, [client.opened_at for client in clients])
        return len(world.upstreams[GONE].opening_times_ms) - before

    def test_restarted_balancer_does_not_use_it(self) -> None:
        """Guards against a balancer that takes any agent that reports for a listed upstream.

        The agents report to a balancer for a minute after its last subscription.
        """
        world = self.make_world()
        self.restart_balancers(world)
        world.run(SETTLE_MS)
        self.assertEqual(0, self.openings_at_removed_upstream(world))

    def test_restart_during_an_outage_does_not_use_it(self) -> None:
        """Guards against the same while the store is down and records come from other processes."""
        world = self.make_world()
        world.hosts_without_store.update(BALANCERS)
        self.restart_balancers(world)
        world.run(SETTLE_MS)
        self.assertEqual(0, self.openings_at_removed_upstream(world))

    def test_lapsed_upstreams_serve_until_their_records_return(self) -> None:
        """Guards against a pause of service when records have lapsed in an outage of the store.

        A balancer that has started in the outage has never seen the records of these upstreams.
        """
        world = self.make_world()
        world.hosts_without_store.update(BALANCERS)
        self.restart_balancers(world)
        for host in AGENTS:
            world.agents[host].state.feeds.upstreams.content.upstreams.clear()
            if host != GONE:
                world.remove_upstream_record(host)
        world.run(SETTLE_MS)
        world.hosts_without_store.clear()
        clients = []
        for number in range(RETURN_MS // 100):
            clients.append(world.open_flow(6000 + number))
            world.run(100)
        for host in AGENTS[1:]:
            world.publish(host)
        world.run(600)
        self.assertNotIn(None, [client.opened_at for client in clients])


if __name__ == "__main__":
    unittest.main()

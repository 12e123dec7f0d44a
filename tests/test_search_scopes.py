"""Searches for owners that are in the balancers' data centre, or in another one."""

import unittest

from shallotshore.packets.search_queue import FAR_MESSAGES_BURST, FAR_MESSAGES_PER_S
from standins.packet_world import PacketWorld
from tests.test_packet_flows import AGENTS, BALANCERS, SETTLE_MS, make_world


class SearchTest(unittest.TestCase):
    """Searches for owners of flows after balancers and agents have restarted."""

    FAR = tuple(f"10.2.1.{number}" for number in range(1, 31))

    def make_wide_world(self) -> PacketWorld:
        """Returns a world with three agents in the balancers' data centre and thirty in another."""
        world = make_world()
        for host in self.FAR:
            world.add_agent(host, place="bud-b")
            world.publish(host)
        world.run(SETTLE_MS)
        return world

    def restart_all(self, world: PacketWorld) -> None:
        """Restarts balancers and agents."""
        for host in BALANCERS:
            world.add_balancer(host, seeds=BALANCERS)
        for host in AGENTS:
            world.add_agent(host, is_first_start=False)
        for host in self.FAR:
            world.add_agent(host, place="bud-b", is_first_start=False)

    def test_flows_of_another_data_centre_are_found(self) -> None:
        """Guards against a search that queries only the agents of the balancer's data centre."""
        world = self.make_wide_world()
        for host in AGENTS:
            world.upstreams[host].accepts_flows = False
        clients = [world.open_flow(4000 + number) for number in range(20)]
        world.run(1_500)
        flows = [client for client in clients if client.opened_at is not None]
        self.assertGreater(len(flows), 15)
        self.restart_all(world)
        for client in flows:
            client.request(b"x")
        world.run(2_000)
        self.assertEqual({None}, {client.reset_at for client in flows})
        self.assertEqual([[b"200 x"]] * len(flows), [client.answers for client in flows])

    def test_searches_leave_room_for_new_flows(self) -> None:
        """Guards against a balancer that opens no new flows while it searches for many owners.

        After a power loss in a large fleet this lasted for 15 s.
        """
        world = self.make_wide_world()
        clients = [world.open_flow(4000 + number) for number in range(300)]
        world.run(2_000)
        self.restart_all(world)
        for upstream in world.upstreams.values():
            upstream.restart()
        for client in clients:
            client.request(b"x")
        sent = dict.fromkeys(BALANCERS, 0)
        deliver = world._send_to_node

        def count(source: str, destination: str, frame: bytes) -> None:
            is_search = frame[1:3] == b"\x01\x03" or frame[1:2] == b"\x0d"
            sent[source] = sent.get(source, 0) + is_search
            deliver(source, destination, frame)

        world._send_to_node = count  # type: ignore[method-assign]
        world.run(1_000)
        for host in BALANCERS:
            near = len(AGENTS) * 300
            self.assertLessEqual(sent[host], near + FAR_MESSAGES_BURST + FAR_MESSAGES_PER_S)
        fresh = [world.open_flow(6000 + number) for number in range(20)]
        world.run(200)
        self.assertNotIn(None, [client.opened_at for client in fresh])
        world.run(6_000)
        self.assertNotIn(None, [client.reset_at for client in clients])


if __name__ == "__main__":
    unittest.main()

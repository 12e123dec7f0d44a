"""Clients that open a new flow from a port that they have just used."""

import unittest

from shallotshore.packets.flow_cache import MAX_LOST_MS
from standins.packet_client import PacketClient
from standins.packet_world import PacketWorld

BALANCERS = ("10.1.0.1", "10.1.0.2")
AGENTS = ("10.1.1.1", "10.1.1.2", "10.1.1.3")
PORT = 4000
ROUND_TRIP_MS = 100  # before the client sends a copy of its opening packet


class ReusedPortTest(unittest.TestCase):
    """The second flow has the addresses and ports of the first one."""

    def setUp(self) -> None:
        self.world = PacketWorld()
        self.world.configure()
        for host in AGENTS:
            self.world.add_agent(host)
            self.world.publish(host)
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)
        self.world.run(1_000)
        self.first = self.world.open_flow(PORT)
        self.first.request(b"first")
        self.world.run(ROUND_TRIP_MS)
        self.assertEqual([b"200 first"], self.first.answers)

    def open_again(self) -> PacketClient:
        """Opens the second flow and checks that it is served, with its own answer only."""
        second = self.world.open_flow(PORT, first_sequence=900_000)
        second.request(b"second")
        self.world.run(ROUND_TRIP_MS)
        self.assertIsNotNone(second.opened_at)
        self.assertEqual([b"200 second"], second.answers)
        self.assertIsNone(second.reset_at)
        return second

    def test_after_both_ends_have_closed(self) -> None:
        """Guards against an agent that takes the opening for a copy of the earlier one.

        The client was not answered until the agent had forgotten the first flow after 3 s.
        """
        self.first.end_flow()
        self.world.run(ROUND_TRIP_MS)
        self.open_again()

    def test_after_a_client_that_has_vanished(self) -> None:
        """Guards against a port that cannot be used for a minute after a client's restart."""
        self.open_again()

    def test_late_copy_of_the_opening_changes_nothing(self) -> None:
        """Guards against an open flow that a late copy of its own opening packet ends."""
        self.first.repeat_opening()
        self.world.run(ROUND_TRIP_MS)
        self.first.request(b"third")
        self.world.run(ROUND_TRIP_MS)
        self.assertEqual([b"200 first", b"200 third"], self.first.answers)

    def test_at_another_balancer_after_the_first_flow_was_lost(self) -> None:
        """Guards against a balancer that takes the second flow for the one it knows to be lost."""
        self.world._rotation = [BALANCERS[0]]
        for upstream in self.world.upstreams.values():
            upstream.restart()
        self.first.request(b"third")
        self.world.run(ROUND_TRIP_MS)
        self.assertIsNotNone(self.first.reset_at)
        self.world.run(MAX_LOST_MS)
        self.world._rotation = [BALANCERS[1]]
        self.world.cut_links.update((host, BALANCERS[0]) for host in AGENTS)
        second = self.open_again()
        self.world.cut_links.clear()
        self.world._rotation = [BALANCERS[0]]
        second.request(b"fourth")
        self.world.run(ROUND_TRIP_MS)
        self.assertIsNone(second.reset_at)
        self.assertEqual([b"200 second", b"200 fourth"], second.answers)


if __name__ == "__main__":
    unittest.main()

"""Flows at upstreams of a service that the configuration no longer names.

Review case 11: a balancer that has just started knows only the newest configuration, and took the
listed upstreams of an earlier service for entries of other writers.
"""

import unittest

from shallotshore.packets.hosts import host_number
from shallotshore.packets.search import find_possible_owners
from shallotshore.packets.upstream_table import UNLISTED_EXPIRY_MS
from standins.packet_client import PacketClient
from standins.packet_world import VIP, PacketWorld

BALANCERS = ("10.1.0.1", "10.1.0.2")
OLD_AGENTS = tuple(f"10.1.1.{number}" for number in range(1, 6))
NEW_AGENTS = tuple(f"10.1.2.{number}" for number in range(1, 4))
OLD, NEW = "tagging", "tagging-next"
FLOWS = 40
SETTLE_MS = 4_000
AGENT_RESTART_MS = 1_200


class FormerServiceTest(unittest.TestCase):
    """The route of open flows leads to another service, and their own is not named any more."""

    def setUp(self) -> None:
        self.world = PacketWorld()
        self.world.configure({VIP: OLD})
        for hosts, service in ((OLD_AGENTS, OLD), (NEW_AGENTS, NEW)):
            for host in hosts:
                self.world.add_agent(host, service)
                self.world.publish(host)
        self.start_balancers()
        self.world.run(SETTLE_MS)
        self.clients = [self.open_flow(4_000 + number) for number in range(FLOWS)]
        self.world.configure({VIP: NEW})
        self.world.run(SETTLE_MS)

    def start_balancers(self) -> None:
        """Starts the balancers, or starts them again without their state."""
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)

    def open_flow(self, port: int) -> PacketClient:
        """Opens a flow, and gives its upstream time to answer."""
        client = self.world.open_flow(port)
        client.request(b"one")
        self.world.run(60)
        return client

    def test_flows_wait_for_an_agent_that_restarts(self) -> None:
        """Guards against resets of flows of a former service during restarts (review/11)."""
        owner = OLD_AGENTS[0]
        self.assertGreater(self.world.upstreams[owner].flows, 0)
        del self.world.agents[owner]
        self.world.run(100)
        self.start_balancers()
        for client in self.clients:
            client.request(b"two")
        self.world.run(AGENT_RESTART_MS)
        self.world.add_agent(owner, OLD, is_first_start=False)
        self.world.run(SETTLE_MS)
        self.assertEqual([None] * FLOWS, [client.reset_at for client in self.clients])
        self.assertEqual({2}, {len(client.answers) for client in self.clients})

    def test_service_that_was_named_for_a_moment_counts(self) -> None:
        """Guards against a version that is missed because the next one comes in the same answer."""
        self.world.configure({VIP: NEW})
        self.world.run(50)
        self.world.configure({VIP: "tagging-trial"})
        self.world.configure({VIP: NEW})
        self.world.run(SETTLE_MS)
        host = "10.1.3.1"
        self.world.add_agent(host, "tagging-trial")
        self.world.publish(host)
        del self.world.agents[host]
        self.world.run(SETTLE_MS)
        state = self.world.balancers[BALANCERS[0]].state
        self.assertIn(host_number(host), find_possible_owners(state, self.world.now))

    def test_unnamed_service_is_not_waited_for_after_the_life_of_a_flow(self) -> None:
        """Guards against lost flows that are never reset beside an entry of another writer."""
        host = "10.1.3.1"
        self.world.add_agent(host, "object-cache")
        self.world.publish(host)
        del self.world.agents[host]
        self.world.run(SETTLE_MS)
        self.start_balancers()
        self.world.run(SETTLE_MS)
        state = self.world.balancers[BALANCERS[0]].state
        self.assertIn(host_number(host), find_possible_owners(state, self.world.now))
        self.world.run(UNLISTED_EXPIRY_MS)
        self.assertNotIn(host_number(host), find_possible_owners(state, self.world.now))


if __name__ == "__main__":
    unittest.main()

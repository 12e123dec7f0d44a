"""Searches for the owners of many flows at once."""

import unittest
from unittest import mock

from shallotshore.packets import search
from shallotshore.packets.search_queue import (
    FAR_MESSAGES_BURST,
    FAR_MESSAGES_PER_S,
    MAX_BATCH_BYTES,
    NEAR_FLUSH_INTERVAL_MS,
)
from standins.packet_client import PacketClient
from standins.packet_world import PacketWorld

BALANCERS = ("10.1.0.1", "10.1.0.2")
NEAR = tuple(f"10.1.1.{number}" for number in range(1, 16))
FAR = tuple(f"10.2.1.{number}" for number in range(1, 76))
FLOWS = 200
MAX_LOOKS = 30  # at the list of agents for one searched flow; there are 90 agents
STORM_MS = 4_000
FRAME_BYTES = 32
MAX_RESET_MS = 1_500  # of all flows; clients whose flow is not reset wait for their deadline


class PowerLossTest(unittest.TestCase):
    """Every process and every upstream has lost its state."""

    def make_world(self) -> PacketWorld:
        """Returns a world of the size of a grown fleet."""
        world = PacketWorld(data_centres=("bud-a", "bud-b"))
        world.configure()
        for host in NEAR + FAR:
            world.add_agent(host, place="bud-a" if host in NEAR else "bud-b")
            world.publish(host)
        for host in BALANCERS:
            world.add_balancer(host, seeds=BALANCERS)
        world.run(1_000)
        return world

    def restart_all(self, world: PacketWorld, with_upstreams: bool) -> None:
        """Restarts all processes, and the upstreams too if they lost power."""
        for host in BALANCERS:
            world.add_balancer(host, seeds=BALANCERS)
        for host in NEAR + FAR:
            place = world.data_centre_by_host[host]
            world.add_agent(host, place=place, is_first_start=False)
            if with_upstreams:
                world.upstreams[host].restart()
        world.run(300)

    def open_flows(self, world: PacketWorld) -> list[PacketClient]:
        """Opens flows a few at a time, so that no upstream is overloaded."""
        clients = []
        for number in range(FLOWS):
            clients.append(world.open_flow(4000 + number))
            world.run(10)
        world.run(1_500)
        return [client for client in clients if client.opened_at is not None]

    def test_lost_flows_are_reset_soon(self) -> None:
        """Guards against clients that wait for their deadline after a power loss.

        A grown fleet searched for 8 s, as each flow was searched for by a message to each agent.
        """
        world = self.make_world()
        clients = self.open_flows(world)
        self.assertGreater(len(clients), FLOWS * 0.9)
        self.restart_all(world, with_upstreams=True)
        for client in clients:
            client.request(b"x")
        world.run(MAX_RESET_MS)
        self.assertNotIn(None, [client.reset_at for client in clients])

    def test_lost_flows_are_reset_although_upstreams_start_after_the_query(self) -> None:
        """Guards against a search that waits for the client to retransmit its packet.

        After a power loss agents cannot decide before their upstreams answer. Clients that have
        retransmitted for seconds by then send their next packet after 1.6 s.
        """
        world = self.make_world()
        clients = self.open_flows(world)
        world.balancers.clear()
        for client in clients:
            client.request(b"x")  # sent again after 200, 600, 1,400 and 3,000 ms
        world.run(1_000)
        for upstream in world.upstreams.values():
            upstream.is_silent = True
        self.restart_all(world, with_upstreams=True)
        world.run(300)
        for upstream in world.upstreams.values():
            upstream.is_silent = False
        world.run(1_200)
        self.assertNotIn(None, [client.reset_at for client in clients])

    def test_work_of_a_search_grows_with_the_fleet_and_not_with_its_square(self) -> None:
        """Guards against a look at all agents for each agent's denial.

        The smallest balancers of a grown fleet spent all of their processor time on searches.
        """
        world = self.make_world()
        clients = self.open_flows(world)
        self.restart_all(world, with_upstreams=True)
        with mock.patch.object(
            search, "_find_hosts_in_scope", wraps=search._find_hosts_in_scope
        ) as look:
            for client in clients:
                client.request(b"x")
            world.run(MAX_RESET_MS)
        self.assertLessEqual(look.call_count, MAX_LOOKS * len(clients))

    def test_unanswered_searches_stay_within_their_budget(self) -> None:
        """Guards against a storm of queries that keeps their answers from being read.

        Each packet that a client repeated was sent to each agent once more. In a grown fleet the
        smallest balancers read no message of an agent for 10 s after a power loss.
        """
        world = self.make_world()
        clients = self.open_flows(world)
        self.restart_all(world, with_upstreams=True)
        for upstream in world.upstreams.values():
            upstream.is_silent = True
        before = self.count_queries(world)
        for client in clients:
            client.request(b"x")  # sent again after 200, 600, 1,400 and 3,000 ms
        world.run(STORM_MS)
        queries = self.count_queries(world) - before
        far = len(BALANCERS) * (FAR_MESSAGES_BURST + FAR_MESSAGES_PER_S * STORM_MS / 1_000)
        near = len(BALANCERS) * len(NEAR) * STORM_MS / NEAR_FLUSH_INTERVAL_MS
        self.assertLessEqual(queries, far + near)

    def count_queries(self, world: PacketWorld) -> int:
        """Returns how many messages the balancers have sent to search for owners."""
        return world.sent_by_balancers["Search"] + world.sent_by_balancers["Carry"]

    def test_a_packet_goes_once_to_each_data_centre(self) -> None:
        """Guards against a balancer whose link is filled by copies of a packet for each agent.

        Balancers of a grown fleet with links of 5 Mbit/s sent 800 KB a second after a power loss.
        """
        world = self.make_world()
        clients = self.open_flows(world)
        self.restart_all(world, with_upstreams=True)
        before = world.sent_by_balancers["Search"]
        for client in clients:
            client.request(b"x")
        world.run(search.FIRST_REPEAT_MS - 20)
        batches = -(-len(clients) * FRAME_BYTES // MAX_BATCH_BYTES) + 1
        sent = world.sent_by_balancers["Search"] - before
        self.assertLessEqual(sent, 2 * len(BALANCERS) * batches)

    def test_flows_are_reset_although_agents_do_not_pass_queries_on(self) -> None:
        """Guards against a search that depends on one agent of a data centre.

        It may be gone, of an earlier version, or have no copy of the records yet.
        """
        with mock.patch("shallotshore.packets.client_packets._pass_search_on"):
            world = self.make_world()
            clients = self.open_flows(world)
            self.restart_all(world, with_upstreams=True)
            for client in clients:
                client.request(b"x")
            world.run(MAX_RESET_MS)
        self.assertNotIn(None, [client.reset_at for client in clients])

    def test_kept_flows_are_found_soon(self) -> None:
        """Guards against flows that stall, or are reset, after all processes restarted."""
        world = self.make_world()
        clients = self.open_flows(world)
        self.restart_all(world, with_upstreams=False)
        for client in clients:
            client.request(b"x")
        world.run(MAX_RESET_MS)
        self.assertEqual([None] * len(clients), [client.reset_at for client in clients])
        # An upstream refuses requests beyond its slots, but each request reaches its owner.
        self.assertEqual({1}, {len(client.answers) for client in clients})


if __name__ == "__main__":
    unittest.main()

"""Requests whose bodies take many packets, while balancers, agents and upstreams change."""

import random
import unittest

from shallotshore.packets.balancer import STOP_GRACE_MS
from standins.packet_client import PacketClient
from standins.packet_world import PacketWorld

BALANCERS = ("10.1.0.1", "10.1.0.2")
AGENTS = ("10.1.1.1", "10.1.1.2", "10.1.1.3")
BODY = bytes(random.Random(1).randrange(256) for _ in range(40_000))
DEADLINE_MS = 8_000
BEFORE_RETRANSMISSION_MS = 190  # the client repeats what is not acknowledged after 200 ms


class UploadTest(unittest.TestCase):
    """One upload through two balancers to one of three upstreams."""

    def setUp(self) -> None:
        self.world = PacketWorld()
        self.world.configure()
        for host in AGENTS:
            self.world.add_agent(host)
            self.world.publish(host)
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)
        self.world.run(1_000)
        self.client = self.start_flow(4000)

    def start_flow(self, port: int) -> PacketClient:
        """Returns a client with an open flow."""
        client = self.world.open_flow(port)
        self.world.run(300)
        self.assertIsNotNone(client.opened_at)
        return client

    def owner(self) -> str:
        """Returns the host of the upstream that holds the client's flow."""
        (host,) = (host for host, one in self.world.upstreams.items() if one.flows)
        return host

    def check_served(self, limit_ms: int = DEADLINE_MS) -> None:
        """Checks that the upload arrives whole, runs once and is answered in time."""
        self.world.run(limit_ms)
        self.assertIsNone(self.client.reset_at)
        self.assertEqual([b"200 40000 bytes"], self.client.answers)
        executed = [r for one in self.world.upstreams.values() for r in one.executed_requests]
        self.assertEqual([BODY], executed)

    def test_upload_arrives_whole(self) -> None:
        """Guards against a stand-in or a balancer that loses or mixes packets of a body."""
        self.client.upload(BODY)
        self.check_served(500)

    def test_upload_survives_a_balancer_that_leaves(self) -> None:
        """Guards against a planned stop that cuts an upload."""
        self.client.upload(BODY)
        self.world.run(10)
        for host in BALANCERS[:1]:
            self.world.balancers[host].stop(self.world.now)
        self.world.run(STOP_GRACE_MS)
        del self.world.balancers[BALANCERS[0]]
        self.check_served()

    def test_packets_that_arrive_during_a_search_are_delivered(self) -> None:
        """Guards against an upload that waits for retransmissions after its balancer changed.

        The packets in flight reach a balancer that does not know the owner, and only one of them
        is used for the search.
        """
        for core in self.world.balancers.values():
            for key in core.state.flows.keys():
                core.state.flows.remove(key)
        self.client.upload(BODY)
        self.check_served(BEFORE_RETRANSMISSION_MS)

    def test_upload_survives_a_restart_of_its_agent(self) -> None:
        """Guards against an agent that denies a flow of which it has seen only later packets."""
        self.client.upload(BODY)
        self.world.run(10)
        self.world.add_agent(self.owner(), is_first_start=False)
        self.check_served()

    def test_upload_survives_a_restart_of_everything_but_its_upstream(self) -> None:
        """Guards against an upload that ends when all processes of the system are killed."""
        self.client.upload(BODY)
        self.world.run(10)
        for host in BALANCERS:
            self.world.add_balancer(host, seeds=BALANCERS)
        for host in AGENTS:
            self.world.add_agent(host, is_first_start=False)
        self.check_served()

    def test_upload_survives_the_emptying_of_its_upstream(self) -> None:
        """Guards against packets of an open upload that are refused because its upstream leaves."""
        self.client.upload(BODY)
        self.world.run(10)
        self.world.publish(self.owner(), is_leaving=True)
        self.check_served()

    def test_an_upload_counts_as_one_request(self) -> None:
        """Guards against an agent whose load falls with each packet of an upload.

        Each packet took away one of the requests that offered flows announce, so that the upstream
        got more flows than it has slots.
        """
        host = self.owner()
        state = self.world.agents[host].state
        now = self.world.now
        state.recent_offer_times = [now + 1_000] * 4
        self.client.upload(BODY)
        self.world.run(12)
        self.assertEqual(1, state.in_flight)
        self.assertEqual(3, len(state.recent_offer_times))


if __name__ == "__main__":
    unittest.main()

"""Requests that an agent counts as in flight although nobody will answer them."""

import unittest

from shallotshore.packets.own_upstream import MAX_ANSWER_WAIT_MS
from standins.packet_client import PacketClient
from standins.packet_world import PacketWorld

BALANCER, AGENT = "10.1.0.1", "10.1.1.1"
LONG_REQUEST_MS = 60_000
RESEND_MS = 200  # the other client repeats its packet, which the upstream returns
ROUND_TRIP_MS = 100  # for an opening packet and its answer, and a tick at each process


class AbandonedRequestTest(unittest.TestCase):
    """One upstream with one slot, whose clients give up or whose requests are lost."""

    def setUp(self) -> None:
        self.world = PacketWorld()
        self.world.configure()
        self.world.add_agent(AGENT, slots=1)
        self.world.publish(AGENT)
        self.world.add_balancer(BALANCER, seeds=(BALANCER,))
        self.world.run(1_000)
        self.upstream = self.world.upstreams[AGENT]
        self.upstream.request_duration_ms = LONG_REQUEST_MS
        self.busy = [self.start_request(4000 + i) for i in range(2)]
        self.assertEqual(2, self.world.agents[AGENT].state.in_flight)

    def start_request(self, port: int) -> PacketClient:
        """Returns a client whose request the upstream works on or has queued."""
        client = self.world.open_flow(port)
        client.request(b"work")
        self.world.run(ROUND_TRIP_MS)
        self.assertIsNotNone(client.opened_at)
        return client

    def check_serves_again(self) -> None:
        """Checks that a new flow opens at once."""
        client = self.world.open_flow(4100)
        self.world.run(ROUND_TRIP_MS)
        self.assertIsNotNone(client.opened_at)

    def test_clients_that_reset_their_flows_leave_no_load_behind(self) -> None:
        """Guards against an idle upstream that gets no new flows, since its load never falls.

        After a power loss an agent held up to 20 opening packets for 1.7 s beside an idle upstream.
        """
        for client in self.busy:
            client.reset_flow()
        self.world.run(ROUND_TRIP_MS)
        self.assertEqual(0, self.world.agents[AGENT].state.in_flight)
        self.check_serves_again()

    def test_restart_of_the_upstream_ends_its_requests(self) -> None:
        """Guards against requests of an upstream's former process that count as its load."""
        self.busy[1].reset_at = self.world.now  # this client sends nothing more
        self.upstream.restart()
        self.world.run(2 * RESEND_MS)
        self.assertEqual(0, self.world.agents[AGENT].state.in_flight)
        self.check_serves_again()

    def test_requests_without_an_answer_stop_counting(self) -> None:
        """Guards against an upstream without clients that is taken for busy for a minute."""
        for client in self.busy:
            client.reset_at = self.world.now  # the client sends nothing more
        self.upstream.restart()
        self.world.run(MAX_ANSWER_WAIT_MS + 1_000)
        self.assertEqual(0, self.world.agents[AGENT].state.in_flight)
        self.check_serves_again()


if __name__ == "__main__":
    unittest.main()

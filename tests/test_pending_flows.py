"""Flows that wait at a balancer for a free upstream."""

import unittest
from unittest import mock

from shallotshore.packets import pending_flows, routing
from shallotshore.packets.pending_flows import HEDGE_AFTER_MS, RUN_INTERVAL_MS, FreeUpstreams
from standins.packet_world import PacketWorld

BALANCER = "10.1.0.1"
AGENTS = tuple(f"10.1.1.{number}" for number in range(1, 13))
FLOWS = 100
WAIT_MS = 400
BUSY_MS = 10_000


class WaitingFlowTest(unittest.TestCase):
    """All upstreams of a service are busy, as after a power loss."""

    def setUp(self) -> None:
        self.world = PacketWorld()
        self.world.configure()
        for host in AGENTS:
            self.world.add_agent(host, slots=1)
            self.world.publish(host)
        self.world.add_balancer(BALANCER, seeds=(BALANCER,))
        self.world.run(1_000)
        for number in range(2 * len(AGENTS)):
            self.world.upstreams[AGENTS[number // 2]].request_duration_ms = BUSY_MS
            self.world.open_flow(3_000 + number).request(b"work")
            self.world.run(60)

    def test_upstreams_are_ranked_once_for_all_flows(self) -> None:
        """Guards against work that grows with the number of waiting flows and of upstreams.

        In a grown fleet the smallest balancers spent four fifths of their processor time on it
        after a power loss, and read no message of an agent for 10 s.
        """
        for number in range(FLOWS):
            self.world.open_flow(5_000 + number)
        self.world.run(HEDGE_AFTER_MS)
        ranked = pending_flows.rank_upstreams
        with (
            mock.patch.object(pending_flows, "rank_upstreams", wraps=ranked) as checks,
            mock.patch.object(routing, "rank_upstreams", wraps=ranked) as offers,
        ):
            self.world.run(WAIT_MS)
        # Each flow is offered for its copies after 200 and 600 ms and once or twice in between.
        self.assertLessEqual(checks.call_count, WAIT_MS // RUN_INTERVAL_MS)
        self.assertLessEqual(offers.call_count, 4 * FLOWS)

    def test_a_free_slot_is_handed_out_once(self) -> None:
        """Guards against all waiting flows rushing to the one upstream that becomes free."""
        state = self.world.balancers[BALANCER].state
        service = state.upstreams.services()[0]
        for row in state.upstreams.rows():
            state.upstreams.in_flight[row] = state.upstreams.slots[row]
        state.upstreams.in_flight[row] = 0
        free = FreeUpstreams(state, self.world.now)
        self.assertEqual([True, False], [free.take(service, []) for _ in range(2)])
        tried = [state.upstreams.key[row]]
        self.assertFalse(FreeUpstreams(state, self.world.now).take(service, tried))


if __name__ == "__main__":
    unittest.main()

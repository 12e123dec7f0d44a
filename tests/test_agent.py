"""End-to-end tests of the agent core: several agents, scripted upstreams, a virtual clock."""

import unittest

from shallotshore.codes import Code
from shallotshore.hashing import flow_key, request_key
from shallotshore.messages import AttemptAnswer, FlowHint, FlowReply, FlowReset, PacketKind
from tests.agents import CALLER, VIP, Fleet, attempt, packet


class AgentTest(unittest.TestCase):
    """Guards the path of flows and requests through claims, upstream and back."""

    def setUp(self) -> None:
        self.fleet = Fleet(5)
        self.fleet.grow_up()

    def test_flow_is_opened_and_echoed(self) -> None:
        order = self.fleet.order(flow_key(CALLER, VIP, 7))
        self.fleet.send(order[0], packet(PacketKind.OPEN, order))
        self.fleet.run(50)
        self.fleet.send(order[0], packet(PacketKind.DATA, order, payload=b"bid"))
        replies = [reply.payload for reply in self.fleet.answers(FlowReply)]
        self.fleet.run(50)
        replies = [reply.payload for reply in self.fleet.answers(FlowReply)]
        self.assertEqual(replies, [b"opened", b"echo bid"])

    def test_packet_at_another_agent_reaches_the_owner(self) -> None:
        """A balancer whose table differs must not break a flow."""
        order = self.fleet.order(flow_key(CALLER, VIP, 7))
        self.fleet.send(order[0], packet(PacketKind.OPEN, order))
        self.fleet.run(50)
        self.fleet.send(order[1], packet(PacketKind.DATA, order[1:], payload=b"bid"))
        self.fleet.run(50)
        self.assertEqual(self.fleet.answers(FlowReply)[-1].payload, b"echo bid")
        self.assertEqual([hint.upstream for hint in self.fleet.answers(FlowHint)], [order[0]])

    def test_packet_of_no_flow_opens_none(self) -> None:
        order = self.fleet.order(flow_key(CALLER, VIP, 7))
        self.fleet.send(order[0], packet(PacketKind.DATA, order))
        self.fleet.run(50)
        resets = self.fleet.answers(FlowReset)
        self.assertEqual([reset.code for reset in resets], [Code.NO_SUCH_FLOW])

    def test_request_runs_once_for_two_balancers(self) -> None:
        """A resend through another balancer must not run a bid twice."""
        order = self.fleet.order(request_key(VIP, b"bid-1"))
        self.fleet.send(order[0], attempt(b"bid-1", order, 1))
        self.fleet.send(order[1], attempt(b"bid-1", order[1:], 2))
        self.fleet.run(500)
        answers = self.fleet.answers(AttemptAnswer)
        self.assertEqual(sorted((a.attempt, a.code) for a in answers), [(1, 100), (2, 100)])
        started = [u.started() for u in self.fleet.upstreams.values()]
        self.assertEqual(sum(len(requests) for requests in started), 1)


if __name__ == "__main__":
    unittest.main()

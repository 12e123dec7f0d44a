"""End-to-end tests of the agent core: several agents, scripted upstreams, a virtual clock."""

import random
import unittest

from shallotshore.agent import AgentConfig, AgentCore
from shallotshore.agent_messages import AttemptAnswer, FlowHint, FlowReply, FlowReset
from shallotshore.catalog import Catalog
from shallotshore.codes import Code
from shallotshore.control_messages import (
    Delta,
    DeltaRequest,
    Heartbeat,
    RevisionNotice,
    RevisionOffer,
)
from shallotshore.hashing import flow_key, request_key
from shallotshore.messages import Entry, Message, PacketKind, Source
from shallotshore.records import Customer, encode_record
from tests.agents import BALANCER, CALLER, VIP, Fleet, attempt, packet, records


class AgentTest(unittest.TestCase):
    """Guards the path of flows and requests from the balancer to the upstream and back."""

    def setUp(self) -> None:
        self.fleet = Fleet(5)
        self.fleet.wait_until_former_tables_known()

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
        """A balancer with another table of upstreams sends a flow's packets to another agent."""
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
        """A caller's resend through another balancer must not run the request twice."""
        order = self.fleet.order(request_key(VIP, b"bid-1"))
        self.fleet.send(order[0], attempt(b"bid-1", order, 1))
        self.fleet.send(order[1], attempt(b"bid-1", order[1:], 2))
        self.fleet.run(500)
        answers = self.fleet.answers(AttemptAnswer)
        self.assertEqual(sorted((a.attempt, a.code) for a in answers), [(1, 100), (2, 100)])
        started = [u.started() for u in self.fleet.upstreams.values()]
        self.assertEqual(sum(len(requests) for requests in started), 1)


class SliceTest(unittest.TestCase):
    """Guards how an agent that starts without configuration gets its service's records."""

    def setUp(self) -> None:
        self.source = Catalog.from_records(3, records(2))
        config = AgentConfig(
            ("10.2.0.0", 4000), "dc-0", "desk-0", "spotdesk", ("127.0.0.1", 0), 1, (BALANCER,)
        )
        self.core = AgentCore.from_config(config, random.Random(1))
        self.now = 1_000

    def run_parent(self, duration: int, is_parent_silent: bool = False) -> list[Message]:
        """Runs the agent with a parent balancer and returns the messages sent to the parent.

        With `is_parent_silent`, the parent does not answer.
        """
        sent: list[Message] = []
        end = self.now + duration
        while self.now < end:
            self.now += 20
            self.core.tick(self.now)
            for destination, message in self.core.outbox.drain():
                if destination == BALANCER:
                    sent.append(message)
                    if not is_parent_silent:
                        self.answer(message)
        return sent

    def answer(self, message: Message) -> None:
        if not isinstance(message, RevisionOffer | DeltaRequest):
            return
        if message.source != Source.CONFIGURATION:
            return
        after = message.after if isinstance(message, DeltaRequest) else message.revision
        if after < self.source.revision:
            base, entries = self.source.select_entries(after, message.service)
            delta = Delta(
                message.source, base, self.source.revision, message.service, 0, 1, tuple(entries)
            )
            self.core.receive(BALANCER, delta)

    def test_slice_arrives_and_later_revisions_follow(self) -> None:
        self.run_parent(500)
        self.assertEqual(self.core.state.catalog.revision, 3)
        self.assertIsNotNone(self.core.state.record)
        text = encode_record(Customer("late", 1, ()))
        self.source.apply_revision(4, [Entry("customer/late", 4, text)])
        self.core.receive(BALANCER, RevisionNotice(4))
        self.run_parent(500)
        self.assertEqual(self.core.state.catalog.revision, 4)

    def test_packet_that_is_ahead_is_neither_reset_nor_refused(self) -> None:
        """A restarted agent without records does not know its flows and must not reset them."""
        self.core.tick(self.now)
        self.core.receive(BALANCER, packet(PacketKind.DATA, (self.core.state.own_id,)))
        sent = self.run_parent(200, is_parent_silent=True)
        self.assertFalse([message for message in sent if isinstance(message, FlowReset)])

    def test_answers_go_to_a_parent_when_the_balancer_is_gone(self) -> None:
        state = self.core.state
        self.run_parent(100)
        state.known_balancers.add(("10.1.0.9", 4000))
        self.assertEqual(state.find_answer_address(("10.1.0.9", 4000)), BALANCER)
        self.assertEqual(state.find_answer_address(("10.1.0.8", 4000)), ("10.1.0.8", 4000))

    def test_heartbeats_go_to_the_parents(self) -> None:
        heartbeats = [m for m in self.run_parent(2_000) if isinstance(m, Heartbeat)]
        self.assertGreaterEqual(len(heartbeats), 3)


if __name__ == "__main__":
    unittest.main()

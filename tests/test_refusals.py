"""Flows that are refused at once, and the doubts in which none is refused."""

import unittest

from shallotshore.codes import Code
from shallotshore.hashing import name_id
from shallotshore.messages import Address
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import (
    Carry,
    CarryKind,
    LoadReport,
    Passed,
    Refused,
    UpstreamHealth,
)
from shallotshore.packets.packet import OPENS, Packet, PacketToUpstream, ResetPacket
from standins.competing_routes import CLAIM, SECOND_MS, TERMS, UPSTREAMS, CompetingRoutes
from standins.packet_wire import RST, SYN, write_packet
from standins.packet_world import NODE_PORT, VIP, PacketWorld
from tests.test_packet_routing import PORT, START, make_balancer, offers, opening

FIRST, SECOND = "10.1.1.1", "10.1.1.2"
LIMIT_MS = 3_000
FLAGS_OFFSET = 2  # in an encoded packet
CLIENT = ("100.64.0.1", 2_000)


class BalancerRefusalTest(unittest.TestCase):
    """What a balancer does with the refusals of agents."""

    def setUp(self) -> None:
        self.core = make_balancer({FIRST: "a", SECOND: "a"}, (1, 350, LIMIT_MS))
        self.now = START + 2
        self.report_load(8)

    def report_load(self, in_flight: int) -> None:
        """Lets both agents report their load."""
        for host in (FIRST, SECOND):
            self.core.receive((host, PORT), LoadReport(in_flight, 0, b"", b""))
        self.core.tick(self.now)

    def send_copy(self, copy: int = 0) -> Address:
        """Lets the client send a copy; returns the agent that it is offered to."""
        packet = opening(2_000, copy)
        packet.arrived_after = self.now
        self.core.receive(CLIENT, packet)
        self.core.tick(self.now)
        ((destination, _),) = offers(self.core)
        return destination

    def refuse(self, host: Address, wait_ms: int = LIMIT_MS + 1) -> list[Address]:
        """Lets an agent refuse the flow; returns the clients that are then reset."""
        key = opening(2_000).key
        self.core.receive(host, Refused(key, int(Code.OVERLOADED), wait_ms))
        return self.resets()

    def resets(self) -> list[Address]:
        """Returns the clients that are reset in the next tick."""
        self.core.tick(self.now)
        sent = list(self.core.outbox.drain())
        return [message.client for _, message in sent if isinstance(message, ResetPacket)]

    def test_a_flow_that_all_agents_refuse_is_reset_at_once(self) -> None:
        """Guards against clients that wait 1,400 ms for an upstream that cannot serve them."""
        host = self.send_copy()
        self.now += 150
        self.assertEqual([CLIENT], self.refuse(host))
        self.assertEqual(1, self.core.counters["resets.overloaded"])
        # A copy that was on its way is not offered.
        self.now += 55
        self.core.receive(CLIENT, opening(2_000, 1))
        self.core.tick(self.now)
        self.assertEqual([], offers(self.core))

    def test_a_request_that_can_be_served_within_its_limit_waits(self) -> None:
        """Guards against refusals of requests that can be served late."""
        self.assertEqual([], self.refuse(self.send_copy(), wait_ms=LIMIT_MS - 1))

    def test_no_refusal_beside_a_free_upstream(self) -> None:
        """Guards against refusals while another upstream may take the flow."""
        host = self.send_copy()
        other = SECOND if host[0] == FIRST else FIRST
        self.core.receive((other, PORT), LoadReport(0, 0, b"", b""))
        self.assertEqual([], self.refuse(host))

    def test_no_refusal_when_another_upstream_is_less_loaded(self) -> None:
        """Guards against refusals by the wait at the most loaded upstream."""
        host = self.send_copy()
        other = SECOND if host[0] == FIRST else FIRST
        self.core.receive((other, PORT), LoadReport(2, 0, b"", b""))
        self.assertEqual([], self.refuse(host))

    def test_no_refusal_by_an_upstream_that_takes_no_flows(self) -> None:
        """Guards against a wait that is scaled by the load of upstreams that are out of use."""
        host = self.send_copy()
        upstreams = self.core.state.upstreams
        for row in upstreams.rows():
            upstreams.leaving[row] = True
        self.assertEqual([], self.refuse(host))

    def test_no_refusal_without_the_first_copy(self) -> None:
        """Guards against resets of flows that another balancer has offered."""
        self.assertEqual([], self.refuse(self.send_copy(1)))

    def test_no_refusal_of_a_packet_that_waited_to_be_read(self) -> None:
        """Guards against resets of flows that a later copy has opened at another balancer."""
        packet = opening(2_000)
        packet.arrived_after = self.now - 200
        self.core.receive(CLIENT, packet)
        self.core.tick(self.now)
        ((host, _),) = offers(self.core)
        self.assertEqual([], self.refuse(host))

    def test_no_refusal_after_a_copy_that_did_not_arrive_here(self) -> None:
        """Guards against resets of flows whose second copy took another way."""
        host = self.send_copy()
        self.now += 190
        self.assertEqual([], self.refuse(host))

    def test_no_refusal_while_one_agent_is_silent(self) -> None:
        """Guards against resets of flows that a silent agent's upstream may have accepted."""
        first = self.send_copy()
        self.now += 200
        self.send_copy(1)
        self.assertEqual([], self.refuse(first))

    def test_a_passed_packet_needs_the_word_of_each_agent(self) -> None:
        """Guards against resets of flows that an agent offered before it passed them on."""
        for is_unoffered, expected in ((False, []), (True, [CLIENT])):
            self.setUp()
            first = self.send_copy()
            second = SECOND if first[0] == FIRST else FIRST
            passed = Passed(opening(2_000).key, host_number(second), is_unoffered)
            self.core.receive(first, passed)
            self.assertEqual([], self.resets())
            self.assertEqual(expected, self.refuse((second, PORT)))

    def test_no_refusal_of_a_flow_offered_twice_to_one_agent(self) -> None:
        """Guards against a repeated refusal of the first copy that counts for the second."""
        first = self.send_copy()
        self.assertEqual([], self.refuse(first, wait_ms=0))
        self.now += 200
        second = self.send_copy(1)
        self.assertEqual([], self.refuse(second, wait_ms=0))
        self.now += 400
        self.send_copy(2)
        for host in (first, second):
            self.assertEqual([], self.refuse(host))


class AgentRefusalTest(unittest.TestCase):
    """When an agent says that its upstream has got no copy."""

    def make_world(self, is_first_start: bool) -> PacketWorld:
        """Returns a world with one agent that started 400 ms ago."""
        world = PacketWorld()
        world.configure({VIP: "spend"}, terms={VIP: TERMS[CLAIM.vip]})
        world.add_agent(FIRST, slots=1, is_first_start=is_first_start)
        world.publish(FIRST)
        world.run(400)
        return world

    def send(self, world: PacketWorld, copy: int = 0) -> list[object]:
        """Lets the agent receive a copy and drop what it holds; returns what it sends."""
        agent = world.agents[FIRST]
        frame = write_packet(CLIENT, VIP, SYN, 77, copy)
        service = name_id("service", "spend")
        terms = (352, 3_516, 0)
        origin = host_number("10.9.0.1")
        carry = Carry(CarryKind.OPEN, service, 0, (), 0.0, 1, 0, origin, frame, *terms)
        agent.receive(("10.9.0.1", NODE_PORT), carry)
        agent.tick(world.now)
        agent.tick(world.now + 150)
        return [message for _, message in agent.outbox.drain()]

    def test_a_dropped_packet_is_refused(self) -> None:
        """Guards against clients that are not told what the agent knows."""
        world = self.make_world(is_first_start=True)
        world.agents[FIRST].state.in_flight = 9
        refusals = [one for one in self.send(world) if isinstance(one, Refused)]
        self.assertEqual([int(Code.OVERLOADED)], [refused.code for refused in refusals])

    def test_a_new_process_does_not_speak_for_the_one_before(self) -> None:
        """Guards against a false word after a restart, when the upstream has an earlier copy."""
        world = self.make_world(is_first_start=False)
        world.agents[FIRST].state.in_flight = 9
        self.assertEqual([], [one for one in self.send(world) if isinstance(one, Refused)])

    def test_an_offered_flow_is_not_refused(self) -> None:
        """Guards against a false word on a flow whose earlier copy the upstream has got."""
        world = self.make_world(is_first_start=True)
        self.send(world)
        world.agents[FIRST].state.in_flight = 9
        world.agents[FIRST].state.health = UpstreamHealth.SILENT
        self.assertEqual([], [one for one in self.send(world, 1) if isinstance(one, Refused)])


class TurnTest(unittest.TestCase):
    """New packets that arrive while others are held."""

    def test_a_new_packet_does_not_pass_a_held_one_of_higher_priority(self) -> None:
        """Guards against turns that new packets take when a reserved slot is given back."""
        world = PacketWorld()
        world.configure({VIP: "spend"}, terms={VIP: TERMS[CLAIM.vip]})
        world.add_agent(FIRST, slots=1)
        world.publish(FIRST)
        world.run(400)
        agent = world.agents[FIRST]
        service, origin = name_id("service", "spend"), host_number("10.9.0.1")
        agent.state.slots, agent.state.in_flight = 1, 2
        for port, priority in ((2_000, 1), (2_001, 2)):
            frame = write_packet(("100.64.0.1", port), VIP, SYN, 77, 0)
            terms = (352, 3_516, 0)
            carry = Carry(CarryKind.OPEN, service, 0, (), 0.0, priority, 0, origin, frame, *terms)
            agent.receive(("10.9.0.1", NODE_PORT), carry)
            agent.tick(world.now)
            agent.state.in_flight = 1  # from the second packet on there is room for one
        offered = [one for _, one in agent.outbox.drain() if isinstance(one, PacketToUpstream)]
        first = write_packet(("100.64.0.1", 2_000), VIP, SYN, 77, 0)
        self.assertEqual([first], [one.frame for one in offered])


class RefusalLoadTest(unittest.TestCase):
    """Upstreams that are eight times slower than the load needs."""

    def test_no_flow_is_reset_that_its_upstream_holds(self) -> None:
        """Guards against refused requests that have run."""
        routes = CompetingRoutes(TERMS)
        for host in UPSTREAMS:
            routes.world.upstreams[host].request_duration_ms *= 8
        held: list[int] = []
        send = routes.world._send_to_client

        def check_and_send(address: Address, frame: bytes) -> None:
            if frame[FLAGS_OFFSET] & RST:
                vip = routes.world.clients[address].vip
                key = Packet(address, vip, OPENS, 0, 0, 0, b"").key
                for upstream in routes.world.upstreams.values():
                    if key in upstream._flows or key in upstream._half_open_flows:
                        held.append(key)
            send(address, frame)

        routes.world._send_to_client = check_and_send  # type: ignore[method-assign]
        routes.world.run(5 * SECOND_MS)
        refused = sum(one.counters["flows.refused"] for one in routes.world.balancers.values())
        self.assertGreater(refused, 0)
        self.assertEqual([], held)
        self.assertLessEqual(routes.max_runs(), 1)


if __name__ == "__main__":
    unittest.main()

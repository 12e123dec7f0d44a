"""Opening packets to addresses without a route, at a balancer that is not up to date yet."""

import random
import unittest

from adapter.packets import decode_packet

from shallotshore.packets.balancer import PacketBalancer
from shallotshore.packets.balancer_state import BalancerSettings, BalancerState
from shallotshore.packets.feed_content import ConfigurationChange
from shallotshore.packets.packet import Packet
from shallotshore.packets.unrouted import MAX_HELD_OPENING_MS, UnroutedPackets
from shallotshore.packets.view import Configuration, Route
from shallotshore.unknown_flows import NEVER, Verdict
from standins.packet_wire import ACK, SYN, write_packet
from standins.packet_world import VIP, PacketWorld

NOW = 100_000
NEW_VIP = ("198.18.0.7", 443)


def opening(port: int = 2_000, copy: int = 0, now: int = NOW) -> Packet:
    """Returns a copy of a client's opening packet to the new address, read at `now` (ms)."""
    packet = decode_packet(write_packet(("100.64.0.1", port), NEW_VIP, SYN, 1, copy)).unwrap()
    packet.arrived_after = now
    return packet


class UnroutedPacketsTest(unittest.TestCase):
    """The packets that are held."""

    def setUp(self) -> None:
        core = PacketBalancer(BalancerSettings(1, "a", 7720), random.Random(1), decode_packet)
        self.state: BalancerState = core.state
        self.state.feeds.is_reading = False  # of a process that has just started
        self.held = UnroutedPackets(self.state)

    def test_packet_waits_for_its_route(self) -> None:
        """Guards against refusals of a new route by a balancer that has just started."""
        packet = opening()
        self.assertEqual(Verdict.WAIT, self.held.judge(packet, NOW))
        self.assertEqual([], self.held.take_decided(NOW + 20))
        configuration = Configuration(2, (Route("r", *NEW_VIP, (("s", 1),)),))
        operator = self.state.feeds.operator
        operator.content.configuration = ConfigurationChange("c", 2, configuration).configuration
        self.state.routes = {NEW_VIP: None}  # type: ignore[dict-item]
        self.assertEqual([(packet, Verdict.WAIT)], self.held.take_decided(NOW + 40))
        self.assertEqual([], self.held.take_decided(NOW + 60))

    def test_packet_is_refused_once_the_copy_is_complete(self) -> None:
        """Guards against clients of an address without a route that wait for their time limit."""
        self.held.judge(opening(), NOW)
        self.assertTrue(self.state.feeds.operator.check.is_wanted)
        self.state.feeds.operator.check.record_as_of(NOW)
        self.assertEqual(1, len(self.held.take_decided(NOW + 20)))

    def test_later_copy_is_refused_by_the_same_check(self) -> None:
        """Guards against clients that are not answered after a check that took long."""
        self.held.judge(opening(), NOW)
        self.assertEqual([], self.held.take_decided(NOW + 190))
        self.held.judge(opening(copy=1, now=NOW + 200), NOW + 200)
        self.state.feeds.operator.check.record_as_of(NOW)
        decided = self.held.take_decided(NOW + 220)
        self.assertEqual([Verdict.REFUSE], [verdict for _, verdict in decided])

    def test_packet_is_not_refused_when_its_next_copy_is_out(self) -> None:
        """Guards against resets of flows that the next copy opens at another balancer."""
        self.held.judge(opening(), NOW)
        self.state.feeds.operator.check.record_as_of(NOW)
        self.assertEqual([], self.held.take_decided(NOW + 180))
        self.assertEqual([], self.held.take_decided(NOW + MAX_HELD_OPENING_MS + 1))
        self.assertEqual(0, len(self.held))

    def test_packet_that_waited_to_be_read_is_not_refused(self) -> None:
        """Guards against resets by a process that starts or wakes with a packet in its socket."""
        self.state.feeds.is_reading = self.state.feeds.operator.is_complete = True
        packet = opening()
        packet.arrived_after = NEVER
        self.assertEqual(Verdict.WAIT, self.held.judge(packet, NOW))
        self.assertEqual(Verdict.REFUSE, self.held.judge(opening(2_001), NOW))

    def test_copy_of_a_flow_that_was_offered_is_not_refused(self) -> None:
        """Guards against resets of flows that are being opened by the version before."""
        self.state.feeds.is_reading = self.state.feeds.operator.is_complete = True
        self.state.flows.add(opening().key)
        self.assertEqual(Verdict.WAIT, self.held.judge(opening(), NOW))


class OpenFlowTest(unittest.TestCase):
    """Packets of flows that may be open."""

    def setUp(self) -> None:
        core = PacketBalancer(BalancerSettings(1, "a", 7720), random.Random(1), decode_packet)
        self.state: BalancerState = core.state
        self.held = UnroutedPackets(self.state)
        frame = write_packet(("100.64.0.1", 2_000), NEW_VIP, ACK, 1, 1)
        self.packet = decode_packet(frame).unwrap()

    def test_flow_of_a_dropped_route_waits_for_a_check(self) -> None:
        """Guards against resets of flows whose route is back by a later version (review/12)."""
        self.state.withdrawn_vips[NEW_VIP] = None
        self.assertEqual(Verdict.WAIT, self.held.judge(self.packet, NOW))
        self.state.feeds.operator.check.record_as_of(NOW - 1)
        self.assertEqual([], self.held.take_decided(NOW + 20))
        self.state.feeds.operator.check.record_as_of(NOW)
        self.assertEqual([(self.packet, Verdict.REFUSE)], self.held.take_decided(NOW + 21))

    def test_flow_whose_route_arrives_is_no_longer_judged(self) -> None:
        """Guards against the reset of a flow whose route the check has brought."""
        self.held.judge(self.packet, NOW)
        self.state.routes = {NEW_VIP: None}  # type: ignore[dict-item]
        self.state.feeds.operator.check.record_as_of(NOW)
        self.assertEqual([], self.held.take_decided(NOW + 20))
        self.assertEqual(0, len(self.held))


class AddedBalancerTest(unittest.TestCase):
    """A balancer that knows no other one, and hears of no change for 1.3 s."""

    def test_flows_of_a_new_route_open(self) -> None:
        """Guards against refusals of routes that were added after the first read of the store."""
        world = PacketWorld()
        world.configure()
        world.add_agent("10.1.1.1")
        world.publish("10.1.1.1")
        world.add_balancer("10.1.0.1", seeds=("10.8.0.1",))
        world.run(300)
        world.configure({VIP: "spend", NEW_VIP: "spend"})
        clients = [world.open_flow(4_000 + number, NEW_VIP) for number in range(5)]
        world.run(150)
        self.assertNotIn(None, [client.opened_at for client in clients])


if __name__ == "__main__":
    unittest.main()

"""Order and limits of the opening packets that a balancer routes, and their candidates."""

import random
import unittest

from adapter.packets import decode_packet

from shallotshore.hashing import name_id
from shallotshore.messages import Address
from shallotshore.packets.attempts import ATTEMPT_MS
from shallotshore.packets.balancer import PacketBalancer
from shallotshore.packets.balancer_state import BalancerSettings
from shallotshore.packets.feed_content import ConfigurationChange, UpstreamChange
from shallotshore.packets.feeds import STORE_ADDRESS
from shallotshore.packets.hosts import host_number, host_text
from shallotshore.packets.node_messages import Carry, CarryKind, Report, UpstreamHealth
from shallotshore.packets.opening_queue import OpeningQueue
from shallotshore.packets.packet import Packet, ResetPacket
from shallotshore.packets.routing import MAX_OPENINGS_PER_TICK, MAX_QUEUED_MS
from shallotshore.packets.store_messages import StoreChanges, StoreSnapshot
from shallotshore.packets.view import Configuration, Feed, Route, Upstream
from shallotshore.scheduling.terms import RequestTerms
from standins.packet_wire import SYN, write_packet

VIP = ("198.18.0.1", 443)
START = 100_000
PORT = 7720


def make_balancer(places: dict[str, str], terms: tuple[int, ...] = ()) -> PacketBalancer:
    """Returns a balancer of data centre `a` that has a report of an upstream on each host.

    Args:
        places: Data centres of the upstreams by host.
        terms: Priority, target and limit of the route.
    """
    settings = BalancerSettings(host_number("10.9.0.1"), "a", PORT)
    core = PacketBalancer(settings, random.Random(1), decode_packet)
    core.tick(START)
    configuration = Configuration(1, (Route("r", *VIP, (("s", 1),), *terms),))
    changes = [ConfigurationChange("c", 1, configuration)]
    core.receive(STORE_ADDRESS, StoreSnapshot(Feed.OPERATOR, 1, list(changes)))
    records = [
        UpstreamChange(host, 1, Upstream(host, "s", host, 80, place, 1, False, 0, 1))
        for host, place in places.items()
    ]
    core.receive(STORE_ADDRESS, StoreSnapshot(Feed.UPSTREAMS, 1, list(records)))
    core.tick(START)
    for host, place in places.items():
        report = Report(
            1,
            name_id("service", "s"),
            name_id("data_centre", place),
            80,
            UpstreamHealth.ANSWERS,
            0,
            0,
            0,
            1,
            1,
            b"",
            b"",
            True,
        )
        core.receive((host, PORT), report)
    core.tick(START + 1)
    core.outbox.drain()
    return core


def opening(port: int, sent_before: int = 0) -> Packet:
    """Returns a client's opening packet, which was sent a number of times before."""
    return decode_packet(write_packet(("100.64.0.1", port), VIP, SYN, 1, sent_before)).unwrap()


def offers(core: PacketBalancer) -> list[tuple[Address, Carry]]:
    """Returns the offers that the core has sent since the last call."""
    return [
        (destination, message)
        for destination, message in core.outbox.drain()
        if isinstance(message, Carry) and message.kind == CarryKind.OPEN
    ]


class OpeningQueueTest(unittest.TestCase):
    """Opening packets that arrive faster than the balancer routes them."""

    def setUp(self) -> None:
        self.core = make_balancer({"10.1.1.1": "a", "10.1.1.2": "a"})

    def test_newest_go_first_and_a_tick_is_bounded(self) -> None:
        """Guards against a balancer that falls behind and serves only clients that gave up."""
        packets = [opening(2_000 + number) for number in range(3 * MAX_OPENINGS_PER_TICK)]
        for packet in packets:
            self.core.receive(packet.client, packet)
        self.core.tick(START + 2)
        clients = [decode_packet(carry.frame).unwrap().client for _, carry in offers(self.core)]
        newest = [packet.client for packet in reversed(packets)][:MAX_OPENINGS_PER_TICK]
        self.assertEqual(newest, clients)
        self.core.tick(START + 22)
        self.assertEqual(MAX_OPENINGS_PER_TICK, len(offers(self.core)))

    def test_old_openings_are_shed(self) -> None:
        """Guards against routing opening packets so old that their clients sent them again."""
        for number in range(2 * MAX_OPENINGS_PER_TICK):
            packet = opening(2_000 + number)
            self.core.receive(packet.client, packet)
        self.core.tick(START + 2)
        offers(self.core)
        self.core.tick(START + 3 + MAX_QUEUED_MS)
        fresh = [carry for _, carry in offers(self.core) if carry.hops == 0]
        # These are second offers of the packets from the first tick.
        self.assertLessEqual(len(fresh), MAX_OPENINGS_PER_TICK)
        self.assertEqual(MAX_OPENINGS_PER_TICK, self.core.counters["openings.shed"])

    def test_retransmission_replaces_the_earlier_packet(self) -> None:
        """Guards against two offers for one flow in one tick."""
        for sent_before in range(3):
            packet = opening(2_000, sent_before)
            self.core.receive(packet.client, packet)
        self.core.tick(START + 2)
        self.assertEqual(1, len(offers(self.core)))


class UnservedRouteTest(unittest.TestCase):
    """Routes whose split has no weight above 0, so that no service gets their flows."""

    def setUp(self) -> None:
        self.core = make_balancer({"10.1.1.1": "a", "10.1.1.2": "a"})

    def configure(self, *routes: Route) -> None:
        change = ConfigurationChange("c", 2, Configuration(2, routes))
        self.core.receive(STORE_ADDRESS, StoreChanges(Feed.OPERATOR, 2, [change]))

    def test_opening_is_refused_at_once_and_other_routes_are_served(self) -> None:
        """Guards against an exception for each opening packet, which ended the process."""
        other = ("198.18.0.2", 443)
        self.configure(Route("none", *other, ()), Route("r", *VIP, (("s", 1),)))
        self.core.tick(START + 2)
        for number in range(3):
            client = ("100.64.0.1", 3_000 + number)
            packet = decode_packet(write_packet(client, other, SYN, 1, 0)).unwrap()
            packet.arrived_after = START + 2
            self.core.receive(client, packet)
        self.core.receive(("100.64.0.1", 2_000), opening(2_000))
        self.core.tick(START + 3)
        sent = self.core.outbox.drain()
        resets = [message for _, message in sent if isinstance(message, ResetPacket)]
        carried = [message for _, message in sent if isinstance(message, Carry)]
        self.assertEqual((3, 1), (len(resets), len(carried)))

    def test_offered_flow_whose_route_loses_its_weights_is_left_alone(self) -> None:
        """Guards against an exception when an offer is due to be repeated."""
        self.core.receive(("100.64.0.1", 2_000), opening(2_000))
        self.core.tick(START + 2)
        self.configure(Route("r", *VIP, ()))
        for at in range(START + 22, START + 400, 20):
            self.core.tick(at)
        self.assertEqual(1, self.core.counters["flows.opening"])


class DeclaredTermsTest(unittest.TestCase):
    """Opening packets of a route that declares a target and a limit."""

    def setUp(self) -> None:
        self.core = make_balancer({"10.1.1.1": "a", "10.1.1.2": "a"}, (1, 350, 3_000))

    def test_offers_tell_terms_and_age(self) -> None:
        """Guards against agents that take the copy of an old request for a new one."""
        self.core.receive(("100.64.0.1", 2_000), opening(2_000))
        self.core.tick(START + 2)
        self.core.receive(("100.64.0.1", 2_000), opening(2_000, 1))
        self.core.tick(START + 212)
        self.core.receive(("100.64.0.1", 3_000), opening(3_000, 2))
        self.core.tick(START + 213)
        told = [(carry.target_ms, carry.limit_ms, carry.age_ms) for _, carry in offers(self.core)]
        self.assertEqual([(350, 3_000, 0), (350, 3_000, 210), (350, 3_000, 600)], told)

    def test_requests_in_time_go_before_late_copies(self) -> None:
        """Guards against a balancer behind its load that routes late copies first."""
        for number in range(MAX_OPENINGS_PER_TICK):
            self.core.receive(("100.64.0.1", 2_000 + number), opening(2_000 + number))
        for number in range(MAX_OPENINGS_PER_TICK):
            self.core.receive(("100.64.0.1", 3_000 + number), opening(3_000 + number, 2))
        self.core.tick(START + 2)
        self.assertEqual({0}, {carry.age_ms for _, carry in offers(self.core)})

    def test_nothing_is_offered_after_the_end_of_the_attempt(self) -> None:
        """Guards against upstreams that are occupied for clients that have gone."""
        for number in range(2 * MAX_OPENINGS_PER_TICK):
            self.core.receive(("100.64.0.1", 2_000 + number), opening(2_000 + number))
        self.core.tick(START + 2)
        offers(self.core)
        self.core.tick(START + 2 + ATTEMPT_MS)
        self.assertEqual([], offers(self.core))
        self.assertEqual(MAX_OPENINGS_PER_TICK, self.core.counters["openings.shed"])

    def test_a_full_queue_drops_the_client_that_ends_its_attempt_next(self) -> None:
        """Guards against a flood that keeps new clients out, or fills the memory."""
        queue = OpeningQueue(2, MAX_QUEUED_MS)
        terms = RequestTerms(1, 350, 3_000)
        for number in range(4):
            queue.push_declared(opening(2_000 + number), terms, START + number, START + number)
        ports = []
        while (packet := queue.pop_next(START + 4)) is not None:
            ports.append(packet.client[1])
        self.assertEqual([2_003, 2_002], ports)
        self.assertEqual(2, queue.take_shed())

    def test_packets_with_and_without_terms_take_turns(self) -> None:
        """Guards against routes of one kind that are not served beside the other kind."""
        queue = OpeningQueue(10, MAX_QUEUED_MS)
        for number in range(3):
            queue.push_declared(opening(2_000 + number), RequestTerms(1, 350, 3_000), START, START)
            queue.push(opening(3_000 + number), START)
        kinds = [queue.pop_next(START).client[1] // 1_000 for _ in range(6)]
        self.assertEqual(3, kinds.count(2))
        self.assertNotEqual(kinds[0], kinds[1])
        self.assertNotEqual(kinds[2], kinds[3])


class CandidateTest(unittest.TestCase):
    """Candidates of a service with many upstreams."""

    def test_own_data_centre_first_and_one_of_another(self) -> None:
        """Guards against candidates that are all lost with one data centre."""
        near = {host_text(host_number("10.1.1.1") + number): "a" for number in range(10)}
        far = {host_text(host_number("10.2.1.1") + number): "b" for number in range(10)}
        core = make_balancer(near | far)
        remote_candidates = 0
        for number in range(20):
            packet = opening(2_000 + number)
            core.receive(packet.client, packet)
            core.tick(START + 2 + number)
            ((destination, carry),) = offers(core)
            self.assertIn(destination[0], near)
            self.assertIn(host_text(carry.candidates[0]), near)
            remote_candidates += host_text(carry.candidates[1]) in far
        # Some packets have no remote candidate: the upstreams sampled for them may all be in the
        # balancer's data centre.
        self.assertGreaterEqual(remote_candidates, 10)

    def test_another_upstream_gets_the_flow_when_all_tried_are_leaving(self) -> None:
        """Guards against a client's last copy that is offered nowhere.

        After a power loss balancers had no upstream for such copies, while most were free.
        """
        places = {f"10.1.1.{number}": "a" for number in range(1, 9)}
        core = make_balancer(places)
        tried = set()
        for copy in range(3):
            core.receive(("100.64.0.1", 1), opening(4000, copy))
            core.tick(START + 2 + copy)
            tried |= {destination[0] for destination, _ in offers(core)}
        self.assertEqual(3, len(tried))
        changes = [
            UpstreamChange(host, 2, Upstream(host, "s", host, 80, "a", 1, True, 0, 2))
            for host in tried
        ]
        core.receive(STORE_ADDRESS, StoreChanges(Feed.UPSTREAMS, 2, list(changes)))
        core.receive(("100.64.0.1", 1), opening(4000, 2))
        core.tick(START + 10)
        ((destination, _),) = offers(core)
        self.assertNotIn(destination[0], tried)


if __name__ == "__main__":
    unittest.main()

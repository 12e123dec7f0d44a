"""Messages of other processes that are damaged or absurd: none may stop a system of a core."""

import os
import random
import unittest
from collections.abc import Callable

import msgspec
from adapter.packets import decode_packet

from shallotshore.hashing import name_id
from shallotshore.packets import node_messages
from shallotshore.packets.agent import PacketAgent
from shallotshore.packets.agent_state import AgentSettings
from shallotshore.packets.balancer import PacketBalancer
from shallotshore.packets.balancer_state import BalancerSettings
from shallotshore.packets.feed_entries import ConfigurationEntry, DataCentreEntry, UpstreamEntry
from shallotshore.packets.hosts import host_number
from shallotshore.packets.node_messages import (
    Carry,
    CarryKind,
    Denied,
    FeedChanges,
    FeedRequest,
    FeedStatus,
    Follow,
    Hello,
    LoadReport,
    Missing,
    NodeMessage,
    OwnedFlow,
    Passed,
    Refused,
    Report,
    Search,
    Subscribe,
    UpstreamHealth,
)
from shallotshore.packets.packet_core import PacketCore
from shallotshore.packets.view import Configuration, Feed, Route, Upstream
from standins.packet_wire import ACK, SYN, write_packet

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "2000"))
START = 100_000
PORT = 7720
VIP = ("198.18.0.1", 443)
CLIENT = ("100.64.0.1", 4000)
EXTREMES = (-1, -(1 << 63), 0, 1 << 16, 1 << 32, (1 << 63) - 1, (1 << 64) - 1, b"", "", [], None)
SERVICE = name_id("service", "s")
UPSTREAM = Upstream("i-1", "s", "10.1.1.1", 80, "a", 1, False, 0, 5)
SYN_FRAME = write_packet(CLIENT, VIP, SYN, 1, 0)
ACK_FRAME = write_packet(CLIENT, VIP, ACK, 2, 9)
VALID: tuple[NodeMessage, ...] = (
    Carry(CarryKind.OPEN, SERVICE, 3, (7, 8), 0.0, 0, 0, 1, SYN_FRAME),
    Carry(CarryKind.SEARCH, SERVICE, 3, (), 0.0, 0, 0, 1, ACK_FRAME),
    Missing(11, False, ACK_FRAME),
    Passed(11, 7),
    Passed(11, 7, True),
    Refused(11, 200, 40),
    Carry(CarryKind.OPEN, SERVICE, 3, (7, 8), 0.0, 1, 0, 1, SYN_FRAME, 350, 3_000, 200),
    OwnedFlow(11),
    Subscribe(5, 1, 2, 3, 4),
    Report(
        1,
        SERVICE,
        5,
        80,
        UpstreamHealth.ANSWERS,
        10,
        1,
        2,
        3,
        4,
        b"12345678",
        b"",
        True,
        0,
        0,
        30.0,
        1.5,
    ),
    LoadReport(1, 2, b"12345678", b"", 30.0, 1.5),
    Search(SERVICE, 1, (ACK_FRAME, SYN_FRAME)),
    Denied(b"12345678"),
    Hello(5, True, False, 3, 4, (7, 8), (9,)),
    Follow(),
    FeedStatus(3, 4, 100, None),
    FeedRequest(Feed.UPSTREAMS, 2),
    FeedChanges(Feed.UPSTREAMS, 9, (UpstreamEntry("i-1", 9, UPSTREAM),)),
    FeedChanges(Feed.OPERATOR, 9, (DataCentreEntry("a", 9, False),)),
    FeedChanges(
        Feed.OPERATOR,
        9,
        (ConfigurationEntry("c", 9, Configuration(2, (Route("r", *VIP, (("s", 1),)),))),),
    ),
)


def make_balancer() -> PacketCore:
    """Returns a balancer."""
    settings = BalancerSettings(host_number("10.9.0.1"), "a", PORT)
    return PacketBalancer(settings, random.Random(1), decode_packet)


def make_agent() -> PacketCore:
    """Returns an agent."""
    settings = AgentSettings(host_number("10.1.1.1"), "a", "s", ("10.1.1.1", 80), PORT)
    return PacketAgent(settings, random.Random(1), decode_packet)


def mutate(value: object, rng: random.Random) -> object:
    """Returns a copy of a decoded message in which one value is changed, removed or added."""
    if not isinstance(value, list) or not value:
        return rng.choice(EXTREMES)
    copy = list(value)
    position = rng.randrange(len(copy))
    action = rng.random()
    if action < 0.1:
        del copy[position]
    elif action < 0.2:
        copy.insert(position, rng.choice(EXTREMES))
    else:
        copy[position] = mutate(copy[position], rng)
    return copy


def mutated_frame(rng: random.Random) -> bytes:
    """Returns the bytes of a damaged message."""
    frame = node_messages.encode(rng.choice(VALID))
    if rng.random() < 0.3:
        damaged = bytearray(frame)
        damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        return bytes(damaged[: rng.randrange(1, len(damaged) + 1)])
    return msgspec.msgpack.encode(mutate(msgspec.msgpack.decode(frame), rng))


class HostileMessageTest(unittest.TestCase):
    """Damaged messages at both cores."""

    def play(self, make_core: Callable[[], PacketCore]) -> None:
        rng = random.Random(7)
        core = make_core()
        now = START
        core.tick(now)
        source = ("10.1.1.1", PORT)
        decoded = 0
        for number in range(EXAMPLES):
            now += 7
            message = node_messages.decode(mutated_frame(rng))
            if message.is_ok():
                core.receive(source, message.unwrap())
                decoded += 1
            try:
                core.tick(now)
                for destination, sent in core.outbox.drain():
                    if isinstance(sent, NodeMessage):
                        node_messages.encode(sent)
                        self.assertRegex(destination[0], r"^\d+\.\d+\.\d+\.\d+$")
            except Exception as error:
                self.fail(f"example {number}: {message.unwrap()!r}: {error!r}")
        self.assertGreater(decoded, EXAMPLES // 10)

    def test_balancer_handles_damaged_messages(self) -> None:
        """Guards against one message that stops the routing of all others."""
        self.play(make_balancer)

    def test_agent_handles_damaged_messages(self) -> None:
        """Guards against one message that stops the forwarding of all others."""
        self.play(make_agent)

    def test_messages_for_another_role_do_not_stay(self) -> None:
        """Guards against memory that grows with messages which no system takes.

        Balancers subscribe to each address in an entry of the store, also to a balancer's.
        """
        for core in (make_balancer(), make_agent()):
            core.tick(START)
            for number in range(50):
                for message in VALID:
                    core.receive(("10.9.0.2", PORT), message)
                core.tick(START + 20 * number)
                self.assertFalse(core.inbox)
            self.assertGreater(core.counters["messages.unexpected"], 50)

    def test_failed_system_does_not_stop_the_others(self) -> None:
        """Guards against a fault in one system after which no packet is routed in that tick."""
        for core in (make_balancer(), make_agent()):
            core.tick(START)
            ran: list[str] = []

            class Faulty:
                def run(self, now: int) -> None:
                    raise ZeroDivisionError

            class Working:
                def __init__(self, ran: list[str]) -> None:
                    self._ran = ran

                def run(self, now: int) -> None:
                    self._ran.append("ran")

            core._systems = [Faulty(), Working(ran)]
            with self.assertRaises(ZeroDivisionError):
                core.tick(START + 20)
            self.assertEqual(["ran"], ran)
            self.assertEqual(1, core.counters["systems.failed.Faulty"])


if __name__ == "__main__":
    unittest.main()

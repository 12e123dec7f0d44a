"""Order and limit of the opening packets that the agent of a busy upstream holds."""

import unittest

from shallotshore.packets.held_openings import MAX_HELD_PACKETS, HeldOpening, HeldOpenings
from shallotshore.packets.node_messages import Carry, CarryKind
from shallotshore.packets.packet import OPENS, Packet

NOW = 100_000


def opening(port: int, sent_before: int = 0, priority: int = 1, held_at: int = 0) -> HeldOpening:
    """Returns an opening packet of a client's port, which was sent a number of times before."""
    packet = Packet(("100.64.0.7", port), ("198.18.0.1", 443), OPENS, 1, sent_before, 0, b"")
    return HeldOpening(Carry(CarryKind.OPEN, 1, 1, (), 0.0, priority, 0, 1, b""), packet, held_at)


class HeldOpeningsTest(unittest.TestCase):
    """The table of held packets."""

    def test_order_is_fewest_retransmissions_then_priority_then_newest(self) -> None:
        """Guards against slots that are used for requests which are late already."""
        held = HeldOpenings()
        for one in (
            opening(1, sent_before=2, priority=0, held_at=9),
            opening(2, priority=2, held_at=8),
            opening(3, priority=1, held_at=5),
            opening(4, priority=1, held_at=7),
        ):
            held.try_hold(one)
        self.assertEqual([4, 3, 2, 1], [held.pop_best().packet.client[1] for _ in range(4)])

    def test_retransmission_replaces_the_earlier_packet(self) -> None:
        """Guards against one flow that is held, and released, twice."""
        held = HeldOpenings()
        held.try_hold(opening(1))
        held.try_hold(opening(1, sent_before=1))
        self.assertEqual(1, len(held))
        self.assertEqual(1, held.pop_best().packet.acknowledged)

    def test_full_table_refuses_new_flows_and_accepts_retransmissions(self) -> None:
        """Guards against a flood of opening packets that fills the memory."""
        held = HeldOpenings()
        for port in range(MAX_HELD_PACKETS):
            self.assertTrue(held.try_hold(opening(port + 1)))
        self.assertFalse(held.try_hold(opening(40_000)))
        self.assertTrue(held.try_hold(opening(1, sent_before=1)))


class DeclaredTermsTest(unittest.TestCase):
    """Packets of routes that declare a target and a limit."""

    def hold(
        self, held: HeldOpenings, port: int, copy: int = 0, age_ms: int = 0, priority: int = 2
    ) -> None:
        packet = Packet(("100.64.0.7", port), ("198.18.0.1", 443), OPENS, 1, copy, 0, b"")
        terms = (350, 3_000, age_ms)
        carry = Carry(CarryKind.OPEN, 1, 1, (), 0.0, priority, 0, 1, b"", *terms)
        held.try_hold(HeldOpening(carry, packet, NOW))

    def test_a_late_copy_waits_behind_those_in_time(self) -> None:
        """Guards against urgent copies that go last though they can still be in time."""
        held = HeldOpenings()
        self.hold(held, 1)
        self.hold(held, 2, copy=1, age_ms=210, priority=1)
        self.hold(held, 3, copy=2, age_ms=610, priority=1)
        ports = [held.pop_best(NOW, 40).packet.client[1] for _ in range(3)]
        self.assertEqual([2, 1, 3], ports)

    def test_a_copy_is_held_until_the_next_one_or_the_end_of_the_attempt(self) -> None:
        """Guards against last copies dropped long before their clients end the attempt."""
        for copy, age_ms, dropped_after_ms in ((0, 0, 150), (1, 210, 340), (2, 610, 740)):
            held = HeldOpenings()
            self.hold(held, 1, copy, age_ms)
            self.assertEqual([], held.pop_overdue(NOW + dropped_after_ms - 1))
            self.assertEqual(1, len(held.pop_overdue(NOW + dropped_after_ms)), copy)
            self.assertEqual(0, len(held))

    def test_both_kinds_take_turns(self) -> None:
        """Guards against routes without terms that are never served beside others."""
        held = HeldOpenings()
        for port in range(4):
            self.hold(held, port + 1)
            held.try_hold(opening(port + 11, held_at=NOW))
        kinds = [held.pop_best(NOW, 40).carry.terms.is_declared for _ in range(8)]
        self.assertEqual([True, False] * 4, kinds)

    def test_age_counts_on_while_a_packet_is_held(self) -> None:
        """Guards against requests that look new again at the next agent."""
        held = HeldOpenings()
        self.hold(held, 1, copy=1, age_ms=210)
        opened = held.pop_best(NOW + 100, 40)
        self.assertEqual(310, opened.carry_now(NOW + 100).age_ms)


if __name__ == "__main__":
    unittest.main()

"""Order and limit of the opening packets that the agent of a busy upstream holds."""

import unittest

from shallotshore.packets.held_openings import MAX_HELD_PACKETS, HeldOpening, HeldOpenings
from shallotshore.packets.node_messages import Carry, CarryKind
from shallotshore.packets.packet import OPENS, Packet


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


if __name__ == "__main__":
    unittest.main()

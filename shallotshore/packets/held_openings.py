"""Opening packets that an agent holds while its upstream is busy."""

from __future__ import annotations

__all__ = ["HeldOpening", "HeldOpenings"]

from shallotshore.packets.node_messages import Carry
from shallotshore.packets.packet import Packet

# An upstream with one slot serves about ten requests in the longest time that a packet is held.
MAX_HELD_PACKETS = 256


class HeldOpening:
    """One opening packet.

    Attributes:
        carry: The message in which the packet arrived.
        packet: The packet.
        held_at: When the packet arrived, in ms.
    """

    __slots__ = ("carry", "held_at", "packet")

    def __init__(self, carry: Carry, packet: Packet, held_at: int) -> None:
        self.carry = carry
        self.packet = packet
        self.held_at = held_at

    @property
    def release_priority(self) -> tuple[int, int, int]:
        """Sort key for the release of packets; the packet with the highest key goes first.

        Packets that were retransmitted fewer times go first, then those of more urgent routes, then
        the newest. In an overload the newest request is the one that can still be answered in time.
        Retransmissions belong to requests that are 200 ms old or more, whatever the priority of
        their route.
        """
        return (-self.packet.acknowledged, -self.carry.priority, self.held_at)


class HeldOpenings:
    """Opening packets by flow; a retransmission replaces the flow's earlier packet."""

    __slots__ = ("_by_flow",)

    def __init__(self) -> None:
        self._by_flow: dict[int, HeldOpening] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def try_hold(self, opening: HeldOpening) -> bool:
        """Adds a packet, unless the limit is reached.

        Returns:
            Whether the packet was added.
        """
        if len(self._by_flow) >= MAX_HELD_PACKETS and opening.packet.key not in self._by_flow:
            return False
        self._by_flow[opening.packet.key] = opening
        return True

    def pop_best(self) -> HeldOpening:
        """Removes and returns the packet that goes first; at least one must be held."""
        best = max(self._by_flow.values(), key=lambda opening: opening.release_priority)
        del self._by_flow[best.packet.key]
        return best

    def pop_held_before(self, time: int) -> list[HeldOpening]:
        """Removes and returns the packets that arrived before a time (ms)."""
        old = [opening for opening in self._by_flow.values() if opening.held_at < time]
        for opening in old:
            del self._by_flow[opening.packet.key]
        return old

"""Opening packets that wait at an agent while its upstream is busy."""

from __future__ import annotations

__all__ = ["HeldOpening", "HeldOpenings"]

from shallotshore.packets.node_messages import Carry
from shallotshore.packets.packet import Packet

MAX_HELD_PACKETS = (
    256  # packets; a one-slot upstream serves about ten in the time that one may wait
)


class HeldOpening:
    """One opening packet.

    Attributes:
        carry: The message that brought it.
        packet: The packet.
        held_at: When it came, in ms.
    """

    __slots__ = ("carry", "held_at", "packet")

    def __init__(self, carry: Carry, packet: Packet, held_at: int) -> None:
        self.carry = carry
        self.packet = packet
        self.held_at = held_at

    @property
    def release_priority(self) -> tuple[int, int, int]:
        """Order of release: the highest goes first.

        In an overload the youngest request is the one that can still be answered in time. A
        client's later copies belong to requests that are 200 ms old or more, whatever the
        priority of their route.
        """
        return (-self.packet.acknowledged, -self.carry.priority, self.held_at)


class HeldOpenings:
    """Opening packets by flow; a copy takes the place of the one before."""

    __slots__ = ("_by_flow",)

    def __init__(self) -> None:
        self._by_flow: dict[int, HeldOpening] = {}

    def __len__(self) -> int:
        return len(self._by_flow)

    def try_hold(self, opening: HeldOpening) -> bool:
        """Adds a packet, unless too many wait."""
        if len(self._by_flow) >= MAX_HELD_PACKETS and opening.packet.key not in self._by_flow:
            return False
        self._by_flow[opening.packet.key] = opening
        return True

    def pop_best(self) -> HeldOpening:
        """Removes and returns the packet that should go first; there must be one."""
        best = max(self._by_flow.values(), key=lambda opening: opening.release_priority)
        del self._by_flow[best.packet.key]
        return best

    def pop_held_before(self, time: int) -> list[HeldOpening]:
        """Removes and returns the packets that came before a time (ms)."""
        old = [opening for opening in self._by_flow.values() if opening.held_at < time]
        for opening in old:
            del self._by_flow[opening.packet.key]
        return old

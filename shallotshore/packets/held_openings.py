"""Opening packets that an agent holds while its upstream is busy."""

from __future__ import annotations

__all__ = ["HeldOpening", "HeldOpenings"]

from msgspec.structs import replace

from shallotshore.packets.attempts import find_release_deadline
from shallotshore.packets.node_messages import Carry
from shallotshore.packets.packet import Packet
from shallotshore.scheduling.waiting import WaitingQueue, WaitingRequest

# An upstream with one slot serves about ten requests in the time for which a packet is held.
MAX_HELD_PACKETS = 256
# How long a packet is held whose route declares no terms. The client first retransmits it after
# 200 ms.
MAX_HOLD_MS = 150


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
        """Sort key for packets without terms; the packet with the highest key goes first.

        Packets that were retransmitted fewer times go first, then those of more urgent routes, then
        the newest. In an overload the newest request is the one that can still be answered in time.
        Retransmissions belong to requests that are 200 ms old or more, whatever the priority of
        their route.
        """
        return (-self.packet.acknowledged, -self.carry.priority, self.held_at)

    @property
    def asked_at(self) -> int:
        """When the client sent its first opening packet, in ms; known where terms are declared."""
        return self.held_at - self.carry.age_ms

    def carry_now(self, now: int) -> Carry:
        """Returns the message as it would be sent at `now` (ms)."""
        if not self.carry.terms.is_declared:
            return self.carry
        return replace(self.carry, age_ms=now - self.asked_at)


class HeldOpenings:
    """Opening packets by flow; a retransmission replaces the flow's earlier packet.

    Packets of routes that declare terms go in the order of `WaitingQueue`, the others by
    `HeldOpening.release_priority`. Turns alternate while both kinds are held.
    """

    __slots__ = ("_by_flow", "_declared", "_is_undeclared_next")

    def __init__(self) -> None:
        self._by_flow: dict[int, HeldOpening] = {}
        self._declared = WaitingQueue(MAX_HELD_PACKETS)
        self._is_undeclared_next = False

    def __len__(self) -> int:
        return len(self._by_flow) + len(self._declared)

    def try_hold(self, opening: HeldOpening) -> bool:
        """Adds a packet, unless the limit is reached.

        Returns:
            Whether the packet was added.
        """
        key = opening.packet.key
        earlier = self._by_flow.pop(key, None) or self._declared.remove(key)
        if len(self) >= MAX_HELD_PACKETS and earlier is None:
            return False
        terms = opening.carry.terms
        if not terms.is_declared:
            self._by_flow[key] = opening
            return True
        asked_at = opening.asked_at
        held_until = find_release_deadline(opening.packet, asked_at)
        account = opening.packet.vip
        request = WaitingRequest(key, terms, account, asked_at, opening, held_until)
        return self._declared.push(request, opening.held_at)

    def remove_declared(self, key: int) -> None:
        """Removes the packet of a flow whose route declares terms."""
        self._declared.remove(key)

    def pop_best(self, now: int = 0, service_ms: float = 0.0) -> HeldOpening | None:
        """Removes and returns the packet that goes first.

        Args:
            now: Time in ms.
            service_ms: Expected time from the release to the answer.

        Returns:
            The packet; None when none is held, or all of them have expired.
        """
        is_undeclared = bool(self._by_flow) and (
            self._is_undeclared_next or not len(self._declared)
        )
        self._is_undeclared_next = not is_undeclared
        request = None if is_undeclared else self._declared.pop_next(now, service_ms)
        if request is not None:
            return request.item
        if not self._by_flow:
            return None
        best = max(self._by_flow.values(), key=lambda opening: opening.release_priority)
        del self._by_flow[best.packet.key]
        return best

    def pop_overdue(self, now: int) -> list[HeldOpening]:
        """Removes and returns the packets that must not be held any longer at `now` (ms)."""
        oldest = now - MAX_HOLD_MS
        old = [opening for opening in self._by_flow.values() if opening.held_at < oldest]
        for opening in old:
            del self._by_flow[opening.packet.key]
        return old + [request.item for request in self._declared.take_expired(now)]

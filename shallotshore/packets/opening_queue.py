"""Opening packets that wait at a balancer until it routes them."""

from __future__ import annotations

__all__ = ["OpeningQueue"]

from shallotshore.packets.attempts import ATTEMPT_MS
from shallotshore.packets.packet import Packet
from shallotshore.scheduling.terms import RequestTerms
from shallotshore.scheduling.waiting import WaitingQueue, WaitingRequest


class OpeningQueue:
    """A bounded queue; a retransmission replaces the flow's earlier packet.

    Packets of routes that declare terms go in the order of `WaitingQueue`, others newest first.
    Otherwise a balancer that falls behind would only serve clients that have given up, and the
    retries of these clients would keep it behind. Turns alternate while both kinds wait.
    """

    __slots__ = (
        "_declared",
        "_is_undeclared_next",
        "_max_packets",
        "_max_wait_ms",
        "_shed",
        "_single",
        "_undeclared",
    )

    def __init__(self, max_packets: int, max_wait_ms: int) -> None:
        """Creates an empty queue.

        Args:
            max_packets: Greatest number of packets of each kind.
            max_wait_ms: Time after which a packet without declared terms is dropped.
        """
        self._max_packets = max_packets
        self._max_wait_ms = max_wait_ms
        self._undeclared: dict[int, tuple[int, Packet]] = {}
        self._declared = WaitingQueue(max_packets)
        self._is_undeclared_next = False
        self._shed = 0
        # The packet that arrived last. Mostly it is the only one that waits, and needs no order.
        self._single: tuple[Packet, RequestTerms, int] | None = None

    def __len__(self) -> int:
        return len(self._undeclared) + len(self._declared) + (self._single is not None)

    def push(self, packet: Packet, now: int) -> None:
        """Adds a packet of a route that declares no terms; a full queue drops the oldest one."""
        key = packet.key
        if self._single is not None:
            self._flush(now)
        if len(self._declared):
            self._declared.remove(key)
        self._undeclared.pop(key, None)
        self._undeclared[key] = (now, packet)
        if len(self._undeclared) > self._max_packets:
            del self._undeclared[next(iter(self._undeclared))]
            self._shed += 1

    def push_declared(self, packet: Packet, terms: RequestTerms, asked_at: int, now: int) -> None:
        """Adds a packet; a full queue drops the one whose client ends its attempt next.

        Args:
            packet: The packet.
            terms: Terms that its route declares.
            asked_at: When the client sent its first copy, in ms.
            now: Time in ms.
        """
        self._undeclared.pop(packet.key, None)
        if self._single is not None:
            self._flush(now)
        self._single = (packet, terms, asked_at)

    def pop_next(self, now: int) -> Packet | None:
        """Removes and returns the packet whose turn it is; None when none waits."""
        if self._single is not None and len(self) == 1:
            packet, _, asked_at = self._single
            self._single = None
            if now - asked_at < ATTEMPT_MS:
                return packet
            self._shed += 1
            return None
        self._flush(now)
        is_undeclared = bool(self._undeclared) and (
            self._is_undeclared_next or not len(self._declared)
        )
        self._is_undeclared_next = not is_undeclared
        found = self._pop_undeclared(now) if is_undeclared else None
        if found is not None:
            return found
        # An agent beside the upstream knows how long a request takes; a balancer does not.
        request = self._declared.pop_next(now, service_ms=0.0)
        self._shed += len(self._declared.take_expired(now))
        if request is not None:
            return request.item
        return self._pop_undeclared(now)

    def take_shed(self) -> int:
        """Returns the number of packets that were dropped since the last call."""
        shed = self._shed
        self._shed = 0
        return shed

    def _flush(self, now: int) -> None:
        """Moves the packet that arrived last to those that wait for their turns."""
        if self._single is None:
            return
        packet, terms, asked_at = self._single
        self._single = None
        ends_at = asked_at + ATTEMPT_MS
        request = WaitingRequest(packet.key, terms, packet.vip, asked_at, packet, ends_at)
        if not self._declared.push(request, now):
            self._declared.remove_first_to_expire()
            self._shed += 1
            self._declared.push(request, now)

    def _pop_undeclared(self, now: int) -> Packet | None:
        if not self._undeclared:
            return None
        _, (received_at, packet) = self._undeclared.popitem()
        if now - received_at <= self._max_wait_ms:
            return packet
        # The newest packet is taken first, so every packet left in the queue is too old.
        self._shed += len(self._undeclared) + 1
        self._undeclared.clear()
        return None

"""Packets to virtual addresses without a route, while newer records may name one."""

from __future__ import annotations

__all__ = ["UnroutedPackets"]

from typing import TYPE_CHECKING

from shallotshore.packets.packet import Packet
from shallotshore.packets.view import Feed
from shallotshore.unknown_flows import NEVER, Verdict, judge_open_flow, judge_opening

if TYPE_CHECKING:
    from shallotshore.packets.balancer_state import BalancerState

MAX_HELD_PACKETS = 1_000
MAX_HELD_OPENING_MS = 1_000  # a client ends its attempt 1.4 s after its first packet
MAX_HELD_MS = 5_000  # a client's requests have ended by then
CHECK_INTERVAL_MS = 20  # while the copy stays the same


class UnroutedPackets:
    """Held packets by flow, each with the time at which the first one was read.

    An opening packet waits here for its route. A packet of an open flow has gone on to the owner of
    the flow, and is kept to answer it once it is known that the flow has no route.
    """

    __slots__ = ("_checked_at", "_checked_copy", "_held", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._checked_at = NEVER
        self._checked_copy = (0, NEVER)
        self._held: dict[int, tuple[int, Packet]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def judge(self, packet: Packet, now: int) -> Verdict:
        """Decides on a packet, and holds it if the verdict is to wait.

        Args:
            packet: A packet to an address without a route; a later copy replaces an earlier one.
            now: Time in ms.
        """
        read_at, held = self._held.get(packet.key, (now, packet))
        if held.is_opening != packet.is_opening:
            read_at = now  # the flow has opened meanwhile, or the client has begun anew
        if packet.is_opening:
            self._state.attempts.record_copy(packet, now)
        verdict = self._judge(packet, read_at, now)
        if verdict is Verdict.REFUSE:
            self._held.pop(packet.key, None)
        elif len(self._held) < MAX_HELD_PACKETS or packet.key in self._held:
            self._held[packet.key] = (read_at, packet)
        return verdict

    def take_decided(self, now: int) -> list[tuple[Packet, Verdict]]:
        """Removes the packets that need not wait any longer at `now` (ms).

        Returns:
            The packets that are to be refused, and opening packets whose route has arrived, with
            the verdict to wait.
        """
        operator = self._state.feeds.operator
        copy = (operator.revision, operator.check.as_of)
        if copy == self._checked_copy and now - self._checked_at < CHECK_INTERVAL_MS:
            return []
        self._checked_copy, self._checked_at = copy, now
        decided = []
        for key, (read_at, packet) in list(self._held.items()):
            is_routed = packet.vip in self._state.routes
            verdict = Verdict.WAIT if is_routed else self._judge(packet, read_at, now)
            if verdict is Verdict.REFUSE or (is_routed and packet.is_opening):
                decided.append((packet, verdict))
            elif not is_routed and not self._has_expired(packet, read_at, now):
                continue
            del self._held[key]
        return decided

    def _has_expired(self, packet: Packet, read_at: int, now: int) -> bool:
        """Whether the client no longer waits for the answer to a packet."""
        return now - read_at > (MAX_HELD_OPENING_MS if packet.is_opening else MAX_HELD_MS)

    def _judge(self, packet: Packet, read_at: int, now: int) -> Verdict:
        state = self._state
        knowledge = state.feeds.knowledge(Feed.OPERATOR, now)
        if not packet.is_opening:
            verdict = judge_open_flow(knowledge, read_at)
            if verdict is Verdict.WAIT:
                state.feeds.operator.check.request(read_at)
            return verdict
        is_only_copy = state.is_only_copy(packet.key, now)
        verdict = judge_opening(knowledge, read_at, is_only_copy)
        if verdict is Verdict.WAIT and not state.feeds.is_watched:
            state.feeds.operator.check.request(read_at)
        return verdict

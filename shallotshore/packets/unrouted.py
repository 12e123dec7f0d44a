"""Opening packets to virtual addresses without a route, while newer records may name one."""

from __future__ import annotations

__all__ = ["UnroutedOpenings", "judge_unrouted"]

from typing import TYPE_CHECKING

from shallotshore.packets.packet import Packet
from shallotshore.packets.view import Feed
from shallotshore.unknown_flows import Verdict, judge_open_flow, judge_opening

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.packets.balancer_state import BalancerState

MAX_HELD_PACKETS = 1_000
# A client ends its attempt 1.4 s after its first packet.
MAX_HELD_MS = 1_000


def judge_unrouted(state: BalancerState, vip: Address, seen_at: int, now: int) -> Verdict:
    """Decides on a flow that may be open, and whose address has no route.

    Requests a check of the configuration while the verdict is to wait.

    Args:
        state: The balancer's state.
        vip: Virtual address of the flow.
        seen_at: When a packet of the flow was first received, in ms.
        now: Time in ms.
    """
    is_withdrawn = vip in state.withdrawn_vips
    verdict = judge_open_flow(state.feeds.knowledge(Feed.OPERATOR, now, is_withdrawn), seen_at)
    if verdict is Verdict.WAIT:
        state.feeds.operator.check.request(seen_at)
    return verdict


class UnroutedOpenings:
    """Held opening packets by flow; a later copy of a packet replaces the earlier one.

    It answers the first moments of a process, and those after a pause: clients use routes that the
    process has not read yet.
    """

    __slots__ = ("_held", "_state")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._held: dict[int, tuple[int, Packet]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def judge(self, packet: Packet, now: int) -> Verdict:
        """Decides on an opening packet, and holds the packet if the verdict is to wait."""
        received_at, _ = self._held.get(packet.key, (now, packet))
        verdict = self._judge(received_at, now)
        if verdict is Verdict.WAIT and len(self._held) < MAX_HELD_PACKETS:
            self._held[packet.key] = (received_at, packet)
        return verdict

    def take_decided(self, now: int) -> list[Packet]:
        """Removes and returns the packets that need not wait any longer at `now` (ms)."""
        decided = [
            packet
            for received_at, packet in self._held.values()
            if packet.vip in self._state.routes or self._judge(received_at, now) is Verdict.REFUSE
        ]
        for packet in decided:
            del self._held[packet.key]
        return decided

    def _judge(self, received_at: int, now: int) -> Verdict:
        feeds = self._state.feeds
        if now - received_at > MAX_HELD_MS:
            return Verdict.REFUSE
        verdict = judge_opening(feeds.knowledge(Feed.OPERATOR, now), received_at)
        if verdict is Verdict.WAIT and not feeds.is_watched:
            feeds.operator.check.request(received_at)
        return verdict

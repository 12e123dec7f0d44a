"""The core of a packet balancer: tables and the ordered systems that run over them each tick."""

from __future__ import annotations

__all__ = ["PacketBalancer"]

import random

from shallotshore.packets.balancer_state import BalancerSettings, BalancerState
from shallotshore.packets.directory import DirectorySystem
from shallotshore.packets.feed_checking import CheckAnswerSystem, CheckRequestSystem
from shallotshore.packets.feed_following import FollowSystem
from shallotshore.packets.learned_capacity import LearnedCapacitySystem
from shallotshore.packets.members import MemberSystem
from shallotshore.packets.ownership import OwnershipSystem
from shallotshore.packets.packet import DecodePacket, Packet
from shallotshore.packets.packet_core import PacketCore
from shallotshore.packets.pending_flows import PendingFlowSystem
from shallotshore.packets.refusals import RefusalSystem
from shallotshore.packets.routing import RoutingSystem
from shallotshore.packets.subscriptions import SubscriptionSystem
from shallotshore.packets.vm_checks import VmCheckSystem

PAUSE_THRESHOLD_MS = 1_000  # a longer gap between ticks means that the VM was suspended
# The routers in front of the balancers probe each balancer twice a second and use other balancers
# after two failed probes; late packets arrive for some time after that.
STOP_GRACE_MS = 1_700


class PacketBalancer(PacketCore):
    """A balancer without sockets, wall-clock time or message encodings.

    The order of the systems matters: changes of the feeds are applied before packets are routed,
    and flow owners that agents report are recorded before packets are sent to the owners.
    """

    reads_store = True

    __slots__ = ("_last_tick", "_members", "_stopping_since", "state")

    def __init__(
        self, settings: BalancerSettings, rng: random.Random, decode: DecodePacket
    ) -> None:
        """Creates a balancer.

        Args:
            settings: Settings.
            rng: Source of random numbers; a seed makes the balancer's choices repeatable.
            decode: Decodes a client's packet that an agent returns.
        """
        super().__init__()
        state = BalancerState(self, settings, rng)
        self.state = state
        self._init_state(state)
        self._members = MemberSystem(state)
        self._last_tick = -1
        self._stopping_since = -1
        self._systems = [
            self._feed_system,
            DirectorySystem(state),
            self._members,
            FollowSystem(state),
            CheckAnswerSystem(state),
            OwnershipSystem(state, decode),
            LearnedCapacitySystem(state),
            RefusalSystem(state),
            VmCheckSystem(state),
            SubscriptionSystem(state),
            RoutingSystem(state),
            PendingFlowSystem(state),
            CheckRequestSystem(state),
        ]

    @property
    def is_ready(self) -> bool:
        """Whether the routers should send packets to this balancer."""
        return self._stopping_since < 0 and self.state.is_configured

    @property
    def stopped(self) -> bool:
        """Whether a graceful stop is complete."""
        return self._stopping_since >= 0 and self._last_tick - self._stopping_since >= STOP_GRACE_MS

    def stop(self, now: int) -> None:
        """Starts a graceful stop: packets are forwarded until the routers use other balancers."""
        if self._stopping_since < 0:
            self._stopping_since = now
            self._members.send_leaving()

    def tick(self, now: int) -> None:
        """Runs every system in order.

        Args:
            now: Time in ms, from a clock that also counts while the VM is suspended.
        """
        if self._last_tick >= 0 and now - self._last_tick > PAUSE_THRESHOLD_MS:
            self._handle_pause(now)
        self._last_tick = now
        super().tick(now)

    def _handle_pause(self, now: int) -> None:
        """Drops the opening packets queued during a pause, and reads the feeds again.

        The packets are obsolete, since their clients have retransmitted them meanwhile.
        """
        packets = self.inbox.take(Packet)
        kept = [(source, packet) for source, packet in packets if not packet.is_opening]
        for source, packet in kept:
            self.inbox.put(source, packet)
        self.counters.add("pauses")
        self.counters.add("pauses.dropped_packets", len(packets) - len(kept))
        self.log.write(
            now, "paused", gap_ms=now - self._last_tick, dropped=len(packets) - len(kept)
        )
        self._feed_system.reread(now)

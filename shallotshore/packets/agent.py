"""The core of a packet agent: tables and the ordered systems that run over them each tick."""

from __future__ import annotations

__all__ = ["PacketAgent"]

import random

from shallotshore.packets.agent_state import AgentSettings, AgentState
from shallotshore.packets.client_packets import ClientPacketSystem, DenialSystem
from shallotshore.packets.openings import HeldOpeningSystem
from shallotshore.packets.own_upstream import HealthSystem, OwnUpstreamSystem
from shallotshore.packets.packet import DecodePacket
from shallotshore.packets.packet_core import PacketCore
from shallotshore.packets.reports import ReportSystem
from shallotshore.packets.upstream_packets import UpstreamPacketSystem


class PacketAgent(PacketCore):
    """An agent without sockets, wall-clock time or message encodings.

    The order of the systems matters: the upstream's record is applied before new flows are offered
    to the upstream, and the upstream's packets are handled before those of clients.
    """

    __slots__ = ("state",)

    def __init__(self, settings: AgentSettings, rng: random.Random, decode: DecodePacket) -> None:
        """Creates an agent.

        Args:
            settings: Settings.
            rng: Source of random numbers; a seed makes the agent's choices repeatable.
            decode: Decodes a client's packet.
        """
        super().__init__()
        state = AgentState(self, settings, rng)
        self.state = state
        self._init_state(state)
        self._systems = [
            self._feed_system,
            OwnUpstreamSystem(state),
            UpstreamPacketSystem(state),
            ClientPacketSystem(state, decode),
            DenialSystem(state),
            HeldOpeningSystem(state),
            HealthSystem(state),
            ReportSystem(state),
        ]

    @property
    def is_ready(self) -> bool:
        """Whether the agent accepts packets."""
        return not self.state.is_stopping

    @property
    def stopped(self) -> bool:
        """Whether the agent has stopped; the upstream still keeps its flows."""
        return self.state.is_stopping

    def stop(self, now: int) -> None:
        """Stops with the next tick, which passes opening packets on to other agents.

        The sooner the next process starts, the fewer packets are lost.
        """
        self.state.is_stopping = True

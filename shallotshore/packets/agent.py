"""The core of a packet agent: tables and the ordered systems that run over them each tick."""

from __future__ import annotations

__all__ = ["PacketAgent"]

import random

from shallotshore.packets.agent_state import AgentSettings, AgentState
from shallotshore.packets.client_packets import ClientPacketSystem
from shallotshore.packets.event_log import EventLog
from shallotshore.packets.feeds import Feeds, FeedSystem
from shallotshore.packets.latencies import Latencies
from shallotshore.packets.openings import HeldOpeningSystem
from shallotshore.packets.own_upstream import HealthSystem, OwnUpstreamSystem
from shallotshore.packets.packet import Decode
from shallotshore.packets.reports import ReportSystem
from shallotshore.packets.upstream_packets import UpstreamPacketSystem
from shallotshore.systems import Core


class PacketAgent(Core):
    """An agent without sockets, wall time or encodings.

    The order of the systems matters: the upstream's record is in force before new flows are
    handed over, and what the upstream has said is known before clients' packets are judged.
    """

    reads_store = False

    __slots__ = ("_is_stopping", "state")

    def __init__(self, settings: AgentSettings, rng: random.Random, decode: Decode) -> None:
        """Creates an agent.

        Args:
            settings: Settings.
            rng: Source of random numbers; a seed makes the agent's choices repeatable.
            decode: Reads a client's packet.
        """
        super().__init__()
        state = AgentState(settings, self.inbox, self.outbox, self.counters, rng)
        self.state = state
        self._is_stopping = False
        self._systems = [
            FeedSystem(
                state.feeds,
                self.inbox,
                self.outbox,
                self.counters,
                state.log,
                rng,
                reads_store=False,
            ),
            OwnUpstreamSystem(state),
            UpstreamPacketSystem(state),
            ClientPacketSystem(state, decode),
            HeldOpeningSystem(state),
            HealthSystem(state),
            ReportSystem(state),
        ]

    @property
    def log(self) -> EventLog:
        """Log lines to write."""
        return self.state.log

    @property
    def feeds(self) -> Feeds:
        """What is published, for other processes to fetch."""
        return self.state.feeds

    @property
    def latencies(self) -> Latencies:
        """Latencies to sort into histograms."""
        return self.state.latencies

    @property
    def is_ready(self) -> bool:
        """Whether the agent takes packets."""
        return not self._is_stopping

    @property
    def stopped(self) -> bool:
        """Whether a stop is complete; the upstream keeps its flows meanwhile."""
        return self._is_stopping

    def stop(self, now: int) -> None:
        """Stops at once: the sooner the next process starts, the fewer packets are lost."""
        self._is_stopping = True

"""Base class of the cores of the packet front end."""

from __future__ import annotations

__all__ = ["PacketCore"]

from typing import TYPE_CHECKING

from shallotshore.packets.feeds import FeedSystem
from shallotshore.systems import Core

if TYPE_CHECKING:
    from shallotshore.packets.event_log import EventLog
    from shallotshore.packets.feed_copies import Feeds
    from shallotshore.packets.latencies import Latencies
    from shallotshore.packets.node_state import NodeState


class PacketCore(Core):
    """Base of the packet balancer and the packet agent.

    Attributes:
        reads_store: Whether the process reads the platform's store, or only copies of other
            processes.
    """

    reads_store = False

    __slots__ = ("_feed_system", "_node")

    def _init_state(self, node: NodeState) -> None:
        """Stores the state that the subclass has built, and creates the feed system."""
        self._node = node
        self._feed_system = FeedSystem(node, self.reads_store)

    def tick(self, now: int) -> None:
        """Runs every system in order; an exception in one does not keep the others from running.

        Args:
            now: Time in ms, from a clock that also counts while the VM is suspended.

        Raises:
            Exception: The first exception of a system, after all systems have run.
        """
        first_error: Exception | None = None
        for system in self._systems:
            try:
                system.run(now)
            except Exception as error:
                self.counters.add(f"systems.failed.{type(system).__name__}")
                first_error = first_error or error
        # An entry of another writer may name this process's address, so that other processes take
        # it for one of another role.
        untaken = self.inbox.clear()
        if untaken:
            self.counters.add("messages.unexpected", untaken)
        if first_error is not None:
            raise first_error

    @property
    def log(self) -> EventLog:
        """Log lines that wait to be written."""
        return self._node.log

    @property
    def feeds(self) -> Feeds:
        """Copies of the feeds, which other processes may fetch."""
        return self._node.feeds

    @property
    def latencies(self) -> Latencies:
        """Recorded latencies, which are sorted into histograms later."""
        return self._node.latencies

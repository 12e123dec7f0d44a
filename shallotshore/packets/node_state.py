"""Base classes of the balancers and agents of the packet front end."""

from __future__ import annotations

__all__ = ["NodeState", "PacketCore"]

import random
from typing import TYPE_CHECKING

from shallotshore.hashing import name_id
from shallotshore.packets.event_log import EventLog
from shallotshore.packets.feed_copies import Feeds
from shallotshore.packets.feeds import FeedSystem
from shallotshore.packets.hosts import host_text
from shallotshore.packets.latencies import Latencies
from shallotshore.packets.node_messages import NodeMessage
from shallotshore.systems import Core

if TYPE_CHECKING:
    from shallotshore.systems import Counters, Inbox, Outbox


class NodeState:
    """Mailboxes, counters, log lines and feeds of one process.

    Attributes:
        host: IP address of the process's VM.
        node_port: Port at which all balancers and agents receive each other's messages.
        data_centre: Id of the process's data centre.
        rng: Source of random numbers; a seed makes choices repeatable.
    """

    __slots__ = (
        "counters",
        "data_centre",
        "feeds",
        "host",
        "inbox",
        "latencies",
        "log",
        "node_port",
        "outbox",
        "rng",
    )

    def __init__(
        self, core: Core, host: int, node_port: int, data_centre: str, rng: random.Random
    ) -> None:
        self.inbox: Inbox = core.inbox
        self.outbox: Outbox = core.outbox
        self.counters: Counters = core.counters
        self.host = host
        self.node_port = node_port
        self.data_centre = name_id("data_centre", data_centre)
        self.rng = rng
        self.log = EventLog()
        self.latencies = Latencies()
        self.feeds = Feeds()

    def send(self, host: int, message: NodeMessage) -> None:
        """Sends a message to the balancer or agent on a VM."""
        self.outbox.send((host_text(host), self.node_port), message)


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

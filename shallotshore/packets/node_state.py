"""What balancers and agents of the packet front end have in common."""

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
    """Mailboxes, counts, log lines and feeds of one process.

    Attributes:
        host: Own IP number.
        node_port: Port at which all processes of the system listen to each other.
        data_centre: Id of the own data centre.
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
        """Sends a message to the process of the system on a VM."""
        self.outbox.send((host_text(host), self.node_port), message)


class PacketCore(Core):
    """Base of the packet balancer and the packet agent.

    `reads_store` says whether the process reads the platform's store, or only copies of others.
    """

    reads_store = False

    __slots__ = ("_feed_system", "_node")

    def _init_state(self, node: NodeState) -> None:
        """Takes the state that the subclass has built, and makes the system that follows feeds."""
        self._node = node
        self._feed_system = FeedSystem(node, self.reads_store)

    @property
    def log(self) -> EventLog:
        """Log lines to write."""
        return self._node.log

    @property
    def feeds(self) -> Feeds:
        """What is published, for other processes to fetch."""
        return self._node.feeds

    @property
    def latencies(self) -> Latencies:
        """Latencies to sort into histograms."""
        return self._node.latencies

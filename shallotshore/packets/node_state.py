"""State that balancers and agents of the packet front end have in common."""

from __future__ import annotations

__all__ = ["NodeState"]

import random
from typing import TYPE_CHECKING

from shallotshore.hashing import name_id
from shallotshore.packets.event_log import EventLog
from shallotshore.packets.feed_copies import Feeds
from shallotshore.packets.hosts import host_text
from shallotshore.packets.latencies import Latencies
from shallotshore.packets.node_messages import NodeMessage

if TYPE_CHECKING:
    from shallotshore.systems import Core, Counters, Inbox, Outbox


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

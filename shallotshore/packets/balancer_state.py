"""What the systems of a packet balancer share."""

from __future__ import annotations

__all__ = ["BalancerSettings", "BalancerState", "RouteView"]

import random
from typing import TYPE_CHECKING

from shallotshore.hashing import name_id
from shallotshore.packets.event_log import EventLog
from shallotshore.packets.feeds import Feeds
from shallotshore.packets.flow_cache import FlowCache
from shallotshore.packets.hosts import host_text
from shallotshore.packets.latencies import Latencies
from shallotshore.packets.node_messages import NodeMessage
from shallotshore.packets.upstream_table import UpstreamTable
from shallotshore.packets.view import Route

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.systems import Counters, Inbox, Outbox


class BalancerSettings:
    """Settings of one balancer.

    Attributes:
        host: Own IP number.
        data_centre: Name of its data centre.
        node_port: Port at which all processes of the system listen to each other.
        seeds: Hosts that may run balancers.
    """

    __slots__ = ("data_centre", "host", "node_port", "seeds")

    def __init__(
        self, host: int, data_centre: str, node_port: int, seeds: tuple[int, ...] = ()
    ) -> None:
        self.host = host
        self.data_centre = data_centre
        self.node_port = node_port
        self.seeds = seeds


class RouteView:
    """A route with the ids of its services.

    Attributes:
        name: The operator's name for it.
        services: Ids of its services, without repeats.
        weights: Their weights, in the same order.
        priority: Rank of its requests; 0 goes first.
    """

    __slots__ = ("name", "priority", "services", "weights")

    def __init__(self, route: Route) -> None:
        self.name = route.name
        self.priority = route.priority
        self.services = tuple(name_id("service", name) for name, _ in route.shares)
        self.weights = tuple(weight for _, weight in route.shares)


class BalancerState:
    """Tables, mailboxes and random numbers of one balancer.

    Attributes:
        is_settled: Whether the balancer has learnt enough since its start to route packets.
    """

    __slots__ = (
        "cold_per_s",
        "counters",
        "data_centre",
        "data_centres_out",
        "feeds",
        "flows",
        "inbox",
        "is_settled",
        "latencies",
        "log",
        "outbox",
        "rng",
        "routes",
        "settings",
        "upstreams",
    )

    def __init__(
        self,
        settings: BalancerSettings,
        inbox: Inbox,
        outbox: Outbox,
        counters: Counters,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.inbox = inbox
        self.outbox = outbox
        self.counters = counters
        self.rng = rng
        self.log = EventLog()
        self.latencies = Latencies()
        self.feeds = Feeds()
        self.flows = FlowCache()
        self.upstreams = UpstreamTable()
        self.cold_per_s: dict[int, float] = {}
        self.routes: dict[Address, RouteView] = {}
        self.is_settled = False
        self.data_centres_out: set[int] = set()
        self.data_centre = name_id("data_centre", settings.data_centre)

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force."""
        return self.feeds.operator.content.configuration.version > 0

    def send(self, host: int, message: NodeMessage) -> None:
        """Sends a message to the process of the system on a VM."""
        self.outbox.send((host_text(host), self.settings.node_port), message)

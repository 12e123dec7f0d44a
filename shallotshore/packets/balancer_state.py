"""Settings of a packet balancer, and the state that its systems share."""

from __future__ import annotations

__all__ = ["BalancerSettings", "BalancerState", "RouteView"]

import random
from typing import TYPE_CHECKING

from shallotshore.hashing import name_id
from shallotshore.packets.attempts import AttemptTable
from shallotshore.packets.flow_cache import FlowCache
from shallotshore.packets.member_table import MemberTable
from shallotshore.packets.node_state import NodeState
from shallotshore.packets.search_queue import SearchQueue
from shallotshore.packets.upstream_table import UpstreamTable
from shallotshore.packets.view import Route
from shallotshore.scheduling.terms import RequestTerms
from shallotshore.tables import MISSING

if TYPE_CHECKING:
    from shallotshore.messages import Address
    from shallotshore.systems import Core

DEFAULT_LINK_MBPS = 1_000.0


class BalancerSettings:
    """Settings of one balancer.

    Attributes:
        host: IP address of the balancer's VM.
        data_centre: Name of the VM's data centre.
        node_port: Port at which all balancers and agents receive each other's messages.
        seeds: Hosts that may run balancers.
        link_mbps: Bandwidth of the VM's link in Mbit/s.
    """

    __slots__ = ("data_centre", "host", "link_mbps", "node_port", "seeds")

    def __init__(
        self,
        host: int,
        data_centre: str,
        node_port: int,
        seeds: tuple[int, ...] = (),
        link_mbps: float = DEFAULT_LINK_MBPS,
    ) -> None:
        self.host = host
        self.data_centre = data_centre
        self.node_port = node_port
        self.seeds = seeds
        self.link_mbps = link_mbps


class RouteView:
    """A route with the ids of its services.

    Attributes:
        name: The operator's name for the route.
        services: Ids of the route's services, without repeats; none if the route serves nothing.
        weights: Weights of the services, in the same order.
        terms: Priority, target latency and time limit of the route's requests.
    """

    __slots__ = ("name", "services", "terms", "weights")

    def __init__(self, route: Route) -> None:
        self.name = route.name
        self.terms = RequestTerms(route.priority, route.target_ms, route.limit_ms)
        self.services = tuple(name_id("service", name) for name, _ in route.shares)
        self.weights = tuple(weight for _, weight in route.shares)


class BalancerState(NodeState):
    """Tables of one balancer.

    Attributes:
        seeds: Hosts that may run balancers.
        members: Other balancers that are known.
        attempts: Clients' attempts to open a flow, on routes that declare terms.
        readers: Balancers that are to read the store, in an order that all balancers agree on.
        routes: Routes by virtual address.
        withdrawn_vips: Virtual addresses whose route a newer version of the configuration has
            dropped, the latest last; for logs, since the route may be back by a later version.
        timed_services: Ids of services to which a route with a target latency leads.
        median_service_ms: Median of the learned service times in ms, by service; only of timed
            services with a known value.
        cold_per_s: New flows per second declared for a cold upstream, by service.
        data_centres_out: Ids of data centres that the operator has taken out of service.
        searches: Packets of searched flows that wait to be sent to agents.
        queued_vm_checks: Hosts to check, since their agents are silent while a search awaits them.
        is_ready_to_route: Whether the balancer has learnt enough since its start to route packets.
    """

    __slots__ = (
        "attempts",
        "cold_per_s",
        "data_centres_out",
        "flows",
        "is_ready_to_route",
        "median_service_ms",
        "members",
        "queued_vm_checks",
        "readers",
        "routes",
        "searches",
        "seeds",
        "timed_services",
        "upstreams",
        "withdrawn_vips",
    )

    def __init__(self, core: Core, settings: BalancerSettings, rng: random.Random) -> None:
        super().__init__(core, settings.host, settings.node_port, settings.data_centre, rng)
        self.seeds = settings.seeds
        self.members = MemberTable()
        self.flows = FlowCache()
        self.attempts = AttemptTable()
        self.upstreams = UpstreamTable()
        self.readers: list[int] = []
        self.routes: dict[Address, RouteView] = {}
        self.withdrawn_vips: dict[Address, None] = {}
        self.timed_services: set[int] = set()
        self.median_service_ms: dict[int, float] = {}
        self.cold_per_s: dict[int, float] = {}
        self.data_centres_out: set[int] = set()
        self.searches = SearchQueue(self.data_centre, settings.link_mbps)
        self.queued_vm_checks: set[int] = set()
        self.is_ready_to_route = False

    @property
    def is_configured(self) -> bool:
        """Whether the balancer has a configuration."""
        return self.feeds.operator.content.configuration.version > 0

    def services_of(self, vip: Address) -> tuple[int, ...]:
        """Returns the ids of the services of a virtual address; none when it has no route."""
        route = self.routes.get(vip)
        return route.services if route is not None else ()

    def is_only_copy(self, key: int, now: int) -> bool:
        """Whether no upstream can get, or have got, the opening packet of a flow from others.

        This balancer has received every copy that the client has sent by `now` (ms), and has
        offered none of them, so that no flow ends if the client is reset.
        """
        return self.flows.row(key) == MISSING and self.attempts.has_all_copies(key, now)

    def is_member_near(self, host: int) -> bool:
        """Whether a balancer is in this balancer's own data centre."""
        row = self.members.row(host)
        return row != MISSING and self.members.data_centre[row] == self.data_centre

    def is_same_data_centre(self, host: int) -> bool:
        """Whether an upstream is in the balancer's own data centre."""
        row = self.upstreams.row(host)
        return row != MISSING and self.upstreams.data_centre[row] == self.data_centre

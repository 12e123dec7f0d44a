"""The two users' deployments: servers, data centres, customers, records and network delays."""

__all__ = ["Deployment", "KOLTSEGTER", "Server", "VATULELE", "build_deployment"]

from dataclasses import dataclass, field, replace

from shallotshore.messages import Address
from shallotshore.records import Binding, Customer, DataCentre, Service, Upstream, encode_record
from standins.caller_state import CallerLoad
from standins.upstream_state import UpstreamSettings

BALANCER_PORT = 7000
AGENT_PORT = 7100
SERVER_PORT = 7200
VIP_PORT = 443


@dataclass(slots=True)
class Server:
    """One server: its settings, its own address and the address of its agent."""

    settings: UpstreamSettings
    address: Address
    agent: Address


@dataclass(slots=True)
class Deployment:
    """One user's set-up.

    Attributes:
        user: Short name of the user.
        region: Name of the region.
        data_centres: Names of the data centres.
        data_centre_delay_ms: One-way delay between two data centres, in ms.
        caller_delay_ms: One-way delay between callers and any data centre, in ms.
        servers: Servers by name.
        balancers: (address, data centre) by balancer name.
        customers: Fair share by customer name.
        vips: Virtual IP address by (customer, service).
        loads: Load of each customer by service; all customers together use 70% of the slots.
    """

    user: str
    region: str
    data_centres: tuple[str, ...]
    data_centre_delay_ms: int
    caller_delay_ms: int
    servers: dict[str, Server] = field(default_factory=dict)
    balancers: dict[str, tuple[Address, str]] = field(default_factory=dict)
    customers: dict[str, int] = field(default_factory=dict)
    vips: dict[tuple[str, str], Address] = field(default_factory=dict)
    loads: dict[str, CallerLoad] = field(default_factory=dict)

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services."""
        return tuple(self.loads)

    def scenario_names(self) -> dict[str, str]:
        """Returns this user's names for the placeholders of scenarios, such as `main` and `dc1`."""
        names = {"main": self.services[0], "bulk": self.services[1]}
        names |= {f"dc{n}": name for n, name in enumerate(self.data_centres, start=1)}
        names |= {f"customer{n}": name for n, name in enumerate(self.customers, start=1)}
        return names

    def idle_load(self, service: str) -> CallerLoad:
        """Returns the service's load with no feeds and no requests."""
        return replace(self.loads[service], feeds=0, rate=0.0)

    def records(self) -> dict[str, bytes]:
        """Returns the operators' records as JSON text by key."""
        texts = {f"service/{name}": service_record(name) for name in self.services}
        for name in self.data_centres:
            texts[f"data_centre/{name}"] = data_centre_record(name, self.region)
        for name, server in self.servers.items():
            texts[f"upstream/{name}"] = upstream_record(server)
        for name in self.customers:
            texts[f"customer/{name}"] = self.customer_record(name)
        return texts

    def customer_record(self, name: str) -> bytes:
        """Returns the record of one customer."""
        bindings = tuple(
            Binding(service, vip)
            for (customer, service), vip in self.vips.items()
            if customer == name
        )
        return encode_record(Customer(name, self.customers[name], bindings))

    def add_server(self, service: str, data_centre: str, slots: int) -> Server:
        """Adds a server of a service with the next free name and addresses, and returns it."""
        number = sum(s.settings.service == service for s in self.servers.values()) + 1
        host = f"10.{self.services.index(service) + 1}.0.{number}"
        settings = UpstreamSettings(f"{service}-{number}", service, data_centre, slots, 2000)
        server = Server(settings, (host, SERVER_PORT), (host, AGENT_PORT))
        self.servers[settings.name] = server
        return server

    def add_balancer(self, data_centre: str) -> str:
        """Adds a balancer with the next free name and address, and returns its name."""
        number = len(self.balancers) + 1
        name = f"balancer-{number}"
        self.balancers[name] = ((f"10.0.0.{number}", BALANCER_PORT), data_centre)
        return name


def service_record(name: str) -> bytes:
    """Returns the record of a service."""
    return encode_record(Service(name))


def data_centre_record(name: str, region: str, state: str = "in") -> bytes:
    """Returns the record of a data centre."""
    return encode_record(DataCentre(name, region, state))


def upstream_record(server: Server, state: str = "active") -> bytes:
    """Returns the record of an upstream."""
    settings = server.settings
    record = Upstream(
        settings.name,
        settings.service,
        settings.data_centre,
        server.agent,
        state,
        settings.slots,
        settings.connections,
        settings.cold_limit,
        settings.warmup,
        settings.customers,
    )
    return encode_record(record)


def _populate(
    deployment: Deployment, servers: dict[str, int], slots: int, customers: dict[str, int]
) -> Deployment:
    deployment.customers = customers
    for service, count in servers.items():
        for number in range(count):
            deployment.add_server(
                service, deployment.data_centres[number % len(deployment.data_centres)], slots
            )
        for number, customer in enumerate(customers, start=1):
            host = f"192.0.{deployment.services.index(service) + 1}.{number}"
            deployment.vips[(customer, service)] = (host, VIP_PORT)
    for data_centre in deployment.data_centres:
        deployment.add_balancer(data_centre)
    return deployment


def _build_koltsegter() -> Deployment:
    loads = {
        "spend-stream": CallerLoad(feeds=40, rate=41.0, non_repeatable=0.6, work=(60, 180)),
        "report-export": CallerLoad(
            feeds=5, rate=7.0, non_repeatable=0.0, work=(300, 500), size=(5000, 20000)
        ),
    }
    deployment = Deployment(
        "koltsegter", "hu-central", ("bud-a", "bud-b", "bud-c", "gyor-a"), 4, 3, loads=loads
    )
    servers = {"spend-stream": 7, "report-export": 4}
    return _populate(deployment, servers, 3, {"alma": 3, "bodza": 2, "cseresznye": 1})


def _build_vatulele() -> Deployment:
    loads = {
        "spotdesk": CallerLoad(feeds=40, rate=27.0, non_repeatable=0.7, work=(30, 90)),
        "docvault": CallerLoad(
            feeds=5, rate=2.3, non_repeatable=0.0, work=(200, 400), size=(5000, 20000)
        ),
    }
    deployment = Deployment("vatulele", "suva", ("suva-a", "suva-b", "suva-c"), 3, 1, loads=loads)
    return _populate(deployment, {"spotdesk": 7, "docvault": 3}, 1, {"ba": 2, "lami": 2, "nadi": 1})


KOLTSEGTER = "koltsegter"
VATULELE = "vatulele"
_BUILDERS = {KOLTSEGTER: _build_koltsegter, VATULELE: _build_vatulele}


def build_deployment(user: str) -> Deployment:
    """Returns a new copy of a user's deployment, which the caller may modify.

    Args:
        user: KOLTSEGTER or VATULELE.
    """
    return _BUILDERS[user]()

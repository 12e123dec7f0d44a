"""A user's whole deployment: its processes, and the changes and faults applied to them."""

__all__ = ["World"]

import random

from shallotshore.messages import Address
from standins.caller import Caller
from standins.caller_state import CallerLog
from standins.configuration_service import ConfigurationService
from standins.delivery_log import DeliveryLog
from standins.deployments import Deployment, Server, build_deployment, upstream_record
from standins.fabric import Fabric
from standins.journal import Journal
from standins.network import Link, Network
from standins.processes import PRODUCT_FACTORY, ProcessFactory, ProcessSettings
from standins.runtime import SimulatedRuntime
from standins.upstream import Upstream
from standins.upstream_state import UpstreamLog
from standins.vm_list import VmList, encode_vm

CALLERS_PLACE = "callers"
PLATFORM_PLACE = "platform"
CONFIGURATION_ADDRESS = ("172.16.0.1", 8000)
VM_LIST_ADDRESS = ("172.16.0.2", 8000)
FABRIC_ADDRESS = ("172.16.0.3", 8000)
LONG_AGO_MS = -1_000_000  # so initial upstreams are warm and initial records visible
FABRIC_LAG_MS = 300  # until the fabric drops a balancer that ended


def agent_name(upstream: str) -> str:
    """Returns the process name of an upstream's agent."""
    return f"{upstream}.agent"


class World:
    """All processes of one user's deployment, and the logs of their observations.

    Attributes:
        plan: Description of the deployment; grows as servers and balancers are added.
        runtime: Runs the processes.
        configuration: The configuration service.
        vm_list: The VM list.
        fabric: The fabric.
        callers: Callers by (customer, service).
        caller_logs: Logs of all callers, also of withdrawn customers.
        upstream_logs: Logs of upstreams by name.
        journal: Changes and faults that were applied.
        delivery_log: Log of delivered packets.
        rng: Random number generator of the run.
    """

    __slots__ = (
        "_caller_number",
        "_incarnations",
        "_process_factory",
        "caller_logs",
        "callers",
        "configuration",
        "delivery_log",
        "fabric",
        "journal",
        "plan",
        "rng",
        "runtime",
        "upstream_logs",
        "vm_list",
    )

    def __init__(self, plan: Deployment, seed: int, process_factory: ProcessFactory) -> None:
        self._process_factory = process_factory
        self.plan = plan
        self.rng = random.Random(seed)
        self.runtime = SimulatedRuntime(_build_network(plan, random.Random(self.rng.random())))
        self.configuration = ConfigurationService()
        self.vm_list = VmList()
        self.fabric = Fabric([], random.Random(self.rng.random()))
        self.callers: dict[tuple[str, str], Caller] = {}
        self.caller_logs: list[CallerLog] = []
        self.upstream_logs: dict[str, UpstreamLog] = {}
        self.journal = Journal()
        self.delivery_log = DeliveryLog(self.runtime)
        self._incarnations: dict[str, int] = {}
        self._caller_number = 0

    @classmethod
    def for_user(
        cls, user: str, seed: int, process_factory: ProcessFactory = PRODUCT_FACTORY
    ) -> "World":
        """Builds a user's deployment and starts all its processes.

        Args:
            user: Name of the user.
            seed: Seed of all random numbers.
            process_factory: Makes the balancers and agents.
        """
        world = cls(build_deployment(user), seed, process_factory)
        world.start_all()
        return world

    def start_all(self) -> None:
        """Starts all processes of the deployment with warm upstreams."""
        self._start_platform()
        for name in self.plan.balancers:
            self.start_balancer(name)
        for server in self.plan.servers.values():
            self.start_upstream(server.settings.name, cold_since=LONG_AGO_MS)
            self.start_agent(server.settings.name)
        for customer, service in self.plan.vips:
            self.start_caller(customer, service)

    @property
    def now(self) -> int:
        """Current time in ms."""
        return self.runtime.now

    def server(self, name: str) -> Server:
        """Returns a server of the deployment.

        Raises:
            KeyError: There is no server of that name.
        """
        return self.plan.servers[name]

    def upstream(self, name: str) -> Upstream | None:
        """Returns the running core of an upstream, or None."""
        process = self.runtime.process(name)
        return process.core if process is not None else None  # type: ignore[return-value]

    def process_settings(self, name: str, address: Address, data_centre: str) -> ProcessSettings:
        """Returns the settings of a new balancer or agent."""
        peers = tuple(peer for peer, _ in self.plan.balancers.values() if peer != address)
        rng = random.Random(self.rng.random())
        return ProcessSettings(
            name,
            address,
            data_centre,
            peers,
            CONFIGURATION_ADDRESS,
            VM_LIST_ADDRESS,
            FABRIC_ADDRESS,
            rng,
            self.now,
        )

    def publish(self, texts: dict[str, bytes]) -> None:
        """Publishes records at the configuration service."""
        self.configuration.publish(texts, self.now)
        self.tick_process(PLATFORM_PLACE + ".configuration")

    def update_vm_list(self, name: str, state: str) -> None:
        """Changes one entry of the VM list; an empty state removes it."""
        role, address, data_centre = self._vm_fields(name)
        text = encode_vm(name, role, address, data_centre, state) if state else b""
        self.vm_list.publish({f"vm/{name}": text}, self.now)
        self.tick_process(PLATFORM_PLACE + ".vm_list")

    def tick_process(self, name: str) -> None:
        """Ticks a stand-in after a change of its state from outside and sends its messages."""
        process = self.runtime.process(name)
        if process is not None and not process.paused:
            process.core.tick(self.now)
            self.runtime.flush_outbox(process)

    def start_balancer(self, name: str) -> None:
        """Starts a balancer and adds it to the fabric."""
        address, data_centre = self.plan.balancers[name]
        core = self._process_factory.balancer(self.process_settings(name, address, data_centre))
        self.runtime.start(name, data_centre, [address], core)
        self.add_to_fabric(name)

    def add_to_fabric(self, name: str) -> None:
        """Adds a balancer to the fabric."""
        address, _ = self.plan.balancers[name]
        if address not in self.fabric.balancers:
            self.fabric.balancers.append(address)

    def remove_from_fabric(self, name: str) -> None:
        """Removes a balancer from the fabric."""
        address, _ = self.plan.balancers[name]
        if address in self.fabric.balancers:
            self.fabric.balancers.remove(address)

    def start_upstream(self, name: str, cold_since: int | None = None) -> None:
        """Starts a server's own process.

        Args:
            name: Name of the server.
            cold_since: Time in ms at which it turned cold; by default now.
        """
        server = self.server(name)
        self._incarnations[name] = self._incarnations.get(name, 0) + 1
        log = self.upstream_logs.setdefault(name, UpstreamLog())
        cold = self.now if cold_since is None else cold_since
        core = Upstream(server.settings, log, self._incarnations[name], cold)
        core.announce_start(server.agent)
        self.runtime.start(name, server.settings.data_centre, [server.address], core)

    def end_upstream(self, name: str) -> None:
        """Kills a server's own process."""
        if self.runtime.process(name) is not None:
            self.journal.ended.setdefault(name, []).append(self.now)
            self.runtime.kill(name)

    def start_agent(self, name: str) -> None:
        """Starts the agent of an upstream, if the tested system has agents."""
        server = self.server(name)
        place = server.settings.data_centre
        core = self._process_factory.agent(self.process_settings(name, server.agent, place), server)
        if core is None:
            return
        self.runtime.start(agent_name(name), place, [server.agent], core)

    def start_caller(self, customer: str, service: str) -> None:
        """Starts a customer's programs that use a service, with an idle load."""
        self._caller_number += 1
        address: Address = (f"198.51.100.{self._caller_number}", 40_000)
        vip = self.plan.vips[(customer, service)]
        load = self.plan.idle_load(service)
        core = Caller(customer, service, vip, load, random.Random(self.rng.random()))
        self.callers[(customer, service)] = core
        self.caller_logs.append(core.log)
        self.runtime.start(f"{customer}.{service}", CALLERS_PLACE, [address], core)

    def publish_upstream(self, name: str, state: str) -> None:
        """Publishes an upstream's record as active or leaving and records it in the journal."""
        self.publish({f"upstream/{name}": upstream_record(self.server(name), state)})
        if state == "leaving":
            self.journal.open_span(self.journal.leaving, name, self.now)
        else:
            self.journal.close_span(self.journal.leaving, name, self.now)

    def _start_platform(self) -> None:
        runtime = self.runtime
        runtime.start(
            PLATFORM_PLACE + ".configuration",
            PLATFORM_PLACE,
            [CONFIGURATION_ADDRESS],
            self.configuration,
        )
        runtime.start(PLATFORM_PLACE + ".vm_list", PLATFORM_PLACE, [VM_LIST_ADDRESS], self.vm_list)
        vips = list(self.plan.vips.values())
        runtime.start(
            PLATFORM_PLACE + ".fabric", PLATFORM_PLACE, [FABRIC_ADDRESS, *vips], self.fabric
        )
        self.configuration.publish(self.plan.records(), LONG_AGO_MS)
        entries = {}
        for name in [*self.plan.balancers, *self.plan.servers]:
            entries[f"vm/{name}"] = encode_vm(name, *self._vm_fields(name))
        self.vm_list.publish(entries, LONG_AGO_MS)

    def _vm_fields(self, name: str) -> tuple[str, Address, str]:
        if name in self.plan.balancers:
            address, data_centre = self.plan.balancers[name]
            return "balancer", address, data_centre
        server = self.server(name)
        return "agent", server.agent, server.settings.data_centre


def _build_network(plan: Deployment, rng: random.Random) -> Network:
    network = Network(rng)
    for one in plan.data_centres:
        network.set_link(one, CALLERS_PLACE, Link(plan.caller_delay_ms, 1))
        network.set_link(one, PLATFORM_PLACE, Link(plan.caller_delay_ms, 1))
        for other in plan.data_centres:
            if one < other:
                network.set_link(one, other, Link(plan.data_centre_delay_ms, 1))
    return network

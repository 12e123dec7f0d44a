"""A simulated fleet of processes that run only propagation, on the stand-ins' virtual clock."""

import random

from shallotshore.catalog import Catalog
from shallotshore.membership import Membership
from shallotshore.messages import Address, Source
from shallotshore.propagation import Propagation, PropagationConfig
from shallotshore.records import (
    Binding,
    Customer,
    DataCentre,
    Record,
    Service,
    Upstream,
    encode_record,
    key_of_record,
)
from shallotshore.systems import Core
from shallotshore.wakeup import WakeupGuard
from standins.configuration_service import ConfigurationService
from standins.network import Link, Network
from standins.runtime import SimulatedRuntime
from standins.vm_list import VmList, encode_vm

CONFIGURATION_ADDRESS = ("10.0.255.1", 1)
VM_LIST_ADDRESS = ("10.0.255.2", 1)
PLATFORM_ADDRESSES = {Source.CONFIGURATION: CONFIGURATION_ADDRESS, Source.VM_LIST: VM_LIST_ADDRESS}


class PropagationCore(Core):
    """Core of a balancer or an agent that runs propagation, without the data path."""

    __slots__ = ("catalog", "membership", "propagation", "wakeup_guard")

    def __init__(self, config: PropagationConfig, rng: random.Random) -> None:
        super().__init__()
        self.catalog = Catalog()
        self.membership = Membership()
        self.propagation = Propagation.from_config(config, self, self.catalog, self.membership, rng)
        self.wakeup_guard = WakeupGuard(
            self, self.propagation.query_peers, self.propagation.confirmed_since
        )
        self._systems = [self.wakeup_guard, self.propagation]


class Fleet:
    """Balancers and agents in several data centres, with configuration service and VM list.

    Attributes:
        data_centres: Names of the data centres.
        configuration: Stand-in of the configuration service.
        cores: Running cores by process name.
        vm_list_entries: Encoded entries of the VM list by key.
        runtime: Virtual clock and network.
        rng: Source of randomness for the cores.
        seed_addresses: Addresses of balancers that every process knows from its settings.
        vm_list: Stand-in of the VM list.
    """

    __slots__ = (
        "configuration",
        "cores",
        "data_centres",
        "rng",
        "runtime",
        "seed_addresses",
        "vm_list",
        "vm_list_entries",
    )

    def __init__(
        self, balancers: int, agents: int, data_centres: int, seed: int, loss: float
    ) -> None:
        self.rng = random.Random(seed)
        network = Network(random.Random(seed + 1))
        network.default = Link(delay=3, jitter=2, loss=loss, duplication=loss / 5, reordering=loss)
        self.runtime = SimulatedRuntime(network)
        self.data_centres = [f"dc-{number}" for number in range(data_centres)]
        self.configuration = ConfigurationService()
        self.vm_list = VmList(lag_ms=0)
        self.runtime.start("configuration", "platform", [CONFIGURATION_ADDRESS], self.configuration)
        self.runtime.start("vm-list", "platform", [VM_LIST_ADDRESS], self.vm_list)
        self.cores: dict[str, PropagationCore] = {}
        self.vm_list_entries: dict[str, bytes] = {}
        names = [f"balancer-{number}" for number in range(balancers)]
        self.seed_addresses = [self.address(name) for name in names[:3]]
        for number, name in enumerate(names):
            self.start(name, self.data_centres[number % data_centres])
        for number in range(agents):
            self.start(f"desk-{number}", self.data_centres[number % data_centres], "desk")
        self.vm_list.publish(self.vm_list_entries, 0)

    def address(self, name: str) -> Address:
        """Returns the address of the process with a name such as "balancer-0" or "desk-0"."""
        role, _, number = name.rpartition("-")
        return (f"10.{1 if role == 'balancer' else 2}.{int(number) >> 8}.{int(number) & 255}", 7000)

    def start(self, name: str, data_centre: str, service: str = "") -> PropagationCore:
        """Starts a process.

        Args:
            name: Name of the process.
            data_centre: Data centre of the process.
            service: Service of an agent's upstream; empty for a balancer.
        """
        config = PropagationConfig(
            self.address(name),
            data_centre,
            tuple(self.seed_addresses),
            {} if service else PLATFORM_ADDRESSES,
            service,
            name if service else "",
        )
        core = PropagationCore(config, random.Random(self.rng.random()))
        self.cores[name] = core
        self.runtime.start(name, data_centre, [config.address], core)
        role = "agent" if service else "balancer"
        self.vm_list_entries[f"vm/{name}"] = encode_vm(name, role, config.address, data_centre)
        return core

    def records(self) -> list[Record]:
        """Returns the records that describe the fleet's service."""
        agents = [name for name in self.cores if name.startswith("desk-")]
        return [
            *(DataCentre(name, "suva") for name in self.data_centres),
            Service("desk"),
            Service("vault"),
            Customer("acme", 1, (Binding("desk", ("192.0.2.1", 80)),)),
            Customer("other", 1, (Binding("vault", ("192.0.2.2", 80)),)),
            *(
                Upstream(
                    name,
                    "desk",
                    self.data_centres[number % len(self.data_centres)],
                    self.address(name),
                )
                for number, name in enumerate(agents)
            ),
        ]

    def publish(self, *records: Record) -> int:
        """Publishes records as one revision and returns its number."""
        record_texts = {key_of_record(record): encode_record(record) for record in records}
        return self.configuration.publish(record_texts, self.runtime.now)

    def run(self, milliseconds: int) -> None:
        """Advances the virtual clock by a time in ms."""
        self.runtime.run_until(self.runtime.now + milliseconds)

    def find_processes_behind(self, revision: int) -> list[str]:
        """Returns the names of the processes that hold only an older revision."""
        return [name for name, core in self.cores.items() if core.catalog.revision < revision]

    def run_until_all_hold(self, revision: int, limit: int) -> int:
        """Advances the virtual clock until all processes hold a revision.

        Args:
            revision: Revision to wait for.
            limit: Longest time to wait, in ms.

        Returns:
            Time that it took in ms; at least the limit when some process still lacks the revision.
        """
        start = self.runtime.now
        while self.find_processes_behind(revision) and self.runtime.now - start < limit:
            self.run(20)
        return self.runtime.now - start

    def sum_counter(self, name: str) -> int:
        """Returns the sum of a counter over all processes."""
        return sum(core.counters[name] for core in self.cores.values())

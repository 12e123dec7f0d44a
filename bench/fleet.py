"""A fleet of processes that run propagation only, on the stand-ins' virtual clock."""

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
from standins.pump import Pump
from standins.vm_list import VmList, vm_text

CONFIGURATION = ("10.0.255.1", 1)
VM_LIST = ("10.0.255.2", 1)
PLATFORM = {Source.CONFIGURATION: CONFIGURATION, Source.VM_LIST: VM_LIST}


class SpreadCore(Core):
    """A balancer or an agent without its data path."""

    __slots__ = ("catalog", "guard", "membership", "propagation")

    def __init__(self, config: PropagationConfig, rng: random.Random) -> None:
        super().__init__()
        self.catalog = Catalog()
        self.membership = Membership()
        self.propagation = Propagation.from_config(config, self, self.catalog, self.membership, rng)
        self.guard = WakeupGuard(
            self, self.propagation.query_peers, self.propagation.confirmed_since
        )
        self._systems = [self.guard, self.propagation]


class Fleet:
    """Balancers and agents in some data centres, with the platform's two services."""

    __slots__ = (
        "centres",
        "configuration",
        "cores",
        "lines",
        "pump",
        "rng",
        "settings",
        "vm_list",
    )

    def __init__(self, balancers: int, agents: int, centres: int, seed: int, loss: float) -> None:
        self.rng = random.Random(seed)
        network = Network(random.Random(seed + 1))
        network.default = Link(delay=3, jitter=2, loss=loss, duplication=loss / 5, reordering=loss)
        self.pump = Pump(network)
        self.centres = [f"dc-{number}" for number in range(centres)]
        self.configuration = ConfigurationService()
        self.vm_list = VmList(lag=0)
        self.pump.start("configuration", "platform", [CONFIGURATION], self.configuration)
        self.pump.start("vm-list", "platform", [VM_LIST], self.vm_list)
        self.cores: dict[str, SpreadCore] = {}
        self.lines: dict[str, bytes] = {}
        names = [f"balancer-{number}" for number in range(balancers)]
        self.settings = [self.address(name) for name in names[:3]]
        for number, name in enumerate(names):
            self.start(name, self.centres[number % centres])
        for number in range(agents):
            self.start(f"desk-{number}", self.centres[number % centres], "desk")
        self.vm_list.publish(self.lines, 0)

    def address(self, name: str) -> Address:
        """Returns the address of a process."""
        role, _, number = name.rpartition("-")
        return (f"10.{1 if role == 'balancer' else 2}.{int(number) >> 8}.{int(number) & 255}", 7000)

    def start(self, name: str, centre: str, service: str = "") -> SpreadCore:
        """Starts a process."""
        config = PropagationConfig(
            self.address(name),
            centre,
            tuple(self.settings),
            {} if service else PLATFORM,
            service,
            name if service else "",
        )
        core = SpreadCore(config, random.Random(self.rng.random()))
        self.cores[name] = core
        self.pump.start(name, centre, [config.address], core)
        role = "agent" if service else "balancer"
        self.lines[f"vm/{name}"] = vm_text(name, role, config.address, centre)
        return core

    def records(self) -> list[Record]:
        """Returns the records that describe the fleet's service."""
        agents = [name for name in self.cores if name.startswith("desk-")]
        return [
            *(DataCentre(name, "suva") for name in self.centres),
            Service("desk"),
            Service("vault"),
            Customer("acme", 1, (Binding("desk", ("192.0.2.1", 80)),)),
            Customer("other", 1, (Binding("vault", ("192.0.2.2", 80)),)),
            *(
                Upstream(name, "desk", self.centres[number % len(self.centres)], self.address(name))
                for number, name in enumerate(agents)
            ),
        ]

    def publish(self, *records: Record) -> int:
        """Publishes records as one revision."""
        texts = {key_of_record(record): encode_record(record) for record in records}
        return self.configuration.publish(texts, self.pump.now)

    def run(self, milliseconds: int) -> None:
        """Advances the clock."""
        self.pump.run_until(self.pump.now + milliseconds)

    def behind(self, revision: int) -> list[str]:
        """Returns the processes that do not hold a revision."""
        return [name for name, core in self.cores.items() if core.catalog.revision < revision]

    def time_until_all_hold(self, revision: int, limit: int) -> int:
        """Advances until all processes hold a revision; returns the ms, or the limit."""
        start = self.pump.now
        while self.behind(revision) and self.pump.now - start < limit:
            self.run(20)
        return self.pump.now - start

    def counted(self, name: str) -> int:
        """Returns the sum of a counter over all processes."""
        return sum(core.counters[name] for core in self.cores.values())

"""State shared by the propagation systems: settings, replicas and contacts with balancers."""

__all__ = ["NEVER", "Peering", "PropagationConfig"]

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from shallotshore.catalog import Catalog
from shallotshore.hashing import name_id
from shallotshore.membership import Membership
from shallotshore.messages import Address, Message, Source
from shallotshore.replica import Replica
from shallotshore.systems import Core

GRPC_PART_BYTES = 256 * 1024  # far below gRPC's limit of 4 MiB; encoding takes under 2 ms
NEVER = -1_000_000  # time in ms of an event that has not happened
MAX_HEARD_BALANCERS = 1024
# When more than MAX_HEARD_BALANCERS balancers are recorded, those not heard for this time are
# removed.
HEARD_ENTRY_TIMEOUT_MS = 10_000


@dataclass(slots=True)
class PropagationConfig:
    """Settings of a process that its propagation needs.

    Attributes:
        address: Address of the process.
        data_centre: Name of the process's data centre.
        peers: Balancers to ask before the VM list is known.
        platform: Address of each of the platform's services: configuration service and VM list.
        service: Name of the service that the agent serves; empty in a balancer.
        upstream: Name of the agent's upstream; empty in a balancer.
        part_bytes: Greatest size in bytes of the entries in one `Delta`.
    """

    address: Address
    data_centre: str
    peers: tuple[Address, ...] = ()
    platform: Mapping[Source, Address] = field(default_factory=dict)
    service: str = ""
    upstream: str = ""
    part_bytes: int = GRPC_PART_BYTES


class Peering:
    """State shared by the propagation systems.

    Attributes:
        replicas: The copies of the records and of the VM list, by source.
        scopes: The slice of each replica that the process holds: id of a service or data centre,
            or 0 for everything.
        is_validated: Whether the process may act on the revision that it holds.
        last_answer_at: Time in ms of the last message from any balancer.
        last_state_at: Time in ms of the last message that showed that its sender holds a revision.
    """

    __slots__ = (
        "_core",
        "_heard_at",
        "catalog",
        "config",
        "counters",
        "data_centre",
        "inbox",
        "is_validated",
        "last_answer_at",
        "last_state_at",
        "membership",
        "replicas",
        "rng",
        "scopes",
        "upstream",
    )

    def __init__(
        self,
        config: PropagationConfig,
        core: Core,
        catalog: Catalog,
        membership: Membership,
        rng: Random,
    ) -> None:
        self._core = core
        self._heard_at: dict[Address, int] = {}
        self.inbox = core.inbox
        self.counters = core.counters
        self.config = config
        self.rng = rng
        self.catalog = catalog
        self.membership = membership
        self.replicas: dict[Source, Replica] = {
            Source.CONFIGURATION: catalog,
            Source.VM_LIST: membership,
        }
        self.data_centre = name_id("data_centre", config.data_centre)
        self.upstream = name_id("upstream", config.upstream) if config.upstream else 0
        service = name_id("service", config.service) if config.service else 0
        # An agent holds its service's slice of the records and its data centre's slice of the VMs.
        self.scopes: dict[Source, int] = {
            Source.CONFIGURATION: service,
            Source.VM_LIST: self.data_centre if service else 0,
        }
        self.is_validated = False
        self.last_answer_at = NEVER
        self.last_state_at = NEVER

    @property
    def is_agent(self) -> bool:
        """Whether the process is an agent, which holds only a slice of each replica."""
        return self.scopes[Source.CONFIGURATION] != 0

    def send(self, destination: Address, message: Message) -> None:
        """Queues a message for a process."""
        self._core.outbox.send(destination, message)

    def record_balancer_message(self, address: Address, now: int, has_state: bool = False) -> None:
        """Records the time of a message from a balancer; ignores other senders.

        Args:
            address: Sender of the message.
            now: Monotonic time in milliseconds.
            has_state: Whether the message shows that the sender holds a revision.
        """
        if self.membership.revision and not self._may_be_balancer(address):
            return
        self._heard_at[address] = now
        self.last_answer_at = now
        if has_state:
            self.last_state_at = now
        if len(self._heard_at) > MAX_HEARD_BALANCERS:
            self._heard_at = {
                other: heard_at
                for other, heard_at in self._heard_at.items()
                if now - heard_at < HEARD_ENTRY_TIMEOUT_MS
            }

    def _may_be_balancer(self, address: Address) -> bool:
        return self.membership.is_balancer(address) or address in self.config.peers

    def last_heard_at(self, address: Address) -> int:
        """Returns the time (ms) of the last message from a balancer, or NEVER."""
        return self._heard_at.get(address, NEVER)

    def find_heard_balancer(self, address: Address) -> Address | None:
        """Returns the address if a message of a balancer has come from it, else None."""
        return address if address in self._heard_at else None

    def other_balancers(self) -> list[Address]:
        """Returns the balancers in the VM list and in the settings, without this process."""
        addresses = dict.fromkeys([*self.membership.all_balancers(), *self.config.peers])
        addresses.pop(self.config.address, None)
        return list(addresses)

    def choose_balancers(self, count: int) -> list[Address]:
        """Returns random balancers to request revisions from; an agent prefers its parents."""
        candidates = self.other_balancers()
        if self.is_agent:
            parents = self.membership.parents(self.upstream, self.data_centre)
            candidates = list(dict.fromkeys([*parents, *self.config.peers])) or candidates
        return self.rng.sample(candidates, min(count, len(candidates)))

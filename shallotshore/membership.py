"""The VM list: live balancers and their roles as readers, parents and relays."""

__all__ = ["READERS_PER_DATA_CENTRE", "RELAY_FAN_OUT", "Membership", "Vm"]

from array import array
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated

from result import Err, Result

from shallotshore.codes import Code
from shallotshore.field_rules import ChoiceRule, HostPortRule, NameRule, Problem, split_host_port
from shallotshore.hashing import name_id, rank
from shallotshore.messages import Address
from shallotshore.record_reader import read_object
from shallotshore.records import build_schema
from shallotshore.replica import Replica, Update
from shallotshore.store import RecordStore
from shallotshore.tables import MISSING

READERS_PER_DATA_CENTRE = 2  # two, so that the failure of one causes no delay
PARENTS_PER_AGENT = 2  # balancers from which an agent gets its records
RELAY_FAN_OUT = 16  # reaches 737 balancers of a data centre in 3 hops from its readers
MAX_VMS = 1 << 18


@dataclass(slots=True)
class Vm:
    """One VM of the platform's VM list, with the address of its process."""

    name: Annotated[str, NameRule()]
    role: Annotated[str, ChoiceRule(("balancer", "agent"))]
    address: Annotated[str, HostPortRule()]
    data_centre: Annotated[str, NameRule()]
    state: Annotated[str, ChoiceRule(("live", "leaving"))] = "live"


_SCHEMA = build_schema(Vm)


class VmStore(RecordStore):
    """Table that stores the listed VMs in columns."""

    __slots__ = ("address", "data_centre", "is_balancer", "is_leaving")

    address: list[Address]
    data_centre: array
    is_balancer: array
    is_leaving: array

    COLUMNS = RecordStore.COLUMNS | {
        "data_centre": "Q",  # id of the data centre
        "is_balancer": "B",
        "is_leaving": "B",
    }
    OBJECT_COLUMNS = {"address": ("", 0)}


class Membership(Replica):
    """Replica of the VM list with all balancers, and the agents whose VMs are leaving.

    Other agents are left out: upstream records name them, and they are ten times as many as the
    balancers. A slice holds the VMs of one data centre.
    """

    __slots__ = ("_addresses", "_balancers", "_leaving", "_slices", "change_count", "store")

    store: VmStore

    def __init__(self, limit: int = MAX_VMS) -> None:
        """Creates an empty list.

        Args:
            limit: Greatest number of VMs.
        """
        super().__init__(VmStore(limit))
        self._balancers: dict[int, dict[int, Address]] = {}
        self._addresses: dict[Address, int] = {}
        self._leaving: dict[Address, int] = {}
        self._slices: dict[int, set[int]] = {}
        self.change_count = 0  # rises with each update of the list

    def balancers(self, data_centre: int) -> tuple[Address, ...]:
        """Returns the addresses of the live balancers of a data centre, by its id."""
        return tuple(self._balancers.get(data_centre, {}).values())

    def data_centres(self) -> tuple[int, ...]:
        """Returns the ids of the data centres in which balancers are or have been listed."""
        return tuple(self._balancers)

    def is_balancer(self, address: Address) -> bool:
        """Whether a live balancer has the address."""
        return address in self._addresses

    def all_balancers(self) -> list[Address]:
        """Returns the addresses of all live balancers."""
        return [address for balancers in self._balancers.values() for address in balancers.values()]

    def rank_balancers(self, key: int, data_centre: int, limit: int) -> list[Address]:
        """Returns the first `limit` live balancers of a data centre in a key's rendezvous order."""
        balancers = self._balancers.get(data_centre, {})
        return [balancers[vm] for vm in rank(key, balancers, limit)]

    def parents(self, upstream: int, data_centre: int) -> list[Address]:
        """Returns the balancers that send records to an upstream's agent and get its heartbeats."""
        return self.rank_balancers(upstream, data_centre, PARENTS_PER_AGENT)

    def readers(self, data_centre: int) -> list[Address]:
        """Returns the balancers that read the platform's services for their data centre."""
        return self.rank_balancers(data_centre, data_centre, READERS_PER_DATA_CENTRE)

    def children(self, address: Address, data_centre: int) -> list[Address]:
        """Returns the balancers to which a balancer relays.

        The readers are the roots of the relay tree and relay to each other as well. Every other
        balancer has one parent, by its position in the rendezvous order.

        Args:
            address: The relaying balancer.
            data_centre: Id of its data centre.
        """
        ordered = self.rank_balancers(data_centre, data_centre, MAX_VMS)
        if address not in ordered:
            return []
        position = ordered.index(address)
        start = READERS_PER_DATA_CENTRE + position * RELAY_FAN_OUT
        children = ordered[start : start + RELAY_FAN_OUT]
        if position < READERS_PER_DATA_CENTRE:
            children += [
                reader for reader in ordered[:READERS_PER_DATA_CENTRE] if reader != address
            ]
        return children

    def is_leaving(self, address: Address) -> bool:
        """Whether the VM list says that the VM at an address is leaving."""
        return address in self._leaving

    # Hooks that the replica calls to apply entries.

    def ids_in_slice(self, scope: int) -> Iterable[int]:
        """Returns the ids of all keys of a data centre, or of all keys for scope 0."""
        return self._slices.get(scope, ()) if scope else self.store.all_ids()

    def scope_of_deleted(self, key_id: int) -> int:
        """Returns the id of the data centre of a deleted VM, or 0 when the VM is unknown."""
        row = self.store.row(key_id)
        return 0 if row == MISSING else self.store.data_centre[row]

    def read(self, key: str, text: bytes, relayed: bool) -> Result[Vm, list[Problem]]:
        """Reads one entry of the VM list."""
        kind = key.partition("/")[0]
        if kind != "vm":
            return Err([Problem(Code.RECORD_KIND_UNKNOWN, key, "", f"{kind} is not vm")])
        return read_object(key, text, _SCHEMA)

    def is_stored(self, record: object) -> bool:
        """Whether an entry is kept and relayed, which holds for balancers and leaving agents."""
        return isinstance(record, Vm) and (record.role == "balancer" or record.state == "leaving")

    def write_columns(self, row: int, record: object, update: Update) -> None:
        """Writes a VM into the columns of its row."""
        assert isinstance(record, Vm)
        self._remove_vm(row)
        store = self.store
        address = split_host_port(record.address)
        assert address is not None  # the reader has checked the field
        store.address[row] = address
        store.data_centre[row] = name_id("data_centre", record.data_centre)
        self._slices.setdefault(store.data_centre[row], set()).add(store.key[row])
        store.is_balancer[row] = record.role == "balancer"
        store.is_leaving[row] = record.state == "leaving"
        if record.state == "leaving":
            self._leaving[address] = store.key[row]
        elif record.role == "balancer":
            data_centre = self._balancers.setdefault(store.data_centre[row], {})
            data_centre[store.key[row]] = address
            self._addresses[address] = store.key[row]

    def clear_columns(self, row: int, revision: int, update: Update) -> None:
        """Removes a VM from the columns and indexes."""
        self._remove_vm(row)

    def _remove_vm(self, row: int) -> None:
        store = self.store
        self._balancers.get(store.data_centre[row], {}).pop(store.key[row], None)
        self._slices.get(store.data_centre[row], set()).discard(store.key[row])
        for index in (self._addresses, self._leaving):
            if index.get(store.address[row]) == store.key[row]:
                del index[store.address[row]]

    def prepare_commit(self, update: Update) -> Iterator[None]:
        """Does nothing: a VM list has no derived entries."""
        return iter(())

    def publish_changes(self, update: Update) -> None:
        """Counts the update, so that rendezvous orders cached elsewhere are recomputed."""
        self.change_count += 1

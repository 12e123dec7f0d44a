"""Tables of the catalog, and the view of an upstream that the catalog returns."""

__all__ = [
    "INHERITED_COLD_LIMIT",
    "INHERITED_WARMUP_MS",
    "CatalogStore",
    "CustomerTable",
    "DataCentreTable",
    "ServiceTable",
    "UpstreamView",
]

from array import array
from typing import NamedTuple

from shallotshore.compact import CompactTable
from shallotshore.messages import Address
from shallotshore.records import Upstream
from shallotshore.store import RecordStore
from shallotshore.tables import Table

# These values in an upstream's columns mean that the value of its service applies.
INHERITED_COLD_LIMIT = (1 << 16) - 1
INHERITED_WARMUP_MS = (1 << 32) - 1

_LEAVING = 1
_HAS_CUSTOMERS = 2
_HAS_IPV6_ADDRESS = 4


class UpstreamView(NamedTuple):
    """An upstream; `warmup` is in milliseconds, and empty `customers` means all customers."""

    id: int
    service: int
    data_centre: int
    address: Address
    leaving: bool
    slots: int
    connections: int
    cold_limit: int
    warmup: int
    customers: tuple[int, ...]


def _pack_ipv4(host: str) -> int:
    first, second, third, fourth = host.split(".")
    return int(first) << 24 | int(second) << 16 | int(third) << 8 | int(fourth)


class CatalogStore(RecordStore):
    """Store of all records; the columns of upstreams are zero in rows of other kinds.

    Upstreams have no table of their own, since a second index would cost 20 bytes per row.
    """

    __slots__ = (
        "_customers",
        "_ipv6_hosts",
        "cold_limit",
        "connections",
        "data_centre",
        "flags",
        "host",
        "port",
        "service",
        "slots",
        "warmup",
    )

    service: array
    data_centre: array
    host: array
    port: array
    slots: array
    connections: array
    cold_limit: array
    warmup: array
    flags: array

    COLUMNS = RecordStore.COLUMNS | {
        "service": "I",  # row in the service table
        "data_centre": "H",  # row in the data centre table
        "host": "I",
        "port": "H",
        "slots": "H",
        "connections": "I",
        "cold_limit": "H",
        "warmup": "I",  # milliseconds
        "flags": "B",
    }

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self._customers: dict[int, tuple[int, ...]] = {}
        self._ipv6_hosts: dict[int, str] = {}

    def set_upstream(self, row: int, record: Upstream, customers: tuple[int, ...]) -> None:
        """Writes an upstream's columns except service and data centre."""
        self.clear_upstream(row)
        self.slots[row] = record.slots
        self.connections[row] = record.connections
        limit, warmup = record.cold_limit, record.warmup_ms
        self.cold_limit[row] = INHERITED_COLD_LIMIT if limit is None else limit
        self.warmup[row] = INHERITED_WARMUP_MS if warmup is None else warmup
        flags = _LEAVING if record.state == "leaving" else 0
        if customers:
            flags |= _HAS_CUSTOMERS
            self._customers[row] = customers
        host, self.port[row] = record.address
        if ":" in host:
            flags |= _HAS_IPV6_ADDRESS
            self._ipv6_hosts[row] = host
        else:
            self.host[row] = _pack_ipv4(host)
        self.flags[row] = flags

    def clear_upstream(self, row: int) -> None:
        """Clears the flags of a row and removes the data that is held outside the columns."""
        if self.flags[row] & _HAS_CUSTOMERS:
            del self._customers[row]
        if self.flags[row] & _HAS_IPV6_ADDRESS:
            del self._ipv6_hosts[row]
        self.flags[row] = 0

    def address(self, row: int) -> Address:
        """Returns the address of an upstream's agent."""
        if self.flags[row] & _HAS_IPV6_ADDRESS:
            return self._ipv6_hosts[row], self.port[row]
        host = self.host[row]
        text = f"{host >> 24}.{host >> 16 & 255}.{host >> 8 & 255}.{host & 255}"
        return text, self.port[row]

    def customers(self, row: int) -> tuple[int, ...]:
        """Returns the ids of the customers that an upstream serves; empty means all."""
        return self._customers[row] if self.flags[row] & _HAS_CUSTOMERS else ()

    def is_leaving(self, row: int) -> bool:
        """Whether the state in the upstream's record is "leaving"."""
        return bool(self.flags[row] & _LEAVING)


class ServiceTable(CompactTable):
    """Services by id; a service without a record has a row if another record refers to it."""

    __slots__ = (
        "cold_limit",
        "customers",
        "effective_at_update",
        "effective_revision",
        "is_defined",
        "members",
        "membership_revision",
        "name",
        "queue_factor",
        "warmup",
    )

    is_defined: array
    cold_limit: array
    warmup: array
    queue_factor: array
    membership_revision: array
    effective_revision: array
    effective_at_update: array
    name: list[str]
    members: list[array]
    customers: list[tuple[int, ...]]

    COLUMNS = {
        "is_defined": "B",
        "cold_limit": "H",
        "warmup": "I",  # milliseconds
        "queue_factor": "H",
        "membership_revision": "Q",  # revision that last added or removed an upstream
        "effective_revision": "Q",  # maximum of membership_revision and data centre revisions
        # The catalog's update count when `effective_revision` was computed; 0 if it never was.
        "effective_at_update": "L",
    }
    OBJECT_COLUMNS = {"name": "", "members": array("Q"), "customers": ()}


class DataCentreTable(Table):
    """Data centres by id; a data centre without a record is out of service."""

    __slots__ = ("changed_revision", "is_in", "upstream_count")

    is_in: array
    changed_revision: array
    upstream_count: array

    COLUMNS = {
        "is_in": "B",
        "changed_revision": "Q",  # revision of the data centre's record
        "upstream_count": "L",  # number of upstreams that name the data centre
    }


class CustomerTable(CompactTable):
    """Customers by id; each binding in a row is a pair of address key and service id."""

    __slots__ = ("bindings", "share")

    share: array
    bindings: list[tuple[tuple[int, int], ...]]

    COLUMNS = {"share": "I"}
    OBJECT_COLUMNS = {"bindings": ()}

"""Tables of services, addresses, upstreams, data centres and customers at a revision."""

__all__ = ["Applied", "Catalog", "Route", "UpstreamView"]

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from functools import singledispatchmethod
from typing import NamedTuple

from result import Err

from shallotshore.codes import Code
from shallotshore.hashing import address_key, name_id
from shallotshore.messages import Address, Entry
from shallotshore.record_reader import Problem, read_record
from shallotshore.records import Customer, DataCentre, Record, Service, Upstream, key_of, to_text


class Route(NamedTuple):
    """The pair to which an address belongs."""

    service: int
    customer: int


class UpstreamView(NamedTuple):
    """One upstream by ids; `warmup` is in milliseconds, empty `customers` stands for all."""

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


class Applied(NamedTuple):
    """What a revision changed; ids of services and data centres."""

    accepted: bool
    problems: tuple[Problem, ...]
    changed_services: frozenset[int]
    changed_data_centres: frozenset[int]


class Catalog:
    """The configuration in force, by 64-bit id."""

    __slots__ = (
        "_changed_data_centres",
        "_changed_services",
        "_customers",
        "_data_centres",
        "_members",
        "_memberships",
        "_names",
        "_records",
        "_routes",
        "_services",
        "_upstreams",
        "revision",
    )

    def __init__(self) -> None:
        self.revision = 0
        self._records: dict[str, Record] = {}
        self._names: dict[int, str] = {}
        self._services: dict[int, Service] = {}
        self._upstreams: dict[int, Upstream] = {}
        self._data_centres: dict[int, DataCentre] = {}
        self._customers: dict[int, Customer] = {}
        self._routes: dict[int, Route] = {}
        self._members: dict[int, list[int]] = {}
        self._memberships: dict[int, int] = {}
        self._changed_services: set[int] = set()
        self._changed_data_centres: set[int] = set()

    @classmethod
    def from_records(cls, revision: int, records: Iterable[Record]) -> "Catalog":
        """Builds a catalog of records of the newest schemas.

        Args:
            revision: Revision of all records, above 0.
            records: Instances of the classes in `shallotshore.records`.
        """
        catalog = cls()
        entries = [Entry(key_of(record), revision, to_text(record)) for record in records]
        applied = catalog.apply(revision, entries)
        if applied.problems:
            raise ValueError(f"records are refused: {applied.problems}")
        return catalog

    def membership(self, service: int) -> int:
        """Returns the revision at which the service's set of upstreams last changed."""
        return self._memberships.get(service, 0)

    def route(self, vip: Address) -> Route | None:
        """Returns the service and customer of an address, or None."""
        return self._routes.get(address_key(vip))

    def upstreams_of(self, service: int) -> Sequence[int]:
        """Returns the ids of all upstream records of a service, sorted."""
        return self._members.get(service, ())

    def upstream(self, upstream: int) -> UpstreamView | None:
        """Returns an upstream, or None."""
        record = self._upstreams.get(upstream)
        if record is None:
            return None
        service_id = name_id("service", record.service)
        service = self._services.get(service_id, Service(record.service))
        cold_limit = service.cold_limit if record.cold_limit is None else record.cold_limit
        warmup = service.warmup_ms if record.warmup_ms is None else record.warmup_ms
        return UpstreamView(
            upstream,
            service_id,
            name_id("data_centre", record.data_centre),
            record.address,
            record.state == "leaving",
            record.slots,
            record.connections,
            cold_limit,
            warmup,
            tuple(name_id("customer", name) for name in record.customers),
        )

    def takes_new_work(self, upstream: int) -> bool:
        """Whether the upstream is known, not leaving, and its data centre is in service."""
        record = self._upstreams.get(upstream)
        if record is None or record.state == "leaving":
            return False
        return self.data_centre_in(name_id("data_centre", record.data_centre))

    def data_centre_in(self, data_centre: int) -> bool:
        """Whether the data centre is known and in service."""
        record = self._data_centres.get(data_centre)
        return record is not None and record.state == "in"

    def share(self, customer: int) -> int:
        """Returns the customer's share of slots; 1 when the customer is unknown."""
        record = self._customers.get(customer)
        return 1 if record is None else record.share

    def name(self, any_id: int) -> str:
        """Returns the name behind an id, or the id in hexadecimal."""
        return self._names.get(any_id, f"{any_id:016x}")

    def apply(self, revision: int, entries: Iterable[Entry]) -> Applied:
        """Applies the entries that lead to a revision.

        Args:
            revision: The revision after the entries.
            entries: Changed keys; an empty text deletes a key.

        Returns:
            Whether the revision was accepted, and what it changed.
        """
        if revision <= self.revision:
            problem = Problem(Code.REVISION_NOT_RISING, "", "", f"{revision} <= {self.revision}")
            return Applied(False, (problem,), frozenset(), frozenset())
        problems: list[Problem] = []
        self._changed_services = set()
        self._changed_data_centres = set()
        for entry in entries:
            self._apply_entry(entry, problems)
        self.revision = revision
        return Applied(
            True,
            tuple(problems),
            frozenset(self._changed_services),
            frozenset(self._changed_data_centres),
        )

    def _apply_entry(self, entry: Entry, problems: list[Problem]) -> None:
        old = self._records.get(entry.key)
        if not entry.text:
            if old is not None:
                self._remove(old)
                del self._records[entry.key]
                self._note(old, entry.revision, removed=True)
            return
        read = read_record(entry.key, entry.text)
        if isinstance(read, Err):
            problems.extend(read.err_value)
            return
        new = read.ok_value
        if old is not None:
            self._remove(old)
            moved = isinstance(old, Upstream) and old.service != getattr(new, "service", "")
            if moved and isinstance(new, Upstream):
                self._note(old, entry.revision, removed=True)
                self._memberships[name_id("service", new.service)] = entry.revision
        elif isinstance(new, Upstream):
            self._memberships[name_id("service", new.service)] = entry.revision
        self._insert(new)
        self._records[entry.key] = new
        self._note(new, entry.revision, removed=False)

    @singledispatchmethod
    def _insert(self, record: Record) -> None:
        raise TypeError(type(record))

    @_insert.register
    def _(self, record: Service) -> None:
        service = name_id("service", record.name)
        self._names[service] = record.name
        self._services[service] = record

    @_insert.register
    def _(self, record: Upstream) -> None:
        upstream = name_id("upstream", record.name)
        self._names[upstream] = record.name
        self._upstreams[upstream] = record
        insort(self._members.setdefault(name_id("service", record.service), []), upstream)

    @_insert.register
    def _(self, record: DataCentre) -> None:
        data_centre = name_id("data_centre", record.name)
        self._names[data_centre] = record.name
        self._data_centres[data_centre] = record

    @_insert.register
    def _(self, record: Customer) -> None:
        customer = name_id("customer", record.name)
        self._names[customer] = record.name
        self._customers[customer] = record
        for binding in record.bindings:
            route = Route(name_id("service", binding.service), customer)
            self._routes[address_key(binding.address)] = route

    @singledispatchmethod
    def _remove(self, record: Record) -> None:
        raise TypeError(type(record))

    @_remove.register
    def _(self, record: Service) -> None:
        del self._services[name_id("service", record.name)]

    @_remove.register
    def _(self, record: Upstream) -> None:
        upstream = name_id("upstream", record.name)
        del self._upstreams[upstream]
        members = self._members[name_id("service", record.service)]
        del members[bisect_left(members, upstream)]

    @_remove.register
    def _(self, record: DataCentre) -> None:
        del self._data_centres[name_id("data_centre", record.name)]

    @_remove.register
    def _(self, record: Customer) -> None:
        del self._customers[name_id("customer", record.name)]
        for binding in record.bindings:
            self._routes.pop(address_key(binding.address), None)

    @singledispatchmethod
    def _note(self, record: Record, revision: int, removed: bool) -> None:
        raise TypeError(type(record))

    @_note.register
    def _(self, record: Service, revision: int, removed: bool) -> None:
        self._changed_services.add(name_id("service", record.name))

    @_note.register
    def _(self, record: Upstream, revision: int, removed: bool) -> None:
        service = name_id("service", record.service)
        self._changed_services.add(service)
        if removed:
            self._memberships[service] = revision

    @_note.register
    def _(self, record: DataCentre, revision: int, removed: bool) -> None:
        self._changed_data_centres.add(name_id("data_centre", record.name))

    @_note.register
    def _(self, record: Customer, revision: int, removed: bool) -> None:
        self._changed_services.update(name_id("service", b.service) for b in record.bindings)

"""Tables of services, addresses, upstreams, data centres and customers at a revision."""

__all__ = ["Catalog", "Route", "UpdateResult", "UpstreamView"]

from array import array
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Sequence
from functools import singledispatch

from result import Ok, Result

from shallotshore.addresses import AddressOwners, Route
from shallotshore.catalog_tables import (
    INHERITED_COLD_LIMIT,
    INHERITED_WARMUP_MS,
    CatalogStore,
    CustomerTable,
    DataCentreTable,
    ServiceTable,
    UpstreamView,
)
from shallotshore.codes import Code
from shallotshore.hashing import address_key, name_id
from shallotshore.messages import Address, Entry
from shallotshore.record_reader import Problem, read_record
from shallotshore.records import (
    Customer,
    DataCentre,
    Members,
    Record,
    Service,
    Upstream,
    encode_record,
    key_of_record,
)
from shallotshore.replica import Replica, Update, UpdateResult
from shallotshore.store import id_of_key, split_key
from shallotshore.tables import MISSING, Table
from shallotshore.texts import compress_text, decompress_text

MAX_RECORDS = 1 << 18
MAX_SERVICES = 1 << 16
MAX_DATA_CENTRES = 1 << 10
MAX_CUSTOMERS = 1 << 16

_MEMBERS_PREFIX = "members/"
_MEMBERS_TEXT = compress_text(b"{}")


class Catalog(Replica):
    """The configuration in force; services, upstreams etc. are identified by 64-bit ids.

    A record can name others that do not exist. An upstream whose data centre has no record takes no
    new work, and a service without a record has the default settings.
    """

    __slots__ = (
        "_addresses",
        "_customers",
        "_data_centres",
        "_new_members",
        "_new_memberships",
        "_services",
        "_update_count",
        "store",
    )

    store: CatalogStore

    def __init__(self, limit: int = MAX_RECORDS) -> None:
        """Creates an empty catalog.

        Args:
            limit: Maximum number of records of all kinds.
        """
        super().__init__(CatalogStore(limit))
        self._services = ServiceTable(MAX_SERVICES)
        self._data_centres = DataCentreTable(MAX_DATA_CENTRES)
        self._customers = CustomerTable(MAX_CUSTOMERS)
        self._addresses = AddressOwners()
        # Starts at 1, since a 0 in a row's `effective_at_update` means that the row's
        # `effective_revision` was never computed.
        self._update_count = 1
        # By service id: the service's set of upstreams, and the revision of that set, as they will
        # be after the update in progress.
        self._new_members: dict[int, array] = {}
        self._new_memberships: dict[int, int] = {}

    @classmethod
    def from_records(cls, revision: int, records: Iterable[Record]) -> "Catalog":
        """Builds a catalog from records of the newest schemas.

        Args:
            revision: Revision of all records, above 0.
            records: Instances of the classes in `shallotshore.records`.
        """
        catalog = cls()
        entries = [
            Entry(key_of_record(record), revision, encode_record(record)) for record in records
        ]
        result = catalog.apply_revision(revision, entries)
        if result.problems:
            raise ValueError(f"records were refused: {result.problems}")
        return catalog

    def membership(self, service: int) -> int:
        """Returns the revision at which the service's set of upstreams last changed.

        A change of the record of a data centre that holds one of these upstreams counts as well,
        since it changes which agents are witnesses of the service's claims.
        """
        row = self._services.row(service)
        if row == MISSING:
            return 0
        if self._services.effective_at_update[row] != self._update_count:
            self._services.effective_at_update[row] = self._update_count
            self._services.effective_revision[row] = self._compute_effective_revision(row)
        return self._services.effective_revision[row]

    def _compute_effective_revision(self, row: int) -> int:
        store = self.store
        members = self._services.members[row]
        data_centre_rows = {store.data_centre[store.row(upstream)] for upstream in members}
        changes = [
            self._data_centres.changed_revision[centre_row] for centre_row in data_centre_rows
        ]
        return max([self._services.membership_revision[row], *changes])

    def route(self, vip: Address) -> Route | None:
        """Returns the service and customer of an address, or None."""
        return self._addresses.get(address_key(vip))

    def services(self) -> Iterator[int]:
        """Iterates over the ids of all services that have a record or are named in any record."""
        return self._services.keys()

    def upstreams_of(self, service: int) -> Sequence[int]:
        """Returns the sorted ids of a service's upstreams; callers must not modify the result."""
        row = self._services.row(service)
        return () if row == MISSING else self._services.members[row]

    def upstream(self, upstream: int) -> UpstreamView | None:
        """Returns a view of an upstream, or None when it has no record."""
        store = self.store
        row = store.row(upstream)
        if row == MISSING or not store.slots[row]:
            return None
        service = store.service[row]
        cold_limit, warmup = store.cold_limit[row], store.warmup[row]
        if cold_limit == INHERITED_COLD_LIMIT:
            cold_limit = self._services.cold_limit[service]
        if warmup == INHERITED_WARMUP_MS:
            warmup = self._services.warmup[service]
        return UpstreamView(
            upstream,
            self._services.key[service],
            self._data_centres.key[store.data_centre[row]],
            store.address(row),
            store.is_leaving(row),
            store.slots[row],
            store.connections[row],
            cold_limit,
            warmup,
            store.customers(row),
        )

    def takes_new_work(self, upstream: int) -> bool:
        """Whether the upstream is known, not leaving, and its data centre is in service."""
        store = self.store
        row = store.row(upstream)
        if row == MISSING or not store.slots[row] or store.is_leaving(row):
            return False
        return bool(self._data_centres.is_in[store.data_centre[row]])

    def is_data_centre_in_service(self, data_centre: int) -> bool:
        """Whether the data centre is known and in service."""
        row = self._data_centres.row(data_centre)
        return row != MISSING and bool(self._data_centres.is_in[row])

    def queue_factor(self, service: int) -> int:
        """Returns how many requests may wait per slot of an upstream of the service."""
        row = self._services.row(service)
        return Service("").queue_factor if row == MISSING else self._services.queue_factor[row]

    def share(self, customer: int) -> int:
        """Returns the customer's share of slots; 1 when the customer is unknown."""
        row = self._customers.row(customer)
        return 1 if row == MISSING else self._customers.share[row]

    def name(self, any_id: int) -> str:
        """Returns the name for an id, or the id in hexadecimal if no record has the id."""
        row = self.store.row(any_id)
        return f"{any_id:016x}" if row == MISSING else self.store.name(row)

    # The slice of a service consists of the records of the service, of its upstreams, of its
    # customers and of all data centres.

    def ids_in_slice(self, scope: int) -> Iterable[int]:
        """Returns the ids of the keys in a service's slice; scope is a service id, or 0 for all."""
        if not scope:
            return self._all_ids()
        row = self._services.row(scope)
        if row == MISSING:
            return list(self._data_centres.keys())
        members = name_id("members", self._services.name[row])
        customers = self._services.customers[row]
        upstreams = self._services.members[row]
        return [*self._data_centres.keys(), scope, members, *upstreams, *customers]

    def _all_ids(self) -> Iterator[int]:
        yield from self.store.all_ids()
        yield from [key for key in self.store.refused if key not in self.store]

    def scope_of_deleted(self, key_id: int) -> int:
        """Returns the service of an upstream that is about to be deleted; 0 for other keys."""
        row = self.store.row(key_id)
        if row == MISSING or not self.store.slots[row]:
            return 0
        return self._services.key[self.store.service[row]]

    # `Replica` and its updates call the methods from here on.

    def read(self, key: str, text: bytes, relayed: bool) -> Result[Record, list[Problem]]:
        """Decodes a record.

        A `Members` record marks the revision of a service's last membership change. Processes make
        these records and operators do not publish them, so they are valid only when another process
        relayed them.
        """
        if relayed and key.startswith(_MEMBERS_PREFIX):
            return Ok(Members(key.removeprefix(_MEMBERS_PREFIX)))
        return read_record(key, text)

    def has_room(self, record: object) -> bool:
        """Whether the tables have room for the rows that a record adds."""
        return all(len(table) + new <= table.limit for table, new in _count_new_rows(record, self))

    def depends_on_revision(self, key: str) -> bool:
        """Whether a record's revision determines the membership revision of services."""
        return split_key(key)[0] in ("data_centre", "members")

    def may_conflict(self, record: object) -> bool:
        """Whether a record claims addresses, which may already belong to another customer."""
        return isinstance(record, Customer)

    def find_conflict(self, record: object) -> Problem | None:
        """Returns a problem if an address of the customer belongs to another one, else None."""
        if not isinstance(record, Customer):
            return None
        customer = name_id("customer", record.name)
        for binding in record.bindings:
            route = self._addresses.get(address_key(binding.address))
            if route is not None and route.customer != customer:
                host, port = binding.address
                detail = f"{host}:{port} belongs to {self.name(route.customer)}"
                return Problem(Code.RECORD_DUPLICATE, key_of_record(record), "bindings", detail)
        return None

    def write_columns(self, row: int, record: object, update: Update) -> None:
        """Writes a record to the columns of its row, which still hold the previous version."""
        _write_record_columns(record, self, row, update)

    def clear_columns(self, row: int, revision: int, update: Update) -> None:
        """Clears the columns of a record; the caller removes the row next."""
        text = decompress_text(self.store.text(row))
        record = self.read(self.store.record_key(row), text, True).unwrap()
        _clear_record_columns(record, self, row, revision, update)

    def prepare_commit(self, update: Update) -> Iterator[None]:
        """Stores the membership revisions that this process computed, so that it relays them."""
        if update.relayed:
            return
        for service, revision in self._new_memberships.items():
            name = self._services.name[self._services.row(service)]
            entry = Entry(_MEMBERS_PREFIX + name, revision, _MEMBERS_TEXT)
            self.store.write_entry(id_of_key(entry.key), entry)
            yield

    def publish_changes(self, update: Update) -> None:
        """Chooses address owners, and puts new sets of upstreams and their revisions in force."""
        revisions = self.store.record_revision
        self._addresses.resolve_owners(
            lambda customer: (revisions[self.store.row(customer)], customer)
        )
        services = self._services
        for service, members in self._new_members.items():
            services.members[services.row(service)] = members
        for service, revision in self._new_memberships.items():
            row = services.row(service)
            services.membership_revision[row] = max(services.membership_revision[row], revision)
        self._new_members.clear()
        self._new_memberships.clear()
        self._update_count += 1

    def _service_row(self, name: str) -> int:
        service = name_id("service", name)
        row = self._services.row(service)
        if row == MISSING:
            row = self._services.add(service)
            defaults = Service(name)
            self._services.name[row] = name
            self._services.cold_limit[row] = defaults.cold_limit
            self._services.warmup[row] = defaults.warmup_ms
            self._services.queue_factor[row] = defaults.queue_factor
        return row

    def _is_new_service(self, name: str) -> bool:
        return name_id("service", name) not in self._services

    def _data_centre_row(self, name: str) -> int:
        return self._data_centres.add(name_id("data_centre", name))

    def _editable_members(self, service_row: int) -> array:
        service = self._services.key[service_row]
        if service not in self._new_members:
            self._new_members[service] = self._services.members[service_row][:]
        return self._new_members[service]

    def _remove_member(self, row: int, revision: int, update: Update) -> None:
        service_row = self.store.service[row]
        members = self._editable_members(service_row)
        del members[bisect_left(members, self.store.key[row])]
        self._record_membership_change(service_row, revision, update)
        self.changed_services.add(self._services.key[service_row])

    def _record_membership_change(self, service_row: int, revision: int, update: Update) -> None:
        if not update.relayed:
            service = self._services.key[service_row]
            self._new_memberships[service] = max(self._new_memberships.get(service, 0), revision)

    def _remove_bindings(self, customer: int) -> None:
        customer_id = self._customers.key[customer]
        for address, service in self._customers.bindings[customer]:
            self._addresses.unbind(address, customer_id)
            row = self._services.row(service)
            customer_ids = set(self._services.customers[row]) - {customer_id}
            self._services.customers[row] = tuple(customer_ids)
            self.changed_services.add(service)
        self._customers.bindings[customer] = ()


@singledispatch
def _write_record_columns(record: object, catalog: Catalog, row: int, update: Update) -> None:
    raise TypeError(f"no columns for a record of type {type(record).__name__}")


@_write_record_columns.register
def _(record: Service, catalog: Catalog, row: int, update: Update) -> None:
    services = catalog._services
    service = catalog._service_row(record.name)
    services.is_defined[service] = 1
    services.cold_limit[service] = record.cold_limit
    services.warmup[service] = record.warmup_ms
    services.queue_factor[service] = record.queue_factor
    catalog.changed_services.add(services.key[service])


@_write_record_columns.register
def _(record: Upstream, catalog: Catalog, row: int, update: Update) -> None:
    store = catalog.store
    is_new = not store.slots[row]
    service = catalog._service_row(record.service)
    data_centre = catalog._data_centre_row(record.data_centre)
    if not is_new:
        catalog._data_centres.upstream_count[store.data_centre[row]] -= 1
    if not is_new and store.service[row] != service:
        catalog._remove_member(row, store.record_revision[row], update)
        is_new = True
    if is_new:
        insort(catalog._editable_members(service), store.key[row])
        catalog._record_membership_change(service, store.record_revision[row], update)
    store.service[row] = service
    store.data_centre[row] = data_centre
    catalog._data_centres.upstream_count[data_centre] += 1
    customers = tuple(name_id("customer", name) for name in record.customers)
    store.set_upstream(row, record, customers)
    catalog.changed_services.add(catalog._services.key[service])


@_write_record_columns.register
def _(record: DataCentre, catalog: Catalog, row: int, update: Update) -> None:
    data_centre = catalog._data_centre_row(record.name)
    catalog._data_centres.is_in[data_centre] = record.state == "in"
    catalog._data_centres.changed_revision[data_centre] = catalog.store.record_revision[row]
    catalog.changed_data_centres.add(catalog._data_centres.key[data_centre])


@_write_record_columns.register
def _(record: Customer, catalog: Catalog, row: int, update: Update) -> None:
    customer = catalog._customers.add(catalog.store.key[row])
    catalog._remove_bindings(customer)
    bindings = []
    for binding in record.bindings:
        service = catalog._service_row(binding.service)
        service_id = catalog._services.key[service]
        bindings.append((address_key(binding.address), service_id))
        catalog._addresses.bind(bindings[-1][0], Route(service_id, catalog.store.key[row]))
        customer_ids = set(catalog._services.customers[service]) | {catalog.store.key[row]}
        catalog._services.customers[service] = tuple(sorted(customer_ids))
        catalog.changed_services.add(service_id)
    catalog._customers.share[customer] = record.share
    catalog._customers.bindings[customer] = tuple(bindings)


@_write_record_columns.register
def _(record: Members, catalog: Catalog, row: int, update: Update) -> None:
    service = catalog._services.key[catalog._service_row(record.name)]
    catalog._new_memberships[service] = catalog.store.record_revision[row]


@singledispatch
def _clear_record_columns(
    record: object, catalog: Catalog, row: int, revision: int, update: Update
) -> None:
    raise TypeError(f"no columns for a record of type {type(record).__name__}")


@_clear_record_columns.register
def _(record: Service, catalog: Catalog, row: int, revision: int, update: Update) -> None:
    _write_record_columns(Service(record.name), catalog, row, update)
    catalog._services.is_defined[catalog._service_row(record.name)] = 0


@_clear_record_columns.register
def _(record: Upstream, catalog: Catalog, row: int, revision: int, update: Update) -> None:
    catalog._remove_member(row, revision, update)
    catalog._data_centres.upstream_count[catalog.store.data_centre[row]] -= 1
    catalog.store.clear_upstream(row)


@_clear_record_columns.register
def _(record: DataCentre, catalog: Catalog, row: int, revision: int, update: Update) -> None:
    data_centre = catalog._data_centre_row(record.name)
    catalog._data_centres.is_in[data_centre] = 0
    catalog._data_centres.changed_revision[data_centre] = 0
    catalog.changed_data_centres.add(catalog._data_centres.key[data_centre])
    if not catalog._data_centres.upstream_count[data_centre]:
        return
    for upstream in catalog.store.rows():
        if catalog.store.slots[upstream] and catalog.store.data_centre[upstream] == data_centre:
            catalog._record_membership_change(catalog.store.service[upstream], revision, update)


@_clear_record_columns.register
def _(record: Customer, catalog: Catalog, row: int, revision: int, update: Update) -> None:
    catalog._remove_bindings(catalog._customers.row(catalog.store.key[row]))
    catalog._customers.remove(catalog.store.key[row])


@_clear_record_columns.register
def _(record: Members, catalog: Catalog, row: int, revision: int, update: Update) -> None:
    """Does nothing: the service keeps its membership revision, which never decreases."""


@singledispatch
def _count_new_rows(record: object, catalog: Catalog) -> list[tuple[Table, int]]:
    """Returns how many rows a record adds to each table."""
    return []


@_count_new_rows.register
def _(record: Service | Members, catalog: Catalog) -> list[tuple[Table, int]]:
    return [(catalog._services, catalog._is_new_service(record.name))]


@_count_new_rows.register
def _(record: Upstream, catalog: Catalog) -> list[tuple[Table, int]]:
    data_centre_id = name_id("data_centre", record.data_centre)
    return [
        (catalog._services, catalog._is_new_service(record.service)),
        (catalog._data_centres, data_centre_id not in catalog._data_centres),
    ]


@_count_new_rows.register
def _(record: DataCentre, catalog: Catalog) -> list[tuple[Table, int]]:
    data_centre_id = name_id("data_centre", record.name)
    return [(catalog._data_centres, data_centre_id not in catalog._data_centres)]


@_count_new_rows.register
def _(record: Customer, catalog: Catalog) -> list[tuple[Table, int]]:
    customer = name_id("customer", record.name)
    names = {binding.service for binding in record.bindings}
    return [
        (catalog._services, sum(catalog._is_new_service(name) for name in names)),
        (catalog._customers, customer not in catalog._customers),
    ]

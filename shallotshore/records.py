"""Records that operators publish: classes of every schema version, and their upgrade.

A record written under any schema is upgraded step by step to the newest class of its kind, so that
the rest of the program handles the newest classes only: `Service`, `Upstream`, `DataCentre` and
`Customer`.
"""

__all__ = [
    "SCHEMAS",
    "Binding",
    "Customer",
    "CustomerV1",
    "CustomerV2",
    "DataCentre",
    "DataCentreV1",
    "DataCentreV2",
    "Members",
    "Record",
    "Schema",
    "Service",
    "ServiceV1",
    "ServiceV2",
    "Upstream",
    "UpstreamV1",
    "UpstreamV2",
    "build_schema",
    "encode_record",
    "key_of_record",
    "upgrade_record",
]

from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields
from functools import singledispatch
from typing import Annotated, Any, NamedTuple, get_type_hints

import msgspec

from shallotshore.field_rules import (
    AddressRule,
    Binding,
    BindingListRule,
    BindingMapRule,
    BooleanRule,
    ChoiceRule,
    HostPortRule,
    IntegerRule,
    NameListRule,
    NameRule,
    Problems,
    Rule,
    SecondsRule,
    find_field_reader,
    split_host_port,
)
from shallotshore.messages import Address

NEWEST_SCHEMA = 3

_MAX_WARMUP_MS = 3_600_000

Name = Annotated[str, NameRule()]
Slots = Annotated[int, IntegerRule(1, 10_000)]
Connections = Annotated[int, IntegerRule(0, 10_000_000)]
ColdLimit = Annotated[int, IntegerRule(1, 10_000)]
OptionalColdLimit = Annotated[int | None, IntegerRule(1, 10_000)]
WarmupSeconds = Annotated[float, SecondsRule(_MAX_WARMUP_MS // 1000)]
WarmupMs = Annotated[int, IntegerRule(0, _MAX_WARMUP_MS)]
OptionalWarmupMs = Annotated[int | None, IntegerRule(0, _MAX_WARMUP_MS)]
QueueFactor = Annotated[int, IntegerRule(0, 100)]
Boolean = Annotated[bool, BooleanRule()]
UpstreamState = Annotated[str, ChoiceRule(("active", "leaving"))]
DataCentreState = Annotated[str, ChoiceRule(("in", "out"))]


class Record:
    """Base of all records."""

    __slots__ = ()


# Services.


@dataclass(slots=True)
class ServiceV1(Record):
    """A service in schema 1: `slow_start` is in seconds, and the queue is either on or off."""

    name: Name
    initial: ColdLimit = 1
    slow_start: WarmupSeconds = 1.0
    queue: Annotated[str, ChoiceRule(("on", "off"))] = "on"


@dataclass(slots=True)
class ServiceV2(Record):
    """A service in schema 2: the warm-up is in milliseconds, and the queue size is per slot."""

    name: Name
    initial: ColdLimit = 1
    warmup_ms: WarmupMs = 1000
    queue_factor: QueueFactor = 2


@dataclass(slots=True)
class Service(Record):
    """A service, and the cold-start settings of its upstreams that set none themselves.

    Attributes:
        name: Name of the service.
        cold_limit: Concurrent requests allowed on an upstream that has just started.
        warmup_ms: Time until one further slot opens, in milliseconds.
        queue_factor: Maximum number of queued requests per slot.
    """

    name: Name
    cold_limit: ColdLimit = 1
    warmup_ms: WarmupMs = 1000
    queue_factor: QueueFactor = 2


# Upstreams.


@dataclass(slots=True)
class UpstreamV1(Record):
    """An upstream in schema 1: address in one string, warm-up in seconds, a drain flag."""

    name: Name
    service: Name
    zone: Name
    address: Annotated[str, HostPortRule()]
    slots: Slots = 1
    drain: Boolean = False
    warmup: WarmupSeconds = 1.0


@dataclass(slots=True)
class UpstreamV2(Record):
    """An upstream in schema 2: separate host and port, a limit of flows, still a drain flag."""

    name: Name
    service: Name
    data_centre: Name
    address: Annotated[Address, AddressRule()]
    slots: Slots = 1
    connections: Connections = 2000
    cold_limit: OptionalColdLimit = None
    warmup: WarmupSeconds = 1.0
    drain: Boolean = False


@dataclass(slots=True)
class Upstream(Record):
    """An upstream and the limits of its server.

    Attributes:
        name: Name of the upstream.
        service: Name of its service.
        data_centre: Name of its data centre.
        address: Address of its agent.
        state: "active" or "leaving".
        slots: Maximum number of concurrent requests when the upstream is warm.
        connections: Maximum number of open flows.
        cold_limit: As in `Service`; None means the service's value.
        warmup_ms: As in `Service`; None means the service's value.
        customers: Names of the customers that the upstream serves; empty means all.
    """

    name: Name
    service: Name
    data_centre: Name
    address: Annotated[Address, AddressRule()]
    state: UpstreamState = "active"
    slots: Slots = 1
    connections: Connections = 2000
    cold_limit: OptionalColdLimit = None
    warmup_ms: OptionalWarmupMs = None
    customers: Annotated[tuple[str, ...], NameListRule()] = ()


# Data centres.


@dataclass(slots=True)
class DataCentreV1(Record):
    """A data centre in schema 1: region and area in one string, an `enabled` flag."""

    name: Name
    location: Name
    enabled: Boolean = True


@dataclass(slots=True)
class DataCentreV2(Record):
    """A data centre in schema 2: the region in its own field, still an `enabled` flag."""

    name: Name
    region: Name
    enabled: Boolean = True


@dataclass(slots=True)
class DataCentre(Record):
    """A data centre; `state` is "in" (in service) or "out"."""

    name: Name
    region: Name
    state: DataCentreState = "in"


# Customers.


@dataclass(slots=True)
class CustomerV1(Record):
    """A customer in schema 1: a tier, and for each service one address in a string."""

    name: Name
    tier: Annotated[str, ChoiceRule(("low", "normal", "high"))] = "normal"
    addresses: Annotated[tuple[tuple[str, str], ...], BindingMapRule()] = ()


@dataclass(slots=True)
class CustomerV2(Record):
    """A customer in schema 2: a weight in percent, any number of addresses in strings."""

    name: Name
    weight_percent: Annotated[int, IntegerRule(1, 1_000_000)] = 100
    bindings: Annotated[tuple[tuple[str, str], ...], BindingListRule(HostPortRule())] = ()


@dataclass(slots=True)
class Customer(Record):
    """A customer, its share of the slots and the addresses at which it reaches services."""

    name: Name
    share: Annotated[int, IntegerRule(1, 10_000)] = 1
    bindings: Annotated[tuple[Binding, ...], BindingListRule()] = ()


@dataclass(slots=True)
class Members(Record):
    """Marks the revision at which a service's set of upstreams last changed.

    Operators do not publish this record: the processes of this system derive it and relay it to
    each other. The marked revision is the revision of the record itself.
    """

    name: str


@singledispatch
def upgrade_record(record: Record) -> Record:
    """Returns a record in the next schema of its kind, or unchanged if its schema is the newest."""
    return record


@upgrade_record.register
def _(record: ServiceV1) -> ServiceV2:
    queue_factor = 2 if record.queue == "on" else 0
    return ServiceV2(record.name, record.initial, _to_milliseconds(record.slow_start), queue_factor)


@upgrade_record.register
def _(record: ServiceV2) -> Service:
    return Service(record.name, record.initial, record.warmup_ms, record.queue_factor)


@upgrade_record.register
def _(record: UpstreamV1) -> UpstreamV2:
    return UpstreamV2(
        record.name,
        record.service,
        record.zone,
        _parse_host_port(record.address),
        slots=record.slots,
        warmup=record.warmup,
        drain=record.drain,
    )


@upgrade_record.register
def _(record: UpstreamV2) -> Upstream:
    return Upstream(
        record.name,
        record.service,
        record.data_centre,
        record.address,
        "leaving" if record.drain else "active",
        record.slots,
        record.connections,
        record.cold_limit,
        _to_milliseconds(record.warmup),
    )


@upgrade_record.register
def _(record: DataCentreV1) -> DataCentreV2:
    # A location is "<region>.<area>"; the area is not used any more.
    return DataCentreV2(record.name, record.location.partition(".")[0], record.enabled)


@upgrade_record.register
def _(record: DataCentreV2) -> DataCentre:
    return DataCentre(record.name, record.region, "in" if record.enabled else "out")


@upgrade_record.register
def _(record: CustomerV1) -> CustomerV2:
    weight_percent = {"low": 50, "normal": 100, "high": 400}[record.tier]
    return CustomerV2(record.name, weight_percent, record.addresses)


@upgrade_record.register
def _(record: CustomerV2) -> Customer:
    bindings = tuple(
        Binding(service, _parse_host_port(address)) for service, address in record.bindings
    )
    return Customer(record.name, max(1, record.weight_percent // 100), bindings)


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _parse_host_port(text: str) -> Address:
    address = split_host_port(text)
    assert address is not None  # the record reader has validated the address
    return address


class Schema(NamedTuple):
    """How a record class is read: rule and reader of each field, and the optional fields."""

    record_class: type
    rules: dict[str, Rule]
    readers: dict[str, Callable[[Rule, str, object, Problems], Any]]
    optional: frozenset[str]


def build_schema(record_class: type) -> Schema:
    """Builds the schema of a record class from its annotations and defaults."""
    hints = get_type_hints(record_class, include_extras=True)
    rules = {field.name: hints[field.name].__metadata__[0] for field in fields(record_class)}
    readers = {name: find_field_reader(rule) for name, rule in rules.items()}
    optional = {field.name for field in fields(record_class) if field.default is not MISSING}
    return Schema(record_class, rules, readers, frozenset(optional))


_CLASSES_BY_KIND: dict[str, tuple[type, ...]] = {
    "service": (ServiceV1, ServiceV2, Service),
    "upstream": (UpstreamV1, UpstreamV2, Upstream),
    "data_centre": (DataCentreV1, DataCentreV2, DataCentre),
    "customer": (CustomerV1, CustomerV2, Customer),
}

SCHEMAS: dict[str, dict[int, Schema]] = {
    kind: {
        version: build_schema(record_class) for version, record_class in enumerate(classes, start=1)
    }
    for kind, classes in _CLASSES_BY_KIND.items()
}

_KINDS_AND_VERSIONS: dict[type, tuple[str, int]] = {
    record_class: (kind, version)
    for kind, classes in _CLASSES_BY_KIND.items()
    for version, record_class in enumerate(classes, start=1)
} | {Members: ("members", 1)}


def key_of_record(record: Any) -> str:
    """Returns the key of a record, such as "service/spotdesk"."""
    return f"{_KINDS_AND_VERSIONS[type(record)][0]}/{record.name}"


def encode_record(record: Record) -> bytes:
    """Returns the JSON text of a record, in the schema version of its class."""
    kind, version = _KINDS_AND_VERSIONS[type(record)]
    schema = SCHEMAS[kind][version]
    json_object: dict[str, object] = {"kind": kind, "schema": version}
    for name, rule in schema.rules.items():
        value = _to_json(rule, getattr(record, name))
        if value is not None and value != ():
            json_object[name] = value
    return msgspec.json.encode(json_object)


@singledispatch
def _to_json(rule: Rule, value: Any) -> object:
    return value


@_to_json.register
def _(rule: AddressRule, value: Address) -> object:
    return {"host": value[0], "port": value[1]}


@_to_json.register
def _(rule: BindingListRule, value: tuple[Any, ...]) -> object:
    return [
        {"service": service, "address": _to_json(rule.address, address)}
        for service, address in value
    ]


@_to_json.register
def _(rule: BindingMapRule, value: tuple[Any, ...]) -> object:
    return dict(value)

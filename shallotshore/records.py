"""Records that operators publish: newest schemas and their text."""

__all__ = [
    "Binding",
    "Customer",
    "DataCentre",
    "Members",
    "Record",
    "Service",
    "Upstream",
    "key_of",
    "to_text",
]

import json
from dataclasses import dataclass, fields
from functools import singledispatch
from typing import NamedTuple

from shallotshore.messages import Address

NEWEST_SCHEMA = 3


class Binding(NamedTuple):
    """A service that a customer reaches at an address (VIP)."""

    service: str
    address: Address


class Record:
    """Base of all records."""

    __slots__ = ()


@dataclass(slots=True)
class Service(Record):
    """A service; its cold start settings hold for upstreams that name none.

    Attributes:
        name: Name of the service.
        cold_limit: Concurrent requests of an upstream that has just started.
        warmup_ms: Time until one further slot opens, in milliseconds.
        queue_factor: Greatest number of queued requests per slot.
    """

    name: str
    cold_limit: int = 1
    warmup_ms: int = 1000
    queue_factor: int = 2


@dataclass(slots=True)
class Upstream(Record):
    """An upstream and the limits of its server.

    Attributes:
        name: Name of the upstream.
        service: Name of its service.
        data_centre: Name of its data centre.
        address: Address of its agent.
        state: "active" or "leaving".
        slots: Concurrent requests it serves when warm.
        connections: Open flows it takes.
        cold_limit: As in `Service`; None stands for the service's value.
        warmup_ms: As in `Service`; None stands for the service's value.
        customers: Names of the customers it serves; empty stands for all.
    """

    name: str
    service: str
    data_centre: str
    address: Address
    state: str = "active"
    slots: int = 1
    connections: int = 2000
    cold_limit: int | None = None
    warmup_ms: int | None = None
    customers: tuple[str, ...] = ()


@dataclass(slots=True)
class DataCentre(Record):
    """A data centre; `state` is "in" or "out"."""

    name: str
    region: str
    state: str = "in"


@dataclass(slots=True)
class Customer(Record):
    """A customer, its share of the slots and the addresses at which it reaches services."""

    name: str
    share: int = 1
    bindings: tuple[Binding, ...] = ()


@dataclass(slots=True)
class Members(Record):
    """Relayed between processes: its revision is the one at which a service's upstreams changed."""

    name: str


_KINDS: dict[type, str] = {
    Service: "service",
    Upstream: "upstream",
    DataCentre: "data_centre",
    Customer: "customer",
}


def key_of(record: Record) -> str:
    """Returns the key of a record, such as "service/spotdesk"."""
    return f"{_KINDS[type(record)]}/{record.name}"  # type: ignore[attr-defined]


@singledispatch
def _plain(value: object) -> object:
    return value


@_plain.register
def _(value: Record) -> object:
    plain: dict[str, object] = {"kind": _KINDS[type(value)], "schema": NEWEST_SCHEMA}
    for field in fields(value):  # type: ignore[arg-type]
        content = _plain(getattr(value, field.name))
        if content not in (None, []):
            plain[field.name] = content
    return plain


@_plain.register
def _(value: Binding) -> object:
    return {"service": value.service, "host": value.address[0], "port": value.address[1]}


@_plain.register
def _(value: tuple) -> object:
    return [_plain(item) for item in value]


def to_text(record: Record) -> bytes:
    """Returns the JSON text of a record in its newest schema."""
    plain = _plain(record)
    assert isinstance(plain, dict)
    address = plain.pop("address", None)
    if address is not None:
        plain["host"], plain["port"] = address
    return json.dumps(plain, separators=(",", ":")).encode()

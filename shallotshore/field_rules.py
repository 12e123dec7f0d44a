"""Rules for the fields of records, and functions that read a JSON value under each rule."""

__all__ = [
    "AddressRule",
    "Binding",
    "BindingListRule",
    "BindingMapRule",
    "BooleanRule",
    "ChoiceRule",
    "HostPortRule",
    "IntegerRule",
    "NameListRule",
    "NameRule",
    "Problem",
    "Rule",
    "SecondsRule",
    "find_field_reader",
    "read_field",
    "split_host_port",
]

import ipaddress
import re
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any, NamedTuple

from shallotshore.codes import Code
from shallotshore.messages import Address

MAX_NAME_CHARACTERS = 200
MAX_PORT = 65_535

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_IPV4 = re.compile(rf"{_OCTET}(\.{_OCTET}){{3}}")
_PORT = re.compile(r"[1-9][0-9]{0,4}")


class Problem(NamedTuple):
    """Why a record or a revision was refused, or what is suspicious about it."""

    code: Code
    key: str
    field: str
    detail: str


class Binding(NamedTuple):
    """An address (VIP) at which a customer reaches a service.

    In records of schemas 1 and 2 the address is one string.
    """

    service: str
    address: Address


class Problems:
    """Collects the problems found in one record."""

    __slots__ = ("_key", "found")

    def __init__(self, key: str) -> None:
        self._key = key
        self.found: list[Problem] = []

    def add(self, code: Code, path: str, detail: str) -> None:
        """Adds a problem with a field."""
        self.found.append(Problem(code, self._key, path, detail))

    def add_wrong_type(self, path: str, expected: str, value: object) -> None:
        """Adds the problem that a value has the wrong JSON type."""
        self.add(
            Code.RECORD_FIELD_TYPE, path, f"expected {expected}, got {_describe_json_type(value)}"
        )

    def add_unknown_fields(self, path: str, names: Collection[str]) -> None:
        """Adds a problem for each of the named fields, which the schema does not define."""
        for name in sorted(names):
            self.add(
                Code.RECORD_FIELD_UNKNOWN, f"{path}{name}", "the schema does not define this field"
            )


class Rule:
    """Base of all rules."""

    __slots__ = ()


@dataclass(slots=True, frozen=True)
class NameRule(Rule):
    """The name of a record: letters, digits, dots, hyphens and underscores."""


@dataclass(slots=True, frozen=True)
class IntegerRule(Rule):
    """A whole number between two bounds, both included."""

    low: int
    high: int


@dataclass(slots=True, frozen=True)
class SecondsRule(Rule):
    """A duration from 0 to `high` seconds, which may have a fraction."""

    high: int


@dataclass(slots=True, frozen=True)
class BooleanRule(Rule):
    """True or false."""


@dataclass(slots=True, frozen=True)
class ChoiceRule(Rule):
    """One of a fixed set of words."""

    choices: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class AddressRule(Rule):
    """An object with the fields `host` (an IP address) and `port`."""


@dataclass(slots=True, frozen=True)
class HostPortRule(Rule):
    """An address in one string: "10.0.0.1:7000", or "[fd00::1]:7000"."""


@dataclass(slots=True, frozen=True)
class NameListRule(Rule):
    """A list of names without duplicates."""


@dataclass(slots=True, frozen=True)
class BindingListRule(Rule):
    """A list of objects with the fields `service` and `address`.

    Attributes:
        address: Rule of the field `address`.
    """

    address: Rule = field(default_factory=AddressRule)


@dataclass(slots=True, frozen=True)
class BindingMapRule(Rule):
    """An object that maps each service to one address in a string."""


@singledispatch
def read_field(rule: Rule, path: str, value: object, problems: Problems) -> Any:
    """Reads a JSON value under a rule.

    Args:
        rule: The rule of the field.
        path: The field's path in the record, for problems.
        value: The decoded JSON value.
        problems: Receives every problem found.

    Returns:
        The value for the record; meaningless if a problem was found.
    """
    raise TypeError(f"no reader for a rule of type {type(rule).__name__}")


@read_field.register
def _(rule: NameRule, path: str, value: object, problems: Problems) -> str:
    if not isinstance(value, str):
        problems.add_wrong_type(path, "a string", value)
        return ""
    if len(value) > MAX_NAME_CHARACTERS or not _NAME.fullmatch(value):
        allowed = f"up to {MAX_NAME_CHARACTERS} letters, digits and . _ -"
        detail = f"{value[:MAX_NAME_CHARACTERS]!r} is not a name of {allowed}"
        problems.add(Code.RECORD_FIELD_VALUE, path, detail)
    return value


@read_field.register
def _(rule: IntegerRule, path: str, value: object, problems: Problems) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        problems.add_wrong_type(path, "a whole number", value)
        return rule.low
    if not rule.low <= value <= rule.high:
        detail = f"{value} is not between {rule.low} and {rule.high}"
        problems.add(Code.RECORD_FIELD_VALUE, path, detail)
    return value


@read_field.register
def _(rule: SecondsRule, path: str, value: object, problems: Problems) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        problems.add_wrong_type(path, "a number of seconds", value)
        return 0.0
    if not 0 <= value <= rule.high:
        detail = f"{value} is not between 0 and {rule.high}"
        problems.add(Code.RECORD_FIELD_VALUE, path, detail)
        return 0.0
    return float(value)


@read_field.register
def _(rule: BooleanRule, path: str, value: object, problems: Problems) -> bool:
    if not isinstance(value, bool):
        problems.add_wrong_type(path, "true or false", value)
    return value is True


@read_field.register
def _(rule: ChoiceRule, path: str, value: object, problems: Problems) -> str:
    if not isinstance(value, str):
        problems.add_wrong_type(path, "a string", value)
        return rule.choices[0]
    if value not in rule.choices:
        detail = f"{value[:MAX_NAME_CHARACTERS]!r} is not one of {', '.join(rule.choices)}"
        problems.add(Code.RECORD_FIELD_VALUE, path, detail)
    return value


@read_field.register
def _(rule: AddressRule, path: str, value: object, problems: Problems) -> Address:
    if not isinstance(value, dict):
        problems.add_wrong_type(path, "an object of host and port", value)
        return "", 0
    parts = _read_members(path, value, ("host", "port"), problems)
    host, port = parts.get("host", ""), parts.get("port", 1)
    if not isinstance(host, str):
        problems.add_wrong_type(f"{path}.host", "a string", host)
        return "", 0
    if "host" in parts and not _is_canonical_ip(host):
        problems.add(Code.RECORD_FIELD_VALUE, f"{path}.host", f"{host[:64]!r} is not an IP address")
    return host, read_field(IntegerRule(1, MAX_PORT), f"{path}.port", port, problems)


@read_field.register
def _(rule: HostPortRule, path: str, value: object, problems: Problems) -> str:
    if not isinstance(value, str):
        problems.add_wrong_type(path, "a string", value)
        return ""
    if split_host_port(value) is None:
        problems.add(Code.RECORD_FIELD_VALUE, path, f"{value[:64]!r} is not an IP address and port")
    return value


@read_field.register
def _(rule: NameListRule, path: str, value: object, problems: Problems) -> tuple[str, ...]:
    if not isinstance(value, list):
        problems.add_wrong_type(path, "a list", value)
        return ()
    names = []
    for index, item in enumerate(value):
        name = read_field(NameRule(), f"{path}[{index}]", item, problems)
        if name in names:
            problems.add(Code.RECORD_DUPLICATE, f"{path}[{index}]", f"{name} is named twice")
        names.append(name)
    return tuple(names)


@read_field.register
def _(rule: BindingListRule, path: str, value: object, problems: Problems) -> tuple[Binding, ...]:
    if not isinstance(value, list):
        problems.add_wrong_type(path, "a list", value)
        return ()
    bindings: list[Binding] = []
    for index, item in enumerate(value):
        item_path = f"{path}[{index}]"
        if not isinstance(item, dict):
            problems.add_wrong_type(item_path, "an object of service and address", item)
            continue
        parts = _read_members(item_path, item, ("service", "address"), problems)
        if len(parts) < 2:
            continue
        service = read_field(NameRule(), f"{item_path}.service", parts["service"], problems)
        address = read_field(rule.address, f"{item_path}.address", parts["address"], problems)
        if any(address == other.address for other in bindings):
            problems.add(Code.RECORD_DUPLICATE, f"{item_path}.address", "the address is used twice")
        bindings.append(Binding(service, address))
    return tuple(bindings)


@read_field.register
def _(rule: BindingMapRule, path: str, value: object, problems: Problems) -> tuple[Binding, ...]:
    if not isinstance(value, dict):
        problems.add_wrong_type(path, "an object from service to address", value)
        return ()
    items = [{"service": service, "address": address} for service, address in value.items()]
    return read_field(BindingListRule(HostPortRule()), path, items, problems)


def find_field_reader(rule: Rule) -> Callable[[Rule, str, object, Problems], Any]:
    """Returns the function that `read_field` dispatches to for a rule.

    Schemas store this function, since dispatching costs as much as reading a number.
    """
    return read_field.dispatch(type(rule))


def split_host_port(text: str) -> Address | None:
    """Returns host and port of an address in one string, or None when it is malformed."""
    host, separator, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        return None
    if not separator or not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        return None
    return (host, int(port)) if _is_canonical_ip(host) else None


def _read_members(
    path: str, value: dict[str, Any], names: tuple[str, ...], problems: Problems
) -> dict[str, Any]:
    for name in names:
        if name not in value:
            problems.add(Code.RECORD_FIELD_MISSING, f"{path}.{name}", "the field is required")
    problems.add_unknown_fields(f"{path}.", value.keys() - set(names))
    return {name: value[name] for name in names if name in value}


def _is_canonical_ip(host: str) -> bool:
    if _IPV4.fullmatch(host):
        return True  # a tenth of the time of `ipaddress`; runs for each record that is read
    try:
        # Accepts only the canonical form, so that equal addresses are equal strings.
        return str(ipaddress.ip_address(host)) == host
    except ValueError:
        return False


def _describe_json_type(value: object) -> str:
    names = {dict: "an object", list: "a list", str: "a string", bool: "true or false"}
    if value is None:
        return "null"
    return names.get(type(value), "a number")

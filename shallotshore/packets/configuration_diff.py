"""Describes what differs between the configuration in force and a new one."""

from __future__ import annotations

__all__ = ["describe_changes"]

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import fields
from functools import singledispatch

from shallotshore.packets.declared_configuration import (
    ConfigurationDeclaration,
    RouteDeclaration,
    ServiceDeclaration,
    ServiceShare,
)


def describe_changes(
    before: ConfigurationDeclaration,
    after: ConfigurationDeclaration,
    field_names: Mapping[str, str],
) -> list[str]:
    """Returns one line for each route and service that is added, removed or changed.

    Routes and services are matched by name, and routes without a name by address.

    Args:
        before: The configuration in force.
        after: The new configuration.
        field_names: Names to show for fields of the declarations; others are shown as they are.
    """
    lines = [
        *_describe_entries("Route", before.routes, after.routes, field_names),
        *_describe_entries("Service", before.services, after.services, field_names),
    ]
    changes = _describe_fields(before.limits, after.limits, field_names)
    if changes:
        lines.append(f"The limits change: {changes}.")
    return lines


def _describe_entries(
    title: str,
    before: Iterable[RouteDeclaration] | Iterable[ServiceDeclaration],
    after: Iterable[RouteDeclaration] | Iterable[ServiceDeclaration],
    field_names: Mapping[str, str],
) -> Iterator[str]:
    old, new = _index_entries(before), _index_entries(after)
    for key in sorted(old.keys() | new.keys()):
        name, occurrence = key
        label = f"{title} {name!r}" + (f" (number {occurrence})" if occurrence > 1 else "")
        if key not in old:
            yield f"{label} is added{_format_summary(new[key])}."
        elif key not in new:
            yield f"{label} is removed{_format_summary(old[key])}."
        elif changes := _describe_fields(old[key], new[key], field_names):
            yield f"{label} changes: {changes}."


def _index_entries(
    entries: Iterable[RouteDeclaration] | Iterable[ServiceDeclaration],
) -> dict[tuple[str, int], object]:
    """Returns entries by name and by their number among those of the same name."""
    counts: Counter[str] = Counter()
    indexed: dict[tuple[str, int], object] = {}
    for entry in entries:
        name = _identify(entry)
        counts[name] += 1
        indexed[name, counts[name]] = entry
    return indexed


@singledispatch
def _identify(entry: object) -> str:
    """Returns the name by which an entry is matched with that of another version."""
    raise TypeError(f"no name is known for {type(entry).__name__}")


@_identify.register
def _(entry: RouteDeclaration) -> str:
    return entry.name or f"{entry.host}:{entry.port}"


@_identify.register
def _(entry: ServiceDeclaration) -> str:
    return entry.name or ""


@singledispatch
def _format_summary(entry: object) -> str:
    return ""


@_format_summary.register
def _(entry: RouteDeclaration) -> str:
    return f" ({entry.host}:{entry.port} to {_format_value(entry.shares)})"


def _describe_fields(old: object, new: object, field_names: Mapping[str, str]) -> str:
    """Returns the changes of two records of the same class, or an empty text."""
    changes = []
    for field in fields(old):  # type: ignore[arg-type]
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.compare and before != after:
            name = field_names.get(field.name, field.name)
            changes.append(f"{name} from {_format_value(before)} to {_format_value(after)}")
    return "; ".join(changes)


@singledispatch
def _format_value(value: object) -> str:
    return "no value" if value is None else str(value)


@_format_value.register
def _(value: str) -> str:
    return repr(str(value))


@_format_value.register
def _(value: tuple) -> str:
    return ", ".join(_format_value(part) for part in value) or "no service"


@_format_value.register
def _(value: ServiceShare) -> str:
    return f"{value.service!r} with weight {value.weight}"

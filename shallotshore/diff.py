"""Describes what would change if one directory of records were published over another."""

__all__ = ["diff_directories"]

from collections.abc import Iterator, Mapping
from dataclasses import fields
from functools import singledispatch
from os import PathLike
from pathlib import Path
from typing import Any

from shallotshore.catalog import Catalog
from shallotshore.directories import FileProblem, read_directory
from shallotshore.hashing import name_id
from shallotshore.messages import Entry
from shallotshore.placement import BUCKET_BITS, Placement
from shallotshore.records import Binding, Record, Upstream, encode_record, key_of_record

_KIND_TITLES = {
    "service": "Service",
    "upstream": "Upstream",
    "data_centre": "Data centre",
    "customer": "Customer",
}
_BUCKET_COUNT = 1 << BUCKET_BITS
_BUCKET_SHIFT = 64 - BUCKET_BITS


def diff_directories(old: str | PathLike[str], new: str | PathLike[str]) -> str:
    """Compares two directories of records.

    Args:
        old: Directory of the records in force.
        new: Directory of the records to be published.

    Returns:
        One line for each change, then for each service the expected share of its flows for
        which another upstream would be tried first. Records with problems are listed at the start
        and left out of the comparison.
    """
    before, after = read_directory(Path(old)), read_directory(Path(new))
    lines = [
        *_describe_omitted("old", before.problems),
        *_describe_omitted("new", after.problems),
        *_describe_changes(before.records, after.records),
        *_describe_moved_flows(before.records, after.records),
    ]
    return "\n".join(lines or ["No changes."]) + "\n"


def _describe_omitted(side: str, problems: list[FileProblem]) -> Iterator[str]:
    for file in sorted({problem.file for problem in problems}):
        yield f"Left out of the {side} records because of problems: {file}"


def _describe_changes(before: Mapping[str, Record], after: Mapping[str, Record]) -> Iterator[str]:
    for key in sorted(before.keys() | after.keys()):
        kind, _, name = key.partition("/")
        title = f"{_KIND_TITLES[kind]} {name}"
        if key not in before:
            yield f"{title} is added{_format_location(after[key])}."
        elif key not in after:
            yield f"{title} is removed{_format_location(before[key])}."
        elif before[key] != after[key]:
            parts = "; ".join(_describe_field_changes(before[key], after[key]))
            yield f"{title} changes{_format_location(after[key])}: {parts}."


@singledispatch
def _format_location(record: Record) -> str:
    return ""


@_format_location.register
def _(record: Upstream) -> str:
    return f" (service {record.service}, data centre {record.data_centre})"


def _describe_field_changes(old: Any, new: Any) -> Iterator[str]:
    for field in fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name in ("bindings", "customers"):
            yield from _describe_list_change(field.name, before, after)
        else:
            yield f"{field.name} from {_format_value(before)} to {_format_value(after)}"


def _describe_list_change(
    name: str, before: tuple[Any, ...], after: tuple[Any, ...]
) -> Iterator[str]:
    for verb, items in (
        ("gain", [item for item in after if item not in before]),
        ("lose", [item for item in before if item not in after]),
    ):
        if items:
            yield f"{name} {verb} {', '.join(_format_value(item) for item in items)}"


@singledispatch
def _format_value(value: object) -> str:
    return "the service's value" if value is None else str(value)


@_format_value.register
def _(value: Binding) -> str:
    return f"{value.service} at {_format_value(value.address)}"


@_format_value.register
def _(value: tuple) -> str:
    return ":".join(str(part) for part in value)


def _describe_moved_flows(
    before: Mapping[str, Record], after: Mapping[str, Record]
) -> Iterator[str]:
    old, new = Placement(_build_catalog(before)), Placement(_build_catalog(after))
    for name in sorted(_service_names(before) | _service_names(after)):
        service = name_id("service", name)
        moved = sum(
            old.order(service, bucket << _BUCKET_SHIFT, 1)
            != new.order(service, bucket << _BUCKET_SHIFT, 1)
            for bucket in range(_BUCKET_COUNT)
        )
        if moved:
            share = 100 * moved / _BUCKET_COUNT
            yield f"Service {name}: {share:.1f}% of flows get another first candidate."


def _service_names(records: Mapping[str, Record]) -> set[str]:
    return {record.service for record in records.values() if isinstance(record, Upstream)}


def _build_catalog(records: Mapping[str, Record]) -> Catalog:
    catalog = Catalog()
    catalog.apply_revision(
        1, [Entry(key_of_record(record), 1, encode_record(record)) for record in records.values()]
    )
    return catalog

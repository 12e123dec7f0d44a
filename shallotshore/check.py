"""Checks a directory of records before it is published, and describes result codes."""

__all__ = ["CheckReport", "check_directory", "explain_code"]

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import singledispatch
from os import PathLike
from pathlib import Path

from shallotshore.codes import Code, describe, outcome_of
from shallotshore.directories import FileProblem, read_directory
from shallotshore.messages import Address
from shallotshore.records import Customer, Record, Upstream
from shallotshore.store import id_of_key

_LAST_REQUEST_FAMILY = 3


@dataclass(slots=True)
class CheckReport:
    """Result of the check of a directory of records.

    Attributes:
        record_count: Number of records that can be read.
        problems: All problems, sorted by file.
    """

    record_count: int
    problems: list[FileProblem]

    @property
    def code(self) -> Code:
        """The code of the first problem, or OK if there is none."""
        return self.problems[0].code if self.problems else Code.OK

    @property
    def text(self) -> str:
        """The report as text: one line for each problem, and a summary line."""
        lines = [problem.line() for problem in self.problems]
        count = len(self.problems)
        lines.append(
            f"{self.record_count} records read, {count} problem{'' if count == 1 else 's'}"
        )
        return "\n".join(lines) + "\n"


def check_directory(path: str | PathLike[str]) -> CheckReport:
    """Finds all problems in a directory of records.

    Args:
        path: Directory of files `<kind>/<name>.json`.
    """
    directory = read_directory(Path(path))
    problems = [
        *directory.problems,
        *_find_id_collisions(directory.records),
        *_find_shared_addresses(directory.records),
        *_find_unknown_references(directory.records),
    ]
    problems.sort(key=lambda problem: (problem.file, problem.field))
    return CheckReport(len(directory.records), problems)


def explain_code(code: int) -> str:
    """Returns a text on the meaning of a result code.

    Args:
        code: Number of the code, which need not be a known one.
    """
    try:
        known = Code(code)
    except ValueError:
        return f"{code} is not a result code of this version; see docs/result-codes.md\n"
    lines = [f"{known.value} {known.name}: {describe(known)}"]
    if known // 100 <= _LAST_REQUEST_FAMILY:
        lines.append(
            f"A request that ends with this code has the outcome {outcome_of(known).name}."
        )
    return "\n".join(lines) + "\n"


def _find_id_collisions(records: Mapping[str, Record]) -> Iterator[FileProblem]:
    owners: dict[int, str] = {}
    for key in records:
        owner = owners.setdefault(id_of_key(key), key)
        if owner != key:
            detail = f"has the same id as {owner}"
            yield FileProblem(Code.RECORD_ID_COLLISION, f"{key}.json", "name", detail)


def _find_shared_addresses(records: Mapping[str, Record]) -> Iterator[FileProblem]:
    owners: dict[tuple[str, Address], str] = {}
    for key, record in records.items():
        for field, use, address in _claimed_addresses(record):
            owner = owners.setdefault((use, address), key)
            if owner != key:
                detail = f"{address[0]}:{address[1]} belongs to {owner}"
                yield FileProblem(Code.RECORD_DUPLICATE, f"{key}.json", field, detail)


def _find_unknown_references(records: Mapping[str, Record]) -> Iterator[FileProblem]:
    for key, record in records.items():
        for field, reference in _references(record):
            if reference not in records:
                detail = f"there is no valid record {reference}"
                yield FileProblem(Code.RECORD_REFERENCE_UNKNOWN, f"{key}.json", field, detail)


@singledispatch
def _claimed_addresses(record: Record) -> list[tuple[str, str, Address]]:
    """Returns the addresses that a record claims, as (field, use of the address, address)."""
    return []


@_claimed_addresses.register
def _(record: Upstream) -> list[tuple[str, str, Address]]:
    return [("address", "agent", record.address)]


@_claimed_addresses.register
def _(record: Customer) -> list[tuple[str, str, Address]]:
    return [
        (f"bindings[{index}].address", "VIP", binding.address)
        for index, binding in enumerate(record.bindings)
    ]


@singledispatch
def _references(record: Record) -> list[tuple[str, str]]:
    """Returns the keys to which a record refers, as tuples (field, key)."""
    return []


@_references.register
def _(record: Upstream) -> list[tuple[str, str]]:
    customers = [
        (f"customers[{index}]", f"customer/{name}") for index, name in enumerate(record.customers)
    ]
    references = [
        ("service", f"service/{record.service}"),
        ("data_centre", f"data_centre/{record.data_centre}"),
    ]
    return [*references, *customers]


@_references.register
def _(record: Customer) -> list[tuple[str, str]]:
    return [
        (f"bindings[{index}].service", f"service/{binding.service}")
        for index, binding in enumerate(record.bindings)
    ]

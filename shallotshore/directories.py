"""Directories of records, with one JSON file per record at `<kind>/<name>.json`."""

__all__ = ["FileProblem", "RecordDirectory", "read_directory"]

from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from result import Err

from shallotshore.codes import Code
from shallotshore.record_reader import read_record
from shallotshore.records import Record

_SUFFIX = ".json"


class FileProblem(NamedTuple):
    """A problem in one file; `field` is empty if it concerns the whole file."""

    code: Code
    file: str
    field: str
    detail: str

    def line(self) -> str:
        """Returns the problem as one line of text."""
        location = f"{self.file}: {self.field}" if self.field else self.file
        return f"{location}: {self.code.value} {self.code.name}: {self.detail}"


@dataclass(slots=True)
class RecordDirectory:
    """The valid records of a directory by key, and the problems in its other files."""

    records: dict[str, Record] = field(default_factory=dict)
    problems: list[FileProblem] = field(default_factory=list)


def read_directory(path: Path) -> RecordDirectory:
    """Reads all record files of a directory.

    Args:
        path: The directory; files without the suffix .json are ignored.
    """
    directory = RecordDirectory()
    if not path.is_dir():
        problem = FileProblem(Code.RECORD_UNREADABLE, str(path), "", "is not a directory")
        directory.problems.append(problem)
        return directory
    for file in sorted(path.rglob(f"*{_SUFFIX}")):
        _read_file(file, file.relative_to(path).as_posix(), directory)
    return directory


def _read_file(file: Path, name: str, directory: RecordDirectory) -> None:
    key = name.removesuffix(_SUFFIX)
    try:
        text = file.read_bytes()
    except OSError as error:
        detail = error.strerror or str(error)
        directory.problems.append(FileProblem(Code.RECORD_UNREADABLE, name, "", detail))
        return
    read = read_record(key, text)
    if isinstance(read, Err):
        directory.problems += [FileProblem(p.code, name, p.field, p.detail) for p in read.err_value]
    else:
        directory.records[key] = read.ok_value

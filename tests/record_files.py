"""Directories of record files for tests."""

from pathlib import Path

from shallotshore.records import Record, encode_record, key_of_record


def write_records(root: Path, *records: Record) -> Path:
    """Writes records as files and returns the directory."""
    for record in records:
        write_text(root, key_of_record(record), encode_record(record))
    return root


def write_text(root: Path, key: str, text: bytes) -> None:
    """Writes the text of one record."""
    file = root / f"{key}.json"
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_bytes(text)

"""Reads the JSON text of records of any known schema and lists every problem found."""

__all__ = ["Problem", "read_object", "read_record"]

from typing import Any

import msgspec
from result import Err, Ok, Result

from shallotshore.codes import Code
from shallotshore.field_rules import Problem, Problems
from shallotshore.records import SCHEMAS, Record, Schema, upgrade_record
from shallotshore.texts import MAX_TEXT_BYTES


def read_record(key: str, text: bytes) -> Result[Record, list[Problem]]:
    """Reads a published record and upgrades it to the newest schema of its kind.

    Args:
        key: The record's key, such as "service/spotdesk".
        text: JSON text.

    Returns:
        The record, or every problem found in it.
    """
    problems = Problems(key)
    json_object = _decode_object(text, problems)
    if json_object is None:
        return Err(problems.found)
    schema = _find_schema(json_object, problems)
    if schema is None:
        return Err(problems.found)
    kind, _, name = key.partition("/")
    if json_object.pop("kind") != kind:
        problems.add(Code.RECORD_FIELD_VALUE, "kind", f"differs from {kind!r} in the key")
    del json_object["schema"]
    record = _build_record(json_object, schema, name, problems)
    if record is None:
        return Err(problems.found)
    return Ok(_upgrade_to_newest(record))


def read_object(key: str, text: bytes, schema: Schema) -> Result[Any, list[Problem]]:
    """Reads a JSON object whose format another system defines, such as an entry of the VM list.

    Fields that the schema does not name are ignored.

    Args:
        key: The object's key; the part after the slash is its name.
        text: JSON text.
        schema: Fields of the object.

    Returns:
        An instance of the schema's class, or every problem found.
    """
    problems = Problems(key)
    json_object = _decode_object(text, problems)
    if json_object is None:
        return Err(problems.found)
    known_fields = {field: json_object[field] for field in schema.rules if field in json_object}
    built = _build_record(known_fields, schema, key.partition("/")[2], problems)
    return Err(problems.found) if built is None else Ok(built)


def _decode_object(text: bytes, problems: Problems) -> dict[str, Any] | None:
    if len(text) > MAX_TEXT_BYTES:
        problems.add(Code.RECORD_TOO_LARGE, "", f"{len(text)} bytes, limit {MAX_TEXT_BYTES}")
        return None
    try:
        json_object = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        problems.add(Code.RECORD_NOT_JSON, "", str(error))
        return None
    if not isinstance(json_object, dict):
        problems.add(Code.RECORD_NOT_OBJECT, "", "the text is not a JSON object")
        return None
    return json_object


def _find_schema(json_object: dict[str, Any], problems: Problems) -> Schema | None:
    for name in ("kind", "schema"):
        if name not in json_object:
            problems.add(Code.RECORD_FIELD_MISSING, name, "the field is required")
    if problems.found:
        return None
    kind, version = json_object["kind"], json_object["schema"]
    if not isinstance(kind, str) or kind not in SCHEMAS:
        problems.add(Code.RECORD_KIND_UNKNOWN, "kind", f"is not one of {', '.join(SCHEMAS)}")
        return None
    if not isinstance(version, int) or isinstance(version, bool):
        problems.add_wrong_type("schema", "a whole number", version)
        return None
    if version not in SCHEMAS[kind]:
        detail = f"this program supports versions 1 to {max(SCHEMAS[kind])} of {kind}"
        problems.add(Code.RECORD_VERSION_UNKNOWN, "schema", detail)
        return None
    return SCHEMAS[kind][version]


def _build_record(
    json_object: dict[str, Any], schema: Schema, name: str, problems: Problems
) -> Any:
    values = {}
    for field, rule in schema.rules.items():
        if field in json_object:
            values[field] = schema.readers[field](rule, field, json_object[field], problems)
        elif field not in schema.optional:
            problems.add(Code.RECORD_FIELD_MISSING, field, "the field is required")
    problems.add_unknown_fields("", json_object.keys() - schema.rules.keys())
    if "name" in json_object and json_object["name"] != name:
        problems.add(Code.RECORD_FIELD_VALUE, "name", f"differs from {name!r} in the key")
    return None if problems.found else schema.record_class(**values)


def _upgrade_to_newest(record: Record) -> Record:
    while (upgraded := upgrade_record(record)) is not record:
        record = upgraded
    return record

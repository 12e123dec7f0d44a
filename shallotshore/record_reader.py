"""Reads the JSON text of records."""

__all__ = ["Problem", "read_record"]

import json
from typing import Any, NamedTuple

from result import Err, Ok, Result

from shallotshore.codes import Code
from shallotshore.records import Binding, Customer, DataCentre, Record, Service, Upstream


class Problem(NamedTuple):
    """Why a record was refused."""

    code: Code
    key: str
    field: str
    detail: str


_CLASSES: dict[str, type] = {
    "service": Service,
    "upstream": Upstream,
    "data_centre": DataCentre,
    "customer": Customer,
}


def read_record(key: str, text: bytes) -> Result[Record, list[Problem]]:
    """Reads a record's text.

    Args:
        key: The record's key.
        text: JSON text.

    Returns:
        The record, or every problem found in it.
    """
    try:
        plain: dict[str, Any] = json.loads(text)
        record_class = _CLASSES[plain.pop("kind")]
        plain.pop("schema")
        if "host" in plain:
            plain["address"] = (plain.pop("host"), plain.pop("port"))
        if "bindings" in plain:
            plain["bindings"] = tuple(
                Binding(item["service"], (item["host"], item["port"])) for item in plain["bindings"]
            )
        if "customers" in plain:
            plain["customers"] = tuple(plain["customers"])
        return Ok(record_class(**plain))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err([Problem(Code.RECORD_NOT_JSON, key, "", str(error))])

"""Types of the fields of messages, with the limits within which every table can hold them."""

__all__ = [
    "Count",
    "Decimal",
    "DurationMs",
    "Hops",
    "Host",
    "HostText",
    "Id",
    "Name",
    "Port",
    "Revision",
    "Slots",
]

from typing import Annotated

from msgspec import Meta

Id = Annotated[int, Meta(ge=0)]  # of 64 bits, as msgpack has no larger integers
Host = Annotated[int, Meta(ge=0, le=(1 << 32) - 1)]  # an IP address
# Without leading zeros, which would mean octal numbers.
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_FIRST_OCTET = r"(22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)"  # of a unicast address
HostText = Annotated[str, Meta(pattern=rf"^{_FIRST_OCTET}(\.{_OCTET}){{3}}\Z")]
Name = Annotated[str, Meta(min_length=1, max_length=200)]  # a key of the store has 200 bytes
Port = Annotated[int, Meta(ge=1, le=(1 << 16) - 1)]
Count = Annotated[int, Meta(ge=0, le=(1 << 31) - 1)]
Decimal = Annotated[float, Meta(ge=0, le=1e9)]  # also of a column of single precision
DurationMs = Annotated[int, Meta(ge=0, le=(1 << 31) - 1)]
Revision = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Hops = Annotated[int, Meta(ge=0, le=255)]
Slots = Annotated[int, Meta(ge=0, le=(1 << 16) - 1)]

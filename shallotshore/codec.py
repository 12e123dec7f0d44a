"""Encodes and decodes messages: one byte for the kind, then a msgpack array of the fields.

Fields with a default may be absent at the end of the array, and are left out while they have their
default. A message type with such fields also ignores fields that a later release appends.
"""

__all__ = [
    "MAX_MESSAGE_BYTES",
    "WIRE_ADDRESS_TYPE",
    "Transport",
    "decode",
    "encode",
    "transport_of",
    "transport_of_bytes",
]

import typing
from collections.abc import Callable
from dataclasses import MISSING, fields
from enum import IntEnum
from functools import singledispatch
from operator import attrgetter
from typing import Annotated, Any, NamedTuple, get_args, get_origin

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from shallotshore import (
    agent_messages,
    caller_messages,
    claim_messages,
    control_messages,
    upstream_messages,
)
from shallotshore.codes import Code
from shallotshore.messages import Address, Message

# Large enough for one value of the configuration service (up to a megabyte), since each part of a
# delta has to carry at least one value.
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
_MAX_HOST_CHARACTERS = 64  # an IP address as text, with room for a zone index
WIRE_ADDRESS_TYPE: Any = tuple[
    Annotated[str, Meta(max_length=_MAX_HOST_CHARACTERS)], Annotated[int, Meta(ge=0, le=65535)]
]

# The kind numbers are part of the protocol: never change one, and never reuse one for another type.
_TYPES_BY_KIND: dict[int, type[Message]] = {
    1: caller_messages.CallerOpen,
    2: caller_messages.CallerData,
    3: caller_messages.CallerClose,
    4: caller_messages.CallerReset,
    5: caller_messages.CallerRequest,
    6: caller_messages.CallerCancel,
    7: caller_messages.CallerAnswer,
    8: caller_messages.FabricPacket,
    16: agent_messages.Forward,
    17: agent_messages.FlowReply,
    18: agent_messages.FlowReset,
    19: agent_messages.FlowHint,
    20: agent_messages.Attempt,
    21: agent_messages.AttemptAnswer,
    22: agent_messages.Declined,
    23: agent_messages.CancelAttempt,
    24: agent_messages.Cancelled,
    32: claim_messages.Claim,
    33: claim_messages.ClaimReply,
    34: claim_messages.Release,
    35: claim_messages.ClaimSync,
    36: claim_messages.ClaimQuery,
    37: claim_messages.Void,
    38: claim_messages.VoidReply,
    39: claim_messages.Handover,
    40: claim_messages.HandoverReceived,
    41: claim_messages.HandoverQuery,
    48: control_messages.Heartbeat,
    49: control_messages.HealthEvent,
    56: control_messages.RevisionNotice,
    57: control_messages.RevisionOffer,
    58: control_messages.DeltaRequest,
    59: control_messages.Delta,
    64: control_messages.PlatformRead,
    65: control_messages.PlatformReply,
    72: control_messages.StatusRequest,
    73: control_messages.StatusReply,
    80: upstream_messages.UpstreamProbe,
    81: upstream_messages.UpstreamHealth,
    82: upstream_messages.UpstreamOpen,
    83: upstream_messages.UpstreamData,
    84: upstream_messages.UpstreamClose,
    85: upstream_messages.UpstreamRequest,
    86: upstream_messages.UpstreamCancel,
    87: upstream_messages.UpstreamAnswer,
}
_NESTED_KINDS = frozenset(range(1, 8))  # messages to and from callers, carried in a FabricPacket


class Transport(IntEnum):
    """How a message is carried.

    Attributes:
        PLAIN: As a datagram without a MAC.
        AUTHENTICATED: As a datagram with a MAC.
        CONTROL: By gRPC between processes of the system.
        PLATFORM: By gRPC as a read of a platform service, or as the reply to such a read.
    """

    PLAIN = 1
    AUTHENTICATED = 2
    CONTROL = 3
    PLATFORM = 4


@singledispatch
def transport_of(message: Message) -> Transport:
    """Returns the transport of a message; by default it is a datagram with a MAC."""
    return Transport.AUTHENTICATED


@transport_of.register(caller_messages.CallerOpen)
@transport_of.register(caller_messages.CallerData)
@transport_of.register(caller_messages.CallerClose)
@transport_of.register(caller_messages.CallerReset)
@transport_of.register(caller_messages.CallerRequest)
@transport_of.register(caller_messages.CallerCancel)
@transport_of.register(caller_messages.CallerAnswer)
@transport_of.register(caller_messages.FabricPacket)
@transport_of.register(upstream_messages.UpstreamProbe)
@transport_of.register(upstream_messages.UpstreamHealth)
@transport_of.register(upstream_messages.UpstreamOpen)
@transport_of.register(upstream_messages.UpstreamData)
@transport_of.register(upstream_messages.UpstreamClose)
@transport_of.register(upstream_messages.UpstreamRequest)
@transport_of.register(upstream_messages.UpstreamCancel)
@transport_of.register(upstream_messages.UpstreamAnswer)
def _(message: Message) -> Transport:
    return Transport.PLAIN


@transport_of.register(control_messages.RevisionOffer)
@transport_of.register(control_messages.DeltaRequest)
@transport_of.register(control_messages.Delta)
@transport_of.register(control_messages.HealthEvent)
@transport_of.register(control_messages.StatusRequest)
@transport_of.register(control_messages.StatusReply)
def _(message: Message) -> Transport:
    return Transport.CONTROL


@transport_of.register(control_messages.PlatformRead)
@transport_of.register(control_messages.PlatformReply)
def _(message: Message) -> Transport:
    return Transport.PLATFORM


class _Format(NamedTuple):
    """How one kind of message is encoded and decoded."""

    kind: int
    message_type: type[Message]
    read_fields: Callable[[Any], Any]
    decode_fields: Callable[[Any], tuple]
    converters: tuple[tuple[int, Callable[[Any], Any]], ...]


def _wire_type(field_type: Any) -> Any:
    """Returns the type to validate a field with: integers are unsigned and ports in range."""
    if field_type is int:
        return Annotated[int, Meta(ge=0)]
    if field_type is Message:
        return bytes
    if field_type == Address:
        return WIRE_ADDRESS_TYPE
    if _is_named_tuple(field_type):
        hints = typing.get_type_hints(field_type)
        return _tuple_type(*map(_wire_type, hints.values()))
    if get_origin(field_type) is tuple:
        item, ellipsis = get_args(field_type)
        return _tuple_type(_wire_type(item), ellipsis)
    return field_type


def _tuple_type(*types: Any) -> Any:
    return tuple.__class_getitem__(types)


def _is_named_tuple(field_type: Any) -> bool:
    return isinstance(field_type, type) and hasattr(field_type, "_fields")


def _make_converter(field_type: Any) -> Callable[[Any], Any] | None:
    """Returns a function that converts a decoded value to the field's type.

    Returns None if the decoded value has that type already.
    """
    if field_type is Message:
        return _decode_nested
    if _is_named_tuple(field_type):
        return field_type._make
    if get_origin(field_type) is tuple and _is_named_tuple(get_args(field_type)[0]):
        make = get_args(field_type)[0]._make
        return lambda values: tuple(make(value) for value in values)
    return None


def _make_format(kind: int, message_type: type[Message]) -> _Format:
    hints = typing.get_type_hints(message_type)
    names = [field.name for field in fields(message_type)]  # type: ignore[arg-type]
    types = [hints[name] for name in names]
    wire_types = [_wire_type(field_type) for field_type in types]
    defaults = [
        field.default
        for field in fields(message_type)  # type: ignore[arg-type]
        if field.default is not MISSING
    ]
    read_fields = _make_field_reader(names, types)
    converters = ((index, _make_converter(field_type)) for index, field_type in enumerate(types))
    return _Format(
        kind,
        message_type,
        _make_default_remover(read_fields, defaults) if defaults else read_fields,
        _make_decoder(names, wire_types, defaults),
        tuple((index, convert) for index, convert in converters if convert is not None),
    )


def _make_field_reader(names: list[str], types: list[Any]) -> Callable[[Any], Any]:
    """Returns a function that reads the fields of a message; a nested message becomes bytes."""
    getters = [
        _make_nested_encoder(n) if t is Message else attrgetter(n)
        for n, t in zip(names, types, strict=True)
    ]
    if len(names) == 1 or Message in types:
        return lambda message: [getter(message) for getter in getters]
    return attrgetter(*names)


def _make_default_remover(
    read_fields: Callable[[Any], Any], defaults: list[Any]
) -> Callable[[Any], Any]:
    """Returns a function that reads the fields up to the last one that differs from its default."""

    def read_needed_fields(message: Any) -> Any:
        values = read_fields(message)
        needed = len(values)
        for default in reversed(defaults):
            if values[needed - 1] != default:
                break
            needed -= 1
        return values[:needed]

    return read_needed_fields


def _make_decoder(
    names: list[str], types: list[Any], defaults: list[Any]
) -> Callable[[Any], tuple]:
    """Returns a function that decodes the fields; those with defaults may be absent."""
    if not defaults:
        return msgspec.msgpack.Decoder(_tuple_type(*types)).decode
    required = len(names) - len(defaults)
    specification: list[Any] = [
        *zip(names[:required], types[:required], strict=True),
        *zip(names[required:], types[required:], defaults, strict=True),
    ]
    decoder = msgspec.msgpack.Decoder(
        msgspec.defstruct("OptionalFields", specification, array_like=True)
    )
    return lambda data: msgspec.structs.astuple(decoder.decode(data))


def _make_nested_encoder(name: str) -> Callable[[Any], bytes]:
    getter = attrgetter(name)
    return lambda message: encode(getter(message))


class _NestedError(Exception):
    """The payload of a FabricPacket is not a valid message of a caller."""

    def __init__(self, code: Code) -> None:
        super().__init__(code)
        self.code = code


def _decode_nested(data: bytes) -> Message:
    if data and data[0] not in _NESTED_KINDS:
        raise _NestedError(Code.MESSAGE_MALFORMED)
    nested = decode(data)
    if isinstance(nested, Err):
        raise _NestedError(nested.err_value)
    return nested.ok_value


_FORMATS_BY_KIND = {
    kind: _make_format(kind, message_type) for kind, message_type in _TYPES_BY_KIND.items()
}
_FORMATS_BY_TYPE = {
    message_format.message_type: message_format for message_format in _FORMATS_BY_KIND.values()
}
_KIND_BYTES_BY_TYPE = {
    message_format.message_type: bytes([message_format.kind])
    for message_format in _FORMATS_BY_KIND.values()
}
_TRANSPORTS_BY_KIND = {
    kind: transport_of.dispatch(message_format.message_type)(typing.cast(Message, None))
    for kind, message_format in _FORMATS_BY_KIND.items()
}
_ENCODER = msgspec.msgpack.Encoder()


def transport_of_bytes(data: bytes) -> Result[Transport, Code]:
    """Returns the transport that an encoded message belongs to, by the kind in its first byte.

    Returns:
        The transport, or MESSAGE_TRUNCATED or MESSAGE_KIND_UNKNOWN.
    """
    if not data:
        return Err(Code.MESSAGE_TRUNCATED)
    transport = _TRANSPORTS_BY_KIND.get(data[0])
    return Err(Code.MESSAGE_KIND_UNKNOWN) if transport is None else Ok(transport)


def encode(message: Message) -> bytes:
    """Encodes one message.

    Raises:
        TypeError: The message, or a value in it, has no encoding.
        OverflowError: A number does not fit 64 bits.
    """
    message_format = _FORMATS_BY_TYPE.get(type(message))
    if message_format is None:
        raise TypeError(f"{type(message).__name__} has no message kind")
    return _KIND_BYTES_BY_TYPE[message_format.message_type] + _ENCODER.encode(
        message_format.read_fields(message)
    )


def decode(data: bytes) -> Result[Message, Code]:
    """Decodes one message; never raises, whatever the input is.

    Args:
        data: The message as `encode` returns it.

    Returns:
        The message, or a code of the family MESSAGE_*.
    """
    if not data:
        return Err(Code.MESSAGE_TRUNCATED)
    if len(data) > MAX_MESSAGE_BYTES:
        return Err(Code.MESSAGE_TOO_LARGE)
    message_format = _FORMATS_BY_KIND.get(data[0])
    if message_format is None:
        return Err(Code.MESSAGE_KIND_UNKNOWN)
    try:
        values = message_format.decode_fields(memoryview(data)[1:])
        return Ok(_build_message(message_format, values))
    except _NestedError as error:
        return Err(error.code)
    except msgspec.ValidationError:
        return Err(Code.MESSAGE_MALFORMED)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        truncated = "truncated" in str(error)
        return Err(Code.MESSAGE_TRUNCATED if truncated else Code.MESSAGE_MALFORMED)


def _build_message(message_format: _Format, values: tuple) -> Message:
    if not message_format.converters:
        return message_format.message_type(*values)
    converted = list(values)
    for index, convert in message_format.converters:
        converted[index] = convert(converted[index])
    return message_format.message_type(*converted)

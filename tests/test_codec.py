"""Tests of the encoding of messages."""

import dataclasses
import functools
import os
import typing
import unittest
from enum import IntEnum

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from shallotshore import (
    agent_messages,
    caller_messages,
    claim_messages,
    codec,
    control_messages,
    upstream_messages,
)
from shallotshore.caller_messages import FabricPacket
from shallotshore.codes import Code
from shallotshore.messages import Address, Message

MODULES = (agent_messages, caller_messages, claim_messages, control_messages, upstream_messages)
ALL_TYPES = sorted(
    (
        value
        for module in MODULES
        for value in vars(module).values()
        if isinstance(value, type) and issubclass(value, Message) and value is not Message
    ),
    key=lambda message_type: message_type.__name__,
)
FABRIC_ONLY = [t for t in ALL_TYPES if t.__name__.startswith("Caller")]
# `make fuzz` raises the number of examples; every run uses the same ones.
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "500"))
BUDGET = settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)


def values_of(field_type: typing.Any) -> st.SearchStrategy:
    """Returns a strategy that generates all values that a field of a message may have."""
    if field_type is Message:
        return st.sampled_from(FABRIC_ONLY).flatmap(messages_of)
    if field_type == Address:
        return st.tuples(st.text(max_size=20), st.integers(0, 65535))
    if hasattr(field_type, "_fields"):
        hints = typing.get_type_hints(field_type)
        return st.builds(field_type, *(values_of(hint) for hint in hints.values()))
    if typing.get_origin(field_type) is tuple:
        item = values_of(typing.get_args(field_type)[0])
        return st.lists(item, max_size=5).map(tuple)
    if issubclass(field_type, IntEnum):
        return st.sampled_from(list(field_type))
    if field_type is int:
        return st.integers(0, 2**64 - 1)
    simple = {bool: st.booleans(), bytes: st.binary(max_size=40), str: st.text(max_size=20)}
    return simple[field_type]


@functools.cache
def messages_of(message_type: type) -> st.SearchStrategy:
    """Returns a strategy that generates all messages of a type."""
    hints = typing.get_type_hints(message_type)
    names = [field.name for field in dataclasses.fields(message_type)]
    return st.builds(message_type, *(values_of(hints[name]) for name in names))


ANY_MESSAGE = st.sampled_from(ALL_TYPES).flatmap(messages_of)


class RoundTripTest(unittest.TestCase):
    """Guards against fields that encoding and decoding lose, reorder or change in type."""

    @BUDGET
    @given(ANY_MESSAGE)
    def test_every_message_survives(self, message: Message) -> None:
        decoded = codec.decode(codec.encode(message)).unwrap()
        self.assertEqual(decoded, message)
        self.assertIs(type(decoded), type(message))

    def test_every_type_has_one_kind(self) -> None:
        numbers = [kind for kind in range(256) if codec.transport_of_bytes(bytes([kind])).is_ok()]
        self.assertEqual(len(numbers), len(ALL_TYPES))


class BadInputTest(unittest.TestCase):
    """Guards against an exception or a wrongly typed message caused by a faulty sender's bytes."""

    @BUDGET
    @given(st.binary(max_size=200))
    def test_random_bytes_give_a_code(self, data: bytes) -> None:
        self.check(data)

    @BUDGET
    @given(ANY_MESSAGE, st.data())
    def test_damaged_messages_give_a_code_or_a_valid_message(
        self, message: Message, data: st.DataObject
    ) -> None:
        encoded = bytearray(codec.encode(message))
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position] = data.draw(st.integers(0, 255))
        self.check(bytes(encoded))
        self.check(bytes(encoded[:position]))

    def check(self, data: bytes) -> None:
        decoded = codec.decode(data)
        if isinstance(decoded, Ok):
            self.assertEqual(codec.decode(codec.encode(decoded.ok_value)), decoded)
        else:
            self.assertEqual(decoded.err_value // 100, 6)

    def test_negative_numbers_are_refused(self) -> None:
        data = bytes([56]) + b"\x91\xff"
        self.assertEqual(codec.decode(data), Err(Code.MESSAGE_MALFORMED))

    def test_a_fabric_packet_carries_only_messages_of_callers(self) -> None:
        inner = FabricPacket(("a", 1), ("b", 2), caller_messages.CallerClose(1))
        outer = FabricPacket(("a", 1), ("b", 2), inner)
        self.assertEqual(codec.decode(codec.encode(outer)), Err(Code.MESSAGE_MALFORMED))

    def test_each_fault_has_its_code(self) -> None:
        whole = codec.encode(caller_messages.CallerOpen(1, b"payload"))
        self.assertEqual(codec.decode(b""), Err(Code.MESSAGE_TRUNCATED))
        self.assertEqual(codec.decode(whole[:-1]), Err(Code.MESSAGE_TRUNCATED))
        self.assertEqual(codec.decode(b"\xff" + whole), Err(Code.MESSAGE_KIND_UNKNOWN))
        self.assertEqual(codec.decode(whole + b"\x00"), Err(Code.MESSAGE_MALFORMED))
        oversized = b"\x01" + bytes(codec.MAX_MESSAGE_BYTES)
        self.assertEqual(codec.decode(oversized), Err(Code.MESSAGE_TOO_LARGE))

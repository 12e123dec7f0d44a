"""Decodes the records in copies and changes of feeds; a record that fails is left out alone.

A process of another version may send a record that this version refuses. The other records of its
message still hold.
"""

from __future__ import annotations

__all__ = ["decode_entry", "decode_state"]

import contextlib

import msgspec

from shallotshore.packets.feed_content import UnreadableEntry
from shallotshore.packets.feed_entries import FeedEntry, RefusedEntry
from shallotshore.packets.field_types import DurationMs, Revision
from shallotshore.packets.view import Configuration, Feed, FeedState, HeldEntry, Upstream


class _EntryHead(msgspec.Struct, array_like=True, tag=1, gc=False):
    """The first fields of an UpstreamEntry."""

    key: str
    revision: Revision


class _UpstreamHead(msgspec.Struct, array_like=True, gc=False):
    """The first field of an Upstream."""

    id: str


class _EncodedState(msgspec.Struct, array_like=True):
    """A FeedState whose records are not decoded yet."""

    feed: Feed
    revision: Revision
    configuration: msgspec.Raw
    data_centres_out: list[str]
    upstreams: list[msgspec.Raw]
    era: Revision = 0
    held: list[msgspec.Raw] = []
    held_ms: DurationMs = 0


_entry_decoder = msgspec.msgpack.Decoder(FeedEntry)
_entry_head_decoder = msgspec.msgpack.Decoder(_EntryHead)
_state_decoder = msgspec.msgpack.Decoder(FeedState)
_encoded_state_decoder = msgspec.msgpack.Decoder(_EncodedState)
_configuration_decoder = msgspec.msgpack.Decoder(Configuration)
_upstream_decoder = msgspec.msgpack.Decoder(Upstream)
_held_entry_decoder = msgspec.msgpack.Decoder(HeldEntry)
_upstream_head_decoder = msgspec.msgpack.Decoder(_UpstreamHead)


def decode_entry(encoded: msgspec.Raw) -> FeedEntry:
    """Decodes one entry of a FeedChanges.

    Returns:
        The entry, or a RefusedEntry for an upstream's record that cannot be used.

    Raises:
        msgspec.MsgspecError: It cannot be told which record the entry changes.
        RecursionError: The same.
    """
    try:
        return _entry_decoder.decode(encoded)
    except (msgspec.MsgspecError, RecursionError) as error:
        head = _entry_head_decoder.decode(encoded)
        return RefusedEntry(head.key, head.revision, None, str(error))


def decode_state(frame: bytes) -> tuple[FeedState, list[UnreadableEntry]]:
    """Decodes a copy of a feed.

    Returns:
        The copy without the records that cannot be used, and these records.

    Raises:
        msgspec.MsgspecError: The copy as a whole is malformed.
        RecursionError: The same.
    """
    try:
        return _state_decoder.decode(frame), []
    except msgspec.ValidationError:
        # The records are decoded one by one only when a whole copy fails, which takes longer.
        return _decode_records(_encoded_state_decoder.decode(frame))


def _decode_records(encoded: _EncodedState) -> tuple[FeedState, list[UnreadableEntry]]:
    state = FeedState(
        encoded.feed,
        encoded.revision,
        Configuration(),
        encoded.data_centres_out,
        [],
        encoded.era,
        _decode_held(encoded.held),
        encoded.held_ms,
    )
    refused = []
    try:
        state.configuration = _configuration_decoder.decode(encoded.configuration)
    except (msgspec.MsgspecError, RecursionError) as error:
        refused.append(UnreadableEntry("", encoded.revision, f"configuration: {error}"))
    for upstream in encoded.upstreams:
        try:
            state.upstreams.append(_upstream_decoder.decode(upstream))
        except (msgspec.MsgspecError, RecursionError) as error:
            key = _decode_upstream_id(upstream)
            refused.append(UnreadableEntry(key, encoded.revision, str(error)))
    return state, refused


def _decode_held(encoded: list[msgspec.Raw]) -> list[HeldEntry]:
    """Decodes the held values; the value in use stays in use for one that cannot be used."""
    held = []
    for entry in encoded:
        with contextlib.suppress(msgspec.MsgspecError, RecursionError):
            held.append(_held_entry_decoder.decode(entry))
    return held


def _decode_upstream_id(encoded: msgspec.Raw) -> str:
    """Returns the id of an upstream's record, or an empty text if there is none."""
    try:
        return _upstream_head_decoder.decode(encoded).id
    except (msgspec.MsgspecError, RecursionError):
        return ""

"""Changes of a feed in the form in which processes send them to each other."""

from __future__ import annotations

__all__ = [
    "ConfigurationEntry",
    "DataCentreEntry",
    "FeedEntry",
    "RefusedEntry",
    "UpstreamEntry",
    "to_change",
    "to_entry",
]

from functools import singledispatch

import msgspec

from shallotshore.packets.feed_content import (
    Change,
    ConfigurationChange,
    DataCentreChange,
    UnreadableEntry,
    UpstreamChange,
)
from shallotshore.packets.field_types import Revision
from shallotshore.packets.view import Configuration, Upstream


class UpstreamEntry(msgspec.Struct, array_like=True, tag=1, gc=False):
    """A new or removed record of an upstream; `upstream` is None when it is gone."""

    key: str
    revision: Revision
    upstream: Upstream | None


class RefusedEntry(UpstreamEntry, array_like=True, tag=1, gc=False):
    """A received UpstreamEntry whose record cannot be used, with the reason; it is never sent."""

    reason: str = ""


class DataCentreEntry(msgspec.Struct, array_like=True, tag=2, gc=False):
    """A data centre that is taken out of service, or back in service when `is_gone` is set."""

    key: str
    revision: Revision
    is_gone: bool


class ConfigurationEntry(msgspec.Struct, array_like=True, tag=3, gc=False):
    """A new version of the configuration."""

    key: str
    revision: Revision
    configuration: Configuration


FeedEntry = UpstreamEntry | DataCentreEntry | ConfigurationEntry


@singledispatch
def to_entry(change: Change) -> FeedEntry:
    """Returns the form in which a change is sent; an unreadable entry is sent as removed."""
    return UpstreamEntry(change.key, change.revision, None)


@to_entry.register
def _(change: UpstreamChange) -> FeedEntry:
    return UpstreamEntry(change.key, change.revision, change.upstream)


@to_entry.register
def _(change: DataCentreChange) -> FeedEntry:
    return DataCentreEntry(change.key, change.revision, change.is_gone)


@to_entry.register
def _(change: ConfigurationChange) -> FeedEntry:
    return ConfigurationEntry(change.key, change.revision, change.configuration)


@singledispatch
def to_change(entry: object) -> Change:
    """Returns the change that an entry describes."""
    raise TypeError(f"no handler for an entry of type {type(entry).__name__}")


@to_change.register
def _(entry: UpstreamEntry) -> Change:
    return UpstreamChange(entry.key, entry.revision, entry.upstream)


@to_change.register
def _(entry: RefusedEntry) -> Change:
    return UnreadableEntry(entry.key, entry.revision, entry.reason)


@to_change.register
def _(entry: DataCentreEntry) -> Change:
    return DataCentreChange(entry.key, entry.revision, entry.is_gone)


@to_change.register
def _(entry: ConfigurationEntry) -> Change:
    return ConfigurationChange(entry.key, entry.revision, entry.configuration)

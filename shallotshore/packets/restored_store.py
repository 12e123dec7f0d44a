"""Retains for a bounded time what a process knew before the store was restored from a copy.

A restored store has lost its newest writes. Their writers write them again, which takes up to 2 s.
Until then a process goes on with what it knew, unless the store delivers a new write of the entry.
"""

from __future__ import annotations

__all__ = ["HELD_BELIEF_MS", "RetainedValues", "read_held", "restore_stored"]

from collections.abc import Iterable, Iterator
from functools import singledispatch
from itertools import islice

import msgspec

from shallotshore.packets.feed_content import (
    Change,
    ConfigurationChange,
    DataCentreChange,
    FeedContent,
    UpstreamChange,
    apply_change,
)
from shallotshore.packets.view import Configuration, Feed, FeedState, HeldEntry, Upstream

# An upstream repeats its entry every 770 ms and all entries are back within 2 s. The tightest limit
# on the time until a configuration takes effect is 3 s.
HELD_BELIEF_MS = 2_500
# Of one feed. Beyond it the store's value takes effect at once; balancers then still have the grace
# of entries that lapsed. A copy some seconds old lacks few entries.
MAX_HELD_ENTRIES = 20_000
MAX_TOMBSTONES = 4_096  # of one feed
TOMBSTONE_LIFETIME_MS = 120_000
CONFIGURATION_KEY = ""  # no data centre has an empty name


class HeldValue:
    """The store's value of an entry for which an earlier value is in use.

    Attributes:
        stored: The entry as the store holds it.
        until: When the store's value takes effect, in ms.
    """

    __slots__ = ("stored", "until")

    def __init__(self, stored: Change, until: int) -> None:
        self.stored = stored
        self.until = until


class RetainedValues:
    """Entries of one feed whose value in use is older than the store's era.

    The values in use are in the content of the feed; this class keeps those of the store. It also
    remembers removed entries, since a removal can be lost as well.

    Attributes:
        until: When the retention for the present era ends, in ms.
        left_out: Number of values that were not retained at the start of the era, since there were
            too many.
    """

    __slots__ = ("_held", "_next_due", "_tombstones", "left_out", "until")

    def __init__(self) -> None:
        self.until = 0
        self.left_out = 0
        self._held: dict[str, HeldValue] = {}
        self._next_due = 0
        self._tombstones: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._held)

    def begin_era(self, known: FeedContent, content: FeedContent, until: int, now: int) -> None:
        """Puts into content read in a new era what was known in the era before.

        Args:
            known: The content in use.
            content: The content that the store holds; gets the values that are retained.
            until: When the store's values take effect, in ms.
            now: Time in ms.
        """
        earlier, self._held = self._held, {}
        self.until = until
        self.left_out = 0
        removed = [key for key, at in self._tombstones.items() if now - at <= TOMBSTONE_LIFETIME_MS]
        for belief in list(_find_contradicted(known, content, removed)):
            stored = _current_value(belief, content)
            held_until = until
            if _is_return(belief) and _key_of(belief) in earlier:
                held_until = min(until, earlier[_key_of(belief)].until)
            if now < held_until or _has_no_value(stored):
                self._hold(belief, stored, held_until, content)

    def carry_over(self, known: FeedContent, content: FeedContent) -> None:
        """Puts into content read in the same era the retained values that still apply.

        Args:
            known: The content in use.
            content: The content that the store holds; gets the values that are retained.
        """
        held, self._held = self._held, {}
        for value in held.values():
            belief = _current_value(value.stored, known)
            stored = _current_value(value.stored, content)
            if _is_same_write(stored, value.stored) or _must_wait(stored, known):
                self._hold(belief, stored, value.until, content)

    def adopt(
        self, held: Iterable[HeldValue], effective: FeedContent, content: FeedContent, now: int
    ) -> None:
        """Adopts values that another process retains and this process does not know.

        Args:
            held: What that process retains.
            effective: The content that it uses.
            content: This process's content, which gets the values.
            now: Time in ms.
        """
        for value in held:
            is_over = value.until <= now or self.until <= now
            if is_over and not _has_no_value(value.stored):
                continue
            belief = _current_value(value.stored, effective)
            if _is_return(belief):
                continue
            if _key_of(value.stored) in self._held:
                is_usable = _is_preferred(belief, content)
            else:
                # A value that differs is a write that the other process had not seen yet.
                is_usable = _is_same_write(_current_value(value.stored, content), value.stored)
            if is_usable:
                self._hold(belief, value.stored, min(value.until, self.until), content)

    def admit_write(self, change: Change, content: FeedContent, now: int) -> bool:
        """Returns whether a new write of the store takes effect at once.

        It does, and ends the retention of its entry, unless it is a configuration of a lower
        version than the retained one.
        """
        value = self._held.get(_key_of(change))
        if value is None:
            return True
        if now < value.until and _must_wait(change, content):
            value.stored = change
            self._next_due = min(self._next_due, value.until)
            return False
        del self._held[_key_of(change)]
        _permit_lower_version(change, content)
        return True

    def release_expired(self, content: FeedContent, now: int) -> list[Change]:
        """Puts the store's values into use whose time has come.

        Returns:
            The values that are no longer in use.
        """
        if not self._held or now < self._next_due:
            return []
        released = []
        for key, value in list(self._held.items()):
            if value.until <= now and not _has_no_value(value.stored):
                del self._held[key]
                released.append(_current_value(value.stored, content))
                restore_stored(value.stored, content)
                self.record_change(value.stored, now)
        self._next_due = min((value.until for value in self._held.values()), default=now)
        return released

    def record_change(self, change: Change, now: int) -> None:
        """Remembers the removal of an entry, or forgets it when the entry is back."""
        if isinstance(change, UpstreamChange | DataCentreChange):
            self._tombstones.pop(change.key, None)
            if change.is_gone:
                self._add_tombstone(change.key, now)

    def record_replacement(self, known: FeedContent, content: FeedContent, now: int) -> None:
        """Remembers the entries that are gone from the content in use after a whole read.

        Args:
            known: The content in use before.
            content: The content in use from now on.
            now: Time in ms.
        """
        for key in list(self._tombstones):
            if key in content.upstreams or key in content.data_centres_out:
                del self._tombstones[key]
        removed = known.upstreams.keys() - content.upstreams.keys()
        for key in islice(removed, MAX_TOMBSTONES):
            self._add_tombstone(key, now)
        for key in known.data_centres_out - content.data_centres_out:
            self._add_tombstone(key, now)

    def to_entries(self, now: int) -> list[HeldEntry]:
        """Returns the held values as they are sent to another process."""
        return [
            _to_held_entry(value.stored, max(0, value.until - now)) for value in self._held.values()
        ]

    def _hold(self, belief: Change, stored: Change, until: int, content: FeedContent) -> None:
        if len(self._held) >= MAX_HELD_ENTRIES:
            self.left_out += 1
            return
        self._next_due = min(self._next_due, until) if self._held else until
        self._held[_key_of(stored)] = HeldValue(stored, until)
        restore_stored(belief, content)

    def _add_tombstone(self, key: str, now: int) -> None:
        """Remembers a removal; the oldest are at the front."""
        self._tombstones[key] = now
        while len(self._tombstones) > MAX_TOMBSTONES or (
            now - next(iter(self._tombstones.values())) > TOMBSTONE_LIFETIME_MS
        ):
            del self._tombstones[next(iter(self._tombstones))]


def read_held(state: FeedState, now: int) -> list[HeldValue]:
    """Returns what another process retains, according to the copy that it has sent."""
    return [
        HeldValue(_to_stored(state.feed, entry), now + min(entry.remaining_ms, HELD_BELIEF_MS))
        for entry in state.held
    ]


def _to_stored(feed: Feed, entry: HeldEntry) -> Change:
    if feed is Feed.UPSTREAMS:
        return UpstreamChange(
            entry.key, entry.upstream.revision if entry.upstream else 0, entry.upstream
        )
    if entry.key == CONFIGURATION_KEY:
        return ConfigurationChange(entry.key, 0, entry.configuration or Configuration())
    return DataCentreChange(entry.key, 0, not entry.is_out)


@singledispatch
def _to_held_entry(stored: Change, remaining_ms: int) -> HeldEntry:
    raise TypeError(f"no held entry of type {type(stored).__name__}")


@_to_held_entry.register
def _(stored: ConfigurationChange, remaining_ms: int) -> HeldEntry:
    return HeldEntry(CONFIGURATION_KEY, None, stored.configuration, False, remaining_ms)


@_to_held_entry.register
def _(stored: DataCentreChange, remaining_ms: int) -> HeldEntry:
    return HeldEntry(stored.key, None, None, not stored.is_gone, remaining_ms)


@_to_held_entry.register
def _(stored: UpstreamChange, remaining_ms: int) -> HeldEntry:
    return HeldEntry(stored.key, stored.upstream, None, False, remaining_ms)


def _find_contradicted(
    known: FeedContent, content: FeedContent, removed: Iterable[str]
) -> Iterator[Change]:
    """Yields the known values that the content read from the store does not have."""
    if known.configuration.version > content.configuration.version:
        yield ConfigurationChange(CONFIGURATION_KEY, 0, known.configuration)
    for name in known.data_centres_out - content.data_centres_out:
        yield DataCentreChange(name, 0)
    for key in removed:
        if key in content.upstreams:
            yield UpstreamChange(key, 0, None)
        if key in content.data_centres_out:
            yield DataCentreChange(key, 0, is_gone=True)
    for key, upstream in known.upstreams.items():
        stored = content.upstreams.get(key)
        if stored is None or _is_outdated(stored, upstream):
            # The retained record counts as older than every record of the new era, and its cold
            # time has been counted already.
            record = msgspec.structs.replace(upstream, revision=0, cold_ms=0)
            yield UpstreamChange(key, 0, record)


def _is_outdated(stored: Upstream, known: Upstream) -> bool:
    """Whether a restored record may be older than the known one.

    A record that says that its upstream leaves is never outdated, since leaving is final.
    """
    if stored is known or stored == known or stored.is_leaving:
        return False
    return msgspec.structs.replace(stored, revision=known.revision) != known


@singledispatch
def _key_of(change: Change) -> str:
    return change.key


@_key_of.register
def _(change: ConfigurationChange) -> str:
    return CONFIGURATION_KEY


@singledispatch
def _current_value(change: Change, content: FeedContent) -> Change:
    """Returns the value that content has for the entry of a change."""
    raise TypeError(f"no value for a change of type {type(change).__name__}")


@_current_value.register
def _(change: ConfigurationChange, content: FeedContent) -> Change:
    return ConfigurationChange(change.key, change.revision, content.configuration)


@_current_value.register
def _(change: DataCentreChange, content: FeedContent) -> Change:
    return DataCentreChange(change.key, change.revision, change.key not in content.data_centres_out)


@_current_value.register
def _(change: UpstreamChange, content: FeedContent) -> Change:
    upstream = content.upstreams.get(change.key)
    return UpstreamChange(change.key, change.revision, upstream)


@singledispatch
def _is_same_write(stored: Change, earlier: Change) -> bool:
    """Whether the store's value of an entry is the one that was found at the start of the era."""
    return stored.is_gone == earlier.is_gone


@_is_same_write.register
def _(stored: UpstreamChange, earlier: UpstreamChange) -> bool:
    return stored.upstream == earlier.upstream


@_is_same_write.register
def _(stored: ConfigurationChange, earlier: ConfigurationChange) -> bool:
    return stored.configuration == earlier.configuration


@singledispatch
def _must_wait(change: Change, content: FeedContent) -> bool:
    """Whether a new write waits for the end of the retention."""
    return False


@_must_wait.register
def _(change: ConfigurationChange, content: FeedContent) -> bool:
    return change.configuration.version < content.configuration.version


@singledispatch
def _is_preferred(belief: Change, content: FeedContent) -> bool:
    """Whether another process's value goes before the one that this process retains."""
    return False


@_is_preferred.register
def _(belief: ConfigurationChange, content: FeedContent) -> bool:
    return belief.configuration.version > content.configuration.version


@singledispatch
def _is_return(belief: Change) -> bool:
    """Whether a value puts a data centre back in service that the store has out of service.

    It may be older than an evacuation of which its process has not heard. It is therefore neither
    adopted from another process nor retained anew in a second era.
    """
    return False


@_is_return.register
def _(belief: DataCentreChange) -> bool:
    return belief.is_gone


@singledispatch
def _has_no_value(stored: Change) -> bool:
    """Whether the store has no value that could replace the retained one."""
    return False


@_has_no_value.register
def _(stored: ConfigurationChange) -> bool:
    return stored.configuration.version == 0


@singledispatch
def _permit_lower_version(change: Change, content: FeedContent) -> None:
    """Prepares content for a new write that ends a retention."""


@_permit_lower_version.register
def _(change: ConfigurationChange, content: FeedContent) -> None:
    content.configuration = Configuration()


@singledispatch
def restore_stored(change: Change, content: FeedContent) -> None:
    """Sets the value of an entry, also to a configuration of a lower version."""
    apply_change(change, content)


@restore_stored.register
def _(change: ConfigurationChange, content: FeedContent) -> None:
    content.configuration = change.configuration

"""The records of a feed, and how each kind of change alters them."""

from __future__ import annotations

__all__ = [
    "Change",
    "ConfigurationChange",
    "DataCentreChange",
    "FeedContent",
    "UnreadableEntry",
    "UpstreamChange",
    "apply_change",
]

from functools import singledispatch

from shallotshore.packets.view import Configuration, Feed, FeedState, Upstream


class Change:
    """The state of one entry of the store, as a read or a watch of the store returns it.

    Attributes:
        key: Id of the upstream, name of the data centre, or the entry's own key.
        revision: Revision of the store at which the entry changed.
        is_gone: Whether the entry was removed.
    """

    __slots__ = ("is_gone", "key", "revision")

    def __init__(self, key: str, revision: int, is_gone: bool = False) -> None:
        self.key = key
        self.revision = revision
        self.is_gone = is_gone


class ConfigurationChange(Change):
    """A new version of the configuration."""

    __slots__ = ("configuration",)

    def __init__(self, key: str, revision: int, configuration: Configuration) -> None:
        super().__init__(key, revision)
        self.configuration = configuration


class DataCentreChange(Change):
    """A data centre is taken out of service, or put back when the entry is gone."""

    __slots__ = ()


class UpstreamChange(Change):
    """An upstream's record, which is None when the entry is gone."""

    __slots__ = ("upstream",)

    def __init__(self, key: str, revision: int, upstream: Upstream | None) -> None:
        super().__init__(key, revision, upstream is None)
        self.upstream = upstream


class UnreadableEntry(Change):
    """An entry that cannot be decoded; an upstream's earlier record under its key is removed."""

    __slots__ = ("reason",)

    def __init__(self, key: str, revision: int, reason: str) -> None:
        super().__init__(key, revision)
        self.reason = reason


class FeedContent:
    """The records of one feed.

    The operator's feed uses `configuration` and `data_centres_out`, the upstreams' feed
    `upstreams`.

    Attributes:
        unreadable: Keys of the entries that are left out.
    """

    __slots__ = ("configuration", "data_centres_out", "unreadable", "upstreams")

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.data_centres_out: set[str] = set()
        self.upstreams: dict[str, Upstream] = {}
        self.unreadable: set[str] = set()

    @classmethod
    def from_state(cls, state: FeedState) -> FeedContent:
        """Returns the content of a copy that another process has sent."""
        content = cls()
        content.configuration = state.configuration
        content.data_centres_out = set(state.data_centres_out)
        content.upstreams = {upstream.id: upstream for upstream in state.upstreams}
        return content

    def copy(self) -> FeedContent:
        """Returns content with the same records, which can be changed on its own."""
        content = FeedContent()
        content.configuration = self.configuration
        content.data_centres_out = set(self.data_centres_out)
        content.upstreams = dict(self.upstreams)
        content.unreadable = set(self.unreadable)
        return content

    def state(self, feed: Feed, revision: int) -> FeedState:
        """Returns a copy to send to another process."""
        return FeedState(
            feed,
            revision,
            self.configuration,
            sorted(self.data_centres_out),
            list(self.upstreams.values()),
        )


@singledispatch
def apply_change(change: Change, content: FeedContent) -> bool:
    """Applies one change to the content of a feed.

    Returns:
        Whether the records have changed.
    """
    raise TypeError(f"no handler for a change of type {type(change).__name__}")


@apply_change.register
def _(change: ConfigurationChange, content: FeedContent) -> bool:
    content.unreadable.discard(change.key)
    if change.configuration.version < content.configuration.version:
        return False
    content.configuration = change.configuration
    return True


@apply_change.register
def _(change: DataCentreChange, content: FeedContent) -> bool:
    was_out = change.key in content.data_centres_out
    if change.is_gone:
        content.data_centres_out.discard(change.key)
    else:
        content.data_centres_out.add(change.key)
    return was_out == change.is_gone


@apply_change.register
def _(change: UpstreamChange, content: FeedContent) -> bool:
    content.unreadable.discard(change.key)
    if change.upstream is None:
        return content.upstreams.pop(change.key, None) is not None
    content.upstreams[change.key] = change.upstream
    return True


@apply_change.register
def _(change: UnreadableEntry, content: FeedContent) -> bool:
    content.unreadable.add(change.key)
    return content.upstreams.pop(change.key, None) is not None

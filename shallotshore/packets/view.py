"""Records of the feeds: routes, services, upstreams and data centres that are out of service."""

__all__ = [
    "Configuration",
    "Feed",
    "FeedState",
    "HeldEntry",
    "Route",
    "ServiceLimits",
    "Upstream",
    "check_limits",
]

from enum import IntEnum
from typing import TypeVar

import msgspec

from shallotshore.packets.field_types import (
    Count,
    DurationMs,
    HostText,
    Name,
    Port,
    Revision,
    Slots,
)

RecordT = TypeVar("RecordT", bound=msgspec.Struct)


class Feed(IntEnum):
    """The two parts of the store that processes keep copies of, each with its own revision."""

    OPERATOR = 1  # the configuration, and the data centres that are out of service
    UPSTREAMS = 2  # the records that upstreams publish of themselves


class Route(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The services that get the new flows of one virtual address.

    Attributes:
        name: The operator's name for the route, for logs.
        host: IP address of the virtual address.
        port: Port of the virtual address.
        shares: Services with their weights; one entry when the flows are not split.
        priority: Rank of the route's requests among those of other routes; 0 goes first.
        target_ms: Time in which an answer is in time, in ms; 0 when not declared.
        limit_ms: Time after which a client no longer waits, in ms; 0 when not declared.
    """

    name: str
    host: str
    port: Port
    shares: tuple[tuple[str, Count], ...]
    priority: Count = 0
    target_ms: Count = 0  # senders of an earlier version leave it out
    limit_ms: Count = 0  # senders of an earlier version leave it out


class ServiceLimits(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The limit declared for a service.

    Attributes:
        name: Name of the service.
        cold_per_s: Requests per second that a cold upstream can handle, applied as a limit on its
            new flows; 0 when no limit is declared.
    """

    name: str
    cold_per_s: float


class Configuration(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One version of the operator's configuration.

    Attributes:
        version: Number that rises with each version, in steps of any size; 0 when there is no
            configuration yet.
        routes: All routes.
        services: The limits declared for all services.
    """

    version: Revision = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceLimits, ...] = ()


class Upstream(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The record that an upstream publishes of itself.

    Attributes:
        id: Id of the upstream, which usually changes with a restart.
        service: Name of the upstream's service.
        host: IP address of the VM on which the upstream and its agent run.
        port: Port at which the upstream receives packets from the agent.
        data_centre: Name of the upstream's data centre.
        slots: Requests that the upstream works on at the same time.
        is_leaving: Whether the upstream accepts no new flows.
        cold_ms: How much longer the upstream was cold when it wrote the record, in ms.
        revision: Revision of the store at which the record was written.
    """

    id: Name
    service: Name
    host: HostText
    port: Port
    data_centre: Name
    slots: Slots
    is_leaving: bool
    cold_ms: DurationMs
    revision: Revision


class HeldEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The store's value of an entry for which a process still uses the value of an earlier era.

    Attributes:
        key: Id of the upstream, name of the data centre, or an empty text for the configuration.
        upstream: The upstream's record; None when the store has none.
        configuration: The configuration; only for that entry.
        is_out: Whether the data centre is out of service; only for a data centre.
        remaining_ms: How much longer the earlier value is used, in ms.
    """

    key: str
    upstream: Upstream | None
    configuration: Configuration | None
    is_out: bool
    remaining_ms: DurationMs


class FeedState(msgspec.Struct, array_like=True):
    """A process's copy of one feed, as it is sent to another process.

    Attributes:
        feed: Which feed.
        revision: Revision of the newest change in the copy.
        configuration: The configuration; only in the operator's feed.
        data_centres_out: Names of data centres that are out of service; only in the operator's
            feed.
        upstreams: Records of all upstreams; only in the upstreams' feed.
        era: Era of the store in which `revision` was assigned.
        held: The store's values of the entries for which the copy has values of an earlier era.
        held_ms: How much longer the receiver may retain what it knew of an earlier era, in ms.
    """

    feed: Feed
    revision: Revision = 0
    configuration: Configuration = Configuration()
    data_centres_out: list[str] = []
    upstreams: list[Upstream] = []
    era: Revision = 0  # senders of an earlier version leave it out, and the following fields
    held: list[HeldEntry] = []
    held_ms: DurationMs = 0


def check_limits(record: RecordT) -> RecordT:
    """Checks the fields of a record, which a constructor does not check.

    A record that passes fits into the tables, and is accepted by the processes that it is sent to,
    since their decoders apply the same limits.

    Returns:
        The record.

    Raises:
        msgspec.ValidationError: A field has another type or is beyond its limits.
    """
    return msgspec.convert(msgspec.to_builtins(record), type(record))

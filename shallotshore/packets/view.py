"""What is published to the system: routes, services, upstreams and data centres that are out."""

__all__ = [
    "Configuration",
    "Feed",
    "FeedState",
    "Route",
    "ServiceLimits",
    "Upstream",
]

from enum import IntEnum

import msgspec


class Feed(IntEnum):
    """The two parts of the store that are followed, each with a revision of its own."""

    OPERATOR = 1  # the configuration, and which data centres are out
    UPSTREAMS = 2  # what the upstreams say of themselves


class Route(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Where new flows of one virtual address go.

    Attributes:
        name: The operator's name for it, for logs.
        host: IP number of the virtual address.
        port: Port of the virtual address.
        shares: Services with their weights; one entry where the flows are not split.
        priority: Rank of its requests among those of other routes; 0 goes first.
    """

    name: str
    host: str
    port: int
    shares: tuple[tuple[str, int], ...]
    priority: int = 0


class ServiceLimits(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What is declared of a service.

    Attributes:
        name: Name of the service.
        cold_per_s: Requests a second that a cold upstream bears; 0 when no limit is declared.
    """

    name: str
    cold_per_s: float


class Configuration(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One version of the operator's configuration.

    Attributes:
        version: Rises with each version, in uneven steps; 0 when there is none yet.
        routes: All routes.
        services: All services.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceLimits, ...] = ()


class Upstream(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What an upstream has published of itself.

    Attributes:
        id: Its id; a restart mostly brings a new one.
        service: Name of its service.
        host: IP number of its VM; the agent there has the same.
        port: Port at which the agent reaches it.
        data_centre: Name of its data centre.
        slots: Requests that it works on at the same time.
        is_leaving: Whether it takes no new flows.
        cold_ms: How much longer it was cold when it wrote this.
        revision: Revision of the store at which it wrote this.
    """

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    cold_ms: int
    revision: int


class FeedState(msgspec.Struct, array_like=True):
    """All that a process holds of one feed, as one process hands it to another.

    Attributes:
        feed: Which feed.
        revision: Revision of the newest change in it.
        configuration: Of the operator's feed.
        data_centres_out: Of the operator's feed.
        upstreams: Of the upstreams' feed.
    """

    feed: Feed
    revision: int = 0
    configuration: Configuration = Configuration()
    data_centres_out: list[str] = []
    upstreams: list[Upstream] = []

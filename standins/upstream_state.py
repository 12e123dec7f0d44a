"""Settings, tables and log of the upstream stand-in."""

__all__ = [
    "FeedTable",
    "Health",
    "RequestRun",
    "RequestTable",
    "UpstreamLog",
    "UpstreamSettings",
    "WorkState",
]

from array import array
from dataclasses import dataclass, field
from enum import Enum, IntEnum

from shallotshore.messages import Address
from shallotshore.tables import Table
from shallotshore.upstream_messages import UpstreamRequest
from standins.application import FeedPacket, RequestBody


class Health(Enum):
    """How truthfully the upstream's health endpoint answers."""

    HONEST = "honest"
    LAGGING = "lagging"
    LYING = "lying"
    SILENT = "silent"


class WorkState(IntEnum):
    """State of an open request in the upstream."""

    WAITING = 1
    RUNNING = 2


@dataclass(slots=True)
class UpstreamSettings:
    """Settings of one upstream; durations in ms.

    Attributes:
        slots: Number of requests that run at once.
        connections: Maximum number of open feeds.
        cold_limit: Number of open requests that it can handle right after its start.
        warmup: While cold, the interval after which its request bound grows by one.
        cold_opens_per_s: While cold, it can handle this number of feed openings a second,
            multiplied by the number of open requests that it can handle at present.
        backlog: Number of requests beyond `request_bound` that wait; further ones are shed.
        feed_interval_ms: Time between two packets that it sends on a feed.
        customers: Names of the customers that it serves; empty for all.
    """

    name: str
    service: str
    data_centre: str
    slots: int
    connections: int
    cold_limit: int = 1
    warmup: int = 2000
    cold_opens_per_s: int = 15
    backlog: int = 1
    feed_interval_ms: int = 1000
    customers: tuple[str, ...] = ()


@dataclass(slots=True)
class RequestRun:
    """One run of a request; times in ms. `ended` stays 0 if the process ended first."""

    request_id: bytes
    customer: str
    incarnation: int
    started: int
    ended: int = 0


@dataclass(slots=True)
class UpstreamLog:
    """Observations of an upstream for the checker, kept over its restarts; times in ms.

    Attributes:
        runs: Every run of a request.
        misdelivered: Packets that are unreadable or belong to another service or customer, as text.
        bound_excesses: (time, open requests or recent feed openings, bound) for each arrival above
            the cold bound.
        new_work: (time, customer) of each request and feed opening that arrived.
        opened_feeds: Number of feeds opened.
        interrupted: Ids of requests that a planned stop ended while they ran.
    """

    runs: list[RequestRun] = field(default_factory=list)
    misdelivered: list[str] = field(default_factory=list)
    bound_excesses: list[tuple[int, int, int]] = field(default_factory=list)
    new_work: list[tuple[int, str]] = field(default_factory=list)
    opened_feeds: int = 0
    interrupted: list[bytes] = field(default_factory=list)


class RequestTable(Table):
    """Open requests; times in ms. `ends_at` is when a running request is done."""

    __slots__ = ("attempt", "body", "deadline", "ends_at", "request", "run", "source", "state")

    request: "array[int]"
    attempt: "array[int]"
    deadline: "array[int]"
    ends_at: "array[int]"
    state: "array[int]"
    source: list[tuple[Address, UpstreamRequest]]
    body: list[RequestBody]
    run: list[RequestRun]

    COLUMNS = {"request": "Q", "attempt": "Q", "deadline": "q", "ends_at": "q", "state": "B"}
    OBJECT_COLUMNS = {"source": None, "body": None, "run": None}


class FeedTable(Table):
    """Open feeds; times in ms.

    `due_at` is when the next packet is sent, `received_at` when the last one arrived.
    """

    __slots__ = (
        "agent",
        "customer",
        "due_at",
        "opening",
        "received_at",
        "received_packets",
        "sent_packets",
        "session",
    )

    customer: "array[int]"
    due_at: "array[int]"
    received_at: "array[int]"
    received_packets: "array[int]"
    sent_packets: "array[int]"
    agent: list[Address]
    opening: list[FeedPacket]
    session: list[str]

    COLUMNS = {
        "customer": "Q",
        "due_at": "q",
        "received_at": "q",
        "received_packets": "L",
        "sent_packets": "L",
    }
    OBJECT_COLUMNS = {"agent": None, "opening": None, "session": ""}

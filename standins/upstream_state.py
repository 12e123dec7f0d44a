"""Settings, tables and the log of the upstream stand-in."""

__all__ = [
    "FeedTable",
    "Health",
    "RequestTable",
    "RequestRun",
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
    """How truthful the upstream's health endpoint is."""

    HONEST = "honest"
    LAGGING = "lagging"
    LYING = "lying"
    SILENT = "silent"


class WorkState(IntEnum):
    """State of a request in the upstream."""

    WAITING = 1
    RUNNING = 2


@dataclass(slots=True)
class UpstreamSettings:
    """What one upstream is; durations in ms.

    Attributes:
        slots: Requests that run at once when warm.
        cold_limit: Requests that it bears right after its start.
        warmup: Time until it bears one further request.
        cold_opens_per_s: Feed openings a second that it bears per bearable request while cold.
        backlog: Requests that wait inside it before it sheds.
        customers: Names of the only customers it serves; empty for all.
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
    """One start of a request; `ended` stays 0 when the process ended first."""

    request_id: bytes
    customer: str
    incarnation: int
    started: int
    ended: int = 0


@dataclass(slots=True)
class UpstreamLog:
    """What an upstream saw, kept over its restarts for the checker.

    Attributes:
        runs: Every start of a request.
        misdelivered: Packets of another service or customer, as text.
        bound_excesses: (time, work in hand, bound) for each arrival above the cold bound.
        new_work: (time, customer) of arrivals of requests and feed openings.
        opened: Feed openings accepted.
        interrupted: Idents of requests that a planned stop ended while they ran.
    """

    runs: list[RequestRun] = field(default_factory=list)
    misdelivered: list[str] = field(default_factory=list)
    bound_excesses: list[tuple[int, int, int]] = field(default_factory=list)
    new_work: list[tuple[int, str]] = field(default_factory=list)
    opened: int = 0
    interrupted: list[bytes] = field(default_factory=list)


class RequestTable(Table):
    """Requests in hand."""

    __slots__ = ("agent", "attempt", "deadline", "ends", "body", "request", "run", "state")

    request: "array[int]"
    attempt: "array[int]"
    deadline: "array[int]"
    ends: "array[int]"
    state: "array[int]"
    agent: list[tuple[Address, UpstreamRequest]]
    body: list[RequestBody]
    run: list[RequestRun]

    COLUMNS = {"request": "Q", "attempt": "Q", "deadline": "q", "ends": "q", "state": "B"}
    OBJECT_COLUMNS = {"agent": None, "body": None, "run": None}


class FeedTable(Table):
    """Open feeds."""

    __slots__ = ("agent", "customer", "due", "heard", "opening", "received", "sent", "session")

    customer: "array[int]"
    due: "array[int]"
    heard: "array[int]"
    received: "array[int]"
    sent: "array[int]"
    agent: list[Address]
    opening: list[FeedPacket]
    session: list[str]

    COLUMNS = {"customer": "Q", "due": "q", "heard": "q", "received": "L", "sent": "L"}
    OBJECT_COLUMNS = {"agent": None, "opening": None, "session": ""}

"""Load settings, tables and the log of the caller stand-in."""

__all__ = ["CallerLoad", "CallerLog", "FeedEnd", "FeedTable", "RequestEnd", "RequestTable"]

from array import array
from dataclasses import dataclass, field

from shallotshore.tables import Table
from standins.application import RequestBody


@dataclass(slots=True)
class CallerLoad:
    """Load that one caller generates; durations in ms.

    Attributes:
        feeds: Number of feeds to keep open.
        feed_life: Age at which a feed is closed and replaced by a new one; 0 for never.
        rate: Requests per second, at random times.
        non_repeatable: Share of requests that must not run twice.
        cancelled: Share of requests cancelled before their answer.
        work: Minimum and maximum service time of a request.
        size: Minimum and maximum length of an answer in bytes.
        budget: Time that a caller waits for an answer.
        keepalive: Interval between a feed's keepalives.
    """

    feeds: int = 0
    feed_life: int = 0
    rate: float = 0.0
    non_repeatable: float = 0.5
    cancelled: float = 0.0
    work: tuple[int, int] = (20, 60)
    size: tuple[int, int] = (200, 3000)
    budget: int = 3000
    keepalive: int = 1000


@dataclass(slots=True)
class FeedEnd:
    """A feed that the caller did not close itself; times in ms.

    `code` 0 means that its packets stopped.
    """

    customer: str
    flow: int
    session: str
    opened_at: int
    last_received_at: int
    ended: int
    code: int


@dataclass(slots=True)
class RequestEnd:
    """Outcome of one request as reported to its caller; times in ms.

    `outcome` 0 means that no answer arrived.
    """

    customer: str
    request_id: bytes
    repeatable: bool
    cancelled: bool
    created_at: int
    ended: int
    outcome: int
    code: int


@dataclass(slots=True)
class CallerLog:
    """Observations of one caller, read by the checker.

    Attributes:
        broken_feeds: Established feeds that ended although the caller did not close them.
        refused_opens: (time, code) of openings that were refused or never answered.
        requests: Every request that has ended.
        invalid_messages: Answers and feed packets that are damaged or another caller's, as text.
        sessions: Session names of open feeds by flow number.
        received_packets: Feed packets received.
        longest_gap_ms: Longest time in ms between two packets of one feed.
        contradicted_requests: Ids of requests that were reported both as done and as not run.
        answered_late: Ids of requests that were answered after the caller had given up.
    """

    broken_feeds: list[FeedEnd] = field(default_factory=list)
    refused_opens: list[tuple[int, int]] = field(default_factory=list)
    requests: list[RequestEnd] = field(default_factory=list)
    invalid_messages: list[str] = field(default_factory=list)
    sessions: dict[int, str] = field(default_factory=dict)
    received_packets: int = 0
    longest_gap_ms: int = 0
    contradicted_requests: list[bytes] = field(default_factory=list)
    answered_late: set[bytes] = field(default_factory=set)


class FeedTable(Table):
    """Feeds by flow number; times in ms.

    `due_at` is when the next opening or keepalive is sent, `received_at` when the last packet
    arrived.
    """

    __slots__ = ("due_at", "next_sequence", "opened_at", "received_at", "session", "tries")

    due_at: "array[int]"
    received_at: "array[int]"
    opened_at: "array[int]"
    next_sequence: "array[int]"
    tries: "array[int]"
    session: list[str]

    COLUMNS = {
        "due_at": "q",
        "received_at": "q",
        "opened_at": "q",
        "next_sequence": "L",
        "tries": "L",
    }
    OBJECT_COLUMNS = {"session": ""}


class RequestTable(Table):
    """Requests by number; times in ms.

    `due_at` is when a request is sent next, `cancel_at` when it is cancelled (0 for never).
    """

    __slots__ = (
        "body",
        "cancel_at",
        "created_at",
        "due_at",
        "parts",
        "repeatable",
        "request_id",
        "tries",
    )

    created_at: "array[int]"
    due_at: "array[int]"
    cancel_at: "array[int]"
    tries: "array[int]"
    repeatable: "array[int]"
    request_id: list[bytes]
    body: list[RequestBody]
    parts: list[dict[int, bytes]]

    COLUMNS = {"created_at": "q", "due_at": "q", "cancel_at": "q", "tries": "L", "repeatable": "B"}
    OBJECT_COLUMNS = {"request_id": b"", "body": None, "parts": None}

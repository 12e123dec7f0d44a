"""Load settings, tables and the log of the caller stand-in."""

__all__ = ["CallerLoad", "CallerLog", "FeedEnd", "FeedTable", "RequestEnd", "RequestTable"]

from array import array
from dataclasses import dataclass, field

from shallotshore.tables import Table
from standins.application import RequestBody


@dataclass(slots=True)
class CallerLoad:
    """What one caller does; durations in ms.

    Attributes:
        feeds: Feeds that it keeps open.
        feed_life: Time after which it closes a feed and opens the next; 0 for never.
        rate: Requests a second, at random times.
        non_repeatable: Share of requests that must not run twice.
        cancelled: Share of requests cancelled before their answer.
        work: Least and greatest service time of a request.
        size: Least and greatest length of an answer in bytes.
        budget: Time that a caller waits for an answer.
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
    """A feed that the caller did not end itself; `code` 0 says that it fell silent."""

    customer: str
    flow: int
    session: str
    opened: int
    last_received_at: int
    ended: int
    code: int


@dataclass(slots=True)
class RequestEnd:
    """What a caller was told about one request; `outcome` 0 says that it heard nothing."""

    customer: str
    request_id: bytes
    repeatable: bool
    cancelled: bool
    born: int
    ended: int
    outcome: int
    code: int


@dataclass(slots=True)
class CallerLog:
    """What one caller saw, for the checker.

    Attributes:
        broken: Feeds that had been established and ended without the caller's wish.
        refused: (time, code) of openings that were refused or never answered.
        requests: Every request whose outcome is settled.
        invalid_messages: Answers and feed packets that are not the caller's own, or damaged,
            as text.
        sessions: Session names of open feeds by flow number.
        heard: Feed packets received.
        longest_gap_ms: Greatest time between two packets of one feed.
        contradicted_requests: Idents that were told a second outcome.
    """

    broken: list[FeedEnd] = field(default_factory=list)
    refused: list[tuple[int, int]] = field(default_factory=list)
    requests: list[RequestEnd] = field(default_factory=list)
    invalid_messages: list[str] = field(default_factory=list)
    sessions: dict[int, str] = field(default_factory=dict)
    heard: int = 0
    longest_gap_ms: int = 0
    contradicted_requests: list[bytes] = field(default_factory=list)


class FeedTable(Table):
    """Feeds by flow number; `due` is the next opening or keepalive, `heard` the last packet."""

    __slots__ = ("due", "heard", "opened", "sequence", "session", "tries")

    due: "array[int]"
    heard: "array[int]"
    opened: "array[int]"
    sequence: "array[int]"
    tries: "array[int]"
    session: list[str]

    COLUMNS = {"due": "q", "heard": "q", "opened": "q", "sequence": "L", "tries": "L"}
    OBJECT_COLUMNS = {"session": ""}


class RequestTable(Table):
    """Requests by number; `due` is the next sending."""

    __slots__ = ("born", "cancel_at", "due", "request_id", "body", "parts", "repeatable", "tries")

    born: "array[int]"
    due: "array[int]"
    cancel_at: "array[int]"
    tries: "array[int]"
    repeatable: "array[int]"
    request_id: list[bytes]
    body: list[RequestBody]
    parts: list[dict[int, bytes]]

    COLUMNS = {"born": "q", "due": "q", "cancel_at": "q", "tries": "L", "repeatable": "B"}
    OBJECT_COLUMNS = {"request_id": b"", "body": None, "parts": None}

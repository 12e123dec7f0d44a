"""The tables of a packet agent: flows of its upstream, and balancers that want reports."""

from __future__ import annotations

__all__ = ["CLIENT_ENDED", "UPSTREAM_ENDED", "AgentFlowStage", "FlowTable", "SubscriberTable"]

from array import array
from enum import IntEnum

from shallotshore.cursor import Cursor
from shallotshore.packets.upstream_use import RECENT_USE_MS
from shallotshore.tables import MISSING, Table

MAX_FLOW_ROWS = 20_000  # rows; ten times the connections of one upstream
MAX_SUBSCRIBER_ROWS = 1_000
SUBSCRIPTION_LIFETIME_MS = 3_000  # a balancer renews it every 800 ms
SUBSCRIBER_EXPIRY_MS = (
    60_000  # a balancer that restarts without a store is told what the agent holds
)
SWEPT_ROWS_PER_TICK = 16

# Bits of FlowTable.ends.
CLIENT_ENDED = 1
UPSTREAM_ENDED = 2


class AgentFlowStage(IntEnum):
    """What an agent knows of a flow."""

    OFFERED = 1  # the opening packet went to the upstream
    ACCEPTED = 2  # the upstream has accepted it
    OPEN = 3  # the client goes on with it here
    PROBED = 4  # unknown since the agent's start; the upstream has been asked with a packet
    NOT_HELD = 5  # the upstream does not hold it


class FlowTable(Table):
    """Flows by key.

    Columns: `stage` is a FlowStage; `answer_sequence` is the number that the upstream chose when it
    accepted; `client_next` is the number after the client's last byte; `awaits` is 1 while the
    client's data is not answered; `is_confirmed` is 1 when the client has acknowledged just the
    upstream's acceptance, or the upstream has sent more than that; `ends` has CLIENT_ENDED and
    UPSTREAM_ENDED; `touched` is the time of its last packet and `awaited_at` when the client began
    to wait, in ms; `origin` is the balancer that delivered the last packet; `candidates` are the
    hosts that an opening packet can be passed on to, `hops` how often it was.
    """

    __slots__ = (
        "_cursor",
        "answer_sequence",
        "awaited_at",
        "awaits",
        "candidates",
        "client_next",
        "ends",
        "hops",
        "is_confirmed",
        "origin",
        "stage",
        "touched",
    )

    COLUMNS = {
        "stage": "B",
        "answer_sequence": "L",
        "client_next": "L",
        "awaits": "B",
        "is_confirmed": "B",
        "ends": "B",
        "touched": "q",
        "awaited_at": "q",
        "origin": "Q",
        "hops": "B",
    }
    OBJECT_COLUMNS = {"candidates": ()}

    stage: array[int]
    answer_sequence: array[int]
    client_next: array[int]
    awaits: array[int]
    is_confirmed: array[int]
    ends: array[int]
    touched: array[int]
    awaited_at: array[int]
    origin: array[int]
    hops: array[int]
    candidates: list[tuple[int, ...]]

    def __init__(self) -> None:
        super().__init__(MAX_FLOW_ROWS)
        self._cursor = Cursor()

    def next_sweep_rows(self) -> list[int]:
        """Returns the next rows to look at."""
        return self._cursor.take(self, SWEPT_ROWS_PER_TICK)


class SubscriberTable(Table):
    """Balancers by host.

    Columns: `data_centre` is an id; `renewed_at`, `used_at`, `sent_at` and `full_at` are the times
    of its last subscription and its last opening packet, and of the last report and the last whole
    report to it, in ms; `told_health` and
    `told_in_flight` are what the last reports said; `opened` and
    `closed` collect keys of flows for the next report; `is_complete` is 1 when `opened` begins with
    all open flows.
    """

    __slots__ = (
        "closed",
        "data_centre",
        "full_at",
        "is_complete",
        "opened",
        "renewed_at",
        "sent_at",
        "told_health",
        "told_in_flight",
        "used_at",
    )

    COLUMNS = {
        "data_centre": "Q",
        "renewed_at": "q",
        "used_at": "q",
        "sent_at": "q",
        "full_at": "q",
        "told_health": "B",
        "told_in_flight": "H",
        "is_complete": "B",
    }
    OBJECT_COLUMNS = {"opened": b"", "closed": b""}

    data_centre: array[int]
    renewed_at: array[int]
    used_at: array[int]
    sent_at: array[int]
    full_at: array[int]
    told_health: array[int]
    told_in_flight: array[int]
    is_complete: array[int]
    opened: list[bytes]
    closed: list[bytes]

    def __init__(self) -> None:
        super().__init__(MAX_SUBSCRIBER_ROWS)

    def is_subscribed(self, row: int, now: int) -> bool:
        """Whether a subscription is in force."""
        return now - self.renewed_at[row] < SUBSCRIPTION_LIFETIME_MS

    def record_use(self, host: int, now: int) -> None:
        """Notes that a balancer sends new flows here."""
        row = self.row(host)
        if row != MISSING:
            self.used_at[row] = now

    def is_recent_user(self, row: int, now: int) -> bool:
        """Whether a balancer has sent a new flow here lately."""
        return now - self.used_at[row] < RECENT_USE_MS

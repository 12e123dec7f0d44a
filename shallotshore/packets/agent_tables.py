"""Tables of a packet agent: flows of its upstream, and balancers that subscribe to its reports."""

from __future__ import annotations

__all__ = ["CLIENT_ENDED", "UPSTREAM_ENDED", "AgentFlowStage", "FlowTable", "SubscriberTable"]

from array import array
from enum import IntEnum

from shallotshore.cursor import Cursor
from shallotshore.packets.upstream_use import RECENT_USE_MS
from shallotshore.scheduling.terms import RequestTerms
from shallotshore.tables import MISSING, Table

MAX_FLOW_ROWS = 20_000  # ten times the connections of one upstream
MAX_SUBSCRIBER_ROWS = 1_000
# A balancer renews its subscription every 800 ms. After this lifetime a subscriber gets full
# reports only every `EXPIRED_REPORT_INTERVAL_MS`.
SUBSCRIPTION_LIFETIME_MS = 3_000
# A subscriber is removed this long after its last subscription. Until then a balancer that restarts
# while the store is down learns upstreams and flows from the reports that it still gets.
SUBSCRIBER_EXPIRY_MS = 60_000
SWEPT_ROWS_PER_CALL = 64

# Bits of FlowTable.ends.
CLIENT_ENDED = 1
UPSTREAM_ENDED = 2


class AgentFlowStage(IntEnum):
    """What an agent knows of a flow."""

    OFFERED = 1  # the opening packet was sent to the upstream
    ACCEPTED = 2  # the upstream has accepted the flow
    OPEN = 3  # the client uses the flow with this upstream
    PROBED = 4  # not seen since the agent's start; the upstream's reaction to a packet is awaited
    NOT_HELD = 5  # the upstream does not hold the flow


class FlowTable(Table):
    """Flows by key.

    Columns:
        stage: An AgentFlowStage.
        opening_sequence: Sequence number of the client's opening packet.
        has_opening: 1 when `opening_sequence` is known, since this process has seen the opening.
        answer_sequence: Sequence number that the upstream chose when it accepted the flow.
        client_next: Sequence number after the client's last byte.
        awaits_answer: 1 while data of the client is not answered.
        is_confirmed: 1 when the client has acknowledged exactly the upstream's acceptance, or the
            upstream has sent more than the acceptance.
        ends: Bits CLIENT_ENDED and UPSTREAM_ENDED.
        last_packet_at: Time of the flow's last packet, in ms.
        opened_at: When the flow opened, or this process learned of it, in ms.
        idle_ms: Time between the client's last packet and the packet before it, in ms.
        in_flight_at_request: Requests in flight when the client's request began, including it.
        awaiting_since: When the client began to wait for an answer, in ms.
        origin: Host of the balancer that delivered the last packet.
        candidates: Hosts that the opening packet can be passed to.
        is_searched: 1 when the last packet arrived in a Search.
        hops: How many agents have passed the opening packet on.
        terms: Class of the request that the opening packet announced, or None.
        asked_at: When the client sent its first opening packet, in ms.
        offered_at: When the opening packet was first sent to the upstream, in ms; 0 after the
            flow's first request.
    """

    __slots__ = (
        "_cursor",
        "answer_sequence",
        "asked_at",
        "awaiting_since",
        "awaits_answer",
        "candidates",
        "client_next",
        "ends",
        "has_opening",
        "hops",
        "idle_ms",
        "in_flight_at_request",
        "is_confirmed",
        "is_searched",
        "last_packet_at",
        "offered_at",
        "opened_at",
        "opening_sequence",
        "origin",
        "stage",
        "terms",
    )

    COLUMNS = {
        "stage": "B",
        "opening_sequence": "L",
        "has_opening": "B",
        "answer_sequence": "L",
        "client_next": "L",
        "awaits_answer": "B",
        "in_flight_at_request": "H",
        "is_confirmed": "B",
        "is_searched": "B",
        "ends": "B",
        "last_packet_at": "q",
        "opened_at": "q",
        "idle_ms": "q",
        "awaiting_since": "q",
        "origin": "Q",
        "hops": "B",
        "asked_at": "q",
        "offered_at": "q",
    }
    OBJECT_COLUMNS = {"candidates": (), "terms": None}

    stage: array[int]
    opening_sequence: array[int]
    has_opening: array[int]
    answer_sequence: array[int]
    client_next: array[int]
    awaits_answer: array[int]
    in_flight_at_request: array[int]
    is_confirmed: array[int]
    is_searched: array[int]
    ends: array[int]
    last_packet_at: array[int]
    opened_at: array[int]
    idle_ms: array[int]
    awaiting_since: array[int]
    origin: array[int]
    hops: array[int]
    asked_at: array[int]
    offered_at: array[int]
    candidates: list[tuple[int, ...]]
    terms: list[RequestTerms | None]

    def __init__(self) -> None:
        super().__init__(MAX_FLOW_ROWS)
        self._cursor = Cursor()

    def is_reopening(self, row: int, sequence: int) -> bool:
        """Whether an opening packet starts a new flow from the port of an open one.

        Args:
            row: Row of the open flow.
            sequence: Sequence number of the opening packet.
        """
        if self.ends[row] == CLIENT_ENDED | UPSTREAM_ENDED:
            return True
        return bool(self.has_opening[row]) and sequence != self.opening_sequence[row]

    def next_sweep_rows(self) -> list[int]:
        """Returns the rows to check for expiry in this sweep."""
        return self._cursor.take(self, SWEPT_ROWS_PER_CALL)


class SubscriberTable(Table):
    """Balancers by host.

    Columns:
        data_centre: Id of the balancer's data centre.
        renewed_at: Time of the balancer's last subscription, in ms.
        last_opening_at: Time of the last opening packet from the balancer, in ms.
        sent_at: Time of the last full report or load report to the balancer, in ms.
        full_report_sent_at: Time of the last full report to the balancer, in ms.
        reported_health: Health in the last full report.
        reported_in_flight: Requests in flight in the last report.
        opened: Keys of opened flows for the next report, 8 bytes each.
        closed: Keys of closed flows for the next report, 8 bytes each.
        is_complete: Value of `is_complete` in the next full report; 1 when `opened` begins with the
            keys of all open flows.
    """

    __slots__ = (
        "closed",
        "data_centre",
        "full_report_sent_at",
        "is_complete",
        "last_opening_at",
        "opened",
        "renewed_at",
        "reported_health",
        "reported_in_flight",
        "sent_at",
    )

    COLUMNS = {
        "data_centre": "Q",
        "renewed_at": "q",
        "last_opening_at": "q",
        "sent_at": "q",
        "full_report_sent_at": "q",
        "reported_health": "B",
        "reported_in_flight": "H",
        "is_complete": "B",
    }
    OBJECT_COLUMNS = {"opened": b"", "closed": b""}

    data_centre: array[int]
    renewed_at: array[int]
    last_opening_at: array[int]
    sent_at: array[int]
    full_report_sent_at: array[int]
    reported_health: array[int]
    reported_in_flight: array[int]
    is_complete: array[int]
    opened: list[bytes]
    closed: list[bytes]

    def __init__(self) -> None:
        super().__init__(MAX_SUBSCRIBER_ROWS)

    def is_subscribed(self, row: int, now: int) -> bool:
        """Whether a subscription is in force."""
        return now - self.renewed_at[row] < SUBSCRIPTION_LIFETIME_MS

    def record_use(self, host: int, now: int) -> None:
        """Records that a balancer sends new flows to this agent."""
        row = self.row(host)
        if row != MISSING:
            self.last_opening_at[row] = now

    def is_recent_user(self, row: int, now: int) -> bool:
        """Whether a balancer has recently sent a new flow to this agent."""
        return now - self.last_opening_at[row] < RECENT_USE_MS

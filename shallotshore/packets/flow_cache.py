"""A balancer's cache of flows: which upstream is believed to own each of them."""

from __future__ import annotations

__all__ = ["CachedFlowStage", "FlowCache", "SearchScope"]

from array import array
from enum import IntEnum

from shallotshore.cursor import Cursor
from shallotshore.packets.packet import Packet
from shallotshore.tables import MISSING, Table

MAX_FLOW_ROWS = 300_000  # a full table loses no flow, since owners can be found by a search
FLOW_EXPIRY_MS = 75_000  # after the last packet of the flow; a flow can live for 60 s
SWEPT_ROWS_PER_CALL = 8  # every 20 ms; a table of 35,000 flows is swept in 90 s
# Limit on the upstreams that one flow is offered to. After this number of offers the flow is
# offered again only when the client retransmits its opening packet.
MAX_TRIED_UPSTREAMS = 3
# A client that no reset has reached goes on for some seconds. Each search would need a check.
MAX_LOST_MS = 5_000
MAX_WAITING_PACKETS = 16  # of one flow; a client has no more in flight


class CachedFlowStage(IntEnum):
    """What a balancer knows of a flow."""

    OPENING = 1  # offered to one or more upstreams
    OWNED = 2  # an agent has reported that its upstream holds the flow
    SEARCHING = 3  # agents are queried for the owner
    LOST = 4  # no upstream holds the flow any more; the client's packets are answered by a reset


class SearchScope(IntEnum):
    """Which agents are queried for the owner of a flow."""

    SAME_DATA_CENTRE = 0  # agents of the route's services in the balancer's own data centre
    ROUTE_SERVICES = 1  # agents of the route's services in all data centres
    ALL_AGENTS = 2


class FlowCache(Table):
    """Flows by key.

    Columns:
        stage: A CachedFlowStage.
        owner: Host of the upstream that owns the flow.
        service: Id of the service that the owner served when it was found.
        first_host, second_host, third_host: Hosts that the flow was offered to, 0 for none.
        offer_count: How often the flow was offered.
        last_packet_at: Time of the client's last packet, in ms.
        last_sent_at: Time of the last offer or search message, in ms.
        search_started_at: When the search for the owner began, in ms.
        scope: A SearchScope.
        query_count: How often the agents in the scope have been queried.
        queried_hosts: Number of agents in the scope.
        repeat_count: How often the balancer itself has repeated the queries of the search.
        repeated_at: When the queries were first sent or last repeated, in ms.
        lost_at: When the flow was found to be lost, in ms.
        pending_packet: The client's packet while an offer or a search is pending, else None.
        waiting: Further packets of the client that arrived during a search, or None.
        denied: Hosts that do not hold the flow, each with the time of its denial in ms, or None.
    """

    __slots__ = (
        "_cursor",
        "_scheduled_rows",
        "denied",
        "first_host",
        "last_packet_at",
        "last_sent_at",
        "lost_at",
        "offer_count",
        "owner",
        "pending_packet",
        "queried_hosts",
        "query_count",
        "repeat_count",
        "repeated_at",
        "scope",
        "search_started_at",
        "second_host",
        "service",
        "stage",
        "third_host",
        "waiting",
    )

    COLUMNS = {
        "stage": "B",
        "owner": "Q",
        "service": "Q",
        "first_host": "Q",
        "second_host": "Q",
        "third_host": "Q",
        "last_packet_at": "q",
        "last_sent_at": "q",
        "search_started_at": "q",
        "scope": "B",
        "query_count": "B",
        "queried_hosts": "H",
        "repeat_count": "B",
        "repeated_at": "q",
        "offer_count": "B",
        "lost_at": "q",
    }
    OBJECT_COLUMNS = {"pending_packet": None, "denied": None, "waiting": None}

    stage: array[int]
    owner: array[int]
    service: array[int]
    first_host: array[int]
    second_host: array[int]
    third_host: array[int]
    last_packet_at: array[int]
    last_sent_at: array[int]
    search_started_at: array[int]
    scope: array[int]
    query_count: array[int]
    queried_hosts: array[int]
    repeat_count: array[int]
    repeated_at: array[int]
    offer_count: array[int]
    lost_at: array[int]
    pending_packet: list[Packet | None]
    denied: list[dict[int, int] | None]
    waiting: list[list[Packet] | None]

    def __init__(self) -> None:
        super().__init__(MAX_FLOW_ROWS)
        self._cursor = Cursor()
        self._scheduled_rows: list[int] = []

    def schedule_check(self, row: int) -> None:
        """Adds a row to those that the next `pop_scheduled_checks` returns."""
        self._scheduled_rows.append(row)

    def pop_scheduled_checks(self) -> list[int]:
        """Removes and returns the rows that were added since the last call."""
        rows = self._scheduled_rows
        self._scheduled_rows = []
        return rows

    def tried(self, row: int) -> list[int]:
        """Returns the hosts that a flow was offered to, in order."""
        hosts = (self.first_host[row], self.second_host[row], self.third_host[row])
        return [host for host in hosts if host]

    def record_tried(self, row: int, host: int) -> None:
        """Adds a host to those that a flow was offered to; a fourth host replaces the third."""
        if host in self.tried(row):
            return
        if not self.first_host[row]:
            self.first_host[row] = host
        elif not self.second_host[row]:
            self.second_host[row] = host
        else:
            self.third_host[row] = host

    def set_owner(self, key: int, host: int, service: int, now: int) -> None:
        """Records the owner of a flow, unless the table is full.

        Args:
            key: Key of the flow.
            host: Host of the upstream that owns the flow.
            service: Id of the service that the host serves.
            now: Time in ms.
        """
        row = self.add(key)
        if row == MISSING:
            return
        self.stage[row] = CachedFlowStage.OWNED
        self.owner[row] = host
        self.service[row] = service
        self.last_packet_at[row] = now
        self.pending_packet[row] = None
        self.denied[row] = None

    def mark_lost(self, row: int, now: int) -> None:
        """Records at `now` (ms) that no upstream holds a flow any more."""
        self.stage[row] = CachedFlowStage.LOST
        self.lost_at[row] = now
        self.pending_packet[row] = self.waiting[row] = None

    def is_lost(self, row: int, now: int) -> bool:
        """Whether a flow was found to be lost a moment ago.

        The client may use its port again, and open the flow at another balancer.
        """
        return self.stage[row] == CachedFlowStage.LOST and now - self.lost_at[row] <= MAX_LOST_MS

    def add_waiting(self, row: int, packet: Packet) -> None:
        """Keeps a packet until the owner of its flow is found, unless the limit is reached."""
        waiting = self.waiting[row]
        if waiting is None:
            waiting = self.waiting[row] = []
        if len(waiting) < MAX_WAITING_PACKETS and all(packet.frame != w.frame for w in waiting):
            waiting.append(packet)

    def take_waiting(self, key: int) -> list[Packet]:
        """Removes and returns the packets that wait for the owner of a flow."""
        row = self.row(key)
        if row == MISSING:
            return []
        waiting = self.waiting[row] or []
        self.waiting[row] = None
        return waiting

    def expire_flows(self, now: int) -> None:
        """Removes flows that have had no packets for long, checking a few rows at a time."""
        for row in self._cursor.take(self, SWEPT_ROWS_PER_CALL):
            if now - self.last_packet_at[row] > FLOW_EXPIRY_MS:
                self.remove(self.key[row])

"""A balancer's table of flows: where it believes that each one lives."""

from __future__ import annotations

__all__ = ["FlowCache", "CachedFlowStage", "SearchScope"]

from array import array
from enum import IntEnum

from shallotshore.cursor import Cursor
from shallotshore.packets.packet import Packet
from shallotshore.tables import MISSING, Table

MAX_FLOW_ROWS = 300_000  # rows; a full table loses no flow, since owners are found by a search
FLOW_EXPIRY_MS = 75_000  # after the last packet; flows may be 60 s old
SWEPT_ROWS_PER_TICK = 32  # rows looked at in one tick
MAX_TRIED_UPSTREAMS = 3  # upstreams that one flow may be offered to


class CachedFlowStage(IntEnum):
    """What a balancer knows of a flow."""

    OPENING = 1  # offered to the upstreams that were tried
    OWNED = 2  # an agent has named itself the owner
    SEARCHING = 3  # all agents of the service are asked
    LOST = 4  # its upstream holds it no more; the client is told


class SearchScope(IntEnum):
    """Which agents are asked for the owner of a flow."""

    SAME_DATA_CENTRE = 0  # those of the route's services in the own data centre
    ROUTE_SERVICES = 1  # all of the route's services
    ALL_AGENTS = 2


class FlowCache(Table):
    """Flows by key.

    Columns: `stage` is a FlowStage; `owner` is a host and `service` what it served when the flow
    was found there; `first`, `second` and `third` are the hosts that were offered the flow and
    `offers` counts how often it was; `touched`, `asked_at` and `searched_at` are the times of its
    last packet, of the last offer or question and of the start of the search, in ms; `scope` is a
    SearchScope. `pending` keeps the client's packet while the flow is offered or searched for,
    `denied` the hosts that do not hold the flow, with times.
    """

    __slots__ = (
        "_cursor",
        "_scheduled_rows",
        "asked_at",
        "denied",
        "first",
        "offers",
        "pending",
        "owner",
        "scope",
        "searched_at",
        "second",
        "service",
        "stage",
        "third",
        "touched",
    )

    COLUMNS = {
        "stage": "B",
        "owner": "Q",
        "service": "Q",
        "first": "Q",
        "second": "Q",
        "third": "Q",
        "touched": "q",
        "asked_at": "q",
        "searched_at": "q",
        "scope": "B",
        "offers": "B",
    }
    OBJECT_COLUMNS = {"pending": None, "denied": None}

    stage: array[int]
    owner: array[int]
    service: array[int]
    first: array[int]
    second: array[int]
    third: array[int]
    touched: array[int]
    asked_at: array[int]
    searched_at: array[int]
    scope: array[int]
    offers: array[int]
    pending: list[Packet | None]
    denied: list[dict[int, int] | None]

    def __init__(self) -> None:
        super().__init__(MAX_FLOW_ROWS)
        self._cursor = Cursor()
        self._scheduled_rows: list[int] = []

    def schedule_check(self, row: int) -> None:
        """Names a row for the next `pop_scheduled_checks`."""
        self._scheduled_rows.append(row)

    def pop_scheduled_checks(self) -> list[int]:
        """Returns the rows named since the last call."""
        rows = self._scheduled_rows
        self._scheduled_rows = []
        return rows

    def tried(self, row: int) -> list[int]:
        """Returns the hosts that were offered a flow."""
        hosts = (self.first[row], self.second[row], self.third[row])
        return [host for host in hosts if host]

    def record_tried(self, row: int, host: int) -> None:
        """Adds a host to those that were offered a flow."""
        if host in self.tried(row):
            return
        if not self.first[row]:
            self.first[row] = host
        elif not self.second[row]:
            self.second[row] = host
        else:
            self.third[row] = host

    def set_owner(self, key: int, host: int, service: int, now: int) -> None:
        """Notes the owner of a flow and what it serves; a full table notes nothing."""
        row = self.add(key)
        if row == MISSING:
            return
        self.stage[row] = CachedFlowStage.OWNED
        self.owner[row] = host
        self.service[row] = service
        self.touched[row] = now
        self.pending[row] = None
        self.denied[row] = None

    def expire_flows(self, now: int) -> None:
        """Forgets flows without packets, a few rows at a time."""
        for row in self._cursor.take(self, SWEPT_ROWS_PER_TICK):
            if now - self.touched[row] > FLOW_EXPIRY_MS:
                self.remove(self.key[row])

"""Table of the callers' requests that a balancer handles or has recently answered."""

__all__ = ["CLAIM_LEASE_MS", "REQUEST_LIFETIME_MS", "PendingState", "PendingTable"]

import heapq
from array import array
from enum import IntEnum

from shallotshore.caller_messages import CallerAnswer
from shallotshore.messages import Address
from shallotshore.placement import REQUEST_LIFETIME_MS
from shallotshore.tables import MISSING, Table

CLAIM_LEASE_MS = 14_000  # lifetime of a request plus twice the greatest packet delay of 2 s
_MAX_REQUESTS = 16_384
_NO_ADDRESS: Address = ("", 0)


class PendingState(IntEnum):
    """What a pending request waits for."""

    WAITING = 1  # waits for its turn, or for the end of a backoff
    RUNNING = 2  # waits for an answer to an attempt
    VOIDING = 3  # waits for the proof that the request was not run, or for a late answer
    RECEIVING_PARTS = 4  # waits for the missing parts of an answer, and holds no slot any more
    FINISHED = 5  # waits for resends of the caller, which get the same answer again


class PendingTable(Table):
    """One row per request key, with a heap of the times at which rows are due.

    Columns: `service`, `customer`, `repeatable`, `state`, `arrived_at` and `deadline` (ms), `age`
    at arrival (ms), `due_at` (ms), `attempt_id` (of the last attempt), `attempt_count`, `resends`
    (of the last attempt), `sent_at` (ms), `upstream` (whose load counts the request, or 0),
    `reason` (code of the last refusal), `cancelled`. Object columns: `request_id` as given by the
    caller, `payload`, `caller`, `vip`, `attempt_ids`, `candidates` (of the last attempt),
    `tried_upstreams` (which the next attempt tries last) and `final_answers` (as sent).
    """

    __slots__ = (
        "_due_heap",
        "age",
        "arrived_at",
        "attempt_count",
        "attempt_id",
        "attempt_ids",
        "caller",
        "cancelled",
        "candidates",
        "customer",
        "deadline",
        "due_at",
        "final_answers",
        "payload",
        "reason",
        "repeatable",
        "request_id",
        "resends",
        "sent_at",
        "service",
        "state",
        "tried_upstreams",
        "upstream",
        "vip",
    )

    age: "array[int]"
    arrived_at: "array[int]"
    attempt_id: "array[int]"
    cancelled: "array[int]"
    customer: "array[int]"
    deadline: "array[int]"
    due_at: "array[int]"
    attempt_count: "array[int]"
    reason: "array[int]"
    repeatable: "array[int]"
    resends: "array[int]"
    sent_at: "array[int]"
    service: "array[int]"
    state: "array[int]"
    upstream: "array[int]"
    attempt_ids: list[tuple[int, ...]]
    caller: list[Address]
    final_answers: list[tuple[CallerAnswer, ...]]
    candidates: list[tuple[int, ...]]
    payload: list[bytes]
    request_id: list[bytes]
    tried_upstreams: list[tuple[int, ...]]
    vip: list[Address]

    COLUMNS = {
        "age": "L",
        "arrived_at": "q",
        "attempt_id": "Q",
        "cancelled": "B",
        "customer": "Q",
        "deadline": "q",
        "due_at": "q",
        "attempt_count": "B",
        "reason": "H",
        "repeatable": "B",
        "resends": "B",
        "sent_at": "q",
        "service": "Q",
        "state": "B",
        "upstream": "Q",
    }
    OBJECT_COLUMNS = {
        "attempt_ids": (),
        "caller": _NO_ADDRESS,
        "final_answers": (),
        "candidates": (),
        "payload": b"",
        "request_id": b"",
        "tried_upstreams": (),
        "vip": _NO_ADDRESS,
    }

    def __init__(self, limit: int = _MAX_REQUESTS) -> None:
        """Creates an empty table."""
        super().__init__(limit)
        self._due_heap: list[tuple[int, int]] = []

    def schedule(self, row: int, due_at: int) -> None:
        """Sets the time (ms) at which a row is due next; replaces the time set before."""
        self.due_at[row] = due_at
        heapq.heappush(self._due_heap, (due_at, self.key[row]))

    def pop_due(self, now: int) -> list[int]:
        """Returns the rows that are due at `now` (ms)."""
        rows = []
        while self._due_heap and self._due_heap[0][0] <= now:
            due_at, key = heapq.heappop(self._due_heap)
            row = self.row(key)
            if row != MISSING and self.due_at[row] == due_at:
                self.due_at[row] = -1
                rows.append(row)
        return rows

    def age_at(self, row: int, now: int) -> int:
        """Returns the age of a request in ms at `now` (ms)."""
        return self.age[row] + now - self.arrived_at[row]

"""Proof that a request was not run and will not be: void grants of a quorum of witnesses."""

__all__ = ["Verdicts"]

from array import array

from shallotshore.balancer_state import BalancerState
from shallotshore.codes import Code
from shallotshore.messages import Void, VoidReply
from shallotshore.pending import CLAIM_LEASE_MS
from shallotshore.placement import quorum
from shallotshore.tables import MISSING, Table

_FIRST_RESEND_MS = 40  # above the round trip between data centres
_MAX_RESEND_MS = 640
_ROWS = 16_384


class VoidTable(Table):
    """Voids under way.

    Columns: `attempt`, `service`, `born` (when the request began, ms), `granted` and `refused` (a
    bit per witness), `due` (ms), `round`. Object column: `witnesses`.
    """

    __slots__ = ("attempt", "born", "due", "granted", "refused", "round", "service", "witnesses")

    attempt: "array[int]"
    born: "array[int]"
    due: "array[int]"
    granted: "array[int]"
    refused: "array[int]"
    round: "array[int]"
    service: "array[int]"
    witnesses: list[tuple[int, ...]]

    COLUMNS = {
        "attempt": "Q",
        "born": "q",
        "due": "q",
        "granted": "B",
        "refused": "B",
        "round": "B",
        "service": "Q",
    }
    OBJECT_COLUMNS = {"witnesses": ()}


class Verdicts:
    """System that sends voids and counts their grants.

    After each tick `proven` holds the keys of requests that a quorum has voided and `held` those
    that more witnesses hold a claim of than a quorum of voids leaves over.
    """

    __slots__ = ("_state", "_voids", "held", "proven")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._voids = VoidTable(_ROWS)
        self.proven: list[int] = []
        self.held: list[int] = []

    def begin(self, key: int, service: int, age: int, now: int) -> None:
        """Starts to void a request; does nothing when that is under way.

        Args:
            key: Request key.
            service: Id of the service.
            age: Age of the request in ms.
            now: Time in ms.
        """
        if key in self._voids:
            return
        row = self._voids.add(key)
        if row == MISSING:
            self._state.counters.add("voids.table_full")
            return
        self._voids.service[row] = service
        self._voids.attempt[row] = self._state.rng.getrandbits(64)
        self._voids.witnesses[row] = self._state.placement.witnesses(service, key)
        self._voids.born[row] = now - age
        self._send(row, now)

    def end(self, key: int) -> None:
        """Stops sending voids of a request."""
        self._voids.remove(key)

    def run(self, now: int) -> None:
        """Takes replies and resends voids that are due."""
        self.proven.clear()
        self.held.clear()
        for _, reply in self._state.inbox.take(VoidReply):
            self._take(reply)
        for row in self._voids.rows():
            if now >= self._voids.due[row]:
                self._send(row, now)

    def _send(self, row: int, now: int) -> None:
        state = self._state
        voids = self._voids
        key = voids.key[row]
        service = voids.service[row]
        self._follow_table(row)
        age = now - voids.born[row]
        membership = state.catalog.membership(service)
        void = Void(key, voids.attempt[row], service, age, CLAIM_LEASE_MS, membership)
        for position, witness in enumerate(voids.witnesses[row]):
            if not voids.granted[row] >> position & 1:
                state.send_to(witness, void)
        voids.due[row] = now + min(_MAX_RESEND_MS, _FIRST_RESEND_MS << voids.round[row])
        voids.round[row] = min(voids.round[row] + 1, 8)

    def _follow_table(self, row: int) -> None:
        """Starts the count again when the witnesses have changed."""
        voids = self._voids
        witnesses = self._state.placement.witnesses(voids.service[row], voids.key[row])
        if witnesses != voids.witnesses[row]:
            voids.witnesses[row] = witnesses
            voids.granted[row] = 0
            voids.refused[row] = 0

    def _take(self, reply: VoidReply) -> None:
        voids = self._voids
        row = voids.row(reply.key)
        if row == MISSING or voids.attempt[row] != reply.attempt:
            self._state.counters.add("voids.late_replies")
            return
        witnesses = voids.witnesses[row]
        if reply.witness not in witnesses:
            self._state.counters.add("voids.strange_replies")
            return
        bit = 1 << witnesses.index(reply.witness)
        needed = quorum(len(witnesses))
        if reply.code == Code.OK:
            voids.granted[row] |= bit
            voids.refused[row] &= ~bit
            if voids.granted[row].bit_count() >= needed:
                self.proven.append(reply.key)
                self.end(reply.key)
        elif reply.code == Code.HELD and not voids.refused[row] & bit:
            voids.granted[row] &= ~bit
            voids.refused[row] |= bit
            if voids.refused[row].bit_count() == len(witnesses) - needed + 1:
                self.held.append(reply.key)

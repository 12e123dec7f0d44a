"""Proof that a request was not run and never will be.

A void asks the witnesses of the request's key to refuse all later claims of it. Once a quorum has
granted the void, no agent can start the request any more.
"""

__all__ = ["VoidSystem"]

from array import array

from shallotshore.balancer_state import BalancerState
from shallotshore.claim_messages import Void, VoidReply
from shallotshore.codes import Code
from shallotshore.pending import CLAIM_LEASE_MS
from shallotshore.placement import quorum_size
from shallotshore.tables import MISSING, Table

_FIRST_RESEND_MS = 40  # longer than a round trip between data centres
_MAX_RESEND_MS = 640
# Longer than any round trip in use; a former witness silent for longer counts as gone.
_FORMER_WAIT_MS = 150
_MAX_FORMER_WITNESSES = 32
_MAX_VOIDS = 16_384


class VoidTable(Table):
    """Voids whose proof is not complete.

    Columns: `attempt` (random id of the void), `service`, `request_started_at` (at the caller, ms),
    `granted`, `refused` and `replied` (a bit for each witness asked), `due_at` (next send, ms),
    `asked_at` (when the present witnesses were first asked, ms), `send_count`. Object columns:
    `witnesses` (present ones) and `former` (witnesses by former sets of the service's upstreams).
    """

    __slots__ = (
        "asked_at",
        "attempt",
        "due_at",
        "former",
        "granted",
        "refused",
        "replied",
        "request_started_at",
        "send_count",
        "service",
        "witnesses",
    )

    attempt: "array[int]"
    request_started_at: "array[int]"
    due_at: "array[int]"
    granted: "array[int]"
    replied: "array[int]"
    refused: "array[int]"
    send_count: "array[int]"
    service: "array[int]"
    asked_at: "array[int]"
    former: list[tuple[int, ...]]
    witnesses: list[tuple[int, ...]]

    COLUMNS = {
        "attempt": "Q",
        "request_started_at": "q",
        "due_at": "q",
        "granted": "Q",
        "replied": "Q",
        "refused": "Q",
        "send_count": "B",
        "service": "Q",
        "asked_at": "q",
    }
    OBJECT_COLUMNS = {"former": (), "witnesses": ()}


class VoidSystem:
    """System that sends voids and counts their grants.

    Attributes:
        voided_keys: Keys whose proof was completed in this tick: the requests were not run.
        held_keys: Keys found in this tick that can't be voided now: so many witnesses keep a claim
            that the remaining witnesses are too few for a quorum.
    """

    __slots__ = ("_next_due", "_state", "_voids", "held_keys", "voided_keys")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._voids = VoidTable(_MAX_VOIDS)
        self._next_due = 0
        self.voided_keys: list[int] = []
        self.held_keys: list[int] = []

    def start_void(self, key: int, service: int, age: int, now: int) -> None:
        """Starts to void a request; does nothing when its void is being sent already.

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
        self._voids.request_started_at[row] = now - age
        self._send_voids(row, now)

    def stop_void(self, key: int) -> None:
        """Stops sending voids of a request."""
        self._voids.remove(key)

    def run(self, now: int) -> None:
        """Handles replies and resends the voids that are due."""
        self.voided_keys.clear()
        self.held_keys.clear()
        for _, reply in self._state.inbox.take(VoidReply):
            self._handle_reply(reply, now)
        if now < self._next_due:
            return
        for row in self._voids.rows():
            if now >= self._voids.due_at[row] and not self._finish_if_proven(row, now):
                self._send_voids(row, now)
        self._next_due = min((self._voids.due_at[row] for row in self._voids.rows()), default=now)

    def _finish_if_proven(self, row: int, now: int) -> bool:
        if not self._is_proven(row, now):
            return False
        self.voided_keys.append(self._voids.key[row])
        self.stop_void(self._voids.key[row])
        return True

    def _send_voids(self, row: int, now: int) -> None:
        state = self._state
        voids = self._voids
        key = voids.key[row]
        service = voids.service[row]
        self._update_witnesses(row, now)
        age = now - voids.request_started_at[row]
        membership = state.catalog.membership(service)
        void = Void(key, voids.attempt[row], service, age, CLAIM_LEASE_MS, membership)
        for position, witness in enumerate(voids.witnesses[row] + voids.former[row]):
            if not voids.granted[row] >> position & 1:
                state.send_to_upstream(witness, void)
        voids.due_at[row] = now + min(_MAX_RESEND_MS, _FIRST_RESEND_MS << voids.send_count[row])
        self._next_due = min(self._next_due, voids.due_at[row])
        voids.send_count[row] = min(voids.send_count[row] + 1, 8)

    def _update_witnesses(self, row: int, now: int) -> None:
        """Updates the witnesses to ask; discards all replies if the witnesses have changed."""
        voids = self._voids
        placement = self._state.placement
        witnesses = placement.witnesses(voids.service[row], voids.key[row])
        former = placement.former_witnesses(voids.service[row], voids.key[row])[
            :_MAX_FORMER_WITNESSES
        ]
        if witnesses != voids.witnesses[row] or not set(former) <= set(voids.former[row]):
            voids.witnesses[row] = witnesses
            voids.former[row] = former
            voids.granted[row] = voids.refused[row] = voids.replied[row] = 0
            voids.asked_at[row] = now

    def _is_proven(self, row: int, now: int) -> bool:
        """Returns whether it is proven that no attempt was or will be started.

        The present witnesses must have granted the void. If there are former witnesses, they must
        have replied, or the time to wait for them must be over; a witness that has refused because
        it keeps a claim then prevents the proof.
        """
        voids = self._voids
        count = len(voids.witnesses[row])
        granted = (voids.granted[row] & ((1 << count) - 1)).bit_count()
        # While former witnesses may be unknown, a quorum is not enough and all present witnesses
        # must grant. If two present witnesses were in a former set of witnesses, every quorum of
        # that set includes at least one of the two.
        age = now - voids.request_started_at[row]
        knows_former_witnesses = self._state.placement.knows_former_witnesses(
            voids.service[row], age
        )
        if granted < (quorum_size(count) if knows_former_witnesses else max(count, 1)):
            return False
        if not voids.former[row]:
            return True
        all_witnesses = (1 << count + len(voids.former[row])) - 1
        is_complete = (
            voids.replied[row] == all_witnesses or now - voids.asked_at[row] >= _FORMER_WAIT_MS
        )
        return is_complete and not voids.refused[row]

    def _handle_reply(self, reply: VoidReply, now: int) -> None:
        voids = self._voids
        row = voids.row(reply.key)
        if row == MISSING or voids.attempt[row] != reply.attempt:
            self._state.counters.add("voids.late_replies")
            return
        asked = voids.witnesses[row] + voids.former[row]
        if reply.witness not in asked:
            self._state.counters.add("voids.strange_replies")
            return
        bit = 1 << asked.index(reply.witness)
        voids.replied[row] |= bit
        if reply.code == Code.OK:
            voids.granted[row] |= bit
            voids.refused[row] &= ~bit
            self._finish_if_proven(row, now)
        elif reply.code == Code.HELD and not voids.refused[row] & bit:
            voids.granted[row] &= ~bit
            voids.refused[row] |= bit
            count = len(voids.witnesses[row])
            if voids.refused[row].bit_count() == count - quorum_size(count) + 1:
                self.held_keys.append(reply.key)

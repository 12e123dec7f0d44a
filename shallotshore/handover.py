"""Handover of request claims from a stopping witness to its successor.

The claims are stored by one other agent, the recipient, until the successor asks for them. Without
a handover, a restarted witness does not know what it had granted and must refuse all requests for
2 s; planned restarts of two witnesses within that time leave keys without a quorum.

A handover must not be used once a later process of the same witness has granted claims, since the
handover lacks them. So there is a single recipient, which gives the handover only to the first
successor that asks, and only for 1 s. Within that time, an earlier successor that never reached the
recipient can't have granted anything, since a process without a handover grants nothing in its
first 2 s.
"""

__all__ = ["HandoverSystem"]

from functools import singledispatch

from shallotshore.agent_state import AgentState
from shallotshore.agent_tables import HandoverTable
from shallotshore.claim_messages import Handover, HandoverQuery, HandoverReceived
from shallotshore.claims import list_claims_to_hand_over, record_handed_claim
from shallotshore.messages import Address, HandedClaim, HealthState, Message
from shallotshore.tables import MISSING

CLAIMS_PER_PART = 16  # keeps a datagram below 1,200 bytes
MAX_PARTS = 1_024
RESEND_INTERVAL_MS = 50
MAX_HANDOVER_MS = 500  # the agent stops after this time even if the recipient has not confirmed
QUERY_WINDOW_MS = 1_000  # after its start, an agent asks for a handover during this time
# A successor that asks later than this after the receipt of the handover gets none and relies on
# its own uptime.
SERVE_WINDOW_MS = 1_000
HANDOVER_RETENTION_MS = 30_000  # for this long, a recipient knows which successor it has served
RECIPIENT_SILENT_AFTER_MS = 1_500  # a peer not heard for this long is not chosen as recipient


class HandoverSystem:
    """System for all three roles in a handover: stopping agent, recipient and successor."""

    __slots__ = ("_deadline", "_next_send", "_parts", "_recipient", "_state", "_waiting")

    def __init__(self, state: AgentState) -> None:
        self._state = state
        self._recipient = 0
        self._parts: dict[int, Handover] = {}
        self._deadline = 0
        self._next_send = 0
        self._waiting: set[int] | None = None

    def run(self, now: int) -> None:
        """Runs the step at `now` (ms)."""
        state = self._state
        for message_type in (Handover, HandoverQuery):
            for source, message in state.inbox.take(message_type):
                _handle(message, state, source, now)
        for _, received in state.inbox.take(HandoverReceived):
            if received.incarnation == state.config.incarnation:
                self._parts.pop(received.part, None)
        if now < self._next_send:
            return
        self._next_send = now + RESEND_INTERVAL_MS
        for part in self._parts.values():
            state.send_to_peer(self._recipient, part)
        if now - state.phase.started < QUERY_WINDOW_MS:
            self._send_query()
        _expire_handovers(state, now)

    def start(self, now: int) -> None:
        """Stops granting claims as a witness and starts to hand over the claims in force."""
        state = self._state
        state.phase.is_handing_over = True
        self._deadline = now + MAX_HANDOVER_MS
        self._recipient = _choose_recipient(state, now)
        if not self._recipient:
            return
        claims = list_claims_to_hand_over(state, now)
        count = max(1, -(-len(claims) // CLAIMS_PER_PART))
        if count > MAX_PARTS:
            state.counters.add("handovers_too_large")
            return
        uptime = now - state.phase.grants_complete_since
        for part in range(count):
            chunk = tuple(claims[part * CLAIMS_PER_PART : (part + 1) * CLAIMS_PER_PART])
            self._parts[part] = Handover(
                state.service, state.own_id, state.config.incarnation, 0, uptime, part, count, chunk
            )
        self._next_send = now

    def is_done(self, now: int) -> bool:
        """Returns whether the recipient has confirmed all parts or the time limit has passed."""
        return not self._parts or now >= self._deadline

    def _send_query(self) -> None:
        """Asks every peer for the handover until it is complete, as any may be the recipient."""
        state = self._state
        if state.own_id in state.handovers and _has_all_parts(
            state, state.handovers.row(state.own_id)
        ):
            return
        query = HandoverQuery(state.service, state.own_id, state.config.incarnation)
        for peer in state.peer_ids():
            state.send_to_peer(peer, query)


def _choose_recipient(state: AgentState, now: int) -> int:
    """Returns the id of the working peer that has been up longest, or 0 when there is none."""
    peers = state.peers
    working = (HealthState.UP, HealthState.COLD, HealthState.STALLED)
    candidates = []
    for peer in state.peer_ids():
        row = peers.row(peer)
        if (
            row != MISSING
            and now - peers.heard[row] < RECIPIENT_SILENT_AFTER_MS
            and peers.state[row] in working
        ):
            candidates.append((peers.agent_incarnation[row], peer))
    return min(candidates)[1] if candidates else 0


@singledispatch
def _handle(message: Message, state: AgentState, source: Address, now: int) -> None:
    raise TypeError(f"no handler for a message of type {type(message).__name__}")


@_handle.register
def _(message: Handover, state: AgentState, source: Address, now: int) -> None:
    is_own = message.owner == state.own_id
    expected = state.config.incarnation if is_own else 0
    is_valid = message.service == state.service and 0 <= message.part < message.parts <= MAX_PARTS
    if not is_valid or message.taker != expected or state.phase.stopping_since:
        state.counters.add("handovers_refused")
        return
    is_recorded = _record_part(state, message, now)
    if is_recorded and not is_own:
        reply = HandoverReceived(state.service, message.owner, message.incarnation, message.part)
        state.outbox.send(source, reply)
    elif is_recorded and _has_all_parts(state, state.handovers.row(message.owner)):
        _take_over(state, state.handovers.row(message.owner), now)


@_handle.register
def _(message: HandoverQuery, state: AgentState, source: Address, now: int) -> None:
    handovers = state.handovers
    if message.service != state.service or message.owner == state.own_id:
        return
    row = handovers.add(message.owner)
    if row == MISSING:
        return
    if handovers.successor[row] == 0 and message.incarnation > handovers.incarnation[row]:
        handovers.successor[row] = message.incarnation
    handovers.expires_at[row] = now + HANDOVER_RETENTION_MS
    is_served = handovers.successor[row] == message.incarnation
    if (
        not is_served
        or now - handovers.received_at[row] >= SERVE_WINDOW_MS
        or not _has_all_parts(state, row)
    ):
        return
    for part, claims in sorted((handovers.claims[row] or {}).items()):
        handover = Handover(
            service=state.service,
            owner=message.owner,
            incarnation=handovers.incarnation[row],
            taker=message.incarnation,
            uptime=handovers.uptime[row],
            part=part,
            parts=handovers.parts[row],
            claims=claims,
        )
        state.outbox.send(source, handover)


def _record_part(state: AgentState, message: Handover, now: int) -> bool:
    """Stores a part; returns False if the table is full or a later process has handed over."""
    handovers = state.handovers
    row = handovers.add(message.owner)
    if row == MISSING or message.incarnation < handovers.incarnation[row]:
        return False
    if message.incarnation > handovers.incarnation[row]:
        if handovers.successor[row] and handovers.successor[row] <= message.incarnation:
            handovers.successor[row] = 0
        handovers.claims[row] = {}
        handovers.incarnation[row] = message.incarnation
        handovers.received_at[row] = now
    claims: dict[int, tuple[HandedClaim, ...]] = handovers.claims[row] or {}
    claims[message.part] = message.claims
    handovers.claims[row] = claims
    handovers.parts[row] = message.parts
    handovers.uptime[row] = message.uptime
    handovers.expires_at[row] = now + HANDOVER_RETENTION_MS
    return True


def _has_all_parts(state: AgentState, row: int) -> bool:
    handovers: HandoverTable = state.handovers
    claims = handovers.claims[row] if row != MISSING else None
    return bool(claims) and len(claims or ()) == handovers.parts[row]


def _take_over(state: AgentState, row: int, now: int) -> None:
    """Records the claims that the predecessor had granted as a witness.

    This agent then counts as knowing every grant for as long as the predecessor did. Does nothing
    when its own knowledge reaches back as far.
    """
    handovers = state.handovers
    grants_complete_since = now - handovers.uptime[row]
    if grants_complete_since >= state.phase.grants_complete_since:
        return
    for claims in (handovers.claims[row] or {}).values():
        for handed in claims:
            record_handed_claim(state, handed, now)
    state.phase.grants_complete_since = grants_complete_since
    state.counters.add("handovers_taken")


def _expire_handovers(state: AgentState, now: int) -> None:
    for row in state.handovers.rows():
        if now >= state.handovers.expires_at[row]:
            state.handovers.remove(state.handovers.key[row])

"""Handover of request claims from a stopping witness to its successor, kept by one other agent.

Without it each planned restart leaves a witness that cannot vouch for 2 s, and two restarts within
that time leave keys without a quorum. No process may go on from a handover that misses what
another one has granted since. So there is one keeper, it serves the first successor that asks, and
only within 1 s: a successor that it did not hear of grants nothing in its first 2 s.
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
RESEND_INTERVAL_MS = 50  # ms
MAX_HANDOVER_MS = 500  # ms for the keeper to confirm; then the agent stops without
QUERY_WINDOW_MS = 1_000  # ms after the start in which the predecessor's handover is asked for
SERVE_WINDOW_MS = 1_000  # ms; a later successor vouches by its own age
HANDOVER_RETENTION_MS = 30_000  # ms for which a keeper knows whom it has served
RECIPIENT_SILENT_AFTER_MS = 1_500  # ms since the last heartbeat of an agent chosen as keeper


class HandoverSystem:
    """The three sides of a handover: the stopping agent, the keeper and the successor."""

    __slots__ = ("_recipient", "_next_send", "_parts", "_state", "_deadline", "_waiting")

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
        """Ends the work as a witness and sends what it knows to a keeper."""
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
        """Returns whether the keeper has everything, or its time is over."""
        return not self._parts or now >= self._deadline

    def _send_query(self) -> None:
        """Asks all peers, of which one may be the keeper, until one has sent a handover."""
        state = self._state
        if state.own_id in state.handovers and _has_all_parts(
            state, state.handovers.row(state.own_id)
        ):
            return
        query = HandoverQuery(state.service, state.own_id, state.config.incarnation)
        for peer in state.peer_ids():
            state.send_to_peer(peer, query)


def _choose_recipient(state: AgentState, now: int) -> int:
    """Returns the peer that has been up for longest among those that work, or 0."""
    peers = state.peers
    working = (HealthState.UP, HealthState.COLD, HealthState.STALLED)
    found = []
    for peer in state.peer_ids():
        row = peers.row(peer)
        if (
            row != MISSING
            and now - peers.heard[row] < RECIPIENT_SILENT_AFTER_MS
            and peers.state[row] in working
        ):
            found.append((peers.agent_incarnation[row], peer))
    return min(found)[1] if found else 0


@singledispatch
def _handle(message: Message, state: AgentState, source: Address, now: int) -> None:
    raise TypeError(type(message))


@_handle.register
def _(message: Handover, state: AgentState, source: Address, now: int) -> None:
    is_own = message.owner == state.own_id
    expected = state.config.incarnation if is_own else 0
    is_sound = message.service == state.service and 0 <= message.part < message.parts <= MAX_PARTS
    if not is_sound or message.taker != expected or state.phase.stopping_since:
        state.counters.add("handovers_refused")
        return
    is_kept = _record_part(state, message, now)
    if is_kept and not is_own:
        reply = HandoverReceived(state.service, message.owner, message.incarnation, message.part)
        state.outbox.send(source, reply)
    elif is_kept and _has_all_parts(state, state.handovers.row(message.owner)):
        _take_over(state, state.handovers.row(message.owner), now)


@_handle.register
def _(message: HandoverQuery, state: AgentState, source: Address, now: int) -> None:
    handovers = state.handovers
    if message.service != state.service or message.owner == state.own_id:
        return
    row = handovers.add(message.owner)
    if row == MISSING:
        return
    if handovers.taker[row] == 0 and message.incarnation > handovers.incarnation[row]:
        handovers.taker[row] = message.incarnation
    handovers.expires[row] = now + HANDOVER_RETENTION_MS
    is_served = handovers.taker[row] == message.incarnation
    if (
        not is_served
        or now - handovers.received[row] >= SERVE_WINDOW_MS
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
    """Keeps a part; returns False for one that a later process has made worthless."""
    handovers = state.handovers
    row = handovers.add(message.owner)
    if row == MISSING or message.incarnation < handovers.incarnation[row]:
        return False
    if message.incarnation > handovers.incarnation[row]:
        if handovers.taker[row] and handovers.taker[row] <= message.incarnation:
            handovers.taker[row] = 0
        handovers.claims[row] = {}
        handovers.incarnation[row] = message.incarnation
        handovers.received[row] = now
    claims: dict[int, tuple[HandedClaim, ...]] = handovers.claims[row] or {}
    claims[message.part] = message.claims
    handovers.claims[row] = claims
    handovers.parts[row] = message.parts
    handovers.uptime[row] = message.uptime
    handovers.expires[row] = now + HANDOVER_RETENTION_MS
    return True


def _has_all_parts(state: AgentState, row: int) -> bool:
    handovers: HandoverTable = state.handovers
    claims = handovers.claims[row] if row != MISSING else None
    return bool(claims) and len(claims or ()) == handovers.parts[row]


def _take_over(state: AgentState, row: int, now: int) -> None:
    """Goes on as the witness that the predecessor was."""
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
        if now >= state.handovers.expires[row]:
            state.handovers.remove(state.handovers.key[row])
